//! Bound on the records that a node sends to keep tables equal.

use tokio::time::Instant;

/// Records that may be sent at once after a quiet time.
const BURST_RECORDS: f64 = 8192.0;
/// Records that may be sent in each second.
const RECORDS_PER_S: f64 = 512.0;

/// Token bucket of records.
///
/// Serves tables that are full at every node and stay different: their nodes would send each other
/// whole tables all the time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordBudget {
    left: f64,
    updated_at: Option<Instant>,
}

impl Default for RecordBudget {
    fn default() -> Self {
        Self {
            left: BURST_RECORDS,
            updated_at: None,
        }
    }
}

impl RecordBudget {
    /// Takes a number of records; returns whether they may be sent.
    pub(crate) fn take(&mut self, records: usize, now: Instant) -> bool {
        let since = self.updated_at.replace(now).unwrap_or(now);
        let earned = now.saturating_duration_since(since).as_secs_f64() * RECORDS_PER_S;
        self.left = (self.left + earned).min(BURST_RECORDS);
        let records = records as f64;
        let is_allowed = records <= self.left;
        if is_allowed {
            self.left -= records;
        }
        is_allowed
    }
}
