//! Runs of the old version, as the baseline of the new one.

use std::collections::BTreeMap;
use std::collections::HashMap;

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RouteRunStats;

use crate::run_histogram::RunHistogram;

/// Buckets by which a run is slower than the median if it took more than 3 times as long: 1.3^4 is
/// 2.9, and the median lies inside its bucket.
const SLOW_BUCKETS: usize = 5;
/// Least number of runs for a median.
const MIN_MEDIAN_RUNS: u32 = 10;
/// Least share of bad runs that is assumed where the old version has few runs or none.
const ASSUMED_BAD_SHARE: f64 = 0.05;
/// Number of runs that the assumption counts for.
const ASSUMED_RUNS: f64 = 20.0;
/// Least number of runs in one round for its own share of bad runs to count.
const MIN_ROUND_RUNS: u32 = 20;

/// Histograms by route.
pub(crate) type RouteHistograms = BTreeMap<String, RunHistogram>;

/// Runs of the old version since this node became the driver.
#[derive(Clone, Debug)]
pub(crate) struct RolloutBaseline {
    /// Share of bad runs that is assumed where the old version has few runs or none.
    assumed_share: f64,
    replies: HashMap<NodeId, RouteHistograms>,
    total: RouteHistograms,
}

impl Default for RolloutBaseline {
    fn default() -> Self {
        Self {
            assumed_share: ASSUMED_BAD_SHARE,
            replies: HashMap::new(),
            total: RouteHistograms::new(),
        }
    }
}

impl RolloutBaseline {
    /// Sets the share of bad runs that is assumed where the old version has few runs or none.
    pub(crate) fn assume_share(&mut self, share: f64) {
        self.assumed_share = share.max(ASSUMED_BAD_SHARE);
    }

    /// Takes over a node's reply and returns its runs since the reply before.
    ///
    /// A reply covers a sliding window. Where the window has moved since the reply before, counts
    /// have fallen, and the runs between the two are unknown and left out.
    pub(crate) fn on_stats(&mut self, node: NodeId, stats: &[RouteRunStats]) -> RouteHistograms {
        let window: RouteHistograms = stats
            .iter()
            .map(|stats| (stats.route.clone(), RunHistogram::from(stats)))
            .collect();
        let new_runs = if let Some(before) = self.replies.get(&node) {
            runs_since(&window, before)
        } else {
            merge(&mut self.total, &window);
            None
        };
        self.replies.insert(node, window);
        let new_runs = new_runs.unwrap_or_default();
        merge(&mut self.total, &new_runs);
        new_runs
    }

    /// First bucket of runs that are slow on a route, `None` while the median is unknown.
    pub(crate) fn slow_from(&self, route: &str) -> Option<usize> {
        let (runs, median) = self.total.get(route)?.median_bucket();
        (runs >= MIN_MEDIAN_RUNS).then_some(median + SLOW_BUCKETS)
    }

    /// Share of a route's runs that are bad at the old version: the larger one of those of a round
    /// and of its neighbours too, or that of all runs if these have few.
    pub(crate) fn bad_share(
        &self,
        route: &str,
        round: &RouteHistograms,
        around: &RouteHistograms,
    ) -> f64 {
        let slow_from = self.slow_from(route);
        let around = around
            .get(route)
            .filter(|runs| runs.runs() >= MIN_ROUND_RUNS);
        let pooled = around.or_else(|| self.total.get(route));
        let own = round
            .get(route)
            .filter(|runs| runs.runs() >= MIN_ROUND_RUNS);
        let share = |runs: &RunHistogram| {
            (f64::from(runs.bad_runs(slow_from)) + self.assumed_share * ASSUMED_RUNS)
                / (f64::from(runs.runs()) + ASSUMED_RUNS)
        };
        let pooled = pooled.map_or(self.assumed_share, share);
        own.map_or(pooled, |own| share(own).max(pooled))
    }

    /// Routes that make up at least `share` of the old version's runs.
    pub(crate) fn routes_with_share(&self, share: f64) -> impl Iterator<Item = &str> {
        let all = self.total.values().map(RunHistogram::runs);
        let all = all.fold(0, u32::saturating_add);
        let least = f64::from(all) * share;
        let routes = self.total.iter();
        routes
            .filter(move |(_, runs)| f64::from(runs.runs()) >= least)
            .map(|(route, _)| route.as_str())
    }
}

/// Adds histograms by route to others.
pub(crate) fn merge(into: &mut RouteHistograms, from: &RouteHistograms) {
    for (route, histogram) in from {
        into.entry(route.clone()).or_default().merge(histogram);
    }
}

fn runs_since(window: &RouteHistograms, before: &RouteHistograms) -> Option<RouteHistograms> {
    if before.keys().any(|route| !window.contains_key(route)) {
        return None;
    }
    let none = RunHistogram::default();
    let routes = window.iter();
    routes
        .map(|(route, runs)| {
            let earlier = before.get(route).unwrap_or(&none);
            Some((route.clone(), runs.since(earlier)?))
        })
        .collect()
}
