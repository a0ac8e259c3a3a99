//! Requests that crash the backend servers that run them, sent again and again.

use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::fleet::CallerAnswer;
use crate::fleet::ProcessFleet;
use crate::fleet::DOWNTIME;
use crate::fleet::NODE_COUNT;

/// Time that a backend server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
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
/// Time within which a request that is held back must be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Shortest time after which the caller of such a request may be asked to return, in seconds.
const MIN_RETRY_AFTER_S: f64 = 5.0;

/// Sends a request through each node in turn, until it is over. `query_of` returns what is added to
/// the path of the repeat with a number.
async fn repeat_at_all_nodes<QueryOf>(
    fleet: &ProcessFleet,
    method: &str,
    path: &str,
    query_of: QueryOf,
) -> Vec<CallerAnswer>
where
    QueryOf: Fn(usize) -> String,
{
    let mut answers = Vec::new();
    let started = Instant::now();
    while started.elapsed() < REPEAT_TIME {
        let number = answers.len();
        let path = format!("{path}{}", query_of(number));
        let mut caller = fleet.caller(number % NODE_COUNT);
        answers.push(caller.send(method, &path).await);
        sleep(REPEAT_INTERVAL).await;
    }
    answers
}

/// Number of runs that began after all nodes had the time to learn of the crashes before.
fn runs_after_held(fleet: &ProcessFleet, path: &str) -> usize {
    let times = fleet.run_times(path);
    let Some(held_at) = times.get(CRASHES_UNTIL_HELD - 1) else {
        return 0;
    };
    let is_late = |time: &&Instant| **time > *held_at + SPREAD_TIME;
    times.iter().filter(is_late).count()
}

fn assert_held(fleet: &ProcessFleet, path: &str) {
    let runs = fleet.run_times(path).len();
    let late_runs = runs_after_held(fleet, path);
    assert!(runs >= CRASHES_UNTIL_HELD, "{runs} runs");
    assert!(
        late_runs <= LATER_RUNS_ALLOWED,
        "{late_runs} late runs of {runs}"
    );
}

async fn expect_few_runs(run: u32, method: &str, path: &str) {
    let fleet = ProcessFleet::start(run, SERVICE_TIME).await;
    fleet.crash_on_path(path);
    let answers = repeat_at_all_nodes(&fleet, method, path, |_| String::new()).await;
    assert_held(&fleet, path);
    let last = answers.last().expect("an answer");
    assert_eq!(last.status(), 503, "{last:?}");
    assert!(last.took < REFUSAL_TIME, "{last:?}");
    let retry_after = last.retry_after().unwrap_or_default();
    assert!(retry_after >= MIN_RETRY_AFTER_S, "{last:?}");
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

#[tokio::test]
async fn request_that_crashed_three_servers_is_not_sent_to_more_under_other_queries() {
    let scenario = async {
        let fleet = ProcessFleet::start(2, SERVICE_TIME).await;
        fleet.crash_on_path("/look/poison");
        let query_of = |number| match number % 3 {
            0 => String::new(),
            _ => format!("?page={number}"),
        };
        repeat_at_all_nodes(&fleet, "GET", "/look/poison", query_of).await;
        assert_held(&fleet, "/look/poison");
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn restarted_node_does_not_send_on_a_request_that_crashed_three_servers() {
    let scenario = async {
        let mut fleet = ProcessFleet::start(3, SERVICE_TIME).await;
        fleet.crash_on_path("/look/poison");
        repeat_at_all_nodes(&fleet, "GET", "/look/poison", |_| String::new()).await;
        let runs = fleet.run_times("/look/poison").len();
        let restarted = &mut fleet.nodes[0].process;
        restarted.kill();
        restarted.start().expect("the process starts");
        fleet.wait_until_serving().await;
        sleep(SPREAD_TIME).await;
        let answer = fleet.caller(0).get("/look/poison").await;
        assert_eq!(answer.status(), 503, "{answer:?}");
        assert_eq!(fleet.run_times("/look/poison").len(), runs);
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn equal_reads_beside_crashes_of_their_servers_are_still_served() {
    let scenario = async {
        let fleet = ProcessFleet::start(4, SERVICE_TIME).await;
        let read_all = async || {
            for node in 0..NODE_COUNT {
                let answer = fleet.caller(node).get("/look/list").await;
                assert!(answer.is_served(), "{answer:?}");
            }
        };
        for round in 0..4 {
            read_all().await;
            let reads = (0..NODE_COUNT).map(|node| {
                let mut caller = fleet.caller(node);
                tokio::task::spawn_local(async move { caller.get("/look/list").await })
            });
            let reads: Vec<_> = reads.collect();
            sleep(Duration::from_millis(8)).await;
            for node in &fleet.nodes[round % 2..] {
                let backend = node.backend.clone();
                tokio::task::spawn_local(async move { backend.end_process(DOWNTIME).await });
            }
            for read in reads {
                read.await.expect("the read ends");
            }
            sleep(DOWNTIME + SPREAD_TIME).await;
        }
        read_all().await;
    };
    LocalSet::new().run_until(scenario).await;
}
