//! Following the operators' configuration.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_store::KeyChange;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::StoreRevision;
use tokio::time::sleep;

use crate::MeshCore;
use crate::StoreFollower;

/// Longest time that the store may delay the answer to a poll for versions. Only an answer shows that the
/// connection of a poll hasn't gone silent; one that doesn't come restarts all polls.
const VERSION_POLL_WAIT: Duration = Duration::from_secs(2);
/// Time between reading a version and reading the next one. A version that is written meanwhile waits
/// for it, and for the end of the watchers to be noticed if both end in it.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(500);
/// How often a starting process checks for a version from the watchers before it reads the
/// store.
const STARTUP_CHECKS: usize = 8;
/// Time between two checks for a version from the watchers during the start.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a starting process checks for the registrations before it goes on without them.
const REGISTRATION_CHECKS: usize = 15;
/// Startup checks after which the version is requested from the next watcher.
const CHECKS_PER_WATCHER: usize = 4;
/// Time for which calls to the store must have failed before peers are asked for the
/// configuration.
const STORE_FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two requests to peers.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

impl StoreFollower {
    /// Follows the operators' configuration, and never returns. Changes come from the store, or
    /// from the watchers of the data centre while they are responsive.
    ///
    /// After a change the configuration is read at intervals until it stays the same. When
    /// changes follow each other quickly, this transfers fewer copies than there are versions.
    pub async fn follow_config(self) {
        self.wait_for_fleet().await;
        self.wait_for_registrations().await;
        self.request_from_watchers().await;
        if self.version_number().is_some() {
            self.wait_while_watchers_report(MeshCore::take_pending_version_read)
                .await;
        }
        let prefix = self.polled_prefix();
        loop {
            let Some(mut after) = self.read_config().await else {
                self.wait_for_watchers().await;
                self.wait_while_watchers_report(MeshCore::take_pending_version_read)
                    .await;
                continue;
            };
            while self.watches_store() {
                let Some(batch) = self.poll_changes(&prefix, after, VERSION_POLL_WAIT).await else {
                    break;
                };
                after.number = batch.revision;
                self.apply_changed_orders(&batch.changes, after.era);
                if self.has_config_change(&batch.changes) {
                    self.activate_newest(batch.changes);
                    sleep(CONFIG_READ_INTERVAL).await;
                    break;
                }
            }
            self.wait_while_watchers_report(MeshCore::take_pending_version_read)
                .await;
        }
    }

    /// Prefix of the keys to poll: the configuration's key, or all keys of the operators where they
    /// also write orders.
    fn polled_prefix(&self) -> String {
        let format = self.handle.platform_format();
        if self.follows_orders() {
            format.operator_prefix().to_owned()
        } else {
            format.config_key().to_owned()
        }
    }

    /// Whether changes of the configuration are among these.
    fn has_config_change(&self, changes: &[KeyChange]) -> bool {
        let config_key = self.handle.platform_format().config_key();
        let is_config = |change: &KeyChange| match change {
            KeyChange::Written(entry) => entry.key == config_key,
            KeyChange::Deleted { key, .. } => key == config_key,
        };
        if self.follows_orders() {
            changes.iter().any(is_config)
        } else {
            !changes.is_empty()
        }
    }

    /// Request that reads the configuration, and the orders where there are any.
    fn config_request(&self) -> StoreRequest {
        let format = self.handle.platform_format();
        if self.follows_orders() {
            let prefix = format.operator_prefix().to_owned();
            StoreRequest::ReadPrefix { prefix }
        } else {
            let key = format.config_key().to_owned();
            StoreRequest::Read { key }
        }
    }

    /// Waits a limited time until the registrations have been read. Before that this node knows
    /// only itself, and would take itself for a watcher and read the configuration.
    async fn wait_for_registrations(&self) {
        for _ in 0..REGISTRATION_CHECKS {
            if self.registrations_read.get() {
                return;
            }
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    /// Requests the active version from the watchers of the data centre and waits a short time
    /// for it. The watchers are nearer than the store, and processes that start at the same time
    /// don't all read the store.
    async fn request_from_watchers(&self) {
        for check in 0..STARTUP_CHECKS {
            sleep(STARTUP_CHECK_INTERVAL).await;
            if self.version_number().is_some() || self.handle.read(MeshCore::is_watcher) {
                return;
            }
            if check % CHECKS_PER_WATCHER == 0 {
                let attempt = check / CHECKS_PER_WATCHER;
                self.handle
                    .with_core(|core, now| core.request_version_from_watcher(attempt, now));
            }
        }
    }

    /// Reads the configuration until it stays the same between two reads; returns the store's
    /// revision, or `None` after a failure.
    async fn read_config(&self) -> Option<StoreRevision> {
        loop {
            let before = self.version_number();
            match self.read(self.config_request()).await {
                Ok((entries, revision)) => {
                    self.apply_orders(&entries, revision.era);
                    for entry in entries {
                        self.activate_config(entry);
                    }
                    if self.version_number() == before || before.is_none() {
                        return Some(revision);
                    }
                    sleep(CONFIG_READ_INTERVAL).await;
                }
                Err(error) => {
                    self.wait_before_retry(&error).await;
                    return None;
                }
            }
        }
    }

    /// Activates the newest of several versions and skips the others.
    fn activate_newest(&self, changes: Vec<KeyChange>) {
        let config_key = self.handle.platform_format().config_key();
        let newest = changes.into_iter().rev().find_map(|change| match change {
            KeyChange::Written(entry) if entry.key == config_key => Some(entry),
            KeyChange::Written(_) | KeyChange::Deleted { .. } => None,
        });
        if let Some(entry) = newest {
            self.activate_config(entry);
        }
    }

    /// Requests the configuration from peers at intervals while calls to the store fail, and
    /// never returns.
    pub async fn request_config_from_peers(self) {
        loop {
            sleep(PEER_REQUEST_INTERVAL).await;
            let unavailable = self
                .health
                .failing_since()
                .is_some_and(|since| since.elapsed() > STORE_FAILURE_TIMEOUT);
            if unavailable {
                self.handle.with_core(MeshCore::request_version_from_peer);
            }
        }
    }

    /// Passes the operators' configuration to the node; entries of other keys are ignored.
    fn activate_config(&self, entry: KeyEntry) {
        if entry.key == self.handle.platform_format().config_key() {
            self.handle.apply_config(&Bytes::from(entry.value));
        }
    }
}
