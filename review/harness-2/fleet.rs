//! A small deployment: one machine in each of three zones, with its backend server.

use std::path::{Path, PathBuf};
use std::time::Duration;

use super::backend::{Backend, BackendPlan};
use super::node::{self, Machine, Node};
use super::record;
use super::store::{Access, Store, StorePort};
use super::{unix_ms, Network};

/// Time within which all nodes of a first start are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time without any change before the case begins.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The processes and stand-ins of a case. All of them end when it is dropped.
pub struct Fleet {
    pub store: Store,
    pub store_ports: Vec<StorePort>,
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    folder: PathBuf,
}

/// What distinguishes a case's deployment.
pub struct FleetPlan<'a> {
    /// Name, zone and service of each machine.
    pub machines: &'a [(&'a str, &'a str, &'a str)],
    /// Contracts besides the usual ones.
    pub contracts: &'a [&'a str],
    /// First configuration.
    pub config: &'a str,
}

impl Fleet {
    /// Starts the whole deployment for the first time and waits until it serves; `None` if that
    /// isn't possible here.
    pub fn start(plan: &FleetPlan, root: &Path) -> Option<Self> {
        let hosts = u8::try_from(plan.machines.len()).ok()?;
        let network = Network::find(hosts, &node::PORTS)?;
        let mut fleet = Self {
            store: Store::start(),
            store_ports: Vec::new(),
            nodes: Vec::new(),
            backends: Vec::new(),
            folder: node::temporary_folder("review").ok()?,
        };
        fleet.store.put("op/config", plan.config);
        for (host, (name, zone, service)) in (1..).zip(plan.machines) {
            let mut machine = Machine::new(name, network.ip(host), zone, service);
            let contracts = plan.contracts.iter().map(ToString::to_string);
            machine.contracts.extend(contracts);
            fleet
                .store_ports
                .push(fleet.store.open(machine.store).ok()?);
            let node = Node::start(machine.clone(), root, &fleet.folder, true).ok()?;
            fleet.nodes.push(node);
            let backend = BackendPlan {
                name,
                service,
                zone,
                address: machine.at(node::TARGET_PORT),
                node: machine.at(node::CONTROL_PORT),
                interval: Duration::from_millis(machine.heartbeat_interval_ms),
            };
            let instance = format!("i-{name}");
            let backend = Backend::start(&backend, &instance, unix_ms()).ok()?;
            fleet.backends.push(backend);
        }
        let nodes: Vec<&Node> = fleet.nodes.iter().collect();
        if !node::wait_ready(&nodes, READY_LIMIT) {
            record::say("the nodes didn't get ready");
            return None;
        }
        std::thread::sleep(SETTLE_TIME);
        Some(fleet)
    }

    /// Sets how the store serves all machines.
    pub fn set_store(&self, access: Access) {
        record::line(&format!("store: {access:?}"));
        for port in &self.store_ports {
            port.set(access);
        }
    }

    /// Runs of a request at all backend servers.
    pub fn runs_of(&self, id: &str) -> Vec<super::backend::Run> {
        let backends = self.backends.iter();
        backends.flat_map(|backend| backend.runs_of(id)).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
