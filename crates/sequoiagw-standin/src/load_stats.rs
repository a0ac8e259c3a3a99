//! What callers experienced.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;

/// Largest latency told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// Calls of one stream.
#[derive(Clone, Debug)]
pub struct StreamStats {
    /// Calls sent, repeated tries not counted.
    pub sent: u64,
    /// Calls answered by a backend server.
    pub served: u64,
    /// Calls refused for good, by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Calls whose node gave no answer at all.
    pub unanswered: u64,
    /// Answers that weren't the caller's own, or not whole.
    pub wrong: u64,
    /// Calls told "not run" that had run.
    pub false_not_run: u64,
    latencies: Histogram<u64>,
}

impl Default for StreamStats {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(LATENCY_LIMIT_US, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("three digits are allowed"));
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
    /// Notes an answered call.
    pub fn record_served(&mut self, latency: Duration) {
        self.served += 1;
        self.latencies.saturating_record(latency.as_micros() as u64);
    }

    /// Notes a call refused for good.
    pub fn record_refused(&mut self, kind: ErrorKind) {
        *self.refused.entry(kind).or_default() += 1;
    }

    /// Latency below which a share of the answered calls stayed.
    pub fn latency(&self, share: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(share))
    }

    /// Calls that weren't answered by a backend server.
    pub fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Calls of which the caller doesn't know whether they ran.
    pub fn unknown(&self) -> u64 {
        let unknown = |kind: &ErrorKind| kind.rule().ran == RunState::Unknown;
        let refused = self.refused.iter().filter(|(kind, _)| unknown(kind));
        self.unanswered + refused.map(|(_, count)| count).sum::<u64>()
    }

    /// Adds another tally.
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

/// Calls of all streams, by stream name.
#[derive(Clone, Debug, Default)]
pub struct LoadStats {
    /// Streams.
    pub streams: BTreeMap<String, StreamStats>,
    /// Calls that arrived in each whole second since the start: sent and served.
    pub seconds: BTreeMap<u64, SecondStats>,
}

/// Calls that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    /// Calls sent.
    pub sent: u64,
    /// Of these, calls served.
    pub served: u64,
}

impl LoadStats {
    /// Tally of a stream.
    pub fn stream(&mut self, name: &str) -> &mut StreamStats {
        self.streams.entry(name.to_owned()).or_default()
    }

    /// All streams added up.
    pub fn total(&self) -> StreamStats {
        let mut total = StreamStats::default();
        for stream in self.streams.values() {
            total.merge(stream);
        }
        total
    }
}
