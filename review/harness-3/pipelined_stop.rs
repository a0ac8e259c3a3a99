//! A node is stopped as planned while a consumer's quick requests wait behind a long one on their
//! connection.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, Fleet, Machine, Record, Route, ROUTE_HOST};
use crate::http::{request, Connection};
use crate::store::Store;
use crate::Outcome;

/// `gracePeriodS` of the deployments that the settings follow.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time budget and `timeoutMs` of the requests, those of `ficha-corredor` in the sheet of `demands/`.
const TIME_BUDGET: Duration = Duration::from_millis(12_000);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(6000);
/// Work of the long request, within its latency target of 6 s; the others take `QUICK_WORK`.
const LONG_WORK: Duration = Duration::from_millis(5700);
const QUICK_WORK: Duration = Duration::from_millis(30);
const QUICK_REQUESTS: usize = 4;
/// Time from the requests to the SIGTERM.
const LEAD_TO_STOP: Duration = Duration::from_millis(200);
const MACHINES: &[Machine] = &[
    ("nave-a", "other"),
    ("nave-a", "records"),
    ("nave-b", "records"),
];

pub fn run(folder: &Path, with_trouble: bool) -> Outcome {
    let record = Record::new();
    let store = Store::start("127.0.0.1", 1000, 1e9);
    let route = Route {
        name: "r-records",
        prefix: "/records/",
        service: "records",
        idempotent: true,
        timeout_ms: ROUTE_TIMEOUT.as_millis() as u64,
    };
    store.put("op/config", &config(3, &[route], 0));
    let mut fleet = Fleet::start(store, MACHINES, QUICK_WORK);
    if let Err(reason) = fleet.wait_until_ready() {
        return Outcome::CouldNotRun(reason);
    }
    for target in &fleet.targets {
        target.set_long_work("/records/long", LONG_WORK);
    }
    let address = fleet.nodes[0].host.outbound;
    let Some(mut connection) = Connection::open(address, Duration::from_secs(1)) else {
        return Outcome::CouldNotRun("no connection to the node".to_owned());
    };
    let sent = Instant::now();
    let ids: Vec<String> = (0..=QUICK_REQUESTS).map(|index| format!("b{index:07x}")).collect();
    for (index, id) in ids.iter().enumerate() {
        let path = if index == 0 { "/records/long" } else { "/records/quick" };
        let budget = TIME_BUDGET.as_millis().to_string();
        let headers = [
            ("Host", ROUTE_HOST),
            ("X-Sequoiagw-Attempt-Id", id.as_str()),
            ("X-Sequoiagw-Deadline-Ms", budget.as_str()),
        ];
        if connection.write(&request("GET", path, &headers, b"")).is_none() {
            return Outcome::CouldNotRun("the requests couldn't be sent".to_owned());
        }
        record.add(format!("{id} ({path}) sent to {} on one connection", fleet.nodes[0].host.name));
    }
    thread::sleep(LEAD_TO_STOP);
    let stopped = Instant::now();
    if with_trouble {
        fleet.nodes[0].signal("TERM");
        record.add(format!("SIGTERM to {}; SIGKILL would follow after {GRACE_PERIOD:?}", fleet.nodes[0].host.name));
    }
    let mut answered = 0;
    let mut ended = None;
    for id in &ids {
        match connection.read(Some(sent + TIME_BUDGET)) {
            Some(answer) => {
                answered += 1;
                record.add(format!("answer {} to {id}, body {:?}", answer.status(), answer.text()));
            }
            None => {
                ended = Some(Instant::now());
                record.add(format!("the connection ends without an answer to {id}"));
                break;
            }
        }
    }
    if with_trouble {
        let has_ended = fleet.nodes[0].wait(GRACE_PERIOD);
        record.add(format!("the process has ended: {has_ended}"));
    }
    let runs = fleet.runs.lock().unwrap().clone();
    for run in &runs {
        record.add_at(run.at, format!("{} runs at {} of {}", run.id, run.target, run.service));
    }
    // Passed on, and its target was done before the last sixth of the grace period.
    let last_sixth = stopped + GRACE_PERIOD * 5 / 6;
    let was_run = |id: &String| {
        runs.iter().any(|run| run.id == *id && run.at + QUICK_WORK < last_sixth)
    };
    // Not counted: the long request, at which its target is still at work in the last sixth of
    // `gracePeriodS`, and a request that wasn't passed on. Neither limit of time may have been reached.
    let in_time = ended.is_none_or(|ended| ended.duration_since(sent) < ROUTE_TIMEOUT);
    let lost: Vec<&String> = ids.iter().enumerate().skip(answered.max(1)).map(|(_, id)| id).collect();
    let lost: Vec<&String> = lost.into_iter().filter(|id| was_run(id)).collect();
    let summary = format!(
        "{answered} of {} answered; {} quick requests were run by a target, the last by {:.2} s before the SIGTERM, and never answered; the connection ended {} after the SIGTERM",
        ids.len(),
        lost.len(),
        stopped
            .saturating_duration_since(runs.iter().map(|run| run.at).max().unwrap_or(sent) + QUICK_WORK)
            .as_secs_f64(),
        ended.map_or("not".to_owned(), |at| format!("{:.2} s", at.duration_since(stopped).as_secs_f64()))
    );
    println!("{summary}");
    record.add(summary);
    record.write(folder);
    if runs.len() < ids.len() {
        return Outcome::CouldNotRun("not all requests were passed on".to_owned());
    }
    if !lost.is_empty() && in_time {
        Outcome::Broken
    } else if answered == ids.len() {
        Outcome::Held
    } else {
        Outcome::CouldNotRun("the requests were answered in part, beyond a limit of time".to_owned())
    }
}
