//! How often calls of each level start.

use std::time::Duration;

use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

/// Time over which starts are averaged.
const RATE_TIME: Duration = Duration::from_millis(800);

/// Rates of starts by level, older starts counting less.
#[derive(Clone, Debug, Default)]
pub struct StartRates {
    counts: [f64; RankLevel::COUNT],
    updated: Option<Instant>,
}

impl StartRates {
    /// Notes the start of a call.
    pub fn record(&mut self, level: RankLevel, now: Instant) {
        let fade = self.fade(now);
        for count in &mut self.counts {
            *count *= fade;
        }
        self.counts[level.index()] += 1.0;
        self.updated = Some(now);
    }

    /// Starts a second of calls more urgent than `level`.
    pub fn more_urgent_rate(&self, level: RankLevel, now: Instant) -> f64 {
        let starts: f64 = self.counts[..level.index()].iter().sum();
        starts * self.fade(now) / RATE_TIME.as_secs_f64()
    }

    fn fade(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}
