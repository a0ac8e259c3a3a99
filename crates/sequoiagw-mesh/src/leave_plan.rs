//! Which requests a node still takes while it leaves.

use std::time::Duration;

use tokio::time::Instant;

/// Time since the start of the leave for which every request is taken, like those that were under
/// way when it started.
const FULL_SERVICE_TIME: Duration = Duration::from_secs(1);
/// Latency targets within which a request is expected to end, even at a slow backend server.
const EXPECTED_LATENCY_TARGETS: u32 = 2;
/// Time before the end of the leave by which replies must be on their way.
const REPLY_MARGIN: Duration = Duration::from_millis(150);

/// Start and end of a node's leave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavePlan {
    /// When the leave started.
    pub started: Instant,
    /// When the process exits at the latest.
    pub ends: Instant,
}

impl LeavePlan {
    /// Time that a request may take, `None` if it can't be expected to end before the process exits,
    /// and has to be refused.
    pub fn admitted_timeout(
        &self,
        timeout: Duration,
        latency_target: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let time_left = self
            .ends
            .saturating_duration_since(now)
            .saturating_sub(REPLY_MARGIN);
        let expected_time = timeout.min(latency_target * EXPECTED_LATENCY_TARGETS);
        let is_early = now < self.started + FULL_SERVICE_TIME;
        (is_early || expected_time <= time_left).then(|| timeout.min(time_left))
    }
}
