//! Retry budget: limits the retries of a service to a ratio of its calls.

/// Token bucket to which calls add and from which retries take.
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
    /// Capacity unless configured otherwise.
    pub const DEFAULT_CAPACITY: f64 = 10.0;

    /// Creates a full bucket with a capacity in retries.
    pub fn new(capacity: f64) -> Self {
        Self {
            tokens: capacity,
            capacity,
        }
    }

    /// Changes the capacity and drops the tokens above it.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds `ratio` tokens for a new call, up to the capacity. A capacity below one token counts as
    /// one here.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.capacity.max(1.0));
    }

    /// Takes one token for a retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
