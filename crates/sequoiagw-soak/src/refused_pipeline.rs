//! Pipelined requests with large answers in front of one that the node refuses, or of the end of the input.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_platform_standins::encode_pipeline;
use sequoiagw_platform_standins::parse_replies;
use sequoiagw_platform_standins::repeated_id;
use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::ReceivedEnd;
use sequoiagw_platform_standins::ReceivedReplies;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::caller_load::LoadContext;
use crate::caller_load::CALL_DEADLINE;
use crate::guarantee_checker::GuaranteeKind;

/// Path of the requests, and the size of their answers: their bodies are written apart from their heads.
pub(crate) const LARGE_PATH: &str = "/look/large";
pub(crate) const LARGE_ANSWER_BYTES: usize = 30_000;
/// Largest number of requests in front of the last one; 16 run at once.
const MAX_REQUESTS: usize = 20;
/// Bounds of the pause between two pipelines at one node.
const MIN_INTERVAL_MS: u64 = 500;
const MAX_INTERVAL_MS: u64 = 2500;
/// What follows the requests: refused with 400 or 413, and the end of the input.
const PIPELINE_ENDS: [&str; 4] = [
    "no request\r\n\r\n",
    "POST /look/1 HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "POST /look/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n",
    "",
];
/// Time within which the connection must end.
const CONNECTION_LIMIT: Duration = Duration::from_secs(8);

/// Sends pipelines to one node until the load is stopped.
pub(crate) async fn run_pipelines(context: LoadContext, node: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0;
    while context.running.get() {
        number += 1;
        let count = rng.random_range(1..=MAX_REQUESTS);
        let ids: Vec<String> = (0..count)
            .map(|index| format!("r{node}-{seed:x}-{number}-{index:02}."))
            .collect();
        let end = PIPELINE_ENDS[rng.random_range(0..PIPELINE_ENDS.len())];
        check_pipeline(&context, node, &ids, end).await;
        let interval = rng.random_range(MIN_INTERVAL_MS..MAX_INTERVAL_MS);
        sleep(Duration::from_millis(interval)).await;
    }
}

async fn check_pipeline(context: &LoadContext, node: usize, ids: &[String], end: &str) {
    let started_at = Instant::now();
    let address = context.fleet.nodes[node].caller_address;
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let requests: Vec<_> = ids.iter().map(|id| (LARGE_PATH, id.as_str())).collect();
    let text = encode_pipeline(&requests, CALL_DEADLINE) + end;
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    if end.is_empty() && stream.shutdown().await.is_err() {
        return;
    }
    let mut received = Vec::new();
    // What arrived until the connection ended or the limit was over counts.
    let _ = timeout(CONNECTION_LIMIT, stream.read_to_end(&mut received)).await;
    let received = parse_replies(&received, &[]);
    let mut violations: Vec<_> = wrong_replies(&received, ids).into_iter().collect();
    if !context.faults.may_affect(started_at) {
        violations.extend(lost_reply(context, &received, ids));
    }
    for (kind, detail) in violations {
        let detail = format!("pipelined at node {node}: {detail}");
        let mut checker = context.checker.borrow_mut();
        checker.add_violation(kind, &ids[0], &detail);
    }
}

/// Answers that aren't those of their requests, and bytes that are no answers.
fn wrong_replies(received: &ReceivedReplies, ids: &[String]) -> Option<(GuaranteeKind, String)> {
    let replies = received.replies.iter().zip(ids);
    let wrong = replies.enumerate().find(|(_, (reply, id))| {
        let is_own =
            reply.signed && reply.id == **id && reply.body == repeated_id(id, LARGE_ANSWER_BYTES);
        reply.status == 200 && !is_own
    });
    let detail = match (wrong, received.end) {
        (Some((index, _)), _) => format!("reply {index} isn't its request's"),
        (None, ReceivedEnd::Unreadable(error)) => error.to_string(),
        _ => return None,
    };
    Some((GuaranteeKind::WrongAnswer, detail))
}

/// A request without any reply that a backend server has run.
fn lost_reply(
    context: &LoadContext,
    received: &ReceivedReplies,
    ids: &[String],
) -> Option<(GuaranteeKind, String)> {
    let nodes = context.fleet.nodes.iter();
    let runs: Vec<BackendRun> = nodes.flat_map(|node| node.backend.all_runs()).collect();
    let unanswered = ids.get(received.replies.len()..)?;
    let lost = unanswered
        .iter()
        .find(|id| runs.iter().any(|run| run.id == **id));
    lost.map(|id| (GuaranteeKind::LostAnswer, format!("no reply to {id}")))
}
