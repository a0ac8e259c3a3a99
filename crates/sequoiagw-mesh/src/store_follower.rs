//! Follows the operators' configuration and the node registrations in the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_store::ChangeBatch;
use sequoiagw_store::KeyChange;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::MeshCore;
use crate::MeshHandle;
use crate::NodeRegistration;
use crate::RegistrationChange;
use crate::StoreHealth;

/// Prefix of the keys of node registrations.
pub const NODES_PREFIX: &str = "sequoiagw/nodes/";

/// Longest time that the store may delay the answer to a poll for changes.
const POLL_WAIT: Duration = Duration::from_secs(20);
/// Time between reading a version and reading the next one.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after changes of registrations, so that simultaneous changes arrive in one batch.
const REGISTRATION_BATCH_DELAY: Duration = Duration::from_millis(900);
/// Time between two digests of the registrations.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// How often a starting process checks for a version from the watchers before it reads the
/// store.
const STARTUP_CHECKS: usize = 8;
/// Time between two checks for a version from the watchers during the start.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a starting process checks for the registrations before it goes on without them.
const REGISTRATION_CHECKS: usize = 15;
/// Startup checks after which the version is requested from the next watcher.
const CHECKS_PER_WATCHER: usize = 4;
/// Time within which all nodes of a fleet that starts for the first time register.
const FLEET_REGISTRATION_TIME: Duration = Duration::from_millis(3500);
/// Time within which the watchers' digests arrive again after an outage of the store.
const WATCHER_RECOVERY_TIME: Duration = Duration::from_millis(700);
/// Time between two checks of what was received from the watchers.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which calls to the store must have failed before peers are asked for the
/// configuration.
const STORE_FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two requests to peers.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps a node up to date with the store.
#[derive(Clone)]
pub struct StoreFollower {
    handle: MeshHandle,
    store: Rc<dyn PollingStore>,
    health: StoreHealth,
    /// Whether the registrations have been read since the process started.
    registrations_read: Rc<Cell<bool>>,
}

impl StoreFollower {
    /// Creates a follower that passes the content of `store` to `handle`.
    pub fn new(handle: MeshHandle, store: Rc<dyn PollingStore>, health: StoreHealth) -> Self {
        Self {
            handle,
            store,
            health,
            registrations_read: Rc::default(),
        }
    }

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
        let key = self.handle.platform_format().config_key().to_owned();
        loop {
            let Some(mut after) = self.read_config().await else {
                self.wait_for_watchers().await;
                self.wait_while_watchers_report(MeshCore::take_pending_version_read)
                    .await;
                continue;
            };
            while self.watches_store() {
                let Some(batch) = self.poll_changes(&key, after).await else {
                    break;
                };
                after = batch.revision;
                if !batch.changes.is_empty() {
                    self.activate_newest(batch.changes);
                    sleep(CONFIG_READ_INTERVAL).await;
                    break;
                }
            }
            self.wait_while_watchers_report(MeshCore::take_pending_version_read)
                .await;
        }
    }

    /// Waits until the nodes have registered if the whole fleet starts for the first time; before
    /// that the store has no registrations to read.
    async fn wait_for_fleet(&self) {
        if self.handle.read(|core| core.settings().first_fleet_start) {
            sleep(FLEET_REGISTRATION_TIME).await;
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
    async fn read_config(&self) -> Option<u64> {
        loop {
            let before = self.version_number();
            let key = self.handle.platform_format().config_key().to_owned();
            match self.read(StoreRequest::Read { key }).await {
                Ok((entries, revision)) => {
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

    fn version_number(&self) -> Option<u64> {
        self.handle
            .read(|core| core.active_version().map(|version| version.number))
    }

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
                let Some(batch) = self.poll_changes(NODES_PREFIX, after).await else {
                    break;
                };
                after = batch.revision;
                self.apply_registration_changes(&batch.changes).await;
            }
            self.wait_while_watchers_report(MeshCore::take_pending_registration_read)
                .await;
        }
    }

    /// Applies changes of registrations and sends them to the nodes of the data centre.
    async fn apply_registration_changes(&self, changes: &[KeyChange]) {
        let changes: Vec<RegistrationChange> = changes
            .iter()
            .filter_map(RegistrationChange::from_key)
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

    fn watches_store(&self) -> bool {
        self.handle.read(|core| core.watches_store(Instant::now()))
    }

    /// Waits while the watchers pass on what changes in the store, until `read_pending` returns
    /// that the store must be read nevertheless.
    async fn wait_while_watchers_report<ReadPending>(&self, read_pending: ReadPending)
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
            silent_ms = silent_time.as_millis() as u64,
            version
        );
        self.handle.counters().count("directory.watchers_lost");
    }

    /// Waits after a failure until the watchers' digests have had time to arrive again, so that
    /// not all nodes read the store when it recovers.
    async fn wait_for_watchers(&self) {
        if !self.handle.read(MeshCore::is_watcher) {
            sleep(WATCHER_RECOVERY_TIME).await;
        }
    }

    /// Reads all registrations; returns the store's revision, or `None` after a failure.
    async fn read_registrations(&self) -> Option<u64> {
        let prefix = NODES_PREFIX.to_owned();
        match self.read(StoreRequest::ReadPrefix { prefix }).await {
            Ok((nodes, revision)) => {
                let registrations = nodes
                    .iter()
                    .filter_map(|entry| Some((parse_registration(entry)?, entry.mod_revision)))
                    .collect();
                self.handle
                    .with_core(|core, now| core.on_registrations(registrations, now));
                self.registrations_read.set(true);
                info!(event = "store_read", revision, nodes = nodes.len());
                Some(revision)
            }
            Err(error) => {
                self.wait_before_retry(&error).await;
                None
            }
        }
    }

    /// Polls the store for changes after a revision; returns `None` when some of them may have
    /// been missed, so that everything must be read again.
    async fn poll_changes(&self, prefix: &str, after: u64) -> Option<ChangeBatch> {
        let mut recovery = self.health.subscribe_recovery();
        let request = PollRequest {
            prefix: prefix.to_owned(),
            after,
            wait: POLL_WAIT,
        };
        let polled = tokio::select! {
            polled = self.store.poll(request) => polled,
            _ = recovery.changed() => return None,
        };
        match polled {
            Ok(batch) => {
                info!(
                    event = "store_polled",
                    prefix,
                    after,
                    revision = batch.revision,
                    changes = batch.changes.len()
                );
                self.health.record_success();
                Some(batch)
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
    async fn wait_before_retry(&self, error: &StoreError) {
        let mut recovery = self.health.subscribe_recovery();
        self.health.record_failure(error);
        self.handle
            .with_core(|core, _| core.set_store_failing(true));
        tokio::select! {
            _ = recovery.changed() => {}
            () = sleep(self.health.retry_delay()) => {}
        }
    }

    /// Activates the newest of several versions and skips the others.
    fn activate_newest(&self, changes: Vec<KeyChange>) {
        let newest = changes.into_iter().rev().find_map(|change| match change {
            KeyChange::Written(entry) => Some(entry),
            KeyChange::Deleted { .. } => None,
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

    /// Makes one read call; returns the entries and the store's revision.
    async fn read(&self, request: StoreRequest) -> Result<(Vec<KeyEntry>, u64), StoreError> {
        let reply = self.store.call(request).await?;
        self.health.record_success();
        self.handle
            .with_core(|core, _| core.set_store_failing(false));
        match reply {
            StoreReply::Entries { entries, revision } => Ok((entries, revision)),
            _ => Err(StoreError::Malformed {
                detail: "reply to a read carries no entries".to_owned(),
            }),
        }
    }

    /// Passes the operators' configuration to the node; entries of other keys are ignored.
    fn activate_config(&self, entry: KeyEntry) {
        if entry.key == self.handle.platform_format().config_key() {
            self.handle.apply_config(&Bytes::from(entry.value));
        }
    }
}

/// Parses a node's registration. One that is malformed or belongs to another name is logged and
/// skipped.
pub(crate) fn parse_registration(entry: &KeyEntry) -> Option<NodeRegistration> {
    let name = entry.key.strip_prefix(NODES_PREFIX)?;
    match serde_json::from_str::<NodeRegistration>(&entry.value) {
        Ok(registration) if registration.name == name => Some(registration),
        _ => {
            warn!(event = "node_entry_unreadable", key = %entry.key);
            None
        }
    }
}
