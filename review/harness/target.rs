//! Stand-in for an application target: it serves requests, counts what it runs and sends check-ins.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Message;
use crate::json::int;
use crate::json::map;
use crate::json::text;
use crate::record::Record;

/// Interval between two check-ins, as in the settings of the nodes.
pub const CHECK_IN_INTERVAL: Duration = Duration::from_millis(870);
/// Time within which a check-in has to be answered.
const CHECK_IN_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: u64 = 18;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub started: Instant,
    pub ended: Option<Instant>,
}

struct State {
    service: String,
    zone: String,
    instance: String,
    born: u64,
    sequence: AtomicU64,
    /// Whether regular check-ins are sent.
    checks_in: AtomicBool,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

/// The target. Clones share their state.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Target {
    /// Starts a target that listens and sends check-ins to `control_plane`.
    pub fn start(
        service: &str,
        zone: &str,
        instance: &str,
        address: SocketAddr,
        control_plane: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            service: service.to_owned(),
            zone: zone.to_owned(),
            instance: instance.to_owned(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            checks_in: AtomicBool::new(true),
            runs: Mutex::default(),
            record: record.clone(),
        };
        let target = Self {
            address,
            state: Arc::new(state),
        };
        let server = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = server.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        let sender = target.clone();
        thread::spawn(move || loop {
            if sender.state.checks_in.load(Ordering::SeqCst) {
                let (path, body) = sender.check_in("ready");
                sender.exchange(control_plane, "PUT", &path, &body);
            }
            thread::sleep(CHECK_IN_INTERVAL);
        });
        Ok(target)
    }

    pub fn instance(&self) -> &str {
        &self.state.instance
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Sends no further regular check-ins.
    pub fn stop_check_ins(&self) {
        self.state.checks_in.store(false, Ordering::SeqCst);
    }

    /// Path and body of the next check-in.
    pub fn check_in(&self, phase: &str) -> (String, String) {
        let state = &self.state;
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = map([
            ("service", text(&state.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text(&state.zone)),
            ("version", text("v1")),
            ("slots", int(SLOTS)),
            ("state", text(phase)),
            ("warmupLeftMs", int(0)),
            ("sequence", int(sequence)),
            ("born", int(state.born)),
        ]);
        (format!("/instances/{}", state.instance), body.encode())
    }

    /// Sends a call to the node and returns the status, 0 without an answer in time.
    pub fn exchange(&self, node: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
        let deadline = Instant::now() + CHECK_IN_TIMEOUT;
        let Ok(mut connection) = Connection::open(node, CHECK_IN_TIMEOUT) else {
            return 0;
        };
        let host = node.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        if connection
            .send(method, path, &headers, body.as_bytes())
            .is_err()
        {
            return 0;
        }
        connection
            .read(Some(deadline))
            .map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read(None) {
            if self.answer(&request, &mut connection).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let instance = self.state.instance.as_str();
        if request.path() == "/health" {
            return connection.respond(200, &[("X-Sequoiagw-Instance-Id", instance)], b"");
        }
        let id = request.header("X-Sequoiagw-Attempt-Id").to_owned();
        let expected = request.header("X-Sequoiagw-Expected-Instance");
        if request.has_header("X-Sequoiagw-Expected-Instance") && expected != instance {
            let headers = [
                ("X-Sequoiagw-Instance-Id", instance),
                ("X-Sequoiagw-Attempt-Id", id.as_str()),
                ("X-Sequoiagw-Not-Executed", "1"),
            ];
            return connection.respond(421, &headers, b"");
        }
        let started = Instant::now();
        let index = {
            let mut runs = self.state.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                started,
                ended: None,
            });
            runs.len() - 1
        };
        self.state
            .record
            .line(&format!("target {instance} runs {id}"));
        thread::sleep(work_time(request.path()));
        self.state.runs.lock().unwrap()[index].ended = Some(Instant::now());
        let headers = [
            ("X-Sequoiagw-Attempt-Id", id.as_str()),
            ("X-Sequoiagw-Server-Signature", "signed"),
        ];
        let sent = connection.respond(200, &headers, &answer_body(request.path(), &id));
        self.state
            .record
            .line(&format!("target {instance} has run {id}"));
        sent
    }
}

/// Body of an answer: the request's id, filled up to the size that the path names before the work.
fn answer_body(path: &str, id: &str) -> Vec<u8> {
    let size = path.rsplit('/').nth(1).and_then(|size| size.parse().ok());
    let mut body = id.as_bytes().to_vec();
    body.resize(size.unwrap_or(body.len()).max(body.len()), b'.');
    body
}

/// Work that a request takes: the number after the last slash of its path, in milliseconds.
fn work_time(path: &str) -> Duration {
    let last = path.rsplit('/').next().unwrap_or("");
    Duration::from_millis(last.parse().unwrap_or(20))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}
