//! DRAIN after a kill: a target whose leaving was acknowledged is in use again.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::send;
use crate::client::Attempt;
use crate::fleet::new_id;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::Route;
use crate::record::Record;
use crate::Verdict;

const PLACES: [Place; 6] = [
    Place {
        service: "orders",
        zone: "eun-a",
    },
    Place {
        service: "orders",
        zone: "eun-a",
    },
    Place {
        service: "warehouse",
        zone: "eun-a",
    },
    Place {
        service: "orders",
        zone: "eun-b",
    },
    Place {
        service: "orders",
        zone: "eun-b",
    },
    Place {
        service: "warehouse",
        zone: "eun-b",
    },
];
const ROUTES: [Route; 1] = [Route {
    name: "place-order",
    kind: "non_idempotent",
    service: "orders",
    timeout_ms: 800,
    aim_ms: 250,
}];
/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4500);
/// Time from the beginning of the outage until the target leaves, from the acknowledgement until the
/// node is killed, and until it starts again.
const LEAVE_DELAY: Duration = Duration::from_millis(300);
const KILL_DELAY: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after the leave notice at which an earlier check-in arrives.
const LATENESS: Duration = Duration::from_millis(2500);
/// Bounds of the settings.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the target goes on after the acknowledgement.
const TARGET_STAYS: Duration = Duration::from_secs(15);

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::start(&PLACES, &ROUTES, record)?;
    thread::sleep(Duration::from_secs(4));
    let target = fleet.targets[0].clone();
    let control_plane = fleet.nodes[0].settings.control_plane();
    if trouble {
        fleet.store.set_silent(true);
        record.line("the store is down");
    }
    let outage_ends = Instant::now() + OUTAGE;
    thread::sleep(LEAVE_DELAY);
    target.stop_check_ins();
    let (path, late_check_in) = target.check_in("ready");
    let leave = format!("/instances/{}", target.instance());
    let status = target.exchange(control_plane, "DELETE", &leave, "");
    let acknowledged = Instant::now();
    record.line(&format!(
        "target {} leaves, its node answers {status}",
        target.instance()
    ));
    if status != 200 {
        return Ok(Verdict::NotRun(
            "the leave notice isn't acknowledged".to_owned(),
        ));
    }
    if trouble {
        thread::sleep(KILL_DELAY);
        fleet.nodes[0].kill();
        thread::sleep(RESTART_DELAY);
        fleet.nodes[0].spawn()?;
    }
    thread::sleep((acknowledged + LATENESS).saturating_duration_since(Instant::now()));
    let status = target.exchange(control_plane, "PUT", &path, &late_check_in);
    record.line(&format!(
        "a check-in from before the leave notice arrives, the node answers {status}"
    ));
    thread::sleep(outage_ends.saturating_duration_since(Instant::now()));
    fleet.store.set_silent(false);
    record.line("the store serves");
    let in_touch = Instant::now() + STABLE_WINDOW;
    let ends = acknowledged + TARGET_STAYS;
    let outbound = fleet.nodes[2].settings.outbound();
    while Instant::now() < ends {
        let attempt = Attempt {
            method: "PUT",
            path: "/place-order/20".to_owned(),
            id: new_id("place-order"),
            budget: Duration::from_millis(800),
            body: Vec::new(),
        };
        send(outbound, &attempt, record);
        thread::sleep(Duration::from_millis(20));
    }
    let bound = in_touch.max(acknowledged + DRAIN_TIMEOUT);
    let runs: Vec<u128> = target
        .runs()
        .iter()
        .filter(|run| run.started > bound)
        .map(|run| run.started.duration_since(acknowledged).as_millis())
        .collect();
    let text = match (runs.first(), runs.last()) {
        (Some(first), Some(last)) => format!(
            "{} requests reached the target from {first} to {last} ms after the acknowledgement of its leaving, sent on by machines in touch",
            runs.len()
        ),
        _ => "no request reached the target after its leaving".to_owned(),
    };
    Ok(if runs.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
