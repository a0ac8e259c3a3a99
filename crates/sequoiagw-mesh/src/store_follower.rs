//! Follows the operators' configuration and the nodes' entries in the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_store::KeyChange;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::sleep;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::MeshHandle;
use crate::NodeEntry;

/// Beginning of the keys of nodes' entries.
pub const NODES_PREFIX: &str = "sequoiagw/nodes/";

/// Time for which the store may hold a question for changes.
const POLL_WAIT: Duration = Duration::from_secs(10);
/// Pause after changes, so that changes that come together are read together.
const BATCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Time without word from the store after which peers are asked for the configuration.
const SILENCE_TIME: Duration = Duration::from_millis(1500);
/// Time between two such questions.
const ASK_PERIOD: Duration = Duration::from_secs(1);

/// Follower of one store.
#[derive(Clone)]
pub struct StoreFollower {
    handle: MeshHandle,
    store: Rc<dyn PollingStore>,
    /// Since when calls to the store have failed.
    failing: Rc<Cell<Option<Instant>>>,
}

impl StoreFollower {
    /// Builds a follower that tells `handle` what the store holds.
    pub fn new(handle: MeshHandle, store: Rc<dyn PollingStore>) -> Self {
        Self {
            handle,
            store,
            failing: Rc::default(),
        }
    }

    /// Follows the store for good: reads everything, then asks for changes until some of
    /// them were missed.
    pub async fn run(self) {
        loop {
            match self.follow().await {
                Ok(()) => info!(event = "store_history_lost"),
                Err(error) => {
                    self.failed(&error);
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Asks peers for the configuration while the store is silent.
    pub async fn ask_peers(self) {
        loop {
            sleep(ASK_PERIOD).await;
            let silent = self.failing.get().is_some_and(|since| since.elapsed() > SILENCE_TIME);
            if silent {
                self.handle.with_core(|core, now| core.ask_for_config(now));
            }
        }
    }

    /// Reads everything and follows it until history is missing.
    async fn follow(&self) -> Result<(), StoreError> {
        let config = self.handle.wire().config_key().to_owned();
        let (configs, revision) = self.read(StoreRequest::Read { key: config }).await?;
        for entry in configs {
            self.take_entry(entry);
        }
        let prefix = NODES_PREFIX.to_owned();
        let (nodes, _) = self.read(StoreRequest::ReadPrefix { prefix }).await?;
        let entries = nodes.iter().filter_map(read_node).collect();
        self.handle
            .with_core(|core, now| core.on_entries(entries, now));
        info!(event = "store_read", revision, nodes = nodes.len());
        self.follow_from(revision).await
    }

    async fn follow_from(&self, revision: u64) -> Result<(), StoreError> {
        let mut after = revision;
        loop {
            let request = PollRequest {
                prefix: String::new(),
                after,
                wait: POLL_WAIT,
            };
            match self.store.poll(request).await {
                Ok(batch) => {
                    self.heard();
                    after = batch.revision;
                    let any = !batch.changes.is_empty();
                    for change in batch.changes {
                        self.take_change(change);
                    }
                    if any {
                        sleep(BATCH_PAUSE).await;
                    }
                }
                Err(StoreError::Compacted { .. }) => return Ok(()),
                Err(error) => {
                    self.failed(&error);
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    async fn read(&self, request: StoreRequest) -> Result<(Vec<KeyEntry>, u64), StoreError> {
        let reply = self.store.call(request).await?;
        self.heard();
        match reply {
            StoreReply::Entries { entries, revision } => Ok((entries, revision)),
            _ => Err(StoreError::Malformed {
                detail: "a read brought no entries".to_owned(),
            }),
        }
    }

    /// Notes a failed call; only the first one in a row is logged.
    fn failed(&self, error: &StoreError) {
        if self.failing.get().is_none() {
            warn!(event = "store_lost", error = %error);
            self.failing.set(Some(Instant::now()));
        }
        self.handle.counters().count("store.failed");
    }

    fn heard(&self) {
        if let Some(since) = self.failing.get() {
            let silent_ms = since.elapsed().as_millis();
            info!(event = "store_regained", silent_ms);
        }
        self.failing.set(None);
    }

    fn take_change(&self, change: KeyChange) {
        match change {
            KeyChange::Written(entry) => self.take_entry(entry),
            KeyChange::Deleted { key, .. } => {
                if let Some(name) = key.strip_prefix(NODES_PREFIX) {
                    self.handle
                        .with_core(|core, now| core.on_entry_gone(name, now));
                    if self.handle.read(|core| core.settings().name == name) {
                        self.handle.entry_changed().notify_one();
                    }
                }
            }
        }
    }

    fn take_entry(&self, entry: KeyEntry) {
        if entry.key == self.handle.wire().config_key() {
            self.handle.take_config(&Bytes::from(entry.value));
        } else if let Some(node) = read_node(&entry) {
            self.handle.with_core(|core, now| core.on_entry(node, now));
        }
    }
}

fn read_node(entry: &KeyEntry) -> Option<NodeEntry> {
    let name = entry.key.strip_prefix(NODES_PREFIX)?;
    match serde_json::from_str::<NodeEntry>(&entry.value) {
        Ok(node) if node.name == name => Some(node),
        _ => {
            warn!(event = "node_entry_unreadable", key = %entry.key);
            None
        }
    }
}
