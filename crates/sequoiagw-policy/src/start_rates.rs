//! Rates at which calls of each level start.

use std::time::Duration;

use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

/// Time constant of the exponential decay.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(800);

/// Exponentially decaying rates of starts by level.
#[derive(Clone, Debug, Default)]
pub struct StartRates {
    decayed_counts: [f64; RankLevel::COUNT],
    updated: Option<Instant>,
}

impl StartRates {
    /// Records the start of a call.
    pub fn record(&mut self, level: RankLevel, now: Instant) {
        let decay = self.decay_factor(now);
        for count in &mut self.decayed_counts {
            *count *= decay;
        }
        self.decayed_counts[level.index()] += 1.0;
        self.updated = Some(now);
    }

    /// Rate at which calls more urgent than `level` start, per second.
    pub fn more_urgent_rate(&self, level: RankLevel, now: Instant) -> f64 {
        let starts: f64 = self.decayed_counts[..level.index()].iter().sum();
        starts * self.decay_factor(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (-age.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
