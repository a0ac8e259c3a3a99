//! Concurrency limit of a target, from the announced slots and observed load shedding.

use std::time::Duration;

use tokio::time::Instant;

use crate::SlotRule;

/// Fraction of the announced slots with which a cold backend server starts.
const COLD_START_FRACTION: f64 = 0.25;
/// Factor applied to the limit after the backend server shed a call.
const SHED_FACTOR: f64 = 0.8;
/// Minimum time between two reductions, so that a burst of shed calls counts once.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Concurrency limit of one target.
///
/// The limit starts low and grows by one slot for each round of answered calls, up to the
/// announced number. Growth follows the rate of answers, so the load on a cold server that
/// answers slowly also grows slowly. A shed call reduces the limit.
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    announced: u32,
    rule: SlotRule,
    limit: f64,
    running: u32,
    last_reduction: Option<Instant>,
}

impl SlotLimiter {
    /// Creates a limiter for a cold backend server.
    pub fn new(announced: u32, rule: SlotRule) -> Self {
        let limit = (f64::from(announced) * COLD_START_FRACTION).max(1.0);
        Self {
            announced,
            rule,
            limit,
            running: 0,
            last_reduction: None,
        }
    }

    /// Updates the number of announced slots.
    pub fn set_announced(&mut self, slots: u32) {
        if self.announced == 0 {
            self.limit = (f64::from(slots) * COLD_START_FRACTION).max(1.0);
        }
        self.announced = slots;
        self.limit = self.limit.min(f64::from(slots.max(1)));
    }

    /// Number of announced slots.
    pub fn announced(&self) -> u32 {
        self.announced
    }

    /// Number of slots that may be in use at present.
    pub fn allowed(&self) -> u32 {
        match self.rule {
            SlotRule::Adaptive => (self.limit as u32).min(self.announced),
            SlotRule::Fixed => self.announced,
        }
    }

    /// Number of slots in use.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of free slots.
    pub fn free(&self) -> u32 {
        self.allowed().saturating_sub(self.running)
    }

    /// Occupies a slot.
    pub fn acquire(&mut self) {
        self.running += 1;
    }

    /// Frees a slot after an answer, which raises the limit.
    pub fn release_answered(&mut self) {
        self.running = self.running.saturating_sub(1);
        let max_limit = f64::from(self.announced.max(1));
        self.limit = (self.limit + 1.0 / self.limit).min(max_limit);
    }

    /// Frees a slot after a run whose result says nothing about the server's capacity.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Frees a slot after the backend server shed the call, which lowers the limit.
    pub fn release_shed(&mut self, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let recent = self
            .last_reduction
            .is_some_and(|last| now - last < REDUCTION_INTERVAL);
        if !recent {
            self.last_reduction = Some(now);
            self.limit = (self.limit * SHED_FACTOR).max(1.0);
        }
    }
}
