//! Real nodes in one process, with in-memory links, backend servers and store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::MeshConfig;
use sequoiagw_distribution::ConfigChange;
use sequoiagw_distribution::ConfigWriter;
use sequoiagw_distribution::WriteError;
use sequoiagw_node::BackendAnnouncement;
use sequoiagw_node::NodeCounters;
use sequoiagw_node::NodeDependencies;
use sequoiagw_node::NodeHandle;
use sequoiagw_node::NodeIdentity;
use sequoiagw_protocol::NodeAddress;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::BackendModel;
use crate::BackendPlan;
use crate::MemoryBackend;
use crate::MemoryNetwork;
use crate::MemoryStore;
use crate::NetworkPlan;
use crate::PauseSwitch;
use crate::RunLog;

/// Interval between two announcements of a backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Size and parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of nodes, distributed evenly over the data centres.
    pub nodes: usize,
    /// Names of the services, distributed evenly over the nodes of each data centre.
    pub services: Vec<String>,
    /// Parameters of the backend servers.
    pub backend: BackendPlan,
    /// Delay and loss of the network.
    pub network: NetworkPlan,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl FleetPlan {
    /// Builds the default plan with a given number of nodes and seed.
    pub fn with_nodes(nodes: usize, seed: u64) -> Self {
        Self {
            nodes,
            seed,
            ..Self::default()
        }
    }
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            data_centres: 2,
            nodes: 4,
            services: vec!["press".to_owned(), "payments".to_owned()],
            backend: BackendPlan::default(),
            network: NetworkPlan::default(),
            seed: 1,
        }
    }
}

/// One node of a fleet.
pub struct FleetNode {
    /// Handle of the running process, or of the last one while the node is down.
    pub handle: NodeHandle,
    /// Name of the node.
    pub name: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Service of its backend server.
    pub service: String,
    /// Address for links from other nodes.
    pub address: NodeAddress,
    /// Its client of the store.
    pub store: MemoryStore,
    /// Its backend server, which keeps running when the node's process is killed.
    pub model: BackendModel,
    /// Whether its process is running.
    pub is_running: bool,
    boot: u64,
    pause: PauseSwitch,
    tasks: Vec<AbortHandle>,
}

/// A fleet of real nodes in one process.
pub struct InProcessFleet {
    /// Network between the nodes.
    pub network: MemoryNetwork,
    /// Stand-in of the platform's store.
    pub store: MemoryStore,
    /// Nodes by index.
    pub nodes: Vec<FleetNode>,
    /// Runs of all backend servers.
    pub log: RunLog,
    plan: FleetPlan,
}

impl InProcessFleet {
    /// Starts a fleet on the current thread's runtime.
    pub fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self {
            network: MemoryNetwork::new(plan.network.clone(), plan.seed),
            store: MemoryStore::new(plan.seed),
            nodes: Vec::with_capacity(plan.nodes),
            log: RunLog::default(),
            plan,
        };
        for index in 0..fleet.plan.nodes {
            let node = fleet.build_node(index);
            fleet.nodes.push(node);
        }
        for index in 0..fleet.plan.nodes {
            fleet.start_node(index);
        }
        fleet
    }

    /// Address of the node with an index.
    pub fn address(index: usize) -> NodeAddress {
        let host = [10, 0, (index / 250) as u8, (index % 250) as u8 + 1];
        NodeAddress::from(SocketAddr::from((host, 7000)))
    }

    fn build_node(&self, index: usize) -> FleetNode {
        let plan = &self.plan;
        let data_centre_index = index % plan.data_centres;
        let index_in_data_centre = index / plan.data_centres;
        let service = plan.services[index_in_data_centre % plan.services.len()].clone();
        let address = Self::address(index);
        let model = BackendModel::new(
            plan.backend.clone(),
            plan.seed + index as u64,
            self.log.clone(),
        );
        let store = self.store.client();
        let (events, _) = mpsc::unbounded_channel();
        let name = format!("node-{index}");
        let data_centre = format!("dc{data_centre_index}");
        let identity = self.identity(index, &name, &data_centre, 0);
        let dependencies = NodeDependencies {
            store: Rc::new(store.clone()),
            links: Box::new(self.network.connect(address, &data_centre, events.clone())),
            backend: Box::new(MemoryBackend::new(model.clone(), events.clone())),
        };
        self.network.disconnect(address);
        let handle = NodeHandle::new(identity, dependencies, events, NodeCounters::default());
        FleetNode {
            handle,
            name,
            data_centre,
            service,
            address,
            store,
            model,
            is_running: false,
            boot: 0,
            pause: PauseSwitch::default(),
            tasks: Vec::new(),
        }
    }

    fn identity(&self, index: usize, name: &str, data_centre: &str, boot: u64) -> NodeIdentity {
        // The first two nodes of each data centre are the seed addresses of all nodes.
        let seeds = (0..self.plan.data_centres * 2).map(Self::address).collect();
        NodeIdentity {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            address: Self::address(index),
            seeds,
            boot,
            seed: self.plan.seed.wrapping_mul(1_000_003) + index as u64 * 1_009 + boot,
        }
    }

    /// Starts a new process of a node, without any state of the previous one.
    pub fn start_node(&mut self, index: usize) {
        let boot = self.nodes[index].boot + 1;
        let name = self.nodes[index].name.clone();
        let data_centre = self.nodes[index].data_centre.clone();
        let identity = self.identity(index, &name, &data_centre, boot);
        let (events, receiver) = mpsc::unbounded_channel();
        let node = &mut self.nodes[index];
        let links = self
            .network
            .connect(node.address, &data_centre, events.clone());
        let dependencies = NodeDependencies {
            store: Rc::new(node.store.clone()),
            links: Box::new(links),
            backend: Box::new(MemoryBackend::new(node.model.clone(), events.clone())),
        };
        let handle = NodeHandle::new(identity, dependencies, events, NodeCounters::default());
        let running_handle = handle.clone();
        let pause = PauseSwitch::default();
        let run_task = pause
            .clone()
            .wrap(async move { running_handle.run(receiver).await });
        let run_task = tokio::task::spawn_local(run_task);
        let info = BackendAnnouncement {
            service: node.service.clone(),
            address: node.address.to_string(),
            slots: self.plan.backend.slots,
        };
        let announcing_handle = handle.clone();
        let announce_task = pause.clone().wrap(async move {
            loop {
                announcing_handle.announce(info.clone());
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        });
        let announce_task = tokio::task::spawn_local(announce_task);
        node.tasks = vec![run_task.abort_handle(), announce_task.abort_handle()];
        node.handle = handle;
        node.boot = boot;
        node.pause = pause;
        node.is_running = true;
    }

    /// Kills a node's process. Its backend server keeps running.
    pub fn kill_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        self.network.disconnect(node.address);
        for task in node.tasks.drain(..) {
            task.abort();
        }
        node.is_running = false;
    }

    /// Pauses a node's process, or resumes it.
    pub fn pause_node(&self, index: usize, paused: bool) {
        self.nodes[index].pause.set(paused);
    }

    /// Drains a node, waits until it has stopped, and ends its process.
    pub async fn drain_node(&mut self, index: usize) {
        let handle = self.nodes[index].handle.clone();
        handle.drain();
        handle.wait_stopped().await;
        self.kill_node(index);
    }

    /// Partitions a data centre from the others and from the store, or reconnects it.
    pub fn partition_data_centre(&self, data_centre: &str, partitioned: bool) {
        self.network.set_partitioned(data_centre, partitioned);
        for node in self
            .nodes
            .iter()
            .filter(|node| node.data_centre == data_centre)
        {
            node.store.set_disconnected(partitioned);
        }
    }

    /// Writes a configuration as a change to the newest version.
    ///
    /// Errors: the store is unavailable, or the configuration is refused.
    pub async fn write_config(
        &self,
        config: MeshConfig,
        change_id: &str,
    ) -> Result<AcceptedConfig, WriteError> {
        Self::write_config_to(&self.store, config, change_id).await
    }

    /// Writes a configuration to a store as a change to the newest version there.
    ///
    /// Errors: the store is unavailable, or the configuration is refused.
    pub async fn write_config_to(
        store: &MemoryStore,
        config: MeshConfig,
        change_id: &str,
    ) -> Result<AcceptedConfig, WriteError> {
        let writer = ConfigWriter::new(Rc::new(store.client()));
        let base = writer.read().await?.version();
        let change = ConfigChange {
            config,
            base,
            change_id: change_id.to_owned(),
            author: "operator".to_owned(),
            message: change_id.to_owned(),
            now_ms: 1,
        };
        writer.apply(&change).await
    }

    /// Waits until every running node has a version in force and is ready for calls.
    pub async fn wait_version(&self, version: u64) {
        for node in self.nodes.iter().filter(|node| node.is_running) {
            node.handle.wait_version(version).await;
            node.handle.wait_ready().await;
        }
    }

    /// Waits until every running node has all running nodes in its membership, ready or not.
    pub async fn wait_joined(&self) {
        let running = self.nodes.iter().filter(|node| node.is_running).count();
        let has_all_nodes =
            |node: &FleetNode| node.handle.read(|core| core.members().len()) >= running;
        while !self
            .nodes
            .iter()
            .filter(|node| node.is_running)
            .all(has_all_nodes)
        {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until every running node has all running targets in its membership as ready.
    pub async fn wait_targets_ready(&self) {
        let running = self.nodes.iter().filter(|node| node.is_running).count();
        loop {
            let all_complete = self
                .nodes
                .iter()
                .filter(|node| node.is_running)
                .all(|node| {
                    let views = node.handle.status().members;
                    let ready = views.iter().filter(|view| view.state == "ready");
                    ready.filter(|view| !view.service.is_empty()).count() >= running
                });
            if all_complete {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Configuration versions in force at the running nodes, by node name; 0 for none.
    pub fn versions(&self) -> BTreeMap<String, u64> {
        let running = self.nodes.iter().filter(|node| node.is_running);
        running
            .map(|node| {
                let version = node
                    .handle
                    .read(|core| core.active_config().map_or(0, |config| config.version));
                (node.name.clone(), version)
            })
            .collect()
    }

    /// Sums of the counters of all running nodes, by counter name.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.is_running) {
            for (name, count) in node.handle.counters().totals() {
                *totals.entry(name).or_default() += count;
            }
        }
        totals
    }
}
