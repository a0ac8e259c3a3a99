//! Number of permits that an entry has used lately.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which uses are counted; the uses of the next such period are expected to be as many.
pub(crate) const FORECAST_TIME: Duration = Duration::from_millis(200);
/// Number of parts in which the period moves on.
const PARTS: u64 = 10;

/// Uses in the last 0.2 s, counted in parts of 20 ms.
#[derive(Clone, Debug)]
pub(crate) struct PermitUses {
    counts: [u32; PARTS as usize],
    start: Instant,
    /// Number of the latest part, counted from the start.
    latest: u64,
}

impl PermitUses {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            counts: [0; PARTS as usize],
            start: now,
            latest: 0,
        }
    }

    /// Counts a use.
    pub(crate) fn record(&mut self, now: Instant) {
        self.advance(now);
        let part = (self.latest % PARTS) as usize;
        self.counts[part] = self.counts[part].saturating_add(1);
    }

    /// Uses in the last 0.2 s.
    pub(crate) fn recent(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start).as_millis() as u64;
        let part_time = FORECAST_TIME.as_millis() as u64 / PARTS;
        let current = (elapsed / part_time).max(self.latest);
        let skipped = (current - self.latest).min(PARTS);
        for part in 0..skipped {
            self.counts[((current - part) % PARTS) as usize] = 0;
        }
        self.latest = current;
    }
}
