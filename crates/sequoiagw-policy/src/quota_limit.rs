//! Limit on the requests of a workspace.

/// Rate and burst of a workspace's requests, summed over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second; finite and above 0.
    pub rate_per_s: f64,
    /// Requests beyond the rate that are accepted at once; finite and at least 0.
    pub burst: f64,
}

impl QuotaLimit {
    /// Builds a limit; `None` if the rate is 0, negative or not a finite number, which all stand
    /// for no limit. A burst that isn't a positive finite number becomes 0.
    pub fn new(rate_per_s: f64, burst: f64) -> Option<Self> {
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        is_positive(rate_per_s).then(|| Self {
            rate_per_s,
            burst: if is_positive(burst) { burst } else { 0.0 },
        })
    }
}
