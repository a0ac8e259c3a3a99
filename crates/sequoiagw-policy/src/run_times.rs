//! How long calls of each route run at each target.

use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Weight of a new run in an average.
const NEW_WEIGHT: f64 = 0.1;
/// Age at which what was seen of one target counts for nothing. A target that was slow gets
/// work again then, and shows what it does now.
const SIGHT_AGE: Duration = Duration::from_secs(4);

/// What was seen of one route at one target.
#[derive(Clone, Copy, Debug)]
struct SeenRuns {
    mean: Duration,
    last: Instant,
}

/// Averages of one route.
#[derive(Clone, Debug, Default)]
struct RouteTimes {
    /// Average over all targets.
    mean: Duration,
    targets: HashMap<NodeId, SeenRuns>,
}

/// Moving averages of run times, by route and target.
///
/// A target's load report has one average over all routes, which says nothing of a short
/// call at a target whose other calls are long.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: HashMap<String, RouteTimes>,
}

impl RunTimes {
    /// Notes a run.
    pub fn record(&mut self, node: NodeId, route: &str, time: Duration, now: Instant) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteTimes::default());
        }
        let Some(times) = self.routes.get_mut(route) else {
            return;
        };
        times.mean = if times.targets.is_empty() {
            time
        } else {
            averaged(times.mean, time)
        };
        let seen = times.targets.entry(node).or_insert(SeenRuns {
            mean: time,
            last: now,
        });
        seen.mean = averaged(seen.mean, time);
        seen.last = now;
    }

    /// Time that a run is expected to take at a target: what was seen there, fading with its
    /// age into the average of all targets; `None` before the route's first run.
    pub fn expected_run_time(&self, node: NodeId, route: &str, now: Instant) -> Option<Duration> {
        let times = self.routes.get(route)?;
        let Some(seen) = times.targets.get(&node) else {
            return Some(times.mean);
        };
        let age = now.saturating_duration_since(seen.last);
        let weight = 1.0 - (age.as_secs_f64() / SIGHT_AGE.as_secs_f64()).min(1.0);
        Some(seen.mean.mul_f64(weight) + times.mean.mul_f64(1.0 - weight))
    }

    /// Forgets the targets that are gone.
    pub fn retain_targets<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(NodeId) -> bool,
    {
        for times in self.routes.values_mut() {
            times.targets.retain(|node, _| keep(*node));
        }
    }
}

fn averaged(before: Duration, new: Duration) -> Duration {
    before.mul_f64(1.0 - NEW_WEIGHT) + new.mul_f64(NEW_WEIGHT)
}
