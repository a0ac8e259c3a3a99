//! Slots of a target: announced by its backend server, corrected by what it shows.

use std::time::Duration;

use tokio::time::Instant;

use crate::SlotRule;

/// Share of the announced slots with which a cold backend server starts.
const COLD_SHARE: f64 = 0.25;
/// Factor on the slots after the backend server shed work.
const SHED_FACTOR: f64 = 0.8;
/// Least time between two such cuts, so that one burst counts once.
const CUT_INTERVAL: Duration = Duration::from_millis(100);

/// Concurrency limit of one target.
///
/// It starts low and grows by one slot for each round of answered calls, up to the
/// announced number. The growth is clocked by the answers, so that a cold server that
/// answers slowly is also loaded slowly. Shedding cuts it.
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    announced: u32,
    rule: SlotRule,
    allowed: f64,
    running: u32,
    last_cut: Option<Instant>,
}

impl SlotLimiter {
    /// Starts cold.
    pub fn new(announced: u32, rule: SlotRule) -> Self {
        let allowed = (f64::from(announced) * COLD_SHARE).max(1.0);
        Self {
            announced,
            rule,
            allowed,
            running: 0,
            last_cut: None,
        }
    }

    /// Takes a changed announcement.
    pub fn set_announced(&mut self, slots: u32) {
        if self.announced == 0 {
            self.allowed = (f64::from(slots) * COLD_SHARE).max(1.0);
        }
        self.announced = slots;
        self.allowed = self.allowed.min(f64::from(slots.max(1)));
    }

    /// Slots announced.
    pub fn announced(&self) -> u32 {
        self.announced
    }

    /// Slots allowed now.
    pub fn allowed(&self) -> u32 {
        match self.rule {
            SlotRule::Adaptive => (self.allowed as u32).min(self.announced),
            SlotRule::Fixed => self.announced,
        }
    }

    /// Slots in use.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Slots free now.
    pub fn free(&self) -> u32 {
        self.allowed().saturating_sub(self.running)
    }

    /// Takes a slot.
    pub fn acquire(&mut self) {
        self.running += 1;
    }

    /// Frees a slot after an answer.
    pub fn release_answered(&mut self) {
        self.running = self.running.saturating_sub(1);
        let most = f64::from(self.announced.max(1));
        self.allowed = (self.allowed + 1.0 / self.allowed).min(most);
    }

    /// Frees a slot without an answer that would show the server's health.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Frees a slot after the backend server shed the call.
    pub fn release_shed(&mut self, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let recent = self.last_cut.is_some_and(|last| now - last < CUT_INTERVAL);
        if !recent {
            self.last_cut = Some(now);
            self.allowed = (self.allowed * SHED_FACTOR).max(1.0);
        }
    }
}
