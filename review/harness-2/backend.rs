//! Stand-in for a backend server (a target): it checks in, runs requests and signs its answers.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{Connection, Message};
use super::json::quote;
use super::record;

/// Interval of the checks whether a request's connection was closed.
const CLOSE_CHECK: Duration = Duration::from_millis(10);
/// Time within which a check-in is acknowledged.
const ACK_TIME: Duration = Duration::from_secs(1);

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It is at work.
    Open,
    /// It was answered with this status.
    Answered(u16),
    /// Its connection was closed while it was at work.
    Dropped,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    pub began_ms: u64,
    pub ended_ms: u64,
    pub end: RunEnd,
}

impl Run {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
struct Lifetime {
    instance: String,
    born_ms: u64,
    sequence: u64,
    checks_in: bool,
    serves: bool,
}

struct Shared {
    name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    node: SocketAddr,
    slots: u32,
    interval: Duration,
    lifetime: Mutex<Lifetime>,
    runs: Mutex<Vec<Run>>,
}

/// A backend server beside a node.
#[derive(Clone)]
pub struct Backend {
    shared: Arc<Shared>,
}

/// What a backend server is and where it checks in.
pub struct BackendPlan<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    /// The `controlPlane` address of its machine.
    pub node: SocketAddr,
    pub interval: Duration,
}

impl Backend {
    /// Starts a first lifetime.
    pub fn start(plan: &BackendPlan, instance: &str, born_ms: u64) -> std::io::Result<Self> {
        let backend = Self {
            shared: Arc::new(Shared {
                name: plan.name.to_owned(),
                service: plan.service.to_owned(),
                zone: plan.zone.to_owned(),
                address: plan.address,
                node: plan.node,
                slots: 12,
                interval: plan.interval,
                lifetime: Mutex::default(),
                runs: Mutex::default(),
            }),
        };
        let listener = TcpListener::bind(plan.address)?;
        let server = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = server.clone();
                std::thread::spawn(move || backend.serve(stream));
            }
        });
        backend.begin_lifetime(instance, born_ms);
        let beats = backend.clone();
        std::thread::spawn(move || loop {
            if beats.shared.lifetime.lock().unwrap().checks_in {
                beats.check_in("ready");
            }
            std::thread::sleep(beats.shared.interval);
        });
        Ok(backend)
    }

    /// Begins a lifetime, which knows nothing of the earlier ones.
    pub fn begin_lifetime(&self, instance: &str, born_ms: u64) {
        *self.shared.lifetime.lock().unwrap() = Lifetime {
            instance: instance.to_owned(),
            born_ms,
            sequence: 0,
            checks_in: true,
            serves: true,
        };
        record::line(&format!(
            "target {}: lifetime {instance} born {born_ms}",
            self.shared.name
        ));
    }

    /// Ends the lifetime as a crash does: what is at work is dropped, and nothing is said.
    pub fn crash(&self) {
        let mut lifetime = self.shared.lifetime.lock().unwrap();
        lifetime.checks_in = false;
        lifetime.serves = false;
        record::line(&format!("target {}: crashes", self.shared.name));
    }

    /// Stops the regular check-ins.
    pub fn stop_check_ins(&self) {
        self.shared.lifetime.lock().unwrap().checks_in = false;
    }

    /// Instance, start and last sequence number of the current lifetime.
    pub fn identity(&self) -> (String, u64, u64) {
        let lifetime = self.shared.lifetime.lock().unwrap();
        let instance = lifetime.instance.clone();
        (instance, lifetime.born_ms, lifetime.sequence)
    }

    /// Sends a check-in; returns the status of the answer if it came in time.
    pub fn check_in(&self, state: &str) -> Option<u16> {
        let (instance, born_ms, sequence) = {
            let mut lifetime = self.shared.lifetime.lock().unwrap();
            lifetime.sequence += 1;
            (
                lifetime.instance.clone(),
                lifetime.born_ms,
                lifetime.sequence,
            )
        };
        let status = self.send_check_in(&instance, born_ms, sequence, state);
        record::line(&format!(
            "target {}: check-in {instance} sequence {sequence} {state} -> {status:?}",
            self.shared.name
        ));
        status
    }

    /// Sends a check-in with the given identity, such as one that was delayed.
    pub fn send_check_in(
        &self,
        instance: &str,
        born_ms: u64,
        sequence: u64,
        state: &str,
    ) -> Option<u16> {
        let shared = &self.shared;
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{born_ms}}}",
            quote(&shared.service),
            shared.address,
            quote(&shared.zone),
            shared.slots
        );
        self.notify("PUT", instance, body.as_bytes())
    }

    /// Says that the current lifetime leaves; returns the status of the answer.
    pub fn leave(&self) -> Option<u16> {
        let (instance, born_ms) = {
            let mut lifetime = self.shared.lifetime.lock().unwrap();
            lifetime.checks_in = false;
            (lifetime.instance.clone(), lifetime.born_ms)
        };
        let body = format!("{{\"born\":{born_ms}}}");
        let status = self.notify("DELETE", &instance, body.as_bytes());
        record::line(&format!(
            "target {}: leaves as {instance} -> {status:?}",
            self.shared.name
        ));
        status
    }

    fn notify(&self, method: &str, instance: &str, body: &[u8]) -> Option<u16> {
        let stream = TcpStream::connect_timeout(&self.shared.node, ACK_TIME).ok()?;
        let mut connection = Connection::new(stream);
        let first = format!("{method} /instances/{instance} HTTP/1.1");
        let host = self.shared.node.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        connection.write(&first, &headers, body).ok()?;
        let answer = connection.read(ACK_TIME).ok()?;
        answer.word(1).parse().ok()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs();
        runs.into_iter().filter(|run| run.id == id).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read(Duration::from_secs(30)) {
            if !self.answer(&mut connection, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, connection: &mut Connection, request: &Message) -> bool {
        let lifetime = self.shared.lifetime.lock().unwrap().clone();
        if !lifetime.serves {
            return false;
        }
        let id = request.header("X-Sequoiagw-Attempt-Id").unwrap_or("");
        let expected = request.header("X-Sequoiagw-Expected-Instance");
        if expected.is_some_and(|expected| expected != lifetime.instance) {
            let headers = [
                ("X-Sequoiagw-Attempt-Id", id),
                ("X-Sequoiagw-Instance-Id", &lifetime.instance),
            ];
            let first = "HTTP/1.1 421 Misdirected Request";
            return connection.write(first, &headers, b"").is_ok();
        }
        let deadline_ms: u64 = request
            .header("X-Sequoiagw-Deadline-Ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(30_000);
        let work_ms = parameter(request.word(1), "work").unwrap_or(20);
        let index = self.begin_run(id, &lifetime.instance, request, deadline_ms);
        let began = Instant::now();
        let work = Duration::from_millis(work_ms);
        let deadline = Duration::from_millis(deadline_ms);
        while began.elapsed() < work.min(deadline) {
            let left = work.min(deadline).saturating_sub(began.elapsed());
            std::thread::sleep(left.min(CLOSE_CHECK));
            let ended = !self.shared.lifetime.lock().unwrap().serves;
            if ended || connection.is_closed() {
                self.end_run(index, RunEnd::Dropped);
                return false;
            }
        }
        let status = if work <= deadline { 200 } else { 504 };
        self.end_run(index, RunEnd::Answered(status));
        let signature = format!("sig-{}-{index}", self.shared.name);
        let headers = [
            ("X-Sequoiagw-Attempt-Id", id),
            ("X-Sequoiagw-Server-Signature", &signature),
        ];
        let first = format!("HTTP/1.1 {status} Status");
        let body = format!("done {id}");
        connection.write(&first, &headers, body.as_bytes()).is_ok()
    }

    fn begin_run(&self, id: &str, instance: &str, request: &Message, deadline_ms: u64) -> usize {
        let mut runs = self.shared.runs.lock().unwrap();
        runs.push(Run {
            id: id.to_owned(),
            instance: instance.to_owned(),
            path: request.word(1).to_owned(),
            headers: request.headers.clone(),
            began_ms: record::now_ms(),
            ended_ms: 0,
            end: RunEnd::Open,
        });
        record::line(&format!(
            "target {}: {instance} runs {id} {} with {deadline_ms} ms left",
            self.shared.name,
            request.word(1)
        ));
        runs.len() - 1
    }

    fn end_run(&self, index: usize, end: RunEnd) {
        let mut runs = self.shared.runs.lock().unwrap();
        runs[index].ended_ms = record::now_ms();
        runs[index].end = end;
        record::line(&format!(
            "target {}: run of {} ends after {} ms: {end:?}",
            self.shared.name,
            runs[index].id,
            runs[index].ended_ms - runs[index].began_ms
        ));
    }
}

/// Number in the query of a path.
fn parameter(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let found = query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found?.parse().ok()
}
