//! Stand-in for an application target beside a node: it checks in and runs requests.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, request, response, Connection, Message};

/// Interval between two check-ins, as in the settings of the nodes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time within which a check-in has to be acknowledged.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub service: String,
    pub target: String,
    pub at: Instant,
    pub tenant: String,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    born_ms: u128,
    slots: u32,
    work: Duration,
    /// Path that takes longer, and how long.
    long_work: Mutex<Option<(String, Duration)>>,
    /// Least size of an answer's body.
    answer_bytes: AtomicU64,
    sequence: AtomicU64,
    silent: AtomicBool,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A target. Clones share its state.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Target {
    /// Starts a target that works `work` long on each request and adds its runs to `runs`.
    pub fn start(
        ip: &str,
        service: &str,
        zone: &str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the target can listen");
        let address = listener.local_addr().expect("the listener has an address");
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let shared = Shared {
            id: format!("i-{}-{}", ip.replace('.', "-"), address.port()),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born_ms,
            slots: 12,
            work,
            long_work: Mutex::default(),
            answer_bytes: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            runs: Arc::clone(runs),
        };
        let target = Self { address, shared: Arc::new(shared) };
        let server = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = server.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        target
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Sets the work of the requests with this path.
    pub fn set_long_work(&self, path: &str, work: Duration) {
        *self.shared.long_work.lock().unwrap() = Some((path.to_owned(), work));
    }

    /// Sets the least size of an answer's body.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.shared.answer_bytes.store(bytes as u64, Ordering::Relaxed);
    }

    /// Body of the answer to a request: its id and the service, repeated.
    pub fn answer_body(&self, id: &str) -> Vec<u8> {
        let bytes = self.shared.answer_bytes.load(Ordering::Relaxed) as usize;
        let line = format!("{id} by {}", self.shared.service);
        let count = bytes / line.len() + 1;
        vec![line; count].join("\n").into_bytes()
    }

    /// Sends check-ins to the node beside the target from now on.
    pub fn start_heartbeats(&self, node: SocketAddr) {
        let target = self.clone();
        thread::spawn(move || loop {
            if !target.shared.silent.load(Ordering::Relaxed) {
                target.check_in(node, "ready");
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        });
    }

    /// Sends one check-in; returns the status of the answer, 0 without one in time.
    pub fn check_in(&self, node: SocketAddr, state: &str) -> u16 {
        let shared = &self.shared;
        let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            concat!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"#,
                r#""state":"{}","warmupLeftMs":0,"sequence":{},"born":{}}}"#
            ),
            shared.service, self.address, shared.zone, shared.slots, state, sequence, shared.born_ms
        );
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let path = format!("/instances/{}", shared.id);
        let bytes = request("PUT", &path, &headers, body.as_bytes());
        call(node, &bytes, HEARTBEAT_TIMEOUT).map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read(None) {
            let bytes = self.answer(&request);
            if connection.write(&bytes).is_none() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let shared = &self.shared;
        let id = request.header("X-Sequoiagw-Attempt-Id").to_owned();
        if id.is_empty() {
            return response(400, &[("X-Sequoiagw-Not-Executed", "1")], b"");
        }
        let expected = request.header("X-Sequoiagw-Expected-Instance");
        if !expected.is_empty() && expected != shared.id {
            return response(421, &[("X-Sequoiagw-Attempt-Id", &id)], b"");
        }
        let run = Run {
            id: id.clone(),
            service: shared.service.clone(),
            target: shared.id.clone(),
            at: Instant::now(),
            tenant: request.header("X-Sequoiagw-Tenant").to_owned(),
        };
        shared.runs.lock().unwrap().push(run);
        let long_work = shared.long_work.lock().unwrap().clone();
        let long_work = long_work.filter(|(path, _)| path == request.path());
        thread::sleep(long_work.map_or(shared.work, |(_, work)| work));
        let body = self.answer_body(&id);
        let headers = [
            ("X-Sequoiagw-Attempt-Id", id.as_str()),
            ("X-Sequoiagw-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Stand-In-Service", &shared.service),
        ];
        response(200, &headers, &body)
    }
}
