//! Bound on the lines about requests that a process logs.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines about requests a second, on average. At 200 bytes a line that is 40 KB a second.
const LINES_PER_S: f64 = 200.0;
/// Lines that may come at once after a quiet time.
const BURST: f64 = 2000.0;

#[derive(Debug)]
struct LineBudget {
    left: f64,
    updated: Instant,
}

/// Lets lines through up to a rate and counts the others.
///
/// It reads the machine's clock itself: it is called from within the logging library, which
/// knows nothing of the runtime's clock.
#[derive(Debug)]
pub struct LineLimiter {
    budget: Mutex<LineBudget>,
    dropped: AtomicU64,
}

impl LineLimiter {
    /// Starts with a whole burst.
    pub fn new(now: Instant) -> Self {
        let budget = LineBudget {
            left: BURST,
            updated: now,
        };
        Self {
            budget: Mutex::new(budget),
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether one more line may be written.
    pub fn allows(&self, now: Instant) -> bool {
        // Nothing in here panics, so the lock is never poisoned.
        let allowed = self.budget.lock().is_ok_and(|mut budget| {
            let passed = now.saturating_duration_since(budget.updated);
            budget.updated = now;
            budget.left = (budget.left + lines_in(passed)).min(BURST);
            let allowed = budget.left >= 1.0;
            if allowed {
                budget.left -= 1.0;
            }
            allowed
        });
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Lines that weren't let through so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn lines_in(time: Duration) -> f64 {
    time.as_secs_f64() * LINES_PER_S
}
