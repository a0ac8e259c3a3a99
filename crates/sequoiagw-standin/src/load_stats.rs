//! Statistics of calls as their callers observed them.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;

/// Largest recorded latency, in microseconds. Longer ones are recorded as this value.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// Statistics of the calls of one stream.
#[derive(Clone, Debug)]
pub struct StreamStats {
    /// Calls sent, without retries.
    pub sent: u64,
    /// Calls answered by a backend server.
    pub served: u64,
    /// Calls whose last attempt was refused, by error kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Calls for which no node answered.
    pub unanswered: u64,
    /// Answers to another call, incomplete answers, and answers to calls that never ran.
    pub wrong: u64,
    /// Calls that had run although all their attempts were answered with "not run".
    pub false_not_run: u64,
    latencies: Histogram<u64>,
}

impl Default for StreamStats {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(LATENCY_LIMIT_US, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("three significant digits are supported"));
        Self {
            sent: 0,
            served: 0,
            refused: BTreeMap::new(),
            unanswered: 0,
            wrong: 0,
            false_not_run: 0,
            latencies,
        }
    }
}

impl StreamStats {
    /// Records a served call.
    pub fn record_served(&mut self, latency: Duration) {
        self.served += 1;
        self.latencies.saturating_record(latency.as_micros() as u64);
    }

    /// Records a call whose last attempt was refused.
    pub fn record_refused(&mut self, kind: ErrorKind) {
        *self.refused.entry(kind).or_default() += 1;
    }

    /// Latency of the served calls at a quantile from 0 to 1.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(quantile))
    }

    /// Number of refused calls of all kinds.
    pub fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Number of calls for which the caller cannot tell whether they ran.
    pub fn unknown(&self) -> u64 {
        let is_unknown = |kind: &ErrorKind| kind.rule().ran == RunState::Unknown;
        let refused = self.refused.iter().filter(|(kind, _)| is_unknown(kind));
        self.unanswered + refused.map(|(_, count)| count).sum::<u64>()
    }

    /// Adds the calls of another stream.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.served += other.served;
        self.unanswered += other.unanswered;
        self.wrong += other.wrong;
        self.false_not_run += other.false_not_run;
        for (kind, count) in &other.refused {
            *self.refused.entry(*kind).or_default() += count;
        }
        let _ = self.latencies.add(&other.latencies);
    }
}

/// Statistics of all streams.
#[derive(Clone, Debug, Default)]
pub struct LoadStats {
    /// Statistics by stream name.
    pub streams: BTreeMap<String, StreamStats>,
    /// Statistics by second since the start of the load in which the call was sent.
    pub seconds: BTreeMap<u64, SecondStats>,
}

/// Statistics of the calls sent in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    /// Calls sent.
    pub sent: u64,
    /// Of these, calls answered by a backend server.
    pub served: u64,
}

impl LoadStats {
    /// Statistics of a stream, created if absent.
    pub fn stream(&mut self, name: &str) -> &mut StreamStats {
        self.streams.entry(name.to_owned()).or_default()
    }

    /// Sum of all streams.
    pub fn total(&self) -> StreamStats {
        let mut total = StreamStats::default();
        for stream in self.streams.values() {
            total.merge(stream);
        }
        total
    }
}
