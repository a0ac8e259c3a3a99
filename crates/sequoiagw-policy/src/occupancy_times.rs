//! How long calls hold their slots.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::RunId;

/// Weight of a new observation in the averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Part of the longest route's hold below which a route's calls are short.
const SHORT_ROUTE_RATIO: f64 = 0.5;
/// Time assumed before anything was seen.
const DEFAULT_OCCUPANCY: Duration = Duration::from_millis(100);

/// Moving averages of the time for which calls hold a slot, over all and by route.
#[derive(Clone, Debug, Default)]
pub struct OccupancyTimes {
    starts: HashMap<RunId, Instant>,
    mean: Option<Duration>,
    routes: HashMap<String, Duration>,
}

impl OccupancyTimes {
    /// Notes the start of a run.
    pub fn record_start(&mut self, run: RunId, now: Instant) {
        self.starts.insert(run, now);
    }

    /// Notes the end of a run; returns the time for which it held its slot.
    pub fn record_end(&mut self, run: RunId, route: &str, now: Instant) -> Duration {
        let Some(start) = self.starts.remove(&run) else {
            return Duration::ZERO;
        };
        let held = now.saturating_duration_since(start);
        self.mean = Some(update_average(self.mean, held));
        let before = self.routes.get(route).copied();
        let after = update_average(before, held);
        match self.routes.get_mut(route) {
            Some(mean) => *mean = after,
            None => {
                self.routes.insert(route.to_owned(), after);
            }
        }
        held
    }

    /// Average over all calls.
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or(DEFAULT_OCCUPANCY)
    }

    /// Whether a route's calls are short beside the longest ones of another route.
    pub fn is_short_route(&self, route: &str) -> bool {
        let longest = self.routes.values().max().copied().unwrap_or_default();
        let own = self.routes.get(route).copied();
        own.is_some_and(|own| own < longest.mul_f64(SHORT_ROUTE_RATIO))
    }

    /// Average of a route, or of all calls before the route's first.
    pub fn route_mean(&self, route: &str) -> Duration {
        self.routes.get(route).copied().unwrap_or(self.mean())
    }
}

fn update_average(before: Option<Duration>, held: Duration) -> Duration {
    match before {
        Some(before) => before.mul_f64(1.0 - SAMPLE_WEIGHT) + held.mul_f64(SAMPLE_WEIGHT),
        None => held,
    }
}
