//! Whether the platform's store answers this node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_node::CounterBoard;
use sequoiagw_store::StoreError;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

/// Time for which calls have to have failed before they are made less often.
const FIRST_FAILURES: Duration = Duration::from_secs(1);
/// Pause after one of the first failures.
const SHORT_PAUSE: Duration = Duration::from_millis(300);
/// Pause while calls go on failing; the renewals of the lease are tried more often.
const LONG_PAUSE: Duration = Duration::from_secs(8);

/// What the calls to the store have shown; clones share it.
#[derive(Clone)]
pub struct StoreHealth {
    failing: Rc<Cell<Option<Instant>>>,
    regained: Rc<watch::Sender<u64>>,
    counters: CounterBoard,
}

impl StoreHealth {
    /// Starts with a store that answers.
    pub fn new(counters: CounterBoard) -> Self {
        let (regained, _) = watch::channel(0);
        Self {
            failing: Rc::default(),
            regained: Rc::new(regained),
            counters,
        }
    }

    /// Notes a failed call; only the first one in a row is logged.
    pub fn record_failure(&self, error: &StoreError) {
        self.counters.count("store.failed");
        if self.failing.get().is_none() {
            warn!(event = "store_lost", error = %error);
            self.failing.set(Some(Instant::now()));
        }
    }

    /// Notes an answer. The first one after a failure is told to [`Self::subscribe_recovery`].
    pub fn record_success(&self) {
        let Some(since) = self.failing.take() else {
            return;
        };
        let silent_ms = since.elapsed().as_millis() as u64;
        info!(event = "store_regained", silent_ms);
        self.regained.send_modify(|count| *count += 1);
    }

    /// Since when calls have failed.
    pub fn failing_since(&self) -> Option<Instant> {
        self.failing.get()
    }

    /// Pause before a failed call is made again: short after a single failure, which may be
    /// one connection's, and longer while calls go on failing.
    pub fn retry_delay(&self) -> Duration {
        let failing = self.failing.get().map(|since| since.elapsed());
        if failing.is_some_and(|time| time > FIRST_FAILURES) {
            LONG_PAUSE
        } else {
            SHORT_PAUSE
        }
    }

    /// Changes each time the store answers again. A question that was waiting at the store
    /// through an outage may never be answered and has to be asked anew.
    pub fn subscribe_recovery(&self) -> watch::Receiver<u64> {
        self.regained.subscribe()
    }
}
