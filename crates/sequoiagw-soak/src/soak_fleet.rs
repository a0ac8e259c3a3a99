//! The fleet under test: store, backend servers, proxies and the nodes' processes.

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
use sequoiagw_platform_standins::KvStandin;
use sequoiagw_platform_standins::NodeAddresses;
use sequoiagw_platform_standins::PlatformBackend;
use sequoiagw_platform_standins::RouteConfig;
use sequoiagw_platform_standins::CONFIG_KEY;

use crate::loopback_proxy::LoopbackProxy;
use crate::node_process::NodeProcess;
use crate::soak_run::SoakOptions;

/// Services, in turn over the nodes.
const SERVICES: [&str; 2] = ["press", "desk"];
/// Data centres, in turn over pairs of nodes.
const CENTRES: [&str; 2] = ["north", "south"];
/// Time that a backend server works on a request.
const WORK: Duration = Duration::from_millis(20);

/// A node with what stands around it.
pub(crate) struct SoakNode {
    pub(crate) process: RefCell<NodeProcess>,
    pub(crate) backend: PlatformBackend,
    pub(crate) callers: SocketAddr,
    pub(crate) heartbeats: SocketAddr,
    pub(crate) ready: SocketAddr,
    /// In front of the node's address for other nodes.
    pub(crate) peer_proxy: LoopbackProxy,
    /// Between the node and the store.
    pub(crate) store_proxy: LoopbackProxy,
    /// Whether a fault is handling the process, which then may end.
    pub(crate) handled: Cell<bool>,
    /// The same for the backend server.
    pub(crate) backend_handled: Cell<bool>,
}

/// The fleet; clones share it.
#[derive(Clone)]
pub(crate) struct SoakFleet {
    pub(crate) store: KvStandin,
    pub(crate) nodes: Rc<Vec<SoakNode>>,
    /// Newest version written; each has a route of its own that all later ones keep.
    pub(crate) version: Rc<Cell<u64>>,
}

impl SoakFleet {
    /// Builds the fleet and starts its processes. Files go to `folder`.
    pub(crate) async fn start(options: &SoakOptions, folder: &Path) -> eyre::Result<Self> {
        let store = KvStandin::start().await;
        let mut nodes = Vec::new();
        let mut addresses = AddressBook::new();
        for number in 0..options.nodes {
            nodes.push(start_node(options, folder, &store, &mut addresses, number).await?);
        }
        let fleet = Self {
            store,
            nodes: Rc::new(nodes),
            version: Rc::default(),
        };
        fleet.change_config();
        Ok(fleet)
    }

    /// Writes the next version. Orders move between the services with each version.
    pub(crate) fn change_config(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let mut routes = vec![
            RouteConfig {
                name: "order".to_owned(),
                service: SERVICES[version as usize % SERVICES.len()].to_owned(),
                idempotent: false,
            },
            RouteConfig {
                name: "look".to_owned(),
                service: SERVICES[0].to_owned(),
                idempotent: true,
            },
        ];
        routes.extend((1..=version).map(|number| RouteConfig {
            name: format!("v{number}"),
            service: SERVICES[1].to_owned(),
            idempotent: true,
        }));
        self.store.put(CONFIG_KEY, &config_json(version, &routes));
    }
}

async fn start_node(
    options: &SoakOptions,
    folder: &Path,
    store: &KvStandin,
    addresses: &mut AddressBook,
    number: usize,
) -> eyre::Result<SoakNode> {
    let name = format!("node-{number}");
    let service = SERVICES[number % SERVICES.len()];
    let backend = PlatformBackend::start(&name, service, WORK).await;
    let peer_listen = addresses.next_address();
    let peer_proxy = LoopbackProxy::open(peer_listen).await?;
    let store_proxy = LoopbackProxy::open(store.address()).await?;
    let places = NodeAddresses {
        name,
        data_centre: CENTRES[number / SERVICES.len() % CENTRES.len()].to_owned(),
        service: service.to_owned(),
        backend: backend.address(),
        store: store_proxy.address(),
        peer: peer_proxy.address(),
        callers: addresses.next_address(),
        ready: addresses.next_address(),
        heartbeats: addresses.next_address(),
    };
    let program = options.program.clone();
    let mut process = NodeProcess::new(program, folder, &places, peer_listen)?;
    process.start()?;
    backend.start_heartbeats(places.heartbeats);
    Ok(SoakNode {
        process: RefCell::new(process),
        backend,
        callers: places.callers,
        heartbeats: places.heartbeats,
        ready: places.ready,
        peer_proxy,
        store_proxy,
        handled: Cell::new(false),
        backend_handled: Cell::new(false),
    })
}

/// Runs that one process may make without sharing an address with another process's.
const RUNS_A_PROCESS: u32 = 16;
/// Values that an octet of an address takes, from 1 on.
const OCTETS: u32 = 250;
/// Runs begun in this process.
static RUNS: AtomicU32 = AtomicU32::new(0);
/// First port given out.
const FIRST_PORT: u16 = 20_000;

/// Loopback address of a process's run. Neither 0 nor 255 stands in it, and 127.0.0.x is left
/// to others.
pub fn run_address(process: u32, run: u32) -> IpAddr {
    let number = process
        .wrapping_mul(RUNS_A_PROCESS)
        .wrapping_add(run % RUNS_A_PROCESS);
    let octet = |rest: u32| (1 + rest % OCTETS) as u8;
    let [high, middle, low] = [number / OCTETS / OCTETS, number / OCTETS, number].map(octet);
    IpAddr::V4(Ipv4Addr::new(127, high, middle, low))
}

/// Gives out addresses that nobody else on the machine uses: a loopback address of the run's
/// own, with ports in order. A port that was free a moment ago may be taken by then.
struct AddressBook {
    ip: IpAddr,
    next: u16,
}

impl AddressBook {
    fn new() -> Self {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        Self {
            ip: run_address(std::process::id(), run),
            next: FIRST_PORT,
        }
    }

    fn next_address(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::new(self.ip, self.next)
    }
}
