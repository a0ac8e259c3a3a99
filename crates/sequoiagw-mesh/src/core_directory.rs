//! The nodes' entries: what the store and peers tell of them, and what is told to peers.

use std::collections::HashMap;

use sequoiagw_protocol::ConfigRequest;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_protocol::TableRecords;
use tokio::time::Instant;
use tracing::info;

use crate::mesh_core::StorePath;
use crate::MeshAction;
use crate::MeshCore;
use crate::NodeRegistration;
use crate::RegistrationChange;

/// Part of the fleet's extra repeats that nodes use, so that estimates of the number of
/// nodes may be off.
const EXTRA_PART: f64 = 0.6;
/// Nodes of each data centre that watch the store for the others.
const WATCHERS: usize = 2;

impl MeshCore {
    /// Takes all entries of the store.
    pub fn on_registrations(&mut self, entries: Vec<(NodeRegistration, u64)>, now: Instant) {
        let own = entries
            .iter()
            .find(|(entry, _)| entry.name == self.settings.name);
        if let Some(life) = own.and_then(|(entry, _)| entry.leaving.clone()) {
            self.target.restore_departed(life);
        }
        self.store_path = StorePath::Answering;
        self.directory.replace(entries, now);
        self.directory_changed(now);
    }

    /// Takes changes of entries in the store.
    pub fn on_registration_changes(&mut self, changes: &[RegistrationChange], now: Instant) {
        let mut differs = false;
        for change in changes {
            match change {
                RegistrationChange::Written(entry, revision) => {
                    differs |= self.directory.put(entry.clone(), *revision);
                }
                RegistrationChange::Removed(node, revision) => {
                    self.directory.remove(*node, *revision, now);
                    self.counters.count("directory.lapsed");
                    differs |= *node == self.node;
                }
            }
        }
        if differs {
            self.directory_changed(now);
        }
    }

    /// Whether this node watches the store for itself or for its data centre.
    pub fn watches_store(&self, now: Instant) -> bool {
        self.is_watcher() || self.watchers.is_unresponsive(now)
    }

    /// Whether the entries known differ for long from those that the watchers know.
    pub fn take_pending_registration_read(&mut self, now: Instant) -> bool {
        self.watchers.take_pending_registration_read(now)
    }

    /// Passes changes of entries on to the other nodes of the data centre.
    pub fn broadcast_registration_changes(&mut self, changes: &[RegistrationChange], now: Instant) {
        if self.is_watcher() {
            let records = changes.iter().map(RegistrationChange::to_record).collect();
            self.tell_data_centre(&records_body(records), now);
        }
    }

    /// Tells the data centre's nodes which entries a watcher knows; without an answering
    /// store only that it is there, for processes that start meanwhile.
    pub fn broadcast_digest(&mut self, store_answers: bool, now: Instant) {
        if !self.is_watcher() {
            return;
        }
        let hash = TableHash {
            data_centre: self.settings.data_centre.clone(),
            hash: self.directory.digest(),
        };
        let own = RegistrationChange::Written(self.own_registration(), 0).to_record();
        let digest = TableDigest {
            hashes: store_answers.then_some(hash).into_iter().collect(),
            sender: Some(own),
            version: self.active_version_number(),
        };
        self.tell_data_centre(&FrameBody::Digest(digest), now);
    }

    /// Whether this node watches the store for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.watchers_of(&self.settings.data_centre)
            .contains(&self.node)
    }

    /// Nodes of a data centre that watch the store for it: those with the widest links, since
    /// they pass whole versions on.
    pub(crate) fn watchers_of(&self, data_centre: &str) -> Vec<NodeId> {
        let mut listed = self.directory.fastest_links_in(data_centre);
        listed.truncate(WATCHERS);
        listed
    }

    pub(crate) fn tell_data_centre(&mut self, body: &FrameBody, now: Instant) {
        let listed = self.directory.registered_in(&self.settings.data_centre);
        let others: Vec<NodeId> = listed.filter(|node| *node != self.node).collect();
        for node in others {
            self.send(node, body.clone());
        }
        self.settle(now);
    }

    pub(crate) fn directory_changed(&mut self, now: Instant) {
        let boots: HashMap<NodeId, u64> = self.directory.boots().collect();
        for (node, boot) in &self.boots {
            let live = boots.get(node).copied();
            if live != Some(*boot) {
                self.entry.on_node_lost(*node, live, now);
            }
        }
        self.boots = boots;
        self.entry
            .balancer_mut()
            .set_targets(self.directory.targets());
        let nodes = self.directory.len().max(1) as f64;
        let extra = self.settings.retry_budget.extra_per_window * EXTRA_PART / nodes;
        self.entry.set_retry_budget_capacity(extra);
        let written = self.directory.registration(&self.settings.name);
        if written != Some(&self.own_registration()) {
            self.actions.push(MeshAction::RegistrationChanged);
        }
        self.settle(now);
    }

    /// Asks a peer for everything: this process has started while the store doesn't answer.
    pub(crate) fn ask_to_join(&mut self, peer: NodeId, record: MemberRecord, now: Instant) {
        info!(event = "peer_asked", peer = %record.name);
        self.counters.count("join.asked");
        self.on_registration_changes(&[RegistrationChange::from_record(record)], now);
        self.store_path = StorePath::Bypassed;
        self.send(
            peer,
            FrameBody::ConfigRequest(ConfigRequest {
                held: 0,
                full: true,
            }),
        );
        self.ask_for_records(peer);
    }

    /// Asks a peer for all entries that it knows.
    pub(crate) fn ask_for_records(&mut self, peer: NodeId) {
        let ask = TableRecords {
            requested_data_centres: vec![self.settings.data_centre.clone()],
            ..TableRecords::default()
        };
        self.send(peer, FrameBody::Records(ask));
    }

    /// Tells all nodes that this process has taken its predecessor's place, or what its
    /// backend server offers now, unless they know.
    pub(crate) fn announce_to_all(&mut self, now: Instant) {
        let entry = self.own_registration();
        if self.directory.registration(&entry.name) == Some(&entry) {
            return;
        }
        let revision = self.directory.revision(self.node) + 1;
        let own = RegistrationChange::Written(entry, revision);
        self.on_registration_changes(std::slice::from_ref(&own), now);
        let own = own.to_record();
        let nodes: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        for node in nodes {
            if node != self.node {
                self.send(node, records_body(vec![own.clone()]));
            }
        }
    }
}

/// A message with records of nodes.
pub(crate) fn records_body(records: Vec<MemberRecord>) -> FrameBody {
    FrameBody::Records(TableRecords {
        records,
        ..TableRecords::default()
    })
}
