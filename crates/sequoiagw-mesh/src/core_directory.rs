//! Node registrations: applies those read from the store or received from peers, and passes
//! changes on to peers.

use std::collections::HashMap;

use sequoiagw_protocol::ConfigRequest;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::TableRecords;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRevision;
use tokio::time::Instant;
use tracing::info;

use crate::mesh_core::StoreAccess;
use crate::MeshAction;
use crate::MeshCore;
use crate::NodeRegistration;
use crate::RegistrationChange;

/// Fraction of the fleet's extra retries that is divided among the nodes. The rest is a margin,
/// since each node only estimates how many nodes there are.
const EXTRA_RETRIES_FRACTION: f64 = 0.6;
impl MeshCore {
    /// Replaces the directory with all registrations that the store has in an era, each with its
    /// revision.
    pub fn on_registrations(
        &mut self,
        registrations: Vec<(NodeRegistration, StoreRevision)>,
        era: StoreEra,
        now: Instant,
    ) {
        let own = registrations
            .iter()
            .find(|(registration, _)| registration.name == self.settings.name);
        let departed = own.and_then(|(registration, _)| registration.leaving.clone());
        // A registration of an earlier era is from a copy that may be older than the latest departure.
        let names_latest = |registration: &NodeRegistration| {
            registration.departures_known && registration.store_era == era
        };
        if own.is_some_and(|(registration, _)| names_latest(registration)) {
            self.departure_recovery.on_registration();
        }
        self.store_access = StoreAccess::Available;
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.registrations_read = true;
        }
        self.directory.replace(registrations, era, now);
        if let Some(departure) = departed {
            self.restore_departed(departure, now);
        }
        self.on_directory_changed(now);
        self.recover_departure(now);
        self.update_role(now);
    }

    /// Applies changes of registrations, from the store or from a peer.
    pub fn on_registration_changes(&mut self, changes: &[RegistrationChange], now: Instant) {
        let mut needs_update = false;
        let mut own_departure = None;
        for change in changes {
            match change {
                RegistrationChange::Written(registration, revision) => {
                    needs_update |= self.directory.put(registration.clone(), *revision);
                    if registration.name == self.settings.name {
                        own_departure.clone_from(&registration.leaving);
                    }
                }
                RegistrationChange::Removed(node, revision) => {
                    self.directory.remove(*node, *revision, now);
                    self.counters.count("directory.lapsed");
                    needs_update |= *node == self.node;
                }
            }
        }
        if let Some(departure) = own_departure {
            self.restore_departed(departure, now);
        }
        if needs_update {
            self.on_directory_changed(now);
        }
        self.update_role(now);
    }

    /// Sends changes of registrations to the other nodes of the data centre if this node is a
    /// watcher.
    pub fn broadcast_registration_changes(&mut self, changes: &[RegistrationChange], now: Instant) {
        if self.is_watcher() {
            let records = changes.iter().map(RegistrationChange::to_record).collect();
            self.broadcast_to_data_centre(&records_body(records), now);
        }
    }

    /// Sends a frame to all other registered nodes of the data centre.
    pub(crate) fn broadcast_to_data_centre(&mut self, body: &FrameBody, now: Instant) {
        let registered = self.directory.registered_in(&self.settings.data_centre);
        let others: Vec<NodeId> = registered.filter(|node| *node != self.node).collect();
        for node in others {
            self.send(node, body.clone());
        }
        self.process_actions(now);
    }

    /// Updates what depends on the directory: calls at nodes that restarted or disappeared, the
    /// known targets, this node's part of the extra retries and its own registration.
    pub(crate) fn on_directory_changed(&mut self, now: Instant) {
        let boots: HashMap<NodeId, u64> = self.directory.boots().collect();
        for (node, boot) in &self.known_boots {
            let current_boot = boots.get(node).copied();
            if current_boot != Some(*boot) {
                self.calls.entry.on_node_lost(*node, current_boot, now);
            }
        }
        self.known_boots = boots;
        self.update_targets(now);
        self.update_quota_members(now);
        let node_count = self.directory.len().max(1) as f64;
        let extra_retries =
            self.settings.retry_budget.extra_per_window * EXTRA_RETRIES_FRACTION / node_count;
        self.calls.entry.set_retry_budget_capacity(extra_retries);
        let registered = self.directory.registration(&self.settings.name);
        if registered != Some(&self.own_registration()) {
            self.actions.push(MeshAction::RegistrationChanged);
        }
        self.process_actions(now);
    }

    /// Sets the targets that calls may use.
    fn update_targets(&mut self, now: Instant) {
        if self.has_rollouts() {
            self.update_rollouts(now);
        } else {
            let targets = self.directory.targets();
            self.calls.entry.balancer_mut().set_targets(targets);
        }
    }

    /// Requests the configuration and all registrations from a peer, since this process started
    /// while the store is unavailable.
    pub(crate) fn join_through_peer(&mut self, peer: NodeId, record: MemberRecord, now: Instant) {
        info!(event = "peer_asked", peer = %record.name);
        self.counters.count("join.asked");
        self.on_registration_changes(&[RegistrationChange::from_record(record)], now);
        self.store_access = StoreAccess::Bypassed;
        self.send(
            peer,
            FrameBody::ConfigRequest(ConfigRequest {
                held: 0,
                full: true,
            }),
        );
        self.request_records(peer);
    }

    /// Requests all registrations that a peer has.
    pub(crate) fn request_records(&mut self, peer: NodeId) {
        let request = TableRecords {
            requested_data_centres: vec![self.settings.data_centre.clone()],
            ..TableRecords::default()
        };
        self.send(peer, FrameBody::Records(request));
    }

    /// Requests this node's latest registration from the watchers of the data centre. The store may
    /// have lost what an earlier process wrote, if it came back from an older copy.
    pub fn request_own_record(&mut self, now: Instant) {
        let watchers = self.watchers_in(&self.settings.data_centre);
        let request = TableRecords {
            requested_nodes: vec![self.node.get()],
            ..TableRecords::default()
        };
        for watcher in watchers {
            if watcher != self.node {
                self.send(watcher, FrameBody::Records(request.clone()));
            }
        }
        self.process_actions(now);
    }

    /// Sends a peer the records of some nodes, as far as they are known.
    pub(crate) fn send_records_of(&mut self, peer: NodeId, nodes: &[u64]) {
        let nodes = nodes.iter().copied().map(NodeId::from);
        let records: Vec<MemberRecord> = nodes
            .filter_map(|node| self.directory.record(node))
            .collect();
        if !records.is_empty() {
            self.send(peer, records_body(records));
        }
    }

    /// Sends this node's registration to all nodes without the store, unless the directory
    /// already has it. It carries the boot of this process and the slots offered now.
    pub(crate) fn announce_registration(&mut self, now: Instant) {
        let Some(own) = self.take_unannounced_registration(now) else {
            return;
        };
        let nodes: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        for node in nodes {
            if node != self.node {
                self.send(node, records_body(vec![own.clone()]));
            }
        }
    }

    /// Sends the registration to the nodes of the data centre if the backend server is leaving, since
    /// it can't be written to the store. The next process of this node learns it from them.
    pub fn announce_unwritten_departure(&mut self, now: Instant) {
        let registered = self.directory.registration(&self.settings.name);
        if registered.is_none() || self.target.leaving().is_none() {
            return;
        }
        if let Some(own) = self.take_unannounced_registration(now) {
            self.broadcast_to_data_centre(&records_body(vec![own]), now);
        }
    }

    /// Record of this node's registration if the directory has another one, which it replaces.
    fn take_unannounced_registration(&mut self, now: Instant) -> Option<MemberRecord> {
        let registration = self.own_registration();
        if self.directory.registration(&registration.name) == Some(&registration) {
            return None;
        }
        let mut revision = self.directory.revision(self.node);
        revision.number += 1;
        let own = RegistrationChange::Written(registration, revision);
        self.on_registration_changes(std::slice::from_ref(&own), now);
        Some(own.to_record())
    }
}

/// Builds a frame body that carries records of nodes and requests none.
pub(crate) fn records_body(records: Vec<MemberRecord>) -> FrameBody {
    FrameBody::Records(TableRecords {
        records,
        ..TableRecords::default()
    })
}
