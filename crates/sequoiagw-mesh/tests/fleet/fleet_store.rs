//! A key-value store in memory that the nodes of a fleet share, and that may be restored from a copy.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_store::CallFuture;
use sequoiagw_store::ChangeBatch;
use sequoiagw_store::EraAnswer;
use sequoiagw_store::KeyChange;
use sequoiagw_store::KeyCondition;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PollFuture;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::number_format::CONFIG_KEY;

/// Time that a call to the store takes.
pub const CALL_TIME: Duration = Duration::from_millis(20);
/// Time after which a call to a store that doesn't answer fails.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the store holds at one revision.
#[derive(Clone, Debug, Default)]
pub struct StoreContent {
    revision: u64,
    entries: BTreeMap<String, KeyEntry>,
    changes: Vec<(u64, KeyChange)>,
    /// Time left and time to live of each lease.
    leases: BTreeMap<LeaseId, (Duration, Duration)>,
    last_lease: u64,
}

impl StoreContent {
    fn put(&mut self, key: &str, value: String, lease: Option<LeaseId>) {
        self.revision += 1;
        let entry = KeyEntry {
            key: key.to_owned(),
            value,
            create_revision: self.revision,
            mod_revision: self.revision,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        let change = KeyChange::Written(entry);
        self.changes.push((self.revision, change));
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let entries = self.entries.values();
        let attached = entries.filter(|entry| entry.lease == Some(lease));
        let keys: Vec<String> = attached.map(|entry| entry.key.clone()).collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.entries.remove(&key);
            self.changes
                .push((revision, KeyChange::Deleted { key, revision }));
        }
    }

    fn commit(&mut self, puts: Vec<PutEntry>) -> Result<StoreReply, StoreError> {
        for put in puts {
            if let Some(lease) = put.lease.filter(|lease| !self.leases.contains_key(lease)) {
                return Err(StoreError::LeaseLapsed { lease: lease.0 });
            }
            self.put(&put.key, put.value, put.lease);
        }
        Ok(StoreReply::Committed {
            applied: true,
            revision: self.revision,
        })
    }

    fn holds(&self, condition: &KeyCondition) -> bool {
        match condition {
            KeyCondition::Absent(key) => !self.entries.contains_key(key),
            KeyCondition::Unchanged(key, revision) => {
                let entry = self.entries.get(key);
                entry.is_some_and(|entry| entry.mod_revision == *revision)
            }
        }
    }

    fn execute(&mut self, request: StoreRequest) -> Result<StoreReply, StoreError> {
        let revision = self.revision;
        Ok(match request {
            StoreRequest::Read { key } => StoreReply::Entries {
                entries: self.entries.get(&key).cloned().into_iter().collect(),
                revision,
            },
            StoreRequest::ReadPrefix { prefix } => {
                let entries = self.entries.values();
                let matching = entries.filter(|entry| entry.key.starts_with(&prefix));
                StoreReply::Entries {
                    entries: matching.cloned().collect(),
                    revision,
                }
            }
            StoreRequest::Commit {
                conditions, puts, ..
            } => {
                if !conditions.iter().all(|condition| self.holds(condition)) {
                    return Ok(StoreReply::Committed {
                        applied: false,
                        revision: 0,
                    });
                }
                self.commit(puts)?
            }
            StoreRequest::Grant { ttl_s } => {
                self.last_lease += 1;
                let lease = LeaseId(self.last_lease);
                let ttl = Duration::from_secs(ttl_s);
                self.leases.insert(lease, (ttl, ttl));
                StoreReply::Leased { lease, ttl_s }
            }
            StoreRequest::KeepAlive { lease } => {
                let kept = self.leases.get_mut(&lease);
                let (left, ttl) = kept.ok_or(StoreError::LeaseLapsed { lease: lease.0 })?;
                *left = *ttl;
                StoreReply::Leased {
                    lease,
                    ttl_s: ttl.as_secs(),
                }
            }
            StoreRequest::Revoke { lease } => {
                self.end_lease(lease);
                StoreReply::Revoked
            }
            StoreRequest::CreateEach { .. } => StoreReply::Created {
                existing_entries: Vec::new(),
            },
        })
    }

    /// Changes after a revision to the keys with a prefix; `None` if the store doesn't have that
    /// revision.
    fn changes_after(&self, prefix: &str, after: u64) -> Option<Vec<KeyChange>> {
        let key = |change: &KeyChange| match change {
            KeyChange::Written(entry) => entry.key.clone(),
            KeyChange::Deleted { key, .. } => key.clone(),
        };
        let later = self
            .changes
            .iter()
            .filter(|(revision, _)| *revision > after);
        let matching = later.filter(|(_, change)| key(change).starts_with(prefix));
        (after <= self.revision).then(|| matching.map(|(_, change)| change.clone()).collect())
    }
}

/// What becomes of the polls that wait at the store when it is restored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitingPolls {
    /// They fail.
    Cut,
    /// They are never answered.
    Lost,
    /// They go on waiting for changes after their revision.
    Kept,
}

/// The store of a fleet. Clones share their content.
#[derive(Clone)]
pub struct FleetStore {
    content: Rc<RefCell<StoreContent>>,
    era: Rc<Cell<u64>>,
    waiting_polls: Rc<Cell<WaitingPolls>>,
    /// Number of times that the connections of waiting polls went silent.
    silences: Rc<Cell<u64>>,
    /// Changes with each change of the content.
    changed: Rc<watch::Sender<()>>,
}

impl FleetStore {
    /// Starts a store with a configuration.
    pub fn start(version: u64) -> Self {
        let store = Self {
            content: Rc::default(),
            era: Rc::default(),
            waiting_polls: Rc::new(Cell::new(WaitingPolls::Cut)),
            silences: Rc::default(),
            changed: Rc::new(watch::channel(()).0),
        };
        store.write_config(version);
        tokio::task::spawn_local(store.clone().expire_leases());
        store
    }

    /// Writes a configuration, as the operators do.
    pub fn write_config(&self, version: u64) {
        self.put(CONFIG_KEY, version.to_string());
    }

    /// Writes a key without a lease.
    pub fn put(&self, key: &str, value: String) {
        self.content.borrow_mut().put(key, value, None);
        self.changed.send_replace(());
    }

    /// Writes a key under a lease of an hour.
    pub fn put_leased(&self, key: &str, value: String) {
        let mut content = self.content.borrow_mut();
        content.last_lease += 1;
        let lease = LeaseId(content.last_lease);
        let ttl = Duration::from_secs(3600);
        content.leases.insert(lease, (ttl, ttl));
        content.put(key, value, Some(lease));
        drop(content);
        self.changed.send_replace(());
    }

    /// Value of a key, `None` if it doesn't exist.
    pub fn value(&self, key: &str) -> Option<String> {
        let content = self.content.borrow();
        content.entries.get(key).map(|entry| entry.value.clone())
    }

    /// Entry of a key, `None` if it doesn't exist.
    pub fn entry(&self, key: &str) -> Option<KeyEntry> {
        self.content.borrow().entries.get(key).cloned()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.content.borrow().revision
    }

    /// Copy of the content.
    pub fn copy(&self) -> StoreContent {
        self.content.borrow().clone()
    }

    /// Replaces the content by an older copy, which begins a new era.
    pub fn restore(&self, copy: StoreContent, waiting_polls: WaitingPolls) {
        *self.content.borrow_mut() = copy;
        self.era.set(self.era.get() + 1);
        self.waiting_polls.set(waiting_polls);
        self.changed.send_replace(());
    }

    /// Lets the connections of all waiting polls go silent for good. Other calls and new polls are
    /// answered.
    pub fn silence_waiting_polls(&self) {
        self.silences.set(self.silences.get() + 1);
    }

    async fn expire_leases(self) {
        loop {
            sleep(LEASE_CHECK_INTERVAL).await;
            let expired: Vec<LeaseId> = {
                let leases = &mut self.content.borrow_mut().leases;
                for (left, _) in leases.values_mut() {
                    *left = left.saturating_sub(LEASE_CHECK_INTERVAL);
                }
                let expired = leases.iter().filter(|(_, (left, _))| left.is_zero());
                expired.map(|(lease, _)| *lease).collect()
            };
            for lease in expired {
                self.content.borrow_mut().end_lease(lease);
                self.changed.send_replace(());
            }
        }
    }

    fn answer<Answer>(&self, answer: Answer) -> EraAnswer<Answer> {
        EraAnswer {
            era: StoreEra(self.era.get()),
            answer,
        }
    }

    async fn poll_changes(
        &self,
        request: &PollRequest,
    ) -> Result<EraAnswer<ChangeBatch>, StoreError> {
        let mut changed = self.changed.subscribe();
        let era = self.era.get();
        let silences = self.silences.get();
        let deadline = Instant::now() + request.wait;
        loop {
            if self.silences.get() != silences {
                sleep_until(deadline + CALL_TIMEOUT).await;
                return Err(no_answer());
            }
            if self.era.get() != era {
                match self.waiting_polls.get() {
                    WaitingPolls::Cut => return Err(no_answer()),
                    WaitingPolls::Lost => std::future::pending().await,
                    WaitingPolls::Kept => {}
                }
            }
            let batch = {
                let content = self.content.borrow();
                let found = content.changes_after(&request.prefix, request.after);
                ChangeBatch {
                    changes: found.ok_or(StoreError::Compacted { oldest: 0 })?,
                    revision: content.revision,
                }
            };
            if !batch.changes.is_empty() || Instant::now() >= deadline {
                return Ok(self.answer(batch));
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            // Without a change the time is over, and the next round answers.
            let _ = timeout(time_left, changed.changed()).await;
        }
    }
}

/// One node's access to the store.
#[derive(Clone)]
pub struct NodeStore {
    store: FleetStore,
    /// Whether the store answers nothing that this node sends.
    cut: Rc<Cell<bool>>,
    /// Whether the answers to this node's writes are lost.
    loses_answers: Rc<Cell<bool>>,
}

impl NodeStore {
    /// Access of one node.
    pub fn new(store: &FleetStore) -> Self {
        Self {
            store: store.clone(),
            cut: Rc::default(),
            loses_answers: Rc::default(),
        }
    }

    /// Cuts the node off from the store, or ends that.
    pub fn set_cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// Loses the answers to writes, which the store applies, or ends that.
    pub fn set_loses_answers(&self, loses_answers: bool) {
        self.loses_answers.set(loses_answers);
    }

    async fn wait_if_cut(&self) -> Result<(), StoreError> {
        if self.cut.get() {
            sleep(CALL_TIMEOUT).await;
            return Err(no_answer());
        }
        Ok(())
    }
}

impl PollingStore for NodeStore {
    fn call(&self, request: StoreRequest) -> CallFuture {
        let access = self.clone();
        Box::pin(async move {
            access.wait_if_cut().await?;
            sleep(CALL_TIME / 2).await;
            let changes_content = matches!(
                request,
                StoreRequest::Commit { .. } | StoreRequest::Revoke { .. }
            );
            let reply = access.store.content.borrow_mut().execute(request)?;
            let answered = access.store.answer(reply);
            if changes_content {
                access.store.changed.send_replace(());
            }
            if changes_content && access.loses_answers.get() {
                sleep(CALL_TIMEOUT).await;
                return Err(no_answer());
            }
            sleep(CALL_TIME / 2).await;
            Ok(answered)
        })
    }

    fn poll(&self, request: PollRequest) -> PollFuture {
        let access = self.clone();
        Box::pin(async move {
            access.wait_if_cut().await?;
            let answered = access.store.poll_changes(&request).await;
            if access.cut.get() {
                // A poll that waits while the node is cut off is never answered.
                sleep(request.wait).await;
                return Err(no_answer());
            }
            answered
        })
    }
}

fn no_answer() -> StoreError {
    StoreError::Unavailable {
        detail: "no answer".to_owned(),
    }
}
