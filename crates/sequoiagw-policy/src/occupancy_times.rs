//! Moving averages of slot occupancy.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::RunId;
use crate::RunSlowdown;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// A route is short when its average is below this fraction of the longest average of a route.
const SHORT_ROUTE_RATIO: f64 = 0.5;
/// Part of all runs that a route needs for its average to count as the longest one. A route that
/// runs now and then would make all others short otherwise.
const MIN_ROUTE_SHARE: f64 = 0.05;
/// Overall average assumed before the first sample.
const DEFAULT_OCCUPANCY: Duration = Duration::from_millis(100);

/// Average of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteOccupancy {
    mean: Option<Duration>,
    /// Moving average of the part of all runs that are of this route.
    share: f64,
}

/// Moving averages of the time for which calls occupy a slot, over all calls and by route.
#[derive(Clone, Debug, Default)]
pub struct OccupancyTimes {
    starts: HashMap<RunId, Instant>,
    mean: Option<Duration>,
    routes: HashMap<String, RouteOccupancy>,
    slowdown: RunSlowdown,
}

impl OccupancyTimes {
    /// Records the start of a run.
    pub fn record_start(&mut self, run: RunId, route: &str, now: Instant) {
        self.starts.insert(run, now);
        let expected = self.average_of_route(route);
        self.slowdown.record_start(run, expected, now);
    }

    /// Records the end of a run and returns the time for which it occupied its slot, zero
    /// when no start was recorded.
    pub fn record_end(&mut self, run: RunId, route: &str, now: Instant) -> Duration {
        let Some(start) = self.starts.remove(&run) else {
            return Duration::ZERO;
        };
        self.slowdown.record_end(run, now);
        let occupancy = now.saturating_duration_since(start);
        self.mean = Some(update_average(self.mean, occupancy));
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteOccupancy::default());
        }
        for (name, known) in &mut self.routes {
            known.share *= 1.0 - SAMPLE_WEIGHT;
            if name == route {
                known.share += SAMPLE_WEIGHT;
                known.mean = Some(update_average(known.mean, occupancy));
            }
        }
        occupancy
    }

    /// Average over all calls, longer if the current runs take longer.
    pub fn mean(&self, now: Instant) -> Duration {
        self.average().mul_f64(self.slowdown.factor(now))
    }

    /// Whether a route's average is short compared with the longest average of a route that has a
    /// relevant part of the runs.
    pub fn is_short_route(&self, route: &str) -> bool {
        let relevant_routes = self.routes.values();
        let longest = relevant_routes
            .filter(|known| known.share >= MIN_ROUTE_SHARE)
            .filter_map(|known| known.mean)
            .max()
            .unwrap_or_default();
        let own = self.routes.get(route).and_then(|known| known.mean);
        own.is_some_and(|own| own < longest.mul_f64(SHORT_ROUTE_RATIO))
    }

    /// Average of a route, or of all calls when the route has no samples yet; longer if the current
    /// runs take longer.
    pub fn route_mean(&self, route: &str, now: Instant) -> Duration {
        self.average_of_route(route)
            .mul_f64(self.slowdown.factor(now))
    }

    fn average(&self) -> Duration {
        self.mean.unwrap_or(DEFAULT_OCCUPANCY)
    }

    fn average_of_route(&self, route: &str) -> Duration {
        let known = self.routes.get(route).and_then(|known| known.mean);
        known.unwrap_or(self.average())
    }
}

fn update_average(average: Option<Duration>, sample: Duration) -> Duration {
    match average {
        Some(average) => average.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT),
        None => sample,
    }
}
