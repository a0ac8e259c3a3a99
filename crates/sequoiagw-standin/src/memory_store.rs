//! The in-memory stand-in of the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreFuture;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchReceiver;
use sequoiagw_store::WatchSender;
use sequoiagw_store::WatchUpdate;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::StoreFaults;
use crate::StoreState;

/// Maximum number of undelivered updates of a watch.
const WATCH_CHANNEL_CAPACITY: usize = 64;
/// Time after which a client's call fails with a timeout.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);

struct StoreShared {
    state: Mutex<StoreState>,
    faults: Mutex<StoreFaults>,
    rng: Mutex<ChaCha8Rng>,
    revision: watch::Sender<u64>,
}

/// An in-memory store; clones share its data and the state of the client.
#[derive(Clone)]
pub struct MemoryStore {
    shared: Arc<StoreShared>,
    /// Whether this client is disconnected from the store.
    disconnected: Arc<Mutex<bool>>,
}

fn lock<Guarded>(mutex: &Mutex<Guarded>) -> MutexGuard<'_, Guarded> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryStore {
    /// Builds an empty store.
    pub fn new(seed: u64) -> Self {
        let (revision, _) = watch::channel(0);
        let shared = StoreShared {
            state: Mutex::default(),
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            revision,
        };
        Self {
            shared: Arc::new(shared),
            disconnected: Arc::default(),
        }
    }

    /// Returns a client of the same store that can be disconnected separately.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            disconnected: Arc::default(),
        }
    }

    /// Disconnects this client from the store, or reconnects it.
    pub fn set_disconnected(&self, disconnected: bool) {
        *lock(&self.disconnected) = disconnected;
        self.wake_watches();
    }

    /// Changes the injected faults.
    pub fn set_faults<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut StoreFaults),
    {
        change(&mut lock(&self.shared.faults));
        self.wake_watches();
    }

    /// Reads or changes the state directly, and returns the result of `action`.
    pub fn with_state<Action, Output>(&self, action: Action) -> Output
    where
        Action: FnOnce(&mut StoreState) -> Output,
    {
        let output = action(&mut lock(&self.shared.state));
        self.wake_watches();
        output
    }

    /// Number of calls so far, by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.shared.state).counts().clone()
    }

    /// Executes one call without delay.
    ///
    /// Errors: the store is down, this client is disconnected, the answer is lost, or the store
    /// refuses the call.
    pub fn apply(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        if self.is_down() {
            return Err(unavailable("the store is down"));
        }
        let reply = self.with_state(|state| state.apply(request, Instant::now()));
        let lost_answer_rate = lock(&self.shared.faults).lost_answer_rate;
        let is_write = request.kind() == "txn";
        if is_write
            && lost_answer_rate > 0.0
            && lock(&self.shared.rng).random_bool(lost_answer_rate)
        {
            return Err(unavailable("the answer was lost"));
        }
        reply
    }

    /// Current duration of each call.
    pub fn delay(&self) -> Duration {
        lock(&self.shared.faults).delay
    }

    /// Whether the store is down or this client is disconnected.
    pub fn is_down(&self) -> bool {
        lock(&self.shared.faults).down || *lock(&self.disconnected)
    }

    fn wake_watches(&self) {
        let revision = lock(&self.shared.state).revision();
        self.shared.revision.send_replace(revision);
    }

    /// Sends the updates of a key to a watch until the watch fails or its receiver is dropped.
    pub async fn run_watch(self, key: String, from_revision: u64, sender: WatchSender) {
        lock(&self.shared.state).count("watch");
        let mut revisions = self.shared.revision.subscribe();
        let mut next_revision = from_revision.max(1);
        if sender.send(Ok(WatchUpdate::Started)).await.is_err() {
            return;
        }
        loop {
            if self.is_down() {
                let _ = sender
                    .send(Err(unavailable("the watch was interrupted")))
                    .await;
                return;
            }
            let is_stalled = lock(&self.shared.faults).stalled_watches;
            let changes = lock(&self.shared.state).changes_from(&key, next_revision);
            match changes {
                Ok((updates, following_revision)) if !is_stalled => {
                    next_revision = following_revision;
                    for update in updates {
                        if sender.send(Ok(update)).await.is_err() {
                            return;
                        }
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            }
            tokio::select! {
                biased;
                wake_result = revisions.changed() => if wake_result.is_err() {
                    return;
                },
                () = sender.closed() => return,
            }
        }
    }
}

impl PlatformStore for MemoryStore {
    fn call(&self, request: StoreRequest) -> StoreFuture {
        let store = self.clone();
        Box::pin(async move {
            let delay = store.delay();
            if delay > CLIENT_TIMEOUT {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                // The store executes the call even though its client has timed out.
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(delay.saturating_sub(CLIENT_TIMEOUT)).await;
                    let _ = store.apply(&request);
                });
                return Err(unavailable("timeout"));
            }
            tokio::time::sleep(delay / 2).await;
            let reply = store.apply(&request);
            tokio::time::sleep(delay / 2).await;
            reply
        })
    }

    fn watch(&self, key: &str, from_revision: u64) -> WatchReceiver {
        let (sender, receiver) = mpsc::channel(WATCH_CHANNEL_CAPACITY);
        tokio::task::spawn_local(
            self.clone()
                .run_watch(key.to_owned(), from_revision, sender),
        );
        receiver
    }
}

fn unavailable(detail: &str) -> StoreError {
    StoreError::Unavailable {
        detail: detail.to_owned(),
    }
}
