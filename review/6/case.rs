//! DRAIN: a target that has restarted under its id leaves before a check-in of its new lifetime has
//! arrived. The leave notice is acknowledged, and a late check-in puts the target in use again.

#[path = "../harness-2/mod.rs"]
mod harness;

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use harness::caller::{call, Request};
use harness::fleet::{Fleet, FleetPlan};
use harness::node::CALLER_PORT;
use harness::{has_trouble, record, run_case, unix_ms, BROKEN, HELD, NOT_RUN};

const CONFIG: &str = r#"{"version":"r7","routes":[{"name":"r-order","host":"hulo84.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":1500,"aimMs":800,"priority":0,"service":"orders","maxAttempts":2}],"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
/// Machine whose target crashes and leaves.
const LEAVING: usize = 1;
const INSTANCE: &str = "i-side-b-1";
/// How long the target is down.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// From the restart to the leave notice, less than an interval of check-ins.
const BEFORE_LEAVE_MS: u64 = 1000;
/// How late the first check-in of the new lifetime arrives.
const CHECK_IN_DELAY_MS: u64 = 2500;
/// `drainTimeoutMs` of the deployment.
const DRAIN_TIMEOUT_MS: u64 = 2000;
/// How long the target serves after the acknowledgement before it exits.
const SERVED_MS: u64 = 6000;

fn main() {
    std::process::exit(run_case(run));
}

fn run(root: &Path) -> i32 {
    let plan = FleetPlan {
        machines: &[
            ("side-a-1", "eun-a", "catalog"),
            ("side-b-1", "eun-b", "orders"),
            ("side-c-1", "eun-c", "orders"),
            ("side-b-2", "eun-b", "orders"),
        ],
        contracts: &[],
        config: CONFIG,
    };
    let Some(fleet) = Fleet::start(&plan, root) else {
        return NOT_RUN;
    };
    let entry = fleet.nodes[0].machine.at(CALLER_PORT);
    let order = |id: &str| {
        let request = Request {
            method: "POST",
            path: "/order/1?work=150",
            host: "hulo84.example",
            id,
            deadline: Duration::from_millis(1500),
            headers: Vec::new(),
            body: b"20 jackets",
        };
        call(entry, &request)
    };
    let target = fleet.backends[LEAVING].clone();
    // Without the disruption the same lifetime goes on.
    if has_trouble() {
        target.crash();
        sleep(DOWN_TIME);
        target.begin_lifetime(INSTANCE, unix_ms());
    }
    // The check-in that is sent now arrives late.
    target.stop_check_ins();
    let began_ms = record::now_ms();
    let (instance, born_ms, sequence) = target.identity();
    let mut number = 0;
    while record::now_ms() < began_ms + BEFORE_LEAVE_MS {
        order(&format!("before-{number}"));
        number += 1;
    }
    if target.leave() != Some(200) {
        record::say("the leave notice wasn't acknowledged");
        return HELD;
    }
    let acked_ms = record::now_ms();
    sleep(Duration::from_millis(
        (began_ms + CHECK_IN_DELAY_MS).saturating_sub(acked_ms),
    ));
    let status = target.send_check_in(&instance, born_ms, sequence + 1, "ready");
    record::line(&format!(
        "target: the check-in of {INSTANCE} born {born_ms} from before the leave notice arrives -> {status:?}"
    ));
    let mut number = 0;
    while record::now_ms() < acked_ms + SERVED_MS {
        order(&format!("after-{number}"));
        number += 1;
    }
    target.crash();
    let runs = target.runs();
    let late = runs
        .iter()
        .filter(|run| run.began_ms > acked_ms + DRAIN_TIMEOUT_MS);
    let late = late.count();
    record::say(&format!(
        "of {number} requests sent after the late check-in, {late} reached the target over 2 s after \
         its leave notice was acknowledged"
    ));
    if late == 0 {
        HELD
    } else {
        BROKEN
    }
}
