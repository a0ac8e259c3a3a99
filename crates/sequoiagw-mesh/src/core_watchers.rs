//! The watchers of the data centre: which nodes they are, what they send, and what this node hears
//! from them.

use std::time::Duration;

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_store::StoreRevision;
use tokio::time::Instant;
use tracing::info;

use crate::mesh_core::StoreAccess;
use crate::MeshAction;
use crate::MeshCore;
use crate::RegistrationChange;
use crate::WatcherMonitor;

/// Nodes of each data centre that watch the store for the others.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

impl MeshCore {
    /// Sends a digest of the registrations to the other nodes of the data centre if this node is
    /// a watcher.
    ///
    /// While the store is unavailable the digest carries no hash. It still goes out, so that
    /// processes that start meanwhile learn the address of a peer.
    pub fn broadcast_digest(&mut self, store_available: bool, now: Instant) {
        if !self.is_watcher() {
            return;
        }
        let hash = TableHash {
            data_centre: self.settings.data_centre.clone(),
            hash: self.directory.digest(),
        };
        let unwritten = StoreRevision::default();
        let own = RegistrationChange::Written(self.own_registration(), unwritten).to_record();
        let digest = TableDigest {
            hashes: store_available.then_some(hash).into_iter().collect(),
            sender: Some(own),
            version: self.active_version_number(),
            crash_hash: Some(self.calls.crashes.hash()),
            rollout_hash: self.rollout_hash(),
        };
        self.announce_crashes();
        self.broadcast_to_data_centre(&FrameBody::Digest(digest), now);
    }

    /// Whether this node watches the store for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.watchers_in(&self.settings.data_centre)
            .contains(&self.node)
    }

    /// Notifies the registrar when this node becomes a watcher or no longer is one.
    pub(crate) fn update_role(&mut self, now: Instant) {
        self.update_rollouts_on_registrations(now);
        let is_watcher = self.is_watcher();
        if is_watcher != std::mem::replace(&mut self.was_watcher, is_watcher) {
            info!(event = "watcher_role_changed", is_watcher);
            self.actions.push(MeshAction::RegistrationChanged);
            self.process_actions(now);
        }
    }

    /// Nodes of a data centre that watch the store for it: those with the fastest links, since
    /// watchers send whole versions to the other nodes.
    pub(crate) fn watchers_in(&self, data_centre: &str) -> Vec<NodeId> {
        let mut watchers = self.directory.fastest_links_in(data_centre);
        watchers.truncate(WATCHERS_PER_DATA_CENTRE);
        watchers
    }

    /// Handles a digest from a watcher. A process that started while the store is unavailable joins
    /// through its sender.
    pub(crate) fn on_digest(&mut self, from: NodeId, received: TableDigest, now: Instant) {
        let own_digest = self.directory.digest();
        let sender_lacks_store = received.hashes.is_empty();
        let mut has_new_report = false;
        if sender_lacks_store {
            has_new_report = self.change_watchers(now, |watchers| watchers.on_store_lost(from));
        }
        for hash in &received.hashes {
            has_new_report |= self.watchers.on_digest(from, hash.hash, own_digest, now);
        }
        if has_new_report {
            self.log_watcher_report(&received, now);
        }
        if self.watchers.take_pending_records_request(now) {
            self.request_records(from);
        }
        if let Some(hash) = received.crash_hash {
            self.on_crash_hash(from, hash, now);
        }
        self.on_rollout_hash(from, received.rollout_hash, now);
        self.on_peer_version(from, received.version, now);
        let store_unavailable = sender_lacks_store || self.store_access == StoreAccess::Failing;
        let must_join = store_unavailable && self.active_version.is_none();
        if let Some(sender) = received.sender.filter(|_| must_join) {
            self.join_through_peer(from, sender, now);
        }
    }

    /// Whether this node watches the store, for its data centre or because the watchers are
    /// unresponsive.
    pub fn watches_store(&self, now: Instant) -> bool {
        self.is_watcher() || self.watchers.is_unresponsive(now)
    }

    /// Logs that a watcher is heard for the first time, or that its access to the store has changed.
    fn log_watcher_report(&self, digest: &TableDigest, now: Instant) {
        let watcher = digest.sender.as_ref().map_or("", |sender| &sender.name);
        info!(
            event = "watcher_reported",
            watcher,
            has_store = !digest.hashes.is_empty(),
            version = digest.version,
            own_version = self.active_version_number(),
            follows_store = self.watches_store(now)
        );
    }

    /// Handles the end of a watcher. Does nothing for other nodes.
    pub(crate) fn on_watcher_ended(&mut self, watcher: NodeId, now: Instant) {
        self.change_watchers(now, |watchers| watchers.on_watcher_ended(watcher));
    }

    /// Changes what is known of the watchers, and notifies the followers if the last watcher that
    /// had the store is lost by that.
    fn change_watchers<Change, Output>(&mut self, now: Instant, change: Change) -> Output
    where
        Change: FnOnce(&mut WatcherMonitor) -> Output,
    {
        let was_unresponsive = self.watchers.is_unresponsive(now);
        let output = change(&mut self.watchers);
        if !was_unresponsive && self.watchers.is_unresponsive(now) {
            self.actions.push(MeshAction::WatchersLost);
        }
        output
    }

    /// Time at which the watchers count as unresponsive unless one of them sends a digest, `None`
    /// when they already do.
    pub fn watchers_deadline(&self) -> Option<Instant> {
        self.watchers.deadline()
    }

    /// Time since the last digest of a watcher that had the store, `None` before the first one.
    pub fn watchers_silent_time(&self, now: Instant) -> Option<Duration> {
        self.watchers.silent_time(now)
    }

    /// Whether all registrations must be read from the store, because the watchers' digest has
    /// differed for too long; resets the condition.
    pub fn take_pending_registration_read(&mut self, now: Instant) -> bool {
        self.watchers.take_pending_registration_read(now)
    }
}
