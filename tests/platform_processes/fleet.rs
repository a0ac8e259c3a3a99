//! Real node processes in two data centres, and backend servers that a request can crash.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_platform_standins::config_json;
use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use sequoiagw_platform_standins::CallerRequest;
use sequoiagw_platform_standins::KvStandin;
use sequoiagw_platform_standins::NodeAddresses;
use sequoiagw_platform_standins::PlatformBackend;
use sequoiagw_platform_standins::PlatformCaller;
use sequoiagw_platform_standins::RouteConfig;
use sequoiagw_platform_standins::CONFIG_KEY;
use sequoiagw_platform_standins::ROUTE_TIMEOUT;
use sequoiagw_soak::run_address;
use sequoiagw_soak::NodeProcess;
use tokio::time::sleep;
use tokio::time::Instant;

/// Nodes of a fleet, half of them in each data centre.
pub const NODE_COUNT: usize = 6;
const SERVICE: &str = "press";
/// Time that a crashed backend server is down.
pub const DOWNTIME: Duration = Duration::from_millis(700);
/// Time that a caller waits for its answer.
const CALL_DEADLINE: Duration = Duration::from_secs(4);
/// Timeout of the route `report`, longer than the grace period of a planned stop.
const LONG_ROUTE_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound on the time until all nodes serve.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
const BASE_PORT: u16 = 21_000;

/// A node's process, its backend server and its address for callers.
pub struct FleetNode {
    pub process: NodeProcess,
    pub backend: PlatformBackend,
    pub callers: SocketAddr,
}

/// A fleet whose processes end when it is dropped.
pub struct ProcessFleet {
    pub nodes: Vec<FleetNode>,
    _store: KvStandin,
    /// Number of requests sent so far, from which request ids are made.
    requests: Rc<Cell<u64>>,
}

impl ProcessFleet {
    /// Starts a fleet whose backend servers take `service_time` for a request, and waits until each node
    /// serves. `run` differs for each test of the process.
    pub async fn start(run: u32, service_time: Duration) -> Self {
        let store = KvStandin::start().await;
        let routes = [
            ("look", true, ROUTE_TIMEOUT),
            ("order", false, ROUTE_TIMEOUT),
            ("report", true, LONG_ROUTE_TIMEOUT),
        ];
        let routes = routes.map(|(name, idempotent, timeout)| RouteConfig {
            name: name.to_owned(),
            service: SERVICE.to_owned(),
            idempotent,
            timeout,
        });
        store.put(CONFIG_KEY, &config_json(1, &routes));
        let folder = std::env::temp_dir().join(format!("crash-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let mut nodes = Vec::new();
        for index in 0..NODE_COUNT {
            nodes.push(start_node(run, index, &store, &folder, service_time).await);
        }
        let fleet = Self {
            nodes,
            _store: store,
            requests: Rc::default(),
        };
        fleet.wait_until_serving().await;
        fleet
    }

    /// Waits until each node serves.
    pub async fn wait_until_serving(&self) {
        let started = Instant::now();
        for node in 0..NODE_COUNT {
            while !self.caller(node).get("/look/ready").await.is_served() {
                assert!(
                    started.elapsed() < STARTUP_TIMEOUT,
                    "node {node} must serve"
                );
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Lets a request of this path crash each backend server that begins it.
    pub fn crash_on_path(&self, path: &str) {
        for node in &self.nodes {
            node.backend.crash_on_path(path, DOWNTIME);
        }
    }

    /// A caller of a node.
    pub fn caller(&self, node: usize) -> FleetCaller {
        FleetCaller {
            caller: PlatformCaller::new(self.nodes[node].callers),
            requests: Rc::clone(&self.requests),
        }
    }

    /// Times of the runs whose ids begin with `prefix`, in order.
    pub fn run_times(&self, prefix: &str) -> Vec<Instant> {
        let backends = self.nodes.iter().map(|node| &node.backend);
        let runs: Vec<BackendRun> = backends.flat_map(PlatformBackend::all_runs).collect();
        let matching = runs.iter().filter(|run| run.id.starts_with(prefix));
        let mut times: Vec<Instant> = matching.map(|run| run.at).collect();
        times.sort();
        times
    }
}

async fn start_node(
    run: u32,
    index: usize,
    store: &KvStandin,
    folder: &Path,
    service_time: Duration,
) -> FleetNode {
    let name = format!("node-{index}");
    let ip = run_address(std::process::id(), run);
    let first_port = BASE_PORT + 4 * index as u16;
    let [peer, callers, ready, heartbeats] =
        [0, 1, 2, 3].map(|offset| SocketAddr::new(ip, first_port + offset));
    let backend = PlatformBackend::start(&name, SERVICE, service_time).await;
    let addresses = NodeAddresses {
        data_centre: ["north", "south"][index % 2].to_owned(),
        name,
        service: SERVICE.to_owned(),
        backend: backend.address(),
        store: store.address(),
        peer,
        callers,
        ready,
        heartbeats,
        memory_mb: None,
        contracts: Vec::new(),
    };
    let program = PathBuf::from(env!("CARGO_BIN_EXE_sequoiagw"));
    let mut process = NodeProcess::new(program, folder, &addresses, peer).expect("settings");
    process.start().expect("the process starts");
    backend.start_heartbeats(heartbeats);
    FleetNode {
        process,
        backend,
        callers,
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    pub id: String,
    pub outcome: CallerOutcome,
    pub took: Duration,
}

impl CallerAnswer {
    /// Whether a backend server's answer arrived.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, CallerOutcome::Answered { status: 200, .. })
    }

    /// Status, 0 without a response.
    pub fn status(&self) -> u16 {
        match self.outcome {
            CallerOutcome::Answered { status, .. } => status,
            _ => 0,
        }
    }

    /// Seconds after which the caller may return, `None` if the response doesn't say.
    pub fn retry_after(&self) -> Option<f64> {
        match &self.outcome {
            CallerOutcome::Answered { retry_after, .. } => retry_after.as_ref()?.parse().ok(),
            _ => None,
        }
    }
}

/// A caller of one node.
pub struct FleetCaller {
    caller: PlatformCaller,
    requests: Rc<Cell<u64>>,
}

impl FleetCaller {
    /// Sends an idempotent request with a new id, which begins with the path.
    pub async fn get(&mut self, path: &str) -> CallerAnswer {
        self.send("GET", path).await
    }

    /// Sends a request with a new id, which begins with the path.
    pub async fn send(&mut self, method: &str, path: &str) -> CallerAnswer {
        self.requests.set(self.requests.get() + 1);
        let id = format!("{path}#{}", self.requests.get());
        let request = CallerRequest {
            method,
            path,
            id: &id,
            deadline: CALL_DEADLINE,
            response_grace: Duration::from_millis(500),
        };
        let started = Instant::now();
        let outcome = self.caller.call(&request).await;
        let took = started.elapsed();
        CallerAnswer { id, outcome, took }
    }
}
