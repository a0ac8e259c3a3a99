//! Rate limit for the log lines about requests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Average number of lines a second. At 200 bytes a line, the log grows by 40 KB a second.
const LINES_PER_S: f64 = 200.0;
/// Largest number of lines in a burst after a period with few lines.
const BURST_LINES: f64 = 2000.0;

/// Token bucket; a token permits one line.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    updated: Instant,
}

/// Permits lines up to a rate and counts the dropped ones.
///
/// It uses the standard library's clock, not the one of the async runtime, because the logging
/// library calls it outside the runtime.
#[derive(Debug)]
pub struct LineLimiter {
    bucket: Mutex<TokenBucket>,
    dropped: AtomicU64,
}

impl LineLimiter {
    /// Builds a limiter that permits a full burst at once.
    pub fn new(now: Instant) -> Self {
        let bucket = TokenBucket {
            tokens: BURST_LINES,
            updated: now,
        };
        Self {
            bucket: Mutex::new(bucket),
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether another line may be written. A permitted line uses a token, any other one is counted
    /// as dropped.
    pub fn allows(&self, now: Instant) -> bool {
        // The lock is never poisoned, because the code that holds it can't panic.
        let allowed = self.bucket.lock().is_ok_and(|mut bucket| {
            let elapsed = now.saturating_duration_since(bucket.updated);
            bucket.updated = now;
            bucket.tokens = (bucket.tokens + lines_in(elapsed)).min(BURST_LINES);
            let allowed = bucket.tokens >= 1.0;
            if allowed {
                bucket.tokens -= 1.0;
            }
            allowed
        });
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Number of lines that the rate permits in `time`.
fn lines_in(time: Duration) -> f64 {
    time.as_secs_f64() * LINES_PER_S
}
