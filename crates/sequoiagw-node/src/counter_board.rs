//! Counters and latencies, kept here and sent on by `StatsD` when an address is set.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cadence::Counted;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use sequoiagw_protocol::FrameKind;

/// Prefix of all metrics.
const METRIC_PREFIX: &str = "sequoiagw";

type CounterTotals = Arc<Mutex<BTreeMap<String, u64>>>;

/// Sink that adds counters up and passes every metric on.
#[derive(Debug)]
struct TotalsSink {
    totals: CounterTotals,
    forward: Option<UdpMetricSink>,
}

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some((name, count)) = counted(metric) {
            if let Ok(mut totals) = self.totals.lock() {
                *totals.entry(name.to_owned()).or_default() += count;
            }
        }
        match &self.forward {
            Some(sink) => sink.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

/// Name and count of a counter's line, `sequoiagw.name:1|c`.
fn counted(metric: &str) -> Option<(&str, u64)> {
    let (name, rest) = metric
        .strip_prefix(METRIC_PREFIX)?
        .strip_prefix('.')?
        .split_once(':')?;
    let (count, kind) = rest.split_once('|')?;
    if !kind.starts_with('c') {
        return None;
    }
    Some((name, count.parse().ok()?))
}

/// The node's counters.
#[derive(Clone, Debug)]
pub struct CounterBoard {
    totals: CounterTotals,
    client: Arc<StatsdClient>,
}

impl Default for CounterBoard {
    fn default() -> Self {
        Self::build(None)
    }
}

impl CounterBoard {
    /// Builds counters that are also sent to a `StatsD` server.
    ///
    /// Errors: no local socket can be opened.
    pub fn with_statsd(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        Ok(Self::build(Some(sink)))
    }

    fn build(forward: Option<UdpMetricSink>) -> Self {
        let totals = CounterTotals::default();
        let sink = TotalsSink {
            totals: Arc::clone(&totals),
            forward,
        };
        let client = Arc::new(StatsdClient::from_sink(METRIC_PREFIX, sink));
        Self { totals, client }
    }

    /// Adds one.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count`.
    pub fn add(&self, name: &str, count: u64) {
        let _ = self.client.count(name, count);
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: &str) {
        self.count(&format!("refused.{reason}"));
    }

    /// Counts the bytes of a frame that was sent or received.
    pub fn frame_bytes(&self, kind: FrameKind, bytes: usize) {
        self.add(&format!("bytes.{kind}"), bytes as u64);
    }

    /// Notes the latency of a call.
    pub fn latency(&self, rank: &str, latency: Duration) {
        let _ = self.client.time(&format!("latency.{rank}"), latency);
    }

    /// Total of one counter.
    pub fn total(&self, name: &str) -> u64 {
        self.totals
            .lock()
            .map_or(0, |totals| totals.get(name).copied().unwrap_or(0))
    }

    /// All totals by name.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        self.totals
            .lock()
            .map(|totals| totals.clone())
            .unwrap_or_default()
    }
}
