//! Moving averages of run times by route and target, as observed by an entry.
//!
//! A run time is the slot occupancy that the owner reports with its answer.

use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Age at which the samples of one target lose all weight. A target that was slow then
/// receives calls again, which show its current run time.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(4);

/// Run times of one route at one target.
#[derive(Clone, Copy, Debug)]
struct TargetAverage {
    mean: Duration,
    last_sample: Instant,
}

/// Run times of one route.
#[derive(Clone, Debug, Default)]
struct RouteAverages {
    /// Average over all targets.
    mean: Duration,
    targets: HashMap<NodeId, TargetAverage>,
}

/// Moving averages of run times, by route and target.
///
/// A target's load report has a single average over all routes, which doesn't predict the
/// time of a short call at a target whose other calls are long.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: HashMap<String, RouteAverages>,
}

impl RunTimes {
    /// Records the time of a finished run.
    pub fn record(&mut self, node: NodeId, route: &str, time: Duration, now: Instant) {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteAverages::default());
        }
        let Some(averages) = self.routes.get_mut(route) else {
            return;
        };
        averages.mean = if averages.targets.is_empty() {
            time
        } else {
            update_average(averages.mean, time)
        };
        let target = averages.targets.entry(node).or_insert(TargetAverage {
            mean: time,
            last_sample: now,
        });
        target.mean = update_average(target.mean, time);
        target.last_sample = now;
    }

    /// Expected time of a run at a target, `None` before the route's first run.
    ///
    /// The older the target's last sample, the less its own average counts and the more the
    /// average over all targets.
    pub fn expected_run_time(&self, node: NodeId, route: &str, now: Instant) -> Option<Duration> {
        let averages = self.routes.get(route)?;
        let Some(target) = averages.targets.get(&node) else {
            return Some(averages.mean);
        };
        let age = now.saturating_duration_since(target.last_sample);
        let weight = 1.0 - (age.as_secs_f64() / MAX_SAMPLE_AGE.as_secs_f64()).min(1.0);
        Some(target.mean.mul_f64(weight) + averages.mean.mul_f64(1.0 - weight))
    }

    /// Drops the averages of the targets for which `keep` returns `false`.
    pub fn retain_targets<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(NodeId) -> bool,
    {
        for averages in self.routes.values_mut() {
            averages.targets.retain(|node, _| keep(*node));
        }
    }
}

fn update_average(average: Duration, sample: Duration) -> Duration {
    average.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
