//! What a test plays, and what came of it.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use sequoiagw_protocol::RolloutStage;
use tokio::time::Instant;

use crate::backend::Fault;

/// A roll-out to play.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: u64,
    /// Requests a second for each node.
    pub rate: f64,
    pub duration: Duration,
    /// Time after the order at which the last new backend server has started.
    pub start: Duration,
    pub warm_up: Duration,
    /// Fault of the new version.
    pub fault: Fault,
    /// Fault of single hosts, by their number.
    pub host_faults: BTreeMap<u64, Fault>,
    /// Time after the order, and share of failures, of trouble that both versions have.
    pub trouble: Option<(Range<Duration>, f64)>,
    pub seed: u64,
}

impl Plan {
    pub fn new(nodes: u64, duration_s: u64, fault: Fault) -> Self {
        let rate = match nodes {
            0..=10 => 60.0,
            11..=64 => 40.0,
            _ => 20.0,
        };
        Self {
            nodes,
            rate,
            duration: Duration::from_secs(duration_s),
            start: Duration::from_secs(3),
            warm_up: Duration::from_secs(2),
            fault,
            host_faults: BTreeMap::new(),
            trouble: None,
            seed: nodes + duration_s,
        }
    }

    /// Requests a second for all nodes.
    pub fn total_rate(&self) -> f64 {
        self.rate * f64::from(u32::try_from(self.nodes).expect("a small number"))
    }
}

/// What came of a roll-out.
#[derive(Debug, Default)]
pub struct Outcome {
    pub stage: Option<RolloutStage>,
    /// Time from the order to the final stage.
    pub decided: Option<Duration>,
    /// Requests from the order to the end of the duration.
    pub requests: u64,
    /// Requests that the new version got in that time.
    pub new_requests: u64,
    pub bad_responses: u64,
    pub fiftieth_bad: Option<Instant>,
    pub last_new: Option<Instant>,
    pub objections: Vec<String>,
}

impl Outcome {
    /// Time from the 50th bad response to the last request of the new version.
    pub fn time_after_fiftieth_bad(&self) -> Duration {
        let last = self.last_new.zip(self.fiftieth_bad);
        last.map_or(Duration::ZERO, |(last, bad)| {
            last.saturating_duration_since(bad)
        })
    }
}
