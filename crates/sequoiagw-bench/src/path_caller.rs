//! HTTP callers of the latency benchmark.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::REQUEST_ID_HEADER;
use tokio::net::TcpStream;
use tokio::time::sleep_until;
use tokio::time::Instant;

/// Largest latency that the histogram resolves; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Address and path to which a call is sent.
#[derive(Clone, Debug)]
pub(crate) struct CallEndpoint {
    /// Address of the server.
    pub(crate) address: SocketAddr,
    /// Path of the request.
    pub(crate) path: String,
}

/// Latencies and errors of the calls to one endpoint.
pub(crate) struct LatencyStats {
    /// Latencies of successful calls in microseconds.
    pub(crate) latencies: Histogram<u64>,
    /// Number of calls that failed or got a wrong answer.
    pub(crate) errors: u64,
}

impl LatencyStats {
    /// Builds empty statistics.
    ///
    /// Errors: the histogram can't be built.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self {
            latencies: Histogram::new_with_max(MAX_LATENCY_US, 3)?,
            errors: 0,
        })
    }

    /// Adds the latencies and errors of `other`.
    pub(crate) fn merge(&mut self, other: &Self) {
        let _ = self.latencies.add(&other.latencies);
        self.errors += other.errors;
    }
}

/// Calls two endpoints alternately at a steady rate, over one connection to each. `rate` is in
/// calls a second for both together.
///
/// Errors: an endpoint refuses the connection.
pub(crate) async fn call_alternately(
    endpoints: [CallEndpoint; 2],
    rate: f64,
    duration: Duration,
    seed: u64,
) -> eyre::Result<[LatencyStats; 2]> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut senders = [
        connect(endpoints[0].address).await?,
        connect(endpoints[1].address).await?,
    ];
    let mut endpoint_stats = [LatencyStats::new()?, LatencyStats::new()?];
    let end = Instant::now() + duration;
    let mut next_call = Instant::now() + Duration::from_secs_f64(rng.random_range(0.0..1.0) / rate);
    let mut sequence = 0u64;
    while next_call < end {
        sleep_until(next_call).await;
        let index = (sequence % 2) as usize;
        sequence += 1;
        let id = format!("{seed:x}-{sequence}");
        let started = std::time::Instant::now();
        match call(&mut senders[index], &endpoints[index], &id).await {
            Ok(true) => {
                endpoint_stats[index]
                    .latencies
                    .saturating_record(started.elapsed().as_micros() as u64);
            }
            Ok(false) => endpoint_stats[index].errors += 1,
            Err(_) => {
                endpoint_stats[index].errors += 1;
                senders[index] = connect(endpoints[index].address).await?;
            }
        }
        let interval = rng.random_range(0.5..1.5) / rate;
        next_call = (next_call + Duration::from_secs_f64(interval)).max(Instant::now());
    }
    Ok(endpoint_stats)
}

async fn connect(address: SocketAddr) -> eyre::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

async fn call(
    sender: &mut SendRequest<Full<Bytes>>,
    endpoint: &CallEndpoint,
    id: &str,
) -> eyre::Result<bool> {
    sender.ready().await?;
    let request = Request::builder()
        .method("POST")
        .uri(&endpoint.path)
        .header("host", "bench")
        .header(REQUEST_ID_HEADER, id)
        .body(Full::new(Bytes::from_static(b"0123456789abcdef")))?;
    let response = sender.send_request(request).await?;
    let ok = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(ok && body == format!("{id} {}", endpoint.path).as_bytes())
}
