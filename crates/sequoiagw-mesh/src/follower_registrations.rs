//! Following the node registrations, and passing them on.

use std::time::Duration;

use sequoiagw_store::KeyChange;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::StoreRevision;
use tokio::time::sleep;
use tracing::info;

use crate::store_follower::parse_registration;
use crate::store_follower::NODES_PREFIX;
use crate::MeshCore;
use crate::RegistrationChange;
use crate::StoreFollower;

/// Pause after changes of registrations, so that simultaneous changes arrive in one batch.
const REGISTRATION_BATCH_DELAY: Duration = Duration::from_millis(900);
/// Longest time that the store may delay the answer to a poll for registrations.
const REGISTRATION_POLL_WAIT: Duration = Duration::from_secs(20);
/// Time between two digests of the registrations.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

impl StoreFollower {
    /// Follows the node registrations, and never returns. Reads all of them, then polls the store
    /// for changes, or leaves that to the watchers of the data centre while they are responsive.
    pub async fn follow_registrations(self) {
        self.wait_for_fleet().await;
        loop {
            let Some(mut after) = self.read_registrations().await else {
                self.wait_for_watchers().await;
                self.wait_while_watchers_report(MeshCore::take_pending_registration_read)
                    .await;
                continue;
            };
            while self.watches_store() {
                let Some(batch) = self
                    .poll_changes(NODES_PREFIX, after, REGISTRATION_POLL_WAIT)
                    .await
                else {
                    break;
                };
                after.number = batch.revision;
                self.apply_registration_changes(&batch.changes, after.era)
                    .await;
            }
            self.wait_while_watchers_report(MeshCore::take_pending_registration_read)
                .await;
        }
    }

    /// Applies changes of registrations and sends them to the nodes of the data centre.
    async fn apply_registration_changes(&self, changes: &[KeyChange], era: StoreEra) {
        let changes: Vec<RegistrationChange> = changes
            .iter()
            .filter_map(|change| RegistrationChange::from_key(change, era))
            .collect();
        if changes.is_empty() {
            return;
        }
        self.handle.with_core(|core, now| {
            core.on_registration_changes(&changes, now);
            core.broadcast_registration_changes(&changes, now);
        });
        sleep(REGISTRATION_BATCH_DELAY).await;
    }

    /// Sends the digest of all registrations at intervals while this node is a watcher, and at
    /// once when the store is lost; never returns. While the store is unavailable the digest only
    /// shows that the node is running.
    pub async fn broadcast_digests(self) {
        loop {
            tokio::select! {
                () = sleep(DIGEST_INTERVAL) => {}
                () = self.health.wait_for_failure() => {}
            }
            let store_available = self.health.failing_since().is_none();
            self.handle
                .with_core(|core, now| core.broadcast_digest(store_available, now));
        }
    }

    /// Reads all registrations; returns the store's revision, or `None` after a failure.
    async fn read_registrations(&self) -> Option<StoreRevision> {
        let prefix = NODES_PREFIX.to_owned();
        match self.read(StoreRequest::ReadPrefix { prefix }).await {
            Ok((nodes, revision)) => {
                let registrations = nodes
                    .iter()
                    .filter_map(|entry| {
                        let registration = parse_registration(entry, revision.era)?;
                        let written_at = registration.written_at(entry.mod_revision);
                        Some((registration, written_at))
                    })
                    .collect();
                self.handle.with_core(|core, now| {
                    core.on_registrations(registrations, revision.era, now);
                    // The other nodes wait for a sign that they have watchers.
                    core.broadcast_digest(true, now);
                });
                if !self.registrations_read.replace(true) {
                    self.handle.with_core(MeshCore::request_own_record);
                }
                info!(event = "store_read", revision = %revision, nodes = nodes.len());
                Some(revision)
            }
            Err(error) => {
                self.wait_before_retry(&error).await;
                None
            }
        }
    }
}
