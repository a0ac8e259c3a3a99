//! Pipelined requests of unlike lengths on connections of nodes in a planned stop.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiagw_platform_standins::encode_pipeline;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::fleet::ProcessFleet;
use crate::fleet::NODE_COUNT;

/// Grace period in the nodes' settings.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Start of the last sixth of the grace period, before which the node may not answer for a backend server
/// at work.
const LAST_SIXTH: Duration = Duration::from_secs(5);
/// Time from the requests to the signal.
const LEAD: Duration = Duration::from_millis(200);
/// Time that a backend server takes for most requests.
const SHORT_RUN: Duration = Duration::from_millis(30);
/// Time for the first request of a connection: its backend server is at work when the grace period ends.
const ENDLESS_RUN: Duration = Duration::from_secs(8);
/// The same, ended just before the last sixth of the grace period.
const LONG_RUN: Duration = Duration::from_millis(4800);
const SHORT_REQUESTS: usize = 4;
/// Time that the caller waits for each answer.
const REQUEST_DEADLINE: Duration = Duration::from_secs(10);

/// Statuses of the replies on a connection, with the times of their arrival after the signal.
struct PipelineReplies {
    replies: Vec<(u16, Duration)>,
    /// Bodies in the order of their arrival, which backend servers fill with the request's id.
    text: String,
}

/// Sends a long request and short ones behind it, then reads until the connection ends.
async fn send_pipeline(node: SocketAddr, first: &str, signal: Instant) -> PipelineReplies {
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    let long_path = format!("/report/{first}");
    let ids: Vec<String> = (0..SHORT_REQUESTS)
        .map(|number| format!("{first}-{number}"))
        .collect();
    let short = ids.iter().map(|id| ("/report/short", id.as_str()));
    let requests: Vec<_> = std::iter::once((&*long_path, first)).chain(short).collect();
    let requests = encode_pipeline(&requests, REQUEST_DEADLINE);
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("a successful write");
    let mut replies = PipelineReplies {
        replies: Vec::new(),
        text: String::new(),
    };
    let mut part = [0; 4096];
    while let Ok(Ok(read @ 1..)) = timeout(2 * GRACE_PERIOD, stream.read(&mut part)).await {
        let part = String::from_utf8_lossy(&part[..read]);
        replies.text.push_str(&part);
        let heads = part.split("HTTP/1.1 ").skip(1);
        let statuses = heads.filter_map(|head| head.get(..3)?.parse().ok());
        let arrival = signal.elapsed();
        replies
            .replies
            .extend(statuses.map(|status| (status, arrival)));
    }
    replies
}

/// Sends a pipeline of each kind to node 0, and SIGTERM to the first `stopped` nodes.
async fn stop_under_pipelines(run: u32, stopped: usize) -> [PipelineReplies; 2] {
    let fleet = ProcessFleet::start(run, SHORT_RUN).await;
    for node in &fleet.nodes {
        node.backend.set_run_time("/report/endless", ENDLESS_RUN);
        node.backend.set_run_time("/report/long", LONG_RUN);
    }
    let signal = Instant::now() + LEAD;
    let node = fleet.nodes[0].callers;
    let endless = tokio::task::spawn_local(send_pipeline(node, "endless", signal));
    let long = tokio::task::spawn_local(send_pipeline(node, "long", signal));
    sleep(LEAD).await;
    for node in &fleet.nodes[..stopped] {
        node.process.signal("TERM");
    }
    [
        endless.await.expect("the connection ends"),
        long.await.expect("the connection ends"),
    ]
}

/// Checks that nobody lost a reply, and that no answer of the node's own came too early.
fn check_replies([endless, long]: &[PipelineReplies; 2]) {
    assert_eq!(
        endless.replies.len(),
        1 + SHORT_REQUESTS,
        "{}",
        endless.text
    );
    let (status, arrival) = endless.replies[0];
    assert_eq!(status, 504, "the request may have run: {}", endless.text);
    assert!(arrival >= LAST_SIXTH, "answered after {arrival:?}");
    assert!(arrival < GRACE_PERIOD, "answered after {arrival:?}");
    assert_eq!(long.replies.len(), 1 + SHORT_REQUESTS, "{}", long.text);
    let short = endless.replies[1..].iter().chain(&long.replies);
    for (status, _) in short {
        assert_eq!(*status, 200, "{}{}", endless.text, long.text);
    }
}

/// LOST: replies that were ready waited behind a running request, and the process dropped them at its end.
#[tokio::test]
async fn replies_behind_a_long_request_arrive_before_a_stopped_process_ends() {
    let local = LocalSet::new();
    check_replies(&local.run_until(stop_under_pipelines(6, 1)).await);
}

/// LOST: the same where the nodes next to the backend servers are stopped at the same moment.
#[tokio::test]
async fn replies_behind_a_long_request_arrive_when_all_nodes_are_stopped() {
    let local = LocalSet::new();
    check_replies(&local.run_until(stop_under_pipelines(7, NODE_COUNT)).await);
}
