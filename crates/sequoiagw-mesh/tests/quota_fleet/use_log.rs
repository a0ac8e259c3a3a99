//! What the callers of a workspace got, and when permits were used.

use std::time::Duration;

use tokio::time::Instant;

/// Time window of a quota.
const WINDOW: Duration = Duration::from_secs(5);

/// Outcomes of a workspace's requests.
#[derive(Clone, Debug, Default)]
pub struct UseLog {
    /// Times at which permits were used, in order.
    pub allowed: Vec<Instant>,
    /// Times of refusals because the quota is used up.
    pub refused: Vec<Instant>,
    /// Times of refusals because no counter answered.
    pub unavailable: Vec<Instant>,
    /// Waits of the callers that were allowed.
    pub waits: Vec<Duration>,
}

impl UseLog {
    /// Largest number of permits that were used in any window.
    pub fn most_in_window(&self) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (last, used) in self.allowed.iter().enumerate() {
            while self.allowed[first] + WINDOW <= *used {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Part of the requests that were refused because the quota is used up.
    pub fn refused_share(&self) -> f64 {
        self.refused.len() as f64 / self.total().max(1) as f64
    }

    /// Number of requests.
    pub fn total(&self) -> usize {
        self.allowed.len() + self.refused.len() + self.unavailable.len()
    }

    /// Longest wait of a caller that was allowed.
    pub fn longest_wait(&self) -> Duration {
        self.waits.iter().max().copied().unwrap_or_default()
    }

    /// Permits used from a time on.
    pub fn allowed_since(&self, start: Instant) -> usize {
        self.allowed.iter().filter(|used| **used >= start).count()
    }
}
