//! Requests that crash the backend servers that run them, sent again and again to real node
//! processes.

mod fleet;

use std::time::Duration;

use fleet::CallerAnswer;
use fleet::CrashFleet;
use fleet::NODE_COUNT;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

/// Crashes by one request after which it is held back.
const CRASHES_UNTIL_HELD: usize = 3;
/// Time after the last of these within which all nodes know of it.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Runs of the request that may still begin after that.
const LATER_RUNS_ALLOWED: usize = 3;
/// Time for which the request is repeated.
const REPEAT_TIME: Duration = Duration::from_secs(9);
/// Time between two repeats, each of which enters at the next node.
const REPEAT_INTERVAL: Duration = Duration::from_millis(120);

/// Sends a request through each node in turn, until it is over.
async fn repeat_at_all_nodes(fleet: &CrashFleet, method: &str, path: &str) -> Vec<CallerAnswer> {
    let mut answers = Vec::new();
    let started = Instant::now();
    let mut node = 0;
    while started.elapsed() < REPEAT_TIME {
        answers.push(fleet.caller(node).send(method, path).await);
        node = (node + 1) % NODE_COUNT;
        sleep(REPEAT_INTERVAL).await;
    }
    answers
}

/// Number of runs that began after all nodes had the time to learn of the crashes before.
fn runs_after_held(fleet: &CrashFleet, path: &str) -> usize {
    let times = fleet.run_times(path);
    let Some(held_at) = times.get(CRASHES_UNTIL_HELD - 1) else {
        return 0;
    };
    let is_late = |time: &&Instant| **time > *held_at + SPREAD_TIME;
    times.iter().filter(is_late).count()
}

async fn expect_few_runs(run: u32, method: &str, path: &str) {
    let fleet = CrashFleet::start(run).await;
    fleet.crash_on_path(path);
    repeat_at_all_nodes(&fleet, method, path).await;
    let late_runs = runs_after_held(&fleet, path);
    assert!(
        late_runs <= LATER_RUNS_ALLOWED,
        "{late_runs} late runs of {}",
        fleet.run_times(path).len()
    );
}

#[tokio::test]
async fn idempotent_request_that_crashed_three_servers_is_not_sent_to_more() {
    LocalSet::new()
        .run_until(expect_few_runs(0, "GET", "/look/poison"))
        .await;
}

#[tokio::test]
async fn non_idempotent_request_that_crashed_three_servers_is_not_sent_to_more() {
    LocalSet::new()
        .run_until(expect_few_runs(1, "POST", "/order/poison"))
        .await;
}
