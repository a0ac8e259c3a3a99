//! Bounds of a deployment on roll-outs.

use std::time::Duration;

/// Bounds of a deployment on what a bad version may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Share (0 to 1) of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Number of requests that a bad version may get beyond [`Self::exposure_share`].
    pub exposure_tolerance: f64,
    /// Time after the 50th bad response from which a bad version gets no request.
    pub rollback_timeout: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_tolerance: 50.0,
            rollback_timeout: Duration::from_secs(5),
        }
    }
}
