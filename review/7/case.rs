//! ROUTE, UNASKED: once a new version removes the last tenant, requests with any key run, and the
//! keys are passed on to targets.

#[path = "../harness-2/mod.rs"]
mod harness;

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use harness::caller::{call, Request};
use harness::fleet::{Fleet, FleetPlan};
use harness::node::CALLER_PORT;
use harness::{has_trouble, record, run_case, BROKEN, HELD, NOT_RUN};

const ROUTES: &str = r#""routes":[{"name":"r-alta","host":"hulo84.example","prefix":"/alta/","routeKind":"non_idempotent","timeoutMs":2000,"aimMs":1200,"priority":1,"service":"caja-dorsales","maxAttempts":2,"public":false}],"services":[{"name":"caja-dorsales","healthPath":"/health","maxConnections":490,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
/// The deployment's only tenant.
const TENANT: &str = r#"{"name":"club-norte","apiKeys":["kmgjqnirth5mgjy5rcpi"],"priority":1,"ratePerS":649,"burst":649}"#;
/// The same tenant without its only key.
const TENANT_WITHOUT_KEYS: &str =
    r#"{"name":"club-norte","apiKeys":[],"priority":1,"ratePerS":649,"burst":649}"#;
const TENANT_KEY: &str = "kmgjqnirth5mgjy5rcpi";
/// A key that no configuration ever holds.
const UNKNOWN_KEY: &str = "zz00neverheld00zz000";
/// `configPropagationMs` of the deployment, 2.5 s, and half a second.
const IN_FORCE: Duration = Duration::from_millis(3000);
/// Requests with each key after the change.
const REQUESTS: usize = 10;

fn main() {
    std::process::exit(run_case(run));
}

fn config(version: u64, tenants: &str) -> String {
    format!("{{\"version\":\"r{version}\",{ROUTES},\"tenants\":[{tenants}]}}")
}

fn run(root: &Path) -> i32 {
    let plan = FleetPlan {
        machines: &[
            ("side-a-1", "centro-uno", "pizarra"),
            ("side-b-1", "centro-dos", "caja-dorsales"),
            ("side-c-1", "centro-tres", "caja-dorsales"),
        ],
        contracts: &["tenants", "quota"],
        config: &config(7, TENANT),
    };
    let Some(fleet) = Fleet::start(&plan, root) else {
        return NOT_RUN;
    };
    let entry = fleet.nodes[0].machine.at(CALLER_PORT);
    let enrol = |id: &str, key: &str| {
        let request = Request {
            method: "POST",
            path: "/alta/2f?work=50",
            host: "hulo84.example",
            id,
            deadline: Duration::from_millis(4000),
            headers: vec![("X-Sequoiagw-Key", key)],
            body: b"dorsal 17",
        };
        call(entry, &request).outcome.status()
    };
    if enrol("before-tenant", TENANT_KEY) != Some(200)
        || enrol("before-unknown", UNKNOWN_KEY) != Some(401)
    {
        record::say("keys aren't checked before the change");
        return NOT_RUN;
    }
    // Without the disruption the tenant loses its only key and stays in the list.
    let tenants = if has_trouble() {
        ""
    } else {
        TENANT_WITHOUT_KEYS
    };
    fleet.store.put("op/config", &config(9, tenants));
    sleep(IN_FORCE);
    let mut unknown_ran = 0;
    let mut withdrawn_ran = 0;
    let mut keys_passed_on = 0;
    for number in 0..REQUESTS {
        for (name, key) in [("unknown", UNKNOWN_KEY), ("withdrawn", TENANT_KEY)] {
            let id = format!("{name}-{number}");
            enrol(&id, key);
            let runs = fleet.runs_of(&id);
            let passed_on = |run: &&harness::backend::Run| run.header("X-Sequoiagw-Key").is_some();
            keys_passed_on += runs.iter().filter(passed_on).count();
            match name {
                "unknown" => unknown_ran += runs.len(),
                _ => withdrawn_ran += runs.len(),
            }
        }
    }
    record::say(&format!(
        "after the change, of {REQUESTS} requests each: {unknown_ran} with a key that no configuration \
         held ran, {withdrawn_ran} with the withdrawn key ran; {keys_passed_on} targets were given a key"
    ));
    if unknown_ran + withdrawn_ran + keys_passed_on == 0 {
        HELD
    } else {
        BROKEN
    }
}
