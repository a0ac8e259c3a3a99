//! The fleet under test: the store, backend servers, proxies and node processes.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sequoiagw_platform_standins::config_json;
use sequoiagw_platform_standins::KvContent;
use sequoiagw_platform_standins::KvStandin;
use sequoiagw_platform_standins::NodeAddresses;
use sequoiagw_platform_standins::PlatformBackend;
use sequoiagw_platform_standins::RouteConfig;
use sequoiagw_platform_standins::CONFIG_KEY;
use sequoiagw_platform_standins::ROUTE_TIMEOUT;

use crate::loopback_proxy::LoopbackProxy;
use crate::node_process::NodeProcess;
use crate::refused_pipeline::LARGE_ANSWER_BYTES;
use crate::refused_pipeline::LARGE_PATH;
use crate::soak_run::SoakOptions;
use crate::stopped_pipeline::LONG_PATH;
use crate::stopped_pipeline::LONG_RUN;

/// Services, assigned to the nodes in turn.
const SERVICES: [&str; 2] = ["press", "desk"];
/// Data centres, assigned to pairs of nodes in turn, so that each pair has both services.
const DATA_CENTRES: [&str; 2] = ["north", "south"];
/// Time that a backend server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Timeout of the route `report`, longer than the grace period of a planned stop.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// A node, its backend server and the proxies in front of its links.
pub(crate) struct SoakNode {
    pub(crate) process: RefCell<NodeProcess>,
    pub(crate) backend: PlatformBackend,
    pub(crate) caller_address: SocketAddr,
    pub(crate) heartbeat_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
    /// Proxy in front of the node's peer address.
    pub(crate) peer_proxy: LoopbackProxy,
    /// Proxy between the node and the store.
    pub(crate) store_proxy: LoopbackProxy,
    /// Whether a fault is acting on the process, which then may exit.
    pub(crate) process_fault_active: Cell<bool>,
    /// Whether a fault is acting on the backend server.
    pub(crate) backend_fault_active: Cell<bool>,
}

/// The fleet; clones share it.
#[derive(Clone)]
pub(crate) struct SoakFleet {
    pub(crate) store: KvStandin,
    pub(crate) nodes: Rc<Vec<SoakNode>>,
    /// Newest configuration version written. Each version adds a route that all later ones keep.
    pub(crate) version: Rc<Cell<u64>>,
}

impl SoakFleet {
    /// Builds the fleet and starts its processes. Settings and log files are written to `folder`.
    ///
    /// Errors: a proxy cannot be opened, or a node's process cannot be started.
    pub(crate) async fn start(options: &SoakOptions, folder: &Path) -> eyre::Result<Self> {
        let store = KvStandin::start().await;
        let mut nodes = Vec::new();
        let mut addresses = AddressAllocator::new();
        for index in 0..options.nodes {
            nodes.push(start_node(options, folder, &store, &mut addresses, index).await?);
        }
        let fleet = Self {
            store,
            nodes: Rc::new(nodes),
            version: Rc::default(),
        };
        fleet.change_config();
        Ok(fleet)
    }

    /// Writes the next configuration version.
    pub(crate) fn change_config(&self) {
        self.version.set(self.version.get() + 1);
        self.write_config();
    }

    /// Lets the store come back from an older copy. The operators write their version again.
    pub(crate) fn restore_store(&self, copy: KvContent) {
        self.store.restore(copy);
        self.write_config();
    }

    /// Writes the latest configuration version. The `order` route alternates between the services.
    fn write_config(&self) {
        let version = self.version.get();
        let mut routes = vec![
            RouteConfig {
                name: "order".to_owned(),
                service: SERVICES[version as usize % SERVICES.len()].to_owned(),
                idempotent: false,
                timeout: ROUTE_TIMEOUT,
            },
            RouteConfig {
                name: "look".to_owned(),
                service: SERVICES[0].to_owned(),
                idempotent: true,
                timeout: ROUTE_TIMEOUT,
            },
        ];
        routes.push(RouteConfig {
            name: "report".to_owned(),
            service: SERVICES[0].to_owned(),
            idempotent: true,
            timeout: REPORT_TIMEOUT,
        });
        routes.extend((1..=version).map(|number| RouteConfig {
            name: format!("v{number}"),
            service: SERVICES[1].to_owned(),
            idempotent: true,
            timeout: ROUTE_TIMEOUT,
        }));
        self.store.put(CONFIG_KEY, &config_json(version, &routes));
    }
}

async fn start_node(
    options: &SoakOptions,
    folder: &Path,
    store: &KvStandin,
    addresses: &mut AddressAllocator,
    index: usize,
) -> eyre::Result<SoakNode> {
    let name = format!("node-{index}");
    let service = SERVICES[index % SERVICES.len()];
    let backend = PlatformBackend::start(&name, service, SERVICE_TIME).await;
    backend.set_run_time(LONG_PATH, LONG_RUN);
    backend.set_answer_bytes(LARGE_PATH, LARGE_ANSWER_BYTES);
    let peer_listen = addresses.next_address();
    let peer_proxy = LoopbackProxy::open(peer_listen).await?;
    let store_proxy = LoopbackProxy::open(store.address()).await?;
    let node_addresses = NodeAddresses {
        name,
        data_centre: DATA_CENTRES[index / SERVICES.len() % DATA_CENTRES.len()].to_owned(),
        service: service.to_owned(),
        backend: backend.address(),
        store: store_proxy.address(),
        peer: peer_proxy.address(),
        callers: addresses.next_address(),
        ready: addresses.next_address(),
        heartbeats: addresses.next_address(),
        memory_mb: None,
        contracts: Vec::new(),
    };
    let program = options.program.clone();
    let mut process = NodeProcess::new(program, folder, &node_addresses, peer_listen)?;
    process.start()?;
    backend.start_heartbeats(node_addresses.heartbeats);
    Ok(SoakNode {
        process: RefCell::new(process),
        backend,
        caller_address: node_addresses.callers,
        heartbeat_address: node_addresses.heartbeats,
        readiness_address: node_addresses.ready,
        peer_proxy,
        store_proxy,
        process_fault_active: Cell::new(false),
        backend_fault_active: Cell::new(false),
    })
}

/// Number of runs in one process whose addresses differ from those of other processes.
const RUNS_PER_PROCESS: u32 = 16;
/// Number of values used for an octet of an address, from 1 on.
const OCTET_VALUES: u32 = 250;
/// Number of runs started in this process.
static STARTED_RUNS: AtomicU32 = AtomicU32::new(0);
/// The ports of a run are allocated upwards from the one after this.
const BASE_PORT: u16 = 20_000;

/// Loopback address of one run of a process. No octet after the first is 0 or 255, and
/// 127.0.0.x is left to other programs.
pub fn run_address(process_id: u32, run: u32) -> IpAddr {
    let number = process_id
        .wrapping_mul(RUNS_PER_PROCESS)
        .wrapping_add(run % RUNS_PER_PROCESS);
    let octet = |quotient: u32| (1 + quotient % OCTET_VALUES) as u8;
    let [high, middle, low] = [
        number / OCTET_VALUES / OCTET_VALUES,
        number / OCTET_VALUES,
        number,
    ]
    .map(octet);
    IpAddr::V4(Ipv4Addr::new(127, high, middle, low))
}

/// Allocates addresses that no other program on the machine uses: a loopback address for this run
/// only, with ascending ports. Probing for free ports instead is unreliable, since another program
/// may take a port between the probe and its use.
struct AddressAllocator {
    ip: IpAddr,
    last_port: u16,
}

impl AddressAllocator {
    fn new() -> Self {
        let run = STARTED_RUNS.fetch_add(1, Ordering::Relaxed);
        Self {
            ip: run_address(std::process::id(), run),
            last_port: BASE_PORT,
        }
    }

    fn next_address(&mut self) -> SocketAddr {
        self.last_port += 1;
        SocketAddr::new(self.ip, self.last_port)
    }
}
