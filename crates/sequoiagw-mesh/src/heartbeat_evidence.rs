//! Whether the heartbeats of an incarnation show that it is running.

use std::time::Duration;

use tokio::time::Instant;

/// Part of the heartbeat interval that lies between two heartbeats at least, one of which wasn't delayed.
const MIN_SPACING: f64 = 0.5;

/// Heartbeats of one incarnation, each with a higher sequence number than the one before.
///
/// One heartbeat shows nothing: it may have been delayed and arrive after the incarnation has left or
/// ended. Heartbeats that were held up together arrive together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeartbeatEvidence {
    first: Option<Instant>,
    is_sufficient: bool,
}

impl HeartbeatEvidence {
    /// Adds a heartbeat that arrived now.
    pub(crate) fn add(&mut self, now: Instant, interval: Duration) {
        let first = *self.first.get_or_insert(now);
        self.is_sufficient |= now >= first + interval.mul_f64(MIN_SPACING);
    }

    /// Whether the heartbeats show that the incarnation is running.
    pub(crate) fn is_sufficient(&self) -> bool {
        self.is_sufficient
    }
}
