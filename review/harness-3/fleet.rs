//! A small deployment: nodes with their targets, consumers, and the record of a run.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{request, Connection};
use crate::node::{Host, Node};
use crate::store::Store;
use crate::target::{Run, Target};

/// Host name of all routes.
pub const ROUTE_HOST: &str = "shop.example";

/// Time from the start of the machines until consumers send, as in the small deployments.
pub const LEAD: Duration = Duration::from_secs(8);

/// Record of what was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: String) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes the record, ordered by time.
    pub fn write(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = fs::File::create(folder.join("record.txt")).expect("the record is written");
        for (at, line) in lines {
            let _ = writeln!(file, "{:9.3} {line}", self.seconds(at));
        }
    }
}

/// Nodes and targets of a deployment. The processes end when it is dropped.
pub struct Fleet {
    pub root: PathBuf,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub zones: Vec<&'static str>,
    folder: PathBuf,
}

/// A machine of the deployment: its zone and the service of its target.
pub type Machine = (&'static str, &'static str);

impl Fleet {
    /// Starts the machines in a new temporary folder.
    pub fn start(store: Store, machines: &[Machine], work: Duration) -> Self {
        let root = std::env::current_dir().expect("the repository's root");
        let stamp = std::process::id();
        let folder = std::env::temp_dir().join(format!("sequoiagw-review-3-{stamp}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut zones: Vec<&'static str> = machines.iter().map(|(zone, _)| *zone).collect();
        zones.dedup();
        let runs = Arc::default();
        let net = 20 + stamp % 200;
        let mut nodes = Vec::new();
        let mut targets = Vec::new();
        for (index, (zone, service)) in machines.iter().enumerate() {
            let ip = format!("127.{net}.{}.{}", 1 + stamp / 200 % 250, index + 1);
            let target = Target::start(&ip, service, zone, work, &runs);
            let name = format!("sidecar-{zone}-{}", index + 1);
            let host = Host::new(&name, &ip, zone, service, target.address);
            nodes.push(Node::start(&root, &folder, &host, store.address, &zones, true));
            target.start_heartbeats(host.control);
            targets.push(target);
        }
        Self { root, store, nodes, targets, runs, zones, folder }
    }

    /// Waits until all nodes are ready, `LEAD` at least.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(25) {
            thread::sleep(Duration::from_millis(200));
            let ready = self.nodes.iter().filter(|node| node.host.is_ready()).count();
            if ready == self.nodes.len() && started.elapsed() >= LEAD {
                return Ok(());
            }
        }
        Err("the nodes are not ready after 25 s".to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// What a consumer's attempt led to.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub node: usize,
    pub sent: Instant,
    pub answered: Option<Instant>,
    /// Status of the answer, 0 without a complete one.
    pub status: u16,
    pub signed: bool,
    pub body: String,
}

/// A stream of requests, the same at each node.
#[derive(Clone)]
pub struct Stream {
    pub method: &'static str,
    pub path: &'static str,
    pub interval: Duration,
    pub time_budget: Duration,
    pub headers: Vec<(String, String)>,
}

/// Consumers that send until they are stopped.
pub struct Consumers {
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Consumers {
    /// Starts one consumer at each node; each sends on new connections at fixed times.
    pub fn start(fleet: &Fleet, stream: &Stream, prefix: &str) -> Self {
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for (node, process) in fleet.nodes.iter().enumerate() {
            let address = process.host.outbound;
            let (attempts, stop, number) = (attempts.clone(), stop.clone(), number.clone());
            let (stream, prefix) = (stream.clone(), prefix.to_owned());
            threads.push(thread::spawn(move || {
                let mut next = Instant::now();
                let mut sending = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let count = number.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{prefix}{count:08x}");
                    let (request, attempts) = (stream.clone(), attempts.clone());
                    sending.push(thread::spawn(move || {
                        let attempt = send(address, node, &request, id);
                        attempts.lock().unwrap().push(attempt);
                    }));
                    next += stream.interval;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                for thread in sending {
                    let _ = thread.join();
                }
            }));
        }
        Self { attempts, stop, threads }
    }

    /// Stops sending and waits for the answers.
    pub fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self.attempts.lock().unwrap().clone();
        attempts
    }
}

/// Sends one attempt on a new connection and waits for its answer.
pub fn send(address: SocketAddr, node: usize, stream: &Stream, id: String) -> Attempt {
    let sent = Instant::now();
    let budget = stream.time_budget.as_millis().to_string();
    let mut headers = vec![
        ("Host", ROUTE_HOST),
        ("X-Sequoiagw-Attempt-Id", id.as_str()),
        ("X-Sequoiagw-Deadline-Ms", budget.as_str()),
    ];
    headers.extend(stream.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())));
    let bytes = request(stream.method, stream.path, &headers, b"");
    let exchange = || {
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        connection.write(&bytes)?;
        connection.read(Some(sent + stream.time_budget + Duration::from_millis(500)))
    };
    let answer = exchange();
    Attempt {
        node,
        sent,
        answered: answer.as_ref().map(|_| Instant::now()),
        status: answer.as_ref().map_or(0, |answer| answer.status()),
        signed: answer.as_ref().is_some_and(|answer| {
            !answer.header("X-Sequoiagw-Server-Signature").is_empty()
        }),
        body: answer.map_or(String::new(), |answer| answer.text()),
        id,
    }
}

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub idempotent: bool,
    pub timeout_ms: u64,
}

/// A configuration in the operator's format, with `idle_routes` further routes that nobody uses.
pub fn config(version: u64, routes: &[Route<'_>], idle_routes: usize) -> String {
    let mut all: Vec<String> = routes
        .iter()
        .map(|route| {
            let kind = if route.idempotent { "idempotent" } else { "non_idempotent" };
            format!(
                concat!(
                    r#"{{"name":"{}","host":"{}","prefix":"{}","routeKind":"{}","timeoutMs":{},"#,
                    r#""aimMs":600,"priority":0,"service":"{}","maxAttempts":2,"public":false}}"#
                ),
                route.name, ROUTE_HOST, route.prefix, kind, route.timeout_ms, route.service
            )
        })
        .collect();
    let service = routes.first().map_or("", |route| route.service);
    all.extend((0..idle_routes).map(|index| {
        format!(
            concat!(
                r#"{{"name":"r-idle{index}","host":"idle{index}.example","prefix":"/idle{index}/","#,
                r#""routeKind":"idempotent","timeoutMs":1500,"aimMs":600,"priority":1,"#,
                r#""service":"{service}","maxAttempts":2,"public":false}}"#
            ),
            index = index,
            service = service
        )
    }));
    format!(
        concat!(
            r#"{{"version":"r{}","routes":[{}],"services":[],"limits":{{"maxHeaderBytes":16384,"#,
            r#""maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        ),
        version,
        all.join(",")
    )
}
