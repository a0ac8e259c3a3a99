//! Faults that the store's stand-in can be told to show.

use std::time::Duration;

/// Faults in force.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Refuses every call.
    pub down: bool,
    /// Time each call takes.
    pub delay: Duration,
    /// Share of writes that take effect and whose answer is lost.
    pub lost_answers: f64,
    /// Watches stand but bring nothing.
    pub stalled_watches: bool,
}
