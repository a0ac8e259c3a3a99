//! Run times and failures at the backend server beside a node.

use std::time::Duration;

use sequoiagw_protocol::RouteRunStats;
use tokio::time::Instant;

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

/// Runs of the last seconds by route, in exponential buckets (factor 1.3, starting at 1 ms).
#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    started_runs: u64,
}

impl RunStatistics {
    /// Records a finished run.
    pub fn record(&mut self, _run: &RunSample<'_>, _now: Instant) {}

    /// Records the start of a run.
    pub fn started(&mut self) {
        self.started_runs += 1;
    }

    /// Runs that finished in the last 4 to 8 s, by route.
    pub fn reply(&self, _now: Instant) -> Vec<RouteRunStats> {
        Vec::new()
    }

    /// Number of runs that have started.
    pub fn started_runs(&self) -> u64 {
        self.started_runs
    }
}
