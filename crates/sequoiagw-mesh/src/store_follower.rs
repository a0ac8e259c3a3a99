//! Follows the operators' configuration and the node registrations in the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_store::ChangeBatch;
use sequoiagw_store::EraAnswer;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::StoreRevision;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::store_client::StoreClient;
use crate::MeshCore;
use crate::MeshHandle;
use crate::NodeRegistration;
use crate::StoreHealth;

/// Prefix of the keys of node registrations.
pub const NODES_PREFIX: &str = "sequoiagw/nodes/";

/// Time within which all nodes of a fleet that starts for the first time register.
const FLEET_REGISTRATION_TIME: Duration = Duration::from_millis(3500);
/// Time within which the watchers' digests arrive again after an outage of the store.
const WATCHER_RECOVERY_TIME: Duration = Duration::from_millis(700);
/// Time between two checks of what was received from the watchers.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps a node up to date with the store.
#[derive(Clone)]
pub struct StoreFollower {
    pub(crate) handle: MeshHandle,
    pub(crate) client: StoreClient,
    pub(crate) health: StoreHealth,
    /// Whether the registrations have been read since the process started.
    pub(crate) registrations_read: Rc<Cell<bool>>,
}

impl StoreFollower {
    /// Creates a follower that passes the content of `store` to `handle`.
    pub fn new(handle: MeshHandle, store: Rc<dyn PollingStore>, health: StoreHealth) -> Self {
        Self {
            client: StoreClient::new(handle.clone(), store, health.clone()),
            handle,
            health,
            registrations_read: Rc::default(),
        }
    }

    /// Waits until the nodes have registered if the whole fleet starts for the first time; before
    /// that the store has no registrations to read.
    pub(crate) async fn wait_for_fleet(&self) {
        if self.handle.read(|core| core.settings().first_fleet_start) {
            sleep(FLEET_REGISTRATION_TIME).await;
        }
    }

    pub(crate) fn version_number(&self) -> Option<u64> {
        self.handle
            .read(|core| core.active_version().map(|version| version.number))
    }

    pub(crate) fn watches_store(&self) -> bool {
        self.handle.read(|core| core.watches_store(Instant::now()))
    }

    /// Waits while the watchers pass on what changes in the store, until `read_pending` returns
    /// that the store must be read nevertheless.
    pub(crate) async fn wait_while_watchers_report<ReadPending>(&self, read_pending: ReadPending)
    where
        ReadPending: Fn(&mut MeshCore, Instant) -> bool,
    {
        while !self.watches_store() {
            let next_check = Instant::now() + WATCHER_CHECK_INTERVAL;
            let deadline = self.handle.read(MeshCore::watchers_deadline);
            tokio::select! {
                () = sleep_until(deadline.map_or(next_check, |time| time.min(next_check))) => {}
                () = self.handle.wait_for_watchers_lost() => {}
            }
            if self.handle.with_core(&read_pending) {
                return;
            }
        }
        self.log_watchers_lost();
    }

    /// Logs that this node follows the store because its watchers are unresponsive.
    fn log_watchers_lost(&self) {
        if self.handle.read(MeshCore::is_watcher) {
            return;
        }
        let silent_time = self
            .handle
            .read(|core| core.watchers_silent_time(Instant::now()));
        let version = self.version_number().unwrap_or_default();
        warn!(
            event = "watchers_lost",
            silent_ms = silent_time.map_or(-1, |time| time.as_millis() as i64),
            version
        );
        self.handle.counters().count("directory.watchers_lost");
    }

    /// Waits after a failure until the watchers' digests have had time to arrive again, so that
    /// not all nodes read the store when it recovers.
    pub(crate) async fn wait_for_watchers(&self) {
        if !self.handle.read(MeshCore::is_watcher) {
            sleep(WATCHER_RECOVERY_TIME).await;
        }
    }

    /// Polls the store for changes after a revision, whose answer it may delay for `wait`; returns `None` when some of them may have
    /// been missed, so that everything must be read again.
    pub(crate) async fn poll_changes(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Option<ChangeBatch> {
        let mut recovery = self.health.subscribe_recovery();
        if self.health.era() != after.era {
            return None;
        }
        let request = PollRequest {
            prefix: prefix.to_owned(),
            after: after.number,
            wait,
        };
        let polled = tokio::select! {
            polled = self.client.poll(request) => polled,
            _ = recovery.changed() => return None,
        };
        match polled {
            Ok(EraAnswer { era, answer: batch }) => {
                info!(
                    event = "store_polled",
                    prefix,
                    after = %after,
                    era = %era,
                    revision = batch.revision,
                    changes = batch.changes.len()
                );
                (era == after.era).then_some(batch)
            }
            Err(StoreError::Compacted { .. }) => {
                info!(event = "store_history_lost", prefix);
                None
            }
            Err(error) => {
                self.wait_before_retry(&error).await;
                None
            }
        }
    }

    /// Records a failed call and waits for the retry delay, or until another call shows that the
    /// store answers again.
    pub(crate) async fn wait_before_retry(&self, error: &StoreError) {
        let mut recovery = self.health.subscribe_recovery();
        self.health.record_failure(error);
        self.handle
            .with_core(|core, _| core.set_store_failing(true));
        tokio::select! {
            _ = recovery.changed() => {}
            () = sleep(self.health.retry_delay()) => {}
        }
    }

    /// Makes one read call; returns the entries and the store's revision.
    pub(crate) async fn read(
        &self,
        request: StoreRequest,
    ) -> Result<(Vec<KeyEntry>, StoreRevision), StoreError> {
        let EraAnswer { era, answer: reply } = self.client.call(request).await?;
        self.handle
            .with_core(|core, _| core.set_store_failing(false));
        match reply {
            StoreReply::Entries { entries, revision } => {
                let number = revision;
                Ok((entries, StoreRevision { era, number }))
            }
            _ => Err(StoreError::Malformed {
                detail: "reply to a read carries no entries".to_owned(),
            }),
        }
    }
}

/// Decodes a node's registration, of which the store told in `era`. An entry of another writer is
/// logged and skipped.
pub(crate) fn parse_registration(entry: &KeyEntry, era: StoreEra) -> Option<NodeRegistration> {
    match NodeRegistration::from_entry(entry, era) {
        Ok(registration) => Some(registration),
        Err(error) => {
            warn!(event = "node_entry_unreadable", key = %entry.key, error = %error);
            None
        }
    }
}
