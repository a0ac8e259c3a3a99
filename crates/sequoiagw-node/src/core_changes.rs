//! Effects of changes of the member table, the active version and the backend server.

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
    pub(crate) fn set_backend(&mut self, announcement: Option<BackendAnnouncement>, now: Instant) {
        if announcement.is_none() {
            self.backend_expiry = None;
        }
        if self.backend == announcement {
            return;
        }
        self.backend = announcement;
        let backend = self.backend.clone();
        self.membership.announce(
            |own| {
                own.service = backend
                    .as_ref()
                    .map_or_else(String::new, |announcement| announcement.service.clone());
                own.slots = backend
                    .as_ref()
                    .map_or(0, |announcement| announcement.slots);
            },
            now,
        );
        self.configure_owner(now);
    }

    pub(crate) fn activate(&mut self, config: Arc<CompiledConfig>, now: Instant) {
        info!(event = "version_activated", node = %self.identity.name, version = config.version);
        self.counters.count("config.activated");
        let key_windows = config
            .routes()
            .iter()
            .map(|route| route.settings.key_window);
        if let Some(window) = key_windows.max() {
            self.committer.set_key_window(window);
        }
        self.active_config = Some(Arc::clone(&config));
        self.configure_owner(now);
        if self.versions.is_ready() && self.record().state() == MemberState::Joining {
            self.membership
                .announce(|own| own.set_state(MemberState::Ready), now);
        }
        self.actions.push(CoreAction::Activated(config));
    }

    pub(crate) fn configure_owner(&mut self, now: Instant) {
        let mut settings = OwnerSettings::default();
        if let Some(announcement) = &self.backend {
            settings.service.clone_from(&announcement.service);
            settings.slots = announcement.slots;
        }
        if let Some(config) = &self.active_config {
            let data_centre = &self.identity.data_centre;
            let (queue_limit, reserved_slots) =
                config.target_limits(data_centre, &settings.service, &self.identity.name);
            settings.queue_limit = queue_limit as usize;
            settings.reserved_slots = reserved_slots as u32;
            settings.shares = config.shares;
            if let Some((level, _)) = config.rank_names().first_key_value() {
                settings.most_urgent = *level;
            }
            let key_windows = config
                .routes()
                .iter()
                .map(|route| route.settings.key_window);
            settings.key_window = key_windows.max().unwrap_or(settings.key_window);
        }
        self.calls.owner.reconfigure(settings, now);
    }

    pub(crate) fn on_members_changed(&mut self, now: Instant) {
        let data_centre = self.identity.data_centre.clone();
        let table = self.membership.table();
        let is_peer = |record: &&MemberRecord| record.node != self.node.get();
        let node_id = |record: &MemberRecord| NodeId::from(record.node);
        let bridges = self.membership.bridges(&data_centre);
        let peers = VersionPeers {
            voters: table
                .ready(&data_centre)
                .filter(is_peer)
                .map(node_id)
                .collect(),
            local_peers: table
                .reachable(&data_centre)
                .filter(is_peer)
                .map(node_id)
                .collect(),
            remote_bridges: table
                .data_centres()
                .filter(|other| *other != data_centre)
                .map(|other| self.membership.bridges(other))
                .collect(),
            bridge: bridges.contains(&self.node) || bridges.is_empty(),
            joined: self.membership.has_joined(),
        };
        let candidacy = self.seat_candidacy(&peers.voters);
        let targets = targets_by_service(table);
        let holder_count = table.records().filter(|record| record.seat > 0).count();
        self.committer.set_committers(holder_count as u32);
        self.calls.entry.balancer_mut().set_targets(targets);
        self.versions.set_peers(peers, now);
        self.holder.set_candidacy(candidacy, now);
    }

    pub(crate) fn seat_candidacy(&self, voters: &BTreeSet<NodeId>) -> SeatCandidacy {
        let in_service = self.record().state() == MemberState::Ready || voters.is_empty();
        let seated_peers = self
            .members()
            .reachable(&self.identity.data_centre)
            .filter(|record| record.node != self.node.get() && record.seat > 0);
        SeatCandidacy {
            held_seats: seated_peers.fold(0, |bits, record| bits | 1 << (record.seat - 1).min(31)),
            position: voters.iter().filter(|node| **node < self.node).count(),
            eligible: in_service && !self.draining,
        }
    }
}

fn targets_by_service(table: &MemberTable) -> BTreeMap<String, Vec<TargetInfo>> {
    let mut services: BTreeMap<String, Vec<TargetInfo>> = BTreeMap::new();
    for record in table.records() {
        let accepts_calls = matches!(record.state(), MemberState::Ready | MemberState::Suspect);
        if accepts_calls && !record.service.is_empty() && record.slots > 0 {
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
