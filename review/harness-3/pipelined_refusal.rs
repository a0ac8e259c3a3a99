//! A consumer pipelines idempotent requests, one of which the node refuses while it reads it.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, Fleet, Machine, Record, Route, ROUTE_HOST};
use crate::http::{request, Connection};
use crate::store::Store;
use crate::Outcome;

/// `maxHeaderBytes` of the configuration.
const MAX_HEADER_BYTES: usize = 16_384;
/// Requests that are sent before the last one.
const REQUESTS: usize = 16;
/// Headers of the last request, and without the disruption.
const MANY_HEADERS: usize = 120;
const FEW_HEADERS: usize = 20;
/// Size of the answers; those of `catalog-read` have up to 30,000 bytes.
const ANSWER_BYTES: usize = 20_000;
const WORK: Duration = Duration::from_millis(100);
const TIME_BUDGET: Duration = Duration::from_millis(1200);
/// Pipelines that one consumer sends, each on a connection of its own.
const PIPELINES: usize = 10;
const MACHINES: &[Machine] = &[("eun-a", "catalog"), ("eun-a", "catalog"), ("eun-b", "catalog")];

pub fn run(folder: &Path, with_trouble: bool) -> Outcome {
    let record = Record::new();
    let store = Store::start("127.0.0.1", 1000, 1e9);
    let route = Route {
        name: "r-catalog",
        prefix: "/catalog/",
        service: "catalog",
        idempotent: true,
        timeout_ms: TIME_BUDGET.as_millis() as u64,
    };
    store.put("op/config", &config(3, &[route], 0));
    let fleet = Fleet::start(store, MACHINES, WORK);
    if let Err(reason) = fleet.wait_until_ready() {
        return Outcome::CouldNotRun(reason);
    }
    for target in &fleet.targets {
        target.set_answer_bytes(ANSWER_BYTES);
    }
    let last_headers = if with_trouble { MANY_HEADERS } else { FEW_HEADERS };
    let extra: Vec<(String, &str)> =
        (0..last_headers).map(|index| (format!("X-Baggage-{index}"), "eun-a")).collect();
    let size: usize = extra.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    record.add(format!(
        "{PIPELINES} times {REQUESTS} requests and one more with {last_headers} further headers ({size} bytes; maxHeaderBytes is {MAX_HEADER_BYTES})"
    ));
    let mut whole = 0;
    let mut wrong = 0;
    let mut malformed = 0;
    let mut last_answers = Vec::new();
    for pipeline in 0..PIPELINES {
        let node = &fleet.nodes[pipeline % fleet.nodes.len()].host;
        let Some(mut connection) = Connection::open(node.outbound, Duration::from_secs(1)) else {
            return Outcome::CouldNotRun("no connection to a node".to_owned());
        };
        let sent = Instant::now();
        let ids: Vec<String> = (0..=REQUESTS).map(|index| format!("f{pipeline:03x}{index:04x}")).collect();
        let budget = TIME_BUDGET.as_millis().to_string();
        let mut bytes = Vec::new();
        for (index, id) in ids.iter().enumerate() {
            let mut headers = vec![
                ("Host", ROUTE_HOST),
                ("X-Sequoiagw-Attempt-Id", id.as_str()),
                ("X-Sequoiagw-Deadline-Ms", budget.as_str()),
            ];
            if index == REQUESTS {
                headers.extend(extra.iter().map(|(name, value)| (name.as_str(), *value)));
            }
            bytes.extend(request("GET", "/catalog/7", &headers, b""));
        }
        if connection.write(&bytes).is_none() {
            return Outcome::CouldNotRun("the requests couldn't be sent".to_owned());
        }
        record.add(format!("{} to {} sent to {} on one connection", ids[0], ids[REQUESTS], node.name));
        for (index, id) in ids.iter().enumerate() {
            let Some(answer) = connection.read(Some(sent + TIME_BUDGET * 2)) else {
                record.add(format!("the connection ends without a whole answer to {id}"));
                break;
            };
            if !answer.start.starts_with("HTTP/1.1 ") {
                let start: String = answer.start.chars().take(40).collect();
                malformed += 1;
                record.add(format!(
                    "what follows is no answer (it begins with {start:?}); the consumer closes the connection, without an answer to {id} and the rest"
                ));
                break;
            }
            let is_signed = !answer.header("X-Sequoiagw-Server-Signature").is_empty();
            let named = answer.header("X-Sequoiagw-Attempt-Id").to_owned();
            let expected = fleet.targets[0].answer_body(id);
            let is_wrong = answer.status() == 200 && (!is_signed || named != *id || answer.body != expected);
            whole += usize::from(answer.status() == 200 && !is_wrong);
            wrong += usize::from(is_wrong);
            if index == REQUESTS {
                last_answers.push(answer.status());
            }
            let start: String = answer.text().chars().take(60).collect();
            record.add(format!(
                "answer {} to {id}: names {named:?}, signed {is_signed}, {} bytes, begins with {start:?}{}",
                answer.status(),
                answer.body.len(),
                if is_wrong { " AGAINST THE RULE" } else { "" }
            ));
        }
        thread::sleep(Duration::from_millis(300));
    }
    for run in fleet.runs.lock().unwrap().iter() {
        record.add_at(run.at, format!("{} runs at {}", run.id, run.target));
    }
    let summary = format!(
        "{} requests in {PIPELINES} pipelines: {whole} whole answers, {wrong} signed successes with another body than the target sent, {malformed} times bytes that are no answer after it; the last requests got {last_answers:?}",
        PIPELINES * (REQUESTS + 1)
    );
    println!("{summary}");
    record.add(summary);
    record.write(folder);
    if wrong > 0 {
        Outcome::Broken
    } else if whole == 0 {
        Outcome::CouldNotRun("nothing was served".to_owned())
    } else {
        Outcome::Held
    }
}
