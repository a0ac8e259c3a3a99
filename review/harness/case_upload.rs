//! LOST by memory: a few bodies within the operator's limit end the node that reads them.

use std::fs;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::client::send;
use crate::client::send_on;
use crate::client::Attempt;
use crate::client::Outcome;
use crate::fleet::new_id;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::Route;
use crate::http::Connection;
use crate::record::Record;
use crate::Verdict;

const PLACES: [Place; 4] = [
    Place {
        service: "backorders",
        zone: "eun-a",
    },
    Place {
        service: "backorders",
        zone: "eun-a",
    },
    Place {
        service: "backorders",
        zone: "eun-b",
    },
    Place {
        service: "backorders",
        zone: "eun-b",
    },
];
const ROUTES: [Route; 1] = [Route {
    name: "backorder",
    kind: "non_idempotent",
    service: "backorders",
    timeout_ms: 800,
    aim_ms: 800,
}];
const BUDGET: Duration = Duration::from_millis(1500);
/// Consumers of the machine that keep their connections, and the work of their requests.
const KEPT: usize = 10;
const KEPT_WORK_MS: u64 = 250;
/// Bodies that are sent at once. The limit of the configuration is 64 MiB for each.
const UPLOADS: usize = 4;
const UPLOAD_BYTES: usize = 60 * 1024 * 1024;
const SMALL_BYTES: usize = 300;
/// `memoryMb` of the settings, in kB: a process that exceeds it is killed.
const MEMORY_KB: u64 = 260 * 1024;
/// Requests on kept connections that may be cut at any time.
const ALLOWED_CUTS: usize = 3;

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::start(&PLACES, &ROUTES, record)?;
    let outbound = fleet.nodes[0].settings.outbound();
    let done = Arc::new(AtomicBool::new(false));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..KEPT)
        .map(|_| {
            let (done, cut, answered, record) =
                (done.clone(), cut.clone(), answered.clone(), record.clone());
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(50));
                    let Ok(mut connection) = Connection::open(outbound, Duration::from_secs(1))
                    else {
                        continue;
                    };
                    while !done.load(Ordering::SeqCst) {
                        let attempt = attempt(KEPT_WORK_MS, SMALL_BYTES);
                        if send_on(&mut connection, &attempt, &record) == Outcome::Cut {
                            cut.lock().unwrap().push(attempt.id);
                            break;
                        }
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let bytes = if trouble { UPLOAD_BYTES } else { SMALL_BYTES };
    record.line(&format!(
        "{UPLOADS} consumers send a body of {bytes} bytes each"
    ));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || send(outbound, &attempt(20, bytes), &record))
        })
        .collect();
    let mut peak = 0;
    let mut killed = false;
    while !uploads.iter().all(thread::JoinHandle::is_finished) {
        peak = peak.max(memory_kb(fleet.nodes[0].id()));
        if peak > MEMORY_KB && !killed {
            record.line(&format!("node 1 has {peak} kB, more than memoryMb"));
            fleet.nodes[0].kill();
            killed = true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    record.line(&format!("node 1 had {peak} kB at most"));
    thread::sleep(Duration::from_millis(500));
    done.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let cut = cut.lock().unwrap();
    let has_run = |id: &String| {
        fleet
            .targets
            .iter()
            .any(|target| target.runs().iter().any(|run| run.id == *id))
    };
    let passed_on = cut.iter().filter(|id| has_run(id)).count();
    let text = format!(
        "memory at its peak {peak} kB, process killed: {killed}; {passed_on} requests on kept connections were passed on to a target and cut, {} were answered",
        answered.load(Ordering::SeqCst)
    );
    Ok(if killed && passed_on > ALLOWED_CUTS {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

fn attempt(work_ms: u64, bytes: usize) -> Attempt {
    Attempt {
        method: "PUT",
        path: format!("/backorder/{work_ms}"),
        id: new_id("backorder"),
        budget: BUDGET,
        body: vec![b'd'; bytes],
    }
}

/// Memory of a process, in kB.
fn memory_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0)
}
