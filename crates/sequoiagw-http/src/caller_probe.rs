//! Tells callers that have ended only their sending side from callers that have left.

use std::time::Duration;

use tokio::time::Instant;

/// Time from the first probe to the second one. It doubles with each further probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Schedule of the probes of a caller whose input has ended while its requests run.
///
/// Such a caller either has no further requests or has closed the connection, which looks the same. A probe
/// is an interim response. The host of a caller that has left answers it with a reset, and the next write
/// fails.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerProbe {
    next_time: Instant,
    interval: Duration,
}

impl CallerProbe {
    /// Schedules the first probe for now.
    pub(crate) fn start() -> Self {
        Self {
            next_time: Instant::now(),
            interval: FIRST_PROBE_INTERVAL,
        }
    }

    /// Waits until the next probe is due, and schedules the one after it.
    pub(crate) async fn due(&mut self) {
        tokio::time::sleep_until(self.next_time).await;
        self.next_time = Instant::now() + self.interval;
        self.interval *= 2;
    }
}
