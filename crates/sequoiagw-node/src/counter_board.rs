//! Counters and latencies, kept here and sent on by `StatsD` when an address is set.

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
use sequoiagw_protocol::FrameKind;
use sequoiagw_telemetry::metrics_text;
use sequoiagw_telemetry::LatencySeries;
use sequoiagw_telemetry::LatencyTable;

/// Prefix of all metrics.
const METRIC_PREFIX: &str = "sequoiagw";

type CounterTotals = Arc<Mutex<BTreeMap<String, u64>>>;

/// The node's counters and latencies; clones share them.
#[derive(Clone, Debug, Default)]
pub struct CounterBoard {
    totals: CounterTotals,
    latencies: Arc<Mutex<LatencyTable>>,
    /// Passes everything on to a `StatsD` server.
    client: Option<Arc<StatsdClient>>,
}

impl CounterBoard {
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

    /// Adds one.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count`.
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
            // The server may be away; the totals here are kept all the same.
            let _ = client.count(name, count);
        }
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: &str) {
        self.count(&format!("refused.{reason}"));
    }

    /// Counts the bytes of a frame that was sent or received.
    pub fn frame_bytes(&self, kind: FrameKind, bytes: usize) {
        self.add(bytes_counter(kind), bytes as u64);
    }

    /// Notes a latency.
    pub fn latency(&self, series: &LatencySeries, latency: Duration) {
        if let Ok(mut latencies) = self.latencies.lock() {
            latencies.record(series, latency);
        }
        if let Some(client) = &self.client {
            let name = format!("{}.{}.{}", series.name, series.level, series.outcome);
            let _ = client.time(&name, latency);
        }
    }

    /// All counters and latencies as text.
    pub fn page(&self) -> String {
        let totals = self.totals();
        let page = |latencies: &LatencyTable| metrics_text(&totals, latencies);
        self.latencies
            .lock()
            .map_or_else(|_| String::new(), |latencies| page(&latencies))
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

/// Name of the counter of a kind of traffic.
const fn bytes_counter(kind: FrameKind) -> &'static str {
    match kind {
        FrameKind::Probe => "bytes.probe",
        FrameKind::Table => "bytes.table",
        FrameKind::Config => "bytes.config",
        FrameKind::Version => "bytes.version",
        FrameKind::Call => "bytes.call",
        FrameKind::Claim => "bytes.claim",
    }
}
