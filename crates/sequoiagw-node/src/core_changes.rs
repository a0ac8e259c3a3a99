//! Changes of members, versions and the backend server, and what follows from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_distribution::SeatCandidacy;
use sequoiagw_distribution::VersionPeers;
use sequoiagw_membership::MemberTable;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;
use tracing::info;

use crate::BackendAnnouncement;
use crate::CoreAction;
use crate::NodeCore;

impl NodeCore {
    pub(crate) fn set_backend(&mut self, info: Option<BackendAnnouncement>, now: Instant) {
        if info.is_none() {
            self.backend_until = None;
        }
        if self.backend == info {
            return;
        }
        self.backend = info;
        let backend = self.backend.clone();
        self.membership.announce(
            |own| {
                own.service = backend
                    .as_ref()
                    .map_or_else(String::new, |info| info.service.clone());
                own.slots = backend.as_ref().map_or(0, |info| info.slots);
            },
            now,
        );
        self.configure_owner(now);
    }

    pub(crate) fn activate(&mut self, snapshot: Arc<CompiledConfig>, now: Instant) {
        info!(event = "version_activated", node = %self.identity.name, version = snapshot.version);
        self.counters.count("config.activated");
        let windows = snapshot
            .routes()
            .iter()
            .map(|route| route.settings.key_window);
        if let Some(window) = windows.max() {
            self.committer.set_key_window(window);
        }
        self.snapshot = Some(Arc::clone(&snapshot));
        self.configure_owner(now);
        if self.versions.is_ready() && self.record().state() == MemberState::Joining {
            self.membership
                .announce(|own| own.set_state(MemberState::Ready), now);
        }
        self.actions.push(CoreAction::Activated(snapshot));
    }

    pub(crate) fn configure_owner(&mut self, now: Instant) {
        let mut setup = OwnerSettings::default();
        if let Some(info) = &self.backend {
            setup.service.clone_from(&info.service);
            setup.slots = info.slots;
        }
        if let Some(snapshot) = &self.snapshot {
            let centre = &self.identity.data_centre;
            let (queue, reserved) =
                snapshot.target_limits(centre, &setup.service, &self.identity.name);
            setup.queue_limit = queue as usize;
            setup.reserved_slots = reserved as u32;
            setup.shares = snapshot.shares;
            if let Some((level, _)) = snapshot.rank_names().first_key_value() {
                setup.most_urgent = *level;
            }
            let windows = snapshot
                .routes()
                .iter()
                .map(|route| route.settings.key_window);
            setup.key_window = windows.max().unwrap_or(setup.key_window);
        }
        self.owner.reconfigure(setup, now);
    }

    pub(crate) fn on_members_changed(&mut self, now: Instant) {
        let centre = self.identity.data_centre.clone();
        let table = self.membership.table();
        let others = |record: &&MemberRecord| record.node != self.node.get();
        let id = |record: &MemberRecord| NodeId::from(record.node);
        let bridges = self.membership.bridges(&centre);
        let peers = VersionPeers {
            voters: table.ready(&centre).filter(others).map(id).collect(),
            local_peers: table.reachable(&centre).filter(others).map(id).collect(),
            remote_bridges: table
                .data_centres()
                .filter(|other| *other != centre)
                .map(|other| self.membership.bridges(other))
                .collect(),
            bridge: bridges.contains(&self.node) || bridges.is_empty(),
            joined: self.membership.has_joined(),
        };
        let candidacy = self.seat_candidacy(&peers.voters);
        let targets = targets_by_service(table);
        let seated = table.records().filter(|record| record.seat > 0).count();
        self.committer.set_committers(seated as u32);
        self.entry.balancer_mut().set_targets(targets);
        self.versions.set_peers(peers, now);
        self.holder.set_candidacy(candidacy, now);
    }

    pub(crate) fn seat_candidacy(&self, voters: &BTreeSet<NodeId>) -> SeatCandidacy {
        let in_service = self.record().state() == MemberState::Ready || voters.is_empty();
        let seats = self
            .members()
            .reachable(&self.identity.data_centre)
            .filter(|record| record.node != self.node.get() && record.seat > 0);
        SeatCandidacy {
            held_seats: seats.fold(0, |bits, record| bits | 1 << (record.seat - 1).min(31)),
            position: voters.iter().filter(|node| **node < self.node).count(),
            eligible: in_service && !self.draining,
        }
    }
}

fn targets_by_service(table: &MemberTable) -> BTreeMap<String, Vec<TargetInfo>> {
    let mut services: BTreeMap<String, Vec<TargetInfo>> = BTreeMap::new();
    for record in table.records() {
        let serving = matches!(record.state(), MemberState::Ready | MemberState::Suspect);
        if serving && !record.service.is_empty() && record.slots > 0 {
            services
                .entry(record.service.clone())
                .or_default()
                .push(TargetInfo {
                    node: NodeId::from(record.node),
                    boot: record.boot,
                    data_centre: record.data_centre.clone(),
                    slots: record.slots,
                });
        }
    }
    services
}
