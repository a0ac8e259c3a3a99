//! Limit on the rate at which runs start at a backend server that names one.

use std::time::Duration;

use tokio::time::Instant;

/// Runs that may start at once after a pause, in seconds of the limit.
const BURST_TIME_S: f64 = 0.5;
/// Lower bound of the limit, in runs per second. Answers show when a limit ends, so some runs must
/// start.
const MIN_RATE: f64 = 0.5;

/// Token bucket for the starts of runs at one backend server. Without a limit all runs may start.
///
/// Serves backend servers in need, which take fewer requests than their slots allow.
#[derive(Clone, Debug, Default)]
pub struct StartPacer {
    /// Runs per second.
    rate: Option<f64>,
    tokens: f64,
    updated: Option<Instant>,
}

impl StartPacer {
    /// Sets the limit in runs per second; `None` removes it.
    pub fn set_rate(&mut self, rate: Option<f64>, now: Instant) {
        self.refill(now);
        self.rate = rate.map(|rate| rate.max(MIN_RATE));
        self.tokens = self.tokens.min(self.burst());
    }

    /// Limit in runs per second, `None` without one.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Whether a run may start now.
    pub fn allows_start(&self, now: Instant) -> bool {
        self.rate.is_none() || self.tokens_at(now) >= 1.0
    }

    /// Records the start of a run.
    pub fn record_start(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Time at which the next run may start, `None` when it may start now.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let rate = self.rate?;
        let missing = 1.0 - self.tokens_at(now);
        (missing > 0.0).then(|| now + Duration::from_secs_f64(missing / rate))
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated = Some(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let Some(rate) = self.rate else {
            return 0.0;
        };
        let elapsed = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (self.tokens + rate * elapsed.as_secs_f64()).min(self.burst())
    }

    fn burst(&self) -> f64 {
        self.rate.map_or(0.0, |rate| (rate * BURST_TIME_S).max(1.0))
    }
}
