//! DRAIN: a leave notice that was acknowledged while the store was down is forgotten when all
//! processes are killed, and the leaving target gets work again.

#[path = "../harness-2/mod.rs"]
mod harness;

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use harness::caller::{call, Request};
use harness::fleet::{Fleet, FleetPlan};
use harness::node::CALLER_PORT;
use harness::store::Access;
use harness::{has_trouble, record, run_case, BROKEN, HELD, NOT_RUN};

const CONFIG: &str = r#"{"version":"r7","routes":[{"name":"r-deposit","host":"hulo84.example","prefix":"/deposit/","routeKind":"non_idempotent","timeoutMs":1200,"aimMs":500,"priority":0,"service":"caja","maxAttempts":2}],"services":[{"name":"caja","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
/// Machine whose target leaves.
const LEAVING: usize = 1;
/// From the start of the store's outage to the leave notice.
const BEFORE_LEAVE: Duration = Duration::from_millis(1000);
/// From the acknowledgement to the kill.
const BEFORE_KILL: Duration = Duration::from_millis(50);
/// For how long all processes are down.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Order in which the machines start again, within 0.3 s of each other.
const START_ORDER: [usize; 3] = [0, 2, LEAVING];
const START_GAP: Duration = Duration::from_millis(120);
/// From the acknowledgement to the arrival of a check-in from before the leave notice.
const LATE_CHECK_IN_MS: u64 = 2500;
/// `drainTimeoutMs` of the deployment.
const DRAIN_TIMEOUT_MS: u64 = 2000;
/// From the acknowledgement on: `stableWindowMs` after the start of the processes and the return
/// of the store, so that all machines are in touch and the core is stable.
const IN_TOUCH_MS: u64 = 5000;
/// How long the leaving target serves after the acknowledgement before it exits.
const SERVED_MS: u64 = 9000;

fn main() {
    std::process::exit(run_case(run));
}

fn run(root: &Path) -> i32 {
    let plan = FleetPlan {
        machines: &[
            ("side-a-1", "nave-a", "certdesk"),
            ("side-b-1", "nave-b", "caja"),
            ("side-c-1", "oficina", "caja"),
        ],
        contracts: &[],
        config: CONFIG,
    };
    let Some(mut fleet) = Fleet::start(&plan, root) else {
        return NOT_RUN;
    };
    let entry = fleet.nodes[0].machine.at(CALLER_PORT);
    let deposit = |id: &str| {
        let request = Request {
            method: "PUT",
            path: "/deposit/1?work=150",
            host: "hulo84.example",
            id,
            deadline: Duration::from_millis(1200),
            headers: Vec::new(),
            body: b"40000",
        };
        call(entry, &request)
    };
    for number in 0..8 {
        if deposit(&format!("before-{number}")).outcome.status() != Some(200) {
            return NOT_RUN;
        }
    }
    let leaving = fleet.backends[LEAVING].clone();
    if leaving.runs().is_empty() {
        record::say("the target got no work before it left");
        return NOT_RUN;
    }
    if has_trouble() {
        fleet.set_store(Access::Refusing);
    }
    sleep(BEFORE_LEAVE);
    let (instance, born_ms, sequence) = leaving.identity();
    if leaving.leave() != Some(200) {
        record::say("the leave notice wasn't acknowledged");
        return HELD;
    }
    let acked_ms = record::now_ms();
    if has_trouble() {
        sleep(BEFORE_KILL);
        for node in &mut fleet.nodes {
            node.kill();
        }
        sleep(DOWN_TIME);
        fleet.set_store(Access::Serving);
        for host in START_ORDER {
            if fleet.nodes[host].start_again().is_err() {
                return NOT_RUN;
            }
            sleep(START_GAP);
        }
    }
    wait_until(acked_ms + LATE_CHECK_IN_MS);
    let status = leaving.send_check_in(&instance, born_ms, sequence + 1, "ready");
    record::line(&format!(
        "target: a check-in from before the leave notice arrives -> {status:?}"
    ));
    wait_until(acked_ms + IN_TOUCH_MS);
    let mut number = 0;
    while record::now_ms() < acked_ms + SERVED_MS {
        deposit(&format!("after-{number}"));
        number += 1;
    }
    leaving.crash();
    let late = leaving.runs();
    let late: Vec<_> = late
        .iter()
        .filter(|run| run.began_ms > acked_ms + DRAIN_TIMEOUT_MS)
        .collect();
    record::say(&format!(
        "{} of {number} requests sent 5 to 9 s after the acknowledgement reached the target that had left",
        late.len()
    ));
    if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}

fn wait_until(at_ms: u64) {
    sleep(Duration::from_millis(
        at_ms.saturating_sub(record::now_ms()),
    ));
}
