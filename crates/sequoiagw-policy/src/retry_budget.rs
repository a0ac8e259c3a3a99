//! Budget of retries, as a share of a service's calls.

/// Token bucket fed by calls and drained by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Self::DEFAULT_CAPACITY)
    }
}

impl RetryBudget {
    /// Retries that may be saved up unless said otherwise.
    pub const DEFAULT_CAPACITY: f64 = 10.0;

    /// Starts with all retries that may be saved up.
    pub fn new(capacity: f64) -> Self {
        Self {
            tokens: capacity,
            capacity,
        }
    }

    /// Changes how many retries may be saved up.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Counts a first try, which earns `share` of a retry.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.capacity.max(1.0));
    }

    /// Takes one retry if the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
