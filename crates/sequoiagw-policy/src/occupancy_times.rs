//! Moving averages of slot occupancy.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::RunId;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// A route is short when its average is below this fraction of the longest average of a route.
const SHORT_ROUTE_RATIO: f64 = 0.5;
/// Overall average assumed before the first sample.
const DEFAULT_OCCUPANCY: Duration = Duration::from_millis(100);

/// Moving averages of the time for which calls occupy a slot, over all calls and by route.
#[derive(Clone, Debug, Default)]
pub struct OccupancyTimes {
    starts: HashMap<RunId, Instant>,
    mean: Option<Duration>,
    routes: HashMap<String, Duration>,
}

impl OccupancyTimes {
    /// Records the start of a run.
    pub fn record_start(&mut self, run: RunId, now: Instant) {
        self.starts.insert(run, now);
    }

    /// Records the end of a run and returns the time for which it occupied its slot, zero
    /// when no start was recorded.
    pub fn record_end(&mut self, run: RunId, route: &str, now: Instant) -> Duration {
        let Some(start) = self.starts.remove(&run) else {
            return Duration::ZERO;
        };
        let occupancy = now.saturating_duration_since(start);
        self.mean = Some(update_average(self.mean, occupancy));
        let old_mean = self.routes.get(route).copied();
        let new_mean = update_average(old_mean, occupancy);
        match self.routes.get_mut(route) {
            Some(mean) => *mean = new_mean,
            None => {
                self.routes.insert(route.to_owned(), new_mean);
            }
        }
        occupancy
    }

    /// Average over all calls.
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or(DEFAULT_OCCUPANCY)
    }

    /// Whether a route's average is short compared with the longest average of a route.
    pub fn is_short_route(&self, route: &str) -> bool {
        let longest = self.routes.values().max().copied().unwrap_or_default();
        let own = self.routes.get(route).copied();
        own.is_some_and(|own| own < longest.mul_f64(SHORT_ROUTE_RATIO))
    }

    /// Average of a route, or of all calls when the route has no samples yet.
    pub fn route_mean(&self, route: &str) -> Duration {
        self.routes.get(route).copied().unwrap_or(self.mean())
    }
}

fn update_average(average: Option<Duration>, sample: Duration) -> Duration {
    match average {
        Some(average) => average.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT),
        None => sample,
    }
}
