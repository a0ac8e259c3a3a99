//! Pipelined requests of unlike lengths on a connection of a node that is about to stop as planned.

use std::time::Duration;

use sequoiagw_platform_standins::encode_pipeline;
use sequoiagw_platform_standins::BackendRun;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::caller_load::LoadContext;
use crate::guarantee_checker::GuaranteeKind;

/// Path of the first request, whose backend server is at work when the grace period ends.
pub(crate) const LONG_PATH: &str = "/report/long";
/// Time that a backend server takes for it.
pub(crate) const LONG_RUN: Duration = Duration::from_secs(8);
/// Path of the requests behind it.
const SHORT_PATH: &str = "/report/short";
const SHORT_REQUESTS: usize = 4;
/// Time that the caller waits for each answer.
const REQUEST_DEADLINE: Duration = Duration::from_secs(10);
/// Time from the requests to the signal.
pub(crate) const PIPELINE_LEAD: Duration = Duration::from_millis(200);
/// Time within which the connection must end.
const CONNECTION_LIMIT: Duration = Duration::from_secs(8);
/// Time before the end of the connection by which a backend server's answer must have been given to reach
/// the caller.
const DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Sends the requests, reads until the connection ends, and reports answers that backend servers gave and
/// that never arrived.
pub(crate) async fn check_pipeline(context: LoadContext, node_index: usize, number: u64) {
    let started_at = Instant::now();
    let ids: Vec<String> = (0..=SHORT_REQUESTS)
        .map(|index| format!("p{node_index}-{number}-{index}"))
        .collect();
    let address = context.fleet.nodes[node_index].caller_address;
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let path = |index| if index == 0 { LONG_PATH } else { SHORT_PATH };
    let requests = ids.iter().enumerate();
    let requests: Vec<_> = requests
        .map(|(index, id)| (path(index), id.as_str()))
        .collect();
    let requests = encode_pipeline(&requests, REQUEST_DEADLINE);
    if stream.write_all(requests.as_bytes()).await.is_err() {
        return;
    }
    let mut received = Vec::new();
    // What arrived until the connection ended or the limit was over counts.
    let _ = timeout(CONNECTION_LIMIT, stream.read_to_end(&mut received)).await;
    let ended_at = Instant::now();
    if context.faults.may_affect(started_at) {
        return;
    }
    let text = String::from_utf8_lossy(&received);
    let nodes = context.fleet.nodes.iter();
    let runs: Vec<BackendRun> = nodes.flat_map(|node| node.backend.all_runs()).collect();
    for id in &ids {
        let was_answered = runs.iter().any(|run| {
            let answered_at = run.answered_at.filter(|_| run.id == *id);
            answered_at.is_some_and(|at| at + DELIVERY_TIME < ended_at)
        });
        if was_answered && !text.contains(&format!("\r\n\r\n{id}")) {
            let detail = format!("pipelined at node {node_index}, which stopped as planned");
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(GuaranteeKind::LostAnswer, id, &detail);
        }
    }
}
