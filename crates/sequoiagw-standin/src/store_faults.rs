//! Faults that can be injected into the store's stand-in.

use std::time::Duration;

/// Currently injected faults.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Whether all calls are refused.
    pub down: bool,
    /// Duration of each call.
    pub delay: Duration,
    /// Fraction of writes that take effect but whose answer is lost, from 0 to 1.
    pub lost_answer_rate: f64,
    /// Whether watches stay open but deliver no updates.
    pub stalled_watches: bool,
}
