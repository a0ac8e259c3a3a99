//! Run times and failures at the backend server beside a node.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_protocol::RouteRunStats;
use tokio::time::Instant;

use crate::run_histogram::RunHistogram;

/// Length of each of the two parts of the sliding window.
const WINDOW_PART: Duration = Duration::from_secs(4);

/// A finished run at the backend server beside the node.
#[derive(Clone, Copy, Debug)]
pub struct RunSample<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Time from the start of the run to its end.
    pub run_time: Duration,
    /// Whether the response was a failure: status 500 and above, broken or truncated.
    pub failed: bool,
}

impl RunSample<'_> {
    /// Adds the run to the histogram of its route.
    pub(crate) fn add_to(&self, routes: &mut BTreeMap<String, RunHistogram>) {
        if !routes.contains_key(self.route) {
            routes.insert(self.route.to_owned(), RunHistogram::default());
        }
        if let Some(histogram) = routes.get_mut(self.route) {
            if self.failed {
                histogram.add_failure();
            } else {
                histogram.add_run(self.run_time);
            }
        }
    }
}

/// Runs of the last seconds by route, in exponential buckets (factor 1.3, starting at 1 ms).
///
/// The window has two parts. When the current one is 4 s old it replaces the previous one, so no
/// run has to be stored on its own.
#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    current: BTreeMap<String, RunHistogram>,
    previous: BTreeMap<String, RunHistogram>,
    current_start: Option<Instant>,
    started_runs: u64,
}

impl RunStatistics {
    /// Records a finished run.
    pub fn record(&mut self, run: &RunSample<'_>, now: Instant) {
        self.advance(now);
        run.add_to(&mut self.current);
    }

    /// Records the start of a run.
    pub fn started(&mut self) {
        self.started_runs += 1;
    }

    /// Runs that finished in the last 4 to 8 s, by route.
    pub fn reply(&self, now: Instant) -> Vec<RouteRunStats> {
        let mut window = self.clone();
        window.advance(now);
        let mut routes = window.previous;
        for (route, histogram) in window.current {
            routes.entry(route).or_default().merge(&histogram);
        }
        let stats = routes.iter();
        stats
            .map(|(route, histogram)| histogram.to_stats(route))
            .collect()
    }

    /// Number of runs that have started.
    pub fn started_runs(&self) -> u64 {
        self.started_runs
    }

    /// Moves the window so that its current part contains `now`.
    fn advance(&mut self, now: Instant) {
        let start = *self.current_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age < WINDOW_PART {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age < WINDOW_PART * 2 {
            self.current_start = Some(start + WINDOW_PART);
        } else {
            self.previous.clear();
            self.current_start = Some(now);
        }
    }
}
