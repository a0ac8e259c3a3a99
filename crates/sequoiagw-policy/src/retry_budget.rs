//! Budget of retries, as a share of a service's calls.

/// Token bucket fed by calls and drained by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
    limit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Self::SAVED_LIMIT)
    }
}

impl RetryBudget {
    /// Retries that may be saved up unless said otherwise.
    pub const SAVED_LIMIT: f64 = 10.0;

    /// Starts with all retries that may be saved up.
    pub fn new(limit: f64) -> Self {
        Self {
            saved: limit,
            limit,
        }
    }

    /// Changes how many retries may be saved up.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
        self.saved = self.saved.min(limit);
    }

    /// Counts a first try, which earns `share` of a retry.
    pub fn earn(&mut self, share: f64) {
        self.saved = (self.saved + share).min(self.limit.max(1.0));
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
