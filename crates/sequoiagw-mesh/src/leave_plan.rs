//! Which requests a node still takes while it leaves, and when the last ones end.

use std::time::Duration;

use tokio::time::Instant;

/// Time since the start of the leave for which every request is taken, like those that were under
/// way when it started.
const FULL_SERVICE_TIME: Duration = Duration::from_secs(1);
/// Latency targets within which a request is expected to end, even at a slow backend server.
const EXPECTED_LATENCY_TARGETS: u32 = 2;
/// Part of the grace period after which a request without an answer gets one from the node. It is in the
/// last sixth: until then a backend server at work may still answer.
const ANSWERS_DUE_PART: f64 = 6.0 / 7.0;
/// Part of the grace period after which the process exits at the latest. Between the two, callers take the
/// replies that are ready.
const EXIT_PART: f64 = 19.0 / 20.0;

/// Start and end of a node's leave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavePlan {
    /// When the leave started.
    pub started: Instant,
    /// When requests that are still running end, so that the replies behind them can be sent.
    pub answers_due: Instant,
    /// When the process exits at the latest.
    pub exits: Instant,
}

impl LeavePlan {
    /// Plans a leave that starts now, within a grace period at whose end the process is killed.
    pub fn new(started: Instant, grace_period: Duration) -> Self {
        Self {
            started,
            answers_due: started + grace_period.mul_f64(ANSWERS_DUE_PART),
            exits: started + grace_period.mul_f64(EXIT_PART),
        }
    }

    /// Time that a request may take, `None` if it can't be expected to end before answers are due, and
    /// has to be refused.
    pub fn admitted_timeout(
        &self,
        timeout: Duration,
        latency_target: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let time_left = self.answers_due.saturating_duration_since(now);
        let expected_time = timeout.min(latency_target * EXPECTED_LATENCY_TARGETS);
        let is_early = now < self.started + FULL_SERVICE_TIME;
        (is_early || expected_time <= time_left).then(|| timeout.min(time_left))
    }
}
