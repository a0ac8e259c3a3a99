//! Counters and latencies of a node, kept in memory and also sent to a `StatsD` server if one is
//! configured.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cadence::Counted;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use sequoiagw_http::ResponseHead;
use sequoiagw_protocol::FrameKind;
use sequoiagw_telemetry::metrics_text;
use sequoiagw_telemetry::LatencySeries;
use sequoiagw_telemetry::LatencyTable;

/// Prefix of all metrics sent to `StatsD`.
const METRIC_PREFIX: &str = "sequoiagw";

type CounterTotals = Arc<Mutex<BTreeMap<String, u64>>>;

/// The node's counters and latencies; clones share them.
#[derive(Clone, Debug, Default)]
pub struct NodeCounters {
    totals: CounterTotals,
    latencies: Arc<Mutex<LatencyTable>>,
    /// Client of the `StatsD` server that receives a copy of every metric.
    client: Option<Arc<StatsdClient>>,
}

impl NodeCounters {
    /// Builds counters that are also sent to a `StatsD` server.
    ///
    /// Errors: no local socket can be opened.
    pub fn with_statsd(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let client = StatsdClient::from_sink(METRIC_PREFIX, sink);
        Ok(Self {
            client: Some(Arc::new(client)),
            ..Self::default()
        })
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count` to the counter `name`.
    pub fn add(&self, name: &str, count: u64) {
        // Nothing panics while the lock is held, so it is never poisoned.
        if let Ok(mut totals) = self.totals.lock() {
            match totals.get_mut(name) {
                Some(total) => *total += count,
                None => {
                    totals.insert(name.to_owned(), count);
                }
            }
        }
        if let Some(client) = &self.client {
            // Send errors are ignored: the server may be down, and the totals are kept here anyway.
            let _ = client.count(name, count);
        }
    }

    /// Counts a refusal under its reason.
    pub fn count_refusal(&self, reason: &str) {
        self.count(&format!("refused.{reason}"));
    }

    /// Counts an answer of a backend server that can't be read, under its reason.
    pub fn count_unreadable_answer(&self, reason: &str) {
        self.count(&format!("answer_unreadable.{reason}"));
    }

    /// Counts the headers that are left out of a backend server's answer.
    pub fn add_omitted_headers(&self, head: &ResponseHead) {
        if head.omitted_headers > 0 {
            self.add("answer.omitted_headers", head.omitted_headers as u64);
        }
    }

    /// Adds the bytes of a sent or received frame to the counter of its kind.
    pub fn add_frame_bytes(&self, kind: FrameKind, bytes: usize) {
        self.add(byte_counter_name(kind), bytes as u64);
    }

    /// Records a latency in its series.
    pub fn record_latency(&self, series: &LatencySeries, latency: Duration) {
        if let Ok(mut latencies) = self.latencies.lock() {
            latencies.record(series, latency);
        }
        if let Some(client) = &self.client {
            let name = format!("{}.{}.{}", series.name, series.level, series.outcome);
            let _ = client.time(&name, latency);
        }
    }

    /// All counters and latencies in the text format of the metrics page.
    pub fn metrics_text(&self) -> String {
        let totals = self.totals();
        let render = |latencies: &LatencyTable| metrics_text(&totals, latencies);
        self.latencies
            .lock()
            .map_or_else(|_| String::new(), |latencies| render(&latencies))
    }

    /// Total of one counter; 0 if it was never counted.
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

/// Name of the byte counter for a kind of frame.
const fn byte_counter_name(kind: FrameKind) -> &'static str {
    match kind {
        FrameKind::Probe => "bytes.probe",
        FrameKind::Table => "bytes.table",
        FrameKind::Config => "bytes.config",
        FrameKind::Version => "bytes.version",
        FrameKind::Call => "bytes.call",
        FrameKind::Claim => "bytes.claim",
        FrameKind::Quota => "bytes.quota",
        FrameKind::Rollout => "bytes.rollout",
    }
}
