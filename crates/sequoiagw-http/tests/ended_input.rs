//! Callers that end their sending side, or leave, while their requests run.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiagw_http::serve_connection;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_http::ServerLimits;
use sequoiagw_http::ServerPhase;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;

const LIMITS: ServerLimits = ServerLimits {
    max_header_bytes: 4096,
    max_body_bytes: 4096,
    request_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};
/// Run time of a request that no test waits for, in milliseconds.
const ENDLESS_MS: u64 = 600_000;
/// Time after which a test gives up.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which the server reads what it was sent.
const SETTLING_TIME: Duration = Duration::from_millis(50);
/// Refusals in the parser, by the request that gets them.
const REFUSED_REQUESTS: [&str; 3] = [
    "no request\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n",
];

/// Reports the end of a run, whether it was finished or cancelled.
struct RunGuard {
    path: String,
    ends: mpsc::UnboundedSender<String>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let _ = self.ends.send(std::mem::take(&mut self.path));
    }
}

/// A server that replies after the delay in milliseconds that the path states.
struct DelayingServer {
    address: SocketAddr,
    /// Paths of the requests whose runs have begun.
    starts: mpsc::UnboundedReceiver<String>,
    /// Paths of the requests whose runs have ended.
    ends: mpsc::UnboundedReceiver<String>,
    _phase: watch::Sender<ServerPhase>,
}

impl DelayingServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, receiver) = watch::channel(ServerPhase::Open);
        let (start_sender, starts) = mpsc::unbounded_channel();
        let (end_sender, ends) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let phase = receiver.clone();
                let budget = BufferBudget::unlimited();
                let started = start_sender.clone();
                let ended = end_sender.clone();
                let handler = move |request: HttpRequest| {
                    let path = request.head.path.trim_start_matches('/').to_owned();
                    let _ = started.send(path.clone());
                    let guard = RunGuard {
                        path: path.clone(),
                        ends: ended.clone(),
                    };
                    async move {
                        let _guard = guard;
                        let delay_ms = path.parse().expect("a delay in milliseconds");
                        sleep(Duration::from_millis(delay_ms)).await;
                        HttpReply::json(200, path)
                    }
                };
                tokio::task::spawn_local(serve_connection(
                    stream,
                    || LIMITS,
                    budget,
                    phase,
                    handler,
                ));
            }
        });
        Self {
            address,
            starts,
            ends,
            _phase: sender,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }
}

fn encode_requests(delays_ms: &[u64]) -> String {
    let requests = delays_ms
        .iter()
        .map(|delay| format!("GET /{delay} HTTP/1.1\r\n\r\n"));
    requests.collect()
}

/// Reads to the end of the connection; returns the bodies of the final replies.
async fn read_bodies(stream: &mut TcpStream) -> Vec<String> {
    let mut received = String::new();
    timeout(TEST_TIMEOUT, stream.read_to_string(&mut received))
        .await
        .expect("the connection ends")
        .expect("the connection isn't reset");
    let replies = received.split("HTTP/1.1 ").skip(1);
    let replies = replies.filter(|reply| !reply.starts_with("100 "));
    let bodies = replies.filter_map(|reply| reply.split("\r\n\r\n").nth(1));
    bodies.map(str::to_owned).collect()
}

async fn next_of(events: &mut mpsc::UnboundedReceiver<String>) -> Option<String> {
    timeout(TEST_TIMEOUT, events.recv()).await.ok()?
}

/// LOST: a caller that had sent its last request ended its sending side, and got none of its replies.
#[tokio::test]
async fn replies_reach_a_caller_that_has_ended_its_sending_side() {
    let scenario = async {
        let server = DelayingServer::start().await;
        for count in [1, 2, 16, 17, 20] {
            let delays: Vec<u64> = (0..count).map(|index| [120, 1, 40][index % 3]).collect();
            let mut stream = server.connect().await;
            let requests = encode_requests(&delays);
            stream
                .write_all(requests.as_bytes())
                .await
                .expect("a write");
            stream.shutdown().await.expect("a shutdown");
            let expected: Vec<String> = delays.iter().map(u64::to_string).collect();
            assert_eq!(read_bodies(&mut stream).await, expected, "{count} requests");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// LOST: the same with a request behind them that isn't complete, or that the server refuses.
#[tokio::test]
async fn replies_reach_a_caller_whose_input_ends_in_a_request_without_a_run() {
    let scenario = async {
        let server = DelayingServer::start().await;
        let partial = "POST /1 HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc";
        for last in REFUSED_REQUESTS.iter().chain([&partial]) {
            let mut stream = server.connect().await;
            let requests = encode_requests(&[120, 1, 40]) + last;
            stream
                .write_all(requests.as_bytes())
                .await
                .expect("a write");
            stream.shutdown().await.expect("a shutdown");
            let bodies = read_bodies(&mut stream).await;
            assert_eq!(bodies[..3], ["120", "1", "40"], "{last}");
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// A caller with HTTP/1.0 may not be sent an interim response, so the end of its input is taken for its leaving.
#[tokio::test]
async fn caller_without_interim_responses_is_not_probed() {
    let scenario = async {
        let mut server = DelayingServer::start().await;
        let mut stream = server.connect().await;
        let request = format!("GET /{ENDLESS_MS} HTTP/1.0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("a write");
        stream.shutdown().await.expect("a shutdown");
        assert!(read_bodies(&mut stream).await.is_empty());
        assert!(next_of(&mut server.ends).await.is_some(), "cancelled");
    };
    LocalSet::new().run_until(scenario).await;
}

/// GONE: the runs of a caller that has closed its connection went on.
#[tokio::test]
async fn requests_of_a_caller_that_has_left_are_cancelled() {
    let scenario = async {
        let mut server = DelayingServer::start().await;
        let mut stream = server.connect().await;
        let requests = encode_requests(&[ENDLESS_MS, ENDLESS_MS + 1]);
        stream
            .write_all(requests.as_bytes())
            .await
            .expect("a write");
        assert!(next_of(&mut server.starts).await.is_some());
        assert!(next_of(&mut server.starts).await.is_some());
        drop(stream);
        assert!(next_of(&mut server.ends).await.is_some(), "cancelled");
        assert!(next_of(&mut server.ends).await.is_some(), "cancelled");
    };
    LocalSet::new().run_until(scenario).await;
}

/// GONE: while a refusal waited for the replies before it, nobody noticed that its caller had left.
#[tokio::test]
async fn requests_before_a_refused_one_are_cancelled_when_their_caller_leaves() {
    let scenario = async {
        let mut server = DelayingServer::start().await;
        for refused in REFUSED_REQUESTS {
            let mut stream = server.connect().await;
            let requests = encode_requests(&[ENDLESS_MS]) + refused;
            stream
                .write_all(requests.as_bytes())
                .await
                .expect("a write");
            assert!(next_of(&mut server.starts).await.is_some());
            sleep(SETTLING_TIME).await;
            drop(stream);
            assert!(next_of(&mut server.ends).await.is_some(), "{refused}");
        }
    };
    LocalSet::new().run_until(scenario).await;
}
