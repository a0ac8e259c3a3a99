//! Health of this node's access to the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_node::NodeCounters;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

/// Time for which calls must have failed before they are retried less often.
const FAST_RETRY_TIME: Duration = Duration::from_secs(1);
/// Retry delay during the first [`FAST_RETRY_TIME`] of failing calls.
const SHORT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retry delay after [`FAST_RETRY_TIME`]. Renewals of the lease are still retried more often and
/// show when the store recovers.
const LONG_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Results of the calls to the store; clones share them.
#[derive(Clone)]
pub struct StoreHealth {
    failing_since: Rc<Cell<Option<Instant>>>,
    /// Latest era of the store that an answer named, `None` before the first answer.
    era: Rc<Cell<Option<StoreEra>>>,
    recoveries: Rc<watch::Sender<u64>>,
    failures: Rc<Notify>,
    counters: NodeCounters,
}

impl StoreHealth {
    /// Creates the state for a store whose calls succeed.
    pub fn new(counters: NodeCounters) -> Self {
        let (recoveries, _) = watch::channel(0);
        Self {
            failing_since: Rc::default(),
            era: Rc::default(),
            recoveries: Rc::new(recoveries),
            failures: Rc::default(),
            counters,
        }
    }

    /// Records a failed call; only the first of successive failures is logged.
    pub fn record_failure(&self, error: &StoreError) {
        self.counters.count("store.failed");
        if self.failing_since.get().is_none() {
            warn!(event = "store_lost", error = %error);
            self.failing_since.set(Some(Instant::now()));
            self.failures.notify_waiters();
        }
    }

    /// Records a successful call and the era of its answer. The first success after a failure, and
    /// the first one of a later era, notify the receivers from [`Self::subscribe_recovery`].
    ///
    /// Errors: the answer is of an earlier era than the latest one.
    pub fn record_success(&self, era: StoreEra) -> Result<(), StoreError> {
        let is_restored = self.record_era(era)?;
        let failing_since = self.failing_since.take();
        if let Some(since) = failing_since {
            let silent_ms = since.elapsed().as_millis() as u64;
            info!(event = "store_regained", silent_ms);
        }
        if is_restored || failing_since.is_some() {
            self.recoveries.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Records the era of an answer; returns whether it is later than that of all answers before.
    fn record_era(&self, era: StoreEra) -> Result<bool, StoreError> {
        let latest = self.era.get().unwrap_or(era);
        if era < latest {
            self.counters.count("store.superseded");
            return Err(StoreError::Superseded { era, latest });
        }
        self.era.set(Some(era));
        if era > latest {
            warn!(event = "store_restored", era = %era, before = %latest);
            self.counters.count("store.restored");
        }
        Ok(era > latest)
    }

    /// Latest era of the store that an answer named; the first one before any answer.
    pub fn era(&self) -> StoreEra {
        self.era.get().unwrap_or_default()
    }

    /// Time since which calls have failed, `None` if the last call succeeded.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing_since.get()
    }

    /// Delay before a failed call is retried: short at first, since a single failure may concern
    /// one connection only, and longer while calls continue to fail.
    pub fn retry_delay(&self) -> Duration {
        let failing_time = self.failing_since.get().map(|since| since.elapsed());
        if failing_time.is_some_and(|time| time > FAST_RETRY_TIME) {
            LONG_RETRY_DELAY
        } else {
            SHORT_RETRY_DELAY
        }
    }

    /// Waits for the next failure after a successful call.
    pub async fn wait_for_failure(&self) {
        self.failures.notified().await;
    }

    /// Receiver whose value changes each time the store recovers or comes back from an older copy. A
    /// poll that was waiting at the store meanwhile may never be answered, or miss changes.
    pub fn subscribe_recovery(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }
}
