//! LOST around planned work: a stop that breaks off answers on connections with several requests.
//!
//! Consumers keep three idempotent requests on their way on each connection. Their machine's node gets
//! SIGTERM, alone.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::HOST;
use crate::fleet::new_id;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::Route;
use crate::platform::Platform;
use crate::record::Record;
use crate::small_window::connect_with_window;
use crate::Verdict;

const PLACES: [Place; 6] = [
    Place {
        service: "catalog",
        zone: "eun-a",
    },
    Place {
        service: "catalog",
        zone: "eun-a",
    },
    Place {
        service: "catalog",
        zone: "eun-a",
    },
    Place {
        service: "catalog",
        zone: "eun-b",
    },
    Place {
        service: "catalog",
        zone: "eun-b",
    },
    Place {
        service: "catalog",
        zone: "eun-b",
    },
];
const ROUTES: [Route; 1] = [Route {
    name: "catalog-read",
    kind: "idempotent",
    service: "catalog",
    timeout_ms: 1200,
    aim_ms: 300,
}];
const BUDGET: Duration = Duration::from_millis(1200);
/// Work of a request, which differs from one to the next.
const WORK_MS: [u64; 3] = [70, 90, 120];
/// Size of an answer: the largest of the sheet.
const ANSWER_BYTES: usize = 30_000;
/// Requests that a consumer has on its way at once.
const DEPTH: usize = 3;
const CONSUMERS: usize = 10;
/// Receive window of a consumer, and the pace at which its link takes bytes: 14 Mbit/s.
const WINDOW: i32 = 4096;
const PIECE_BYTES: usize = 4096;
const PIECE_TIME: Duration = Duration::from_micros(2340);
const STOPS: usize = 4;
/// Bounds of the settings.
const GRACE: Duration = Duration::from_secs(6);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Delay of the platform before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A request without a whole answer.
struct Unanswered {
    id: String,
    sent: Instant,
    ended: Instant,
    /// Bytes of its answer that have arrived.
    received: usize,
}

/// What all consumers have seen.
#[derive(Default)]
struct Seen {
    answered: usize,
    unanswered: Vec<Unanswered>,
}

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::start(&PLACES, &ROUTES, record)?;
    let asked: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| (node.settings.zone.clone(), node.settings.ready()))
        .collect();
    let platform = Platform::start(&asked, record);
    let done = Arc::new(AtomicBool::new(false));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let outbound = fleet.nodes[0].settings.outbound();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let (platform, done, seen, record) =
                (platform.clone(), done.clone(), seen.clone(), record.clone());
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    if platform.gives_work(0) {
                        use_connection(outbound, &platform, &done, &seen, &record);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let mut stops = Vec::new();
    for _ in 0..STOPS {
        thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
        if trouble {
            fleet.nodes[0].signal("TERM");
            stops.push(Instant::now());
            let ends = Instant::now() + GRACE;
            while !fleet.nodes[0].has_ended() {
                if Instant::now() >= ends {
                    fleet.nodes[0].kill();
                }
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(RESTART_DELAY);
            fleet.nodes[0].spawn()?;
            fleet.nodes[0].wait_until_ready(Duration::from_secs(5));
        }
    }
    done.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let seen = seen.lock().unwrap();
    let mut cut = 0;
    for lost in &seen.unanswered {
        let has_run = fleet
            .targets
            .iter()
            .any(|target| target.runs().iter().any(|run| run.id == lost.id));
        let budget_used = lost.ended.duration_since(lost.sent) >= BUDGET;
        let stop = stops.iter().filter(|stop| **stop <= lost.ended).max();
        let after = stop.map(|stop| lost.ended.duration_since(*stop));
        let by_stop = after.is_some_and(|after| after <= GRACE + Duration::from_secs(1));
        record.line(&format!(
            "{} ended {:?} after SIGTERM with {} bytes of its answer, {} ms after it was sent; a target ran it: {has_run}",
            lost.id, after, lost.received, lost.ended.duration_since(lost.sent).as_millis()
        ));
        cut += usize::from(has_run && by_stop && !budget_used);
    }
    let text = format!(
        "{cut} requests that a target ran were broken off by {} planned stops; {} were answered whole",
        stops.len(), seen.answered
    );
    Ok(if cut > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Sends requests on a new connection until it ends, or until the consumers get no further work.
fn use_connection(
    node: SocketAddr,
    platform: &Platform,
    done: &AtomicBool,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    let SocketAddr::V4(address) = node else {
        return;
    };
    let Ok(mut stream) = connect_with_window(address, WINDOW) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(BUDGET + Duration::from_millis(500)));
    let mut open: Vec<(String, Instant)> = Vec::new();
    let mut bytes = Vec::new();
    let mut closes = false;
    loop {
        while open.len() < DEPTH
            && !closes
            && platform.gives_work(0)
            && !done.load(Ordering::SeqCst)
        {
            let id = new_id("catalog-read");
            record.line(&format!("consumer sends {id}"));
            let work_ms = WORK_MS[id
                .len()
                .wrapping_add(usize::from(id.as_bytes()[id.len() - 1]))
                % WORK_MS.len()];
            let request = format!(
                "GET /catalog-read/{ANSWER_BYTES}/{work_ms} HTTP/1.1\r\nHost: {HOST}\r\nX-Sequoiagw-Attempt-Id: {id}\r\nX-Sequoiagw-Deadline-Ms: {}\r\n\r\n",
                BUDGET.as_millis()
            );
            open.push((id, Instant::now()));
            if stream.write_all(request.as_bytes()).is_err() {
                closes = true;
            }
        }
        if open.is_empty() {
            return;
        }
        match read_answer(&mut stream, &mut bytes) {
            Some((status, closing)) => {
                let (id, _) = open.remove(0);
                record.line(&format!(
                    "consumer {id} gets {status}, connection ends: {closing}"
                ));
                seen.lock().unwrap().answered += 1;
                closes |= closing;
                if closing {
                    // Requests behind such an answer count as not read.
                    return;
                }
            }
            None => break,
        }
    }
    let ended = Instant::now();
    for (index, (id, sent)) in open.into_iter().enumerate() {
        let received = if index == 0 { bytes.len() } else { 0 };
        record.line(&format!(
            "consumer {id} gets no whole answer, {received} bytes of it"
        ));
        seen.lock().unwrap().unanswered.push(Unanswered {
            id,
            sent,
            ended,
            received,
        });
    }
}

/// Reads the next answer at the pace of the link; returns its status and whether the connection ends
/// with it, `None` if the connection ends before.
fn read_answer(stream: &mut std::net::TcpStream, bytes: &mut Vec<u8>) -> Option<(u16, bool)> {
    loop {
        if let Some((status, closing, length)) = whole_answer(bytes) {
            bytes.drain(..length);
            return Some((status, closing));
        }
        let mut piece = [0; PIECE_BYTES];
        let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&piece[..count]);
        thread::sleep(PIECE_TIME);
    }
}

/// Status, end of the connection and length of a whole answer at the start of the bytes.
fn whole_answer(bytes: &[u8]) -> Option<(u16, bool, usize)> {
    let head_end = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))?
        .trim()
        .parse()
        .ok()?;
    let closing = head.contains("connection: close");
    (bytes.len() >= head_end + length).then_some((status, closing, head_end + length))
}
