//! Budget of retries, as a share of a service's calls.

/// Retries that may be saved up.
const SAVED_LIMIT: f64 = 10.0;

/// Token bucket fed by calls and drained by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_LIMIT }
    }
}

impl RetryBudget {
    /// Counts a first try, which earns `share` of a retry.
    pub fn earn(&mut self, share: f64) {
        self.saved = (self.saved + share).min(SAVED_LIMIT);
    }

    /// Takes one retry if the budget allows it.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
