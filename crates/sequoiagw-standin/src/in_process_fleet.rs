//! Real nodes in one process, on memory links and a memory store.

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
use sequoiagw_node::NodeEdges;
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

/// Time between two announcements of a backend server.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// Which nodes a fleet has.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Data centres.
    pub data_centres: usize,
    /// Nodes, spread evenly over the data centres.
    pub nodes: usize,
    /// Services, spread evenly over the nodes of each data centre.
    pub services: Vec<String>,
    /// How backend servers behave.
    pub backend: BackendPlan,
    /// Delays and losses.
    pub network: NetworkPlan,
    /// Seed of everything random.
    pub seed: u64,
}

impl FleetPlan {
    /// A plan with a number of nodes and a seed.
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
    /// Handle; of the last process while the node is down.
    pub handle: NodeHandle,
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Service of its backend server.
    pub service: String,
    /// Address for inner links.
    pub address: NodeAddress,
    /// Its way to the store.
    pub store: MemoryStore,
    /// Its backend server, which outlives the node's process.
    pub model: BackendModel,
    /// Whether its process runs.
    pub up: bool,
    boot: u64,
    pause: PauseSwitch,
    tasks: Vec<AbortHandle>,
}

/// Real nodes in one process.
pub struct InProcessFleet {
    /// The network.
    pub network: MemoryNetwork,
    /// The platform's store.
    pub store: MemoryStore,
    /// The nodes.
    pub nodes: Vec<FleetNode>,
    /// Which requests ran.
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

    /// Address of a node.
    pub fn address(index: usize) -> NodeAddress {
        let host = [10, 0, (index / 250) as u8, (index % 250) as u8 + 1];
        NodeAddress::from(SocketAddr::from((host, 7000)))
    }

    fn build_node(&self, index: usize) -> FleetNode {
        let plan = &self.plan;
        let centre = index % plan.data_centres;
        let place = index / plan.data_centres;
        let service = plan.services[place % plan.services.len()].clone();
        let address = Self::address(index);
        let model = BackendModel::new(
            plan.backend.clone(),
            plan.seed + index as u64,
            self.log.clone(),
        );
        let store = self.store.client();
        let (events, _) = mpsc::unbounded_channel();
        let name = format!("node-{index}");
        let data_centre = format!("dc{centre}");
        let identity = self.identity(index, &name, &data_centre, 0);
        let edges = NodeEdges {
            store: Rc::new(store.clone()),
            links: Box::new(self.network.connect(address, &data_centre, events.clone())),
            backend: Box::new(MemoryBackend::new(model.clone(), events.clone())),
        };
        self.network.disconnect(address);
        let handle = NodeHandle::new(identity, edges, events, NodeCounters::default());
        FleetNode {
            handle,
            name,
            data_centre,
            service,
            address,
            store,
            model,
            up: false,
            boot: 0,
            pause: PauseSwitch::default(),
            tasks: Vec::new(),
        }
    }

    fn identity(&self, index: usize, name: &str, data_centre: &str, boot: u64) -> NodeIdentity {
        // The first nodes of each data centre are everyone's entry points.
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

    /// Starts a node's process afresh, with nothing kept.
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
        let edges = NodeEdges {
            store: Rc::new(node.store.clone()),
            links: Box::new(links),
            backend: Box::new(MemoryBackend::new(node.model.clone(), events.clone())),
        };
        let handle = NodeHandle::new(identity, edges, events, NodeCounters::default());
        let running = handle.clone();
        let pause = PauseSwitch::default();
        let run = pause
            .clone()
            .wrap(async move { running.run(receiver).await });
        let run = tokio::task::spawn_local(run);
        let info = BackendAnnouncement {
            service: node.service.clone(),
            address: node.address.to_string(),
            slots: self.plan.backend.slots,
        };
        let announcing = handle.clone();
        let announce = pause.clone().wrap(async move {
            loop {
                announcing.announce(info.clone());
                tokio::time::sleep(ANNOUNCE_PERIOD).await;
            }
        });
        let announce = tokio::task::spawn_local(announce);
        node.tasks = vec![run.abort_handle(), announce.abort_handle()];
        node.handle = handle;
        node.boot = boot;
        node.pause = pause;
        node.up = true;
    }

    /// Kills a node's process; its backend server stays.
    pub fn kill_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        self.network.disconnect(node.address);
        for task in node.tasks.drain(..) {
            task.abort();
        }
        node.up = false;
    }

    /// Pauses a node's process, or lets it go on.
    pub fn pause_node(&self, index: usize, paused: bool) {
        self.nodes[index].pause.set(paused);
    }

    /// Lets a node leave, and returns when it has.
    pub async fn drain_node(&mut self, index: usize) {
        let handle = self.nodes[index].handle.clone();
        handle.drain();
        handle.wait_stopped().await;
        self.kill_node(index);
    }

    /// Cuts a data centre off from the others and from the store, or connects it again.
    pub fn partition_data_centre(&self, data_centre: &str, cut: bool) {
        self.network.set_partitioned(data_centre, cut);
        for node in self
            .nodes
            .iter()
            .filter(|node| node.data_centre == data_centre)
        {
            node.store.set_disconnected(cut);
        }
    }

    /// Accepts a configuration, made from the newest version.
    pub async fn write_config(
        &self,
        config: MeshConfig,
        change_id: &str,
    ) -> Result<AcceptedConfig, WriteError> {
        Self::write_config_to(&self.store, config, change_id).await
    }

    /// Accepts a configuration in a store, made from the newest version there.
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

    /// Waits until every running node has a version in force and takes calls.
    pub async fn wait_version(&self, version: u64) {
        for node in self.nodes.iter().filter(|node| node.up) {
            node.handle.wait_version(version).await;
            node.handle.wait_ready().await;
        }
    }

    /// Waits until every running node knows all running nodes, in service or not.
    pub async fn wait_joined(&self) {
        let up = self.nodes.iter().filter(|node| node.up).count();
        let complete = |node: &FleetNode| node.handle.read(|core| core.members().len()) >= up;
        while !self.nodes.iter().filter(|node| node.up).all(complete) {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until every running node knows all running targets.
    pub async fn wait_members(&self) {
        let up = self.nodes.iter().filter(|node| node.up).count();
        loop {
            let complete = self.nodes.iter().filter(|node| node.up).all(|node| {
                let views = node.handle.status().members;
                let ready = views.iter().filter(|view| view.state == "ready");
                ready.filter(|view| !view.service.is_empty()).count() >= up
            });
            if complete {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Versions in force at the running nodes, by name.
    pub fn versions(&self) -> BTreeMap<String, u64> {
        let up = self.nodes.iter().filter(|node| node.up);
        up.map(|node| {
            let version = node
                .handle
                .read(|core| core.snapshot().map_or(0, |snapshot| snapshot.version));
            (node.name.clone(), version)
        })
        .collect()
    }

    /// Counters of all running nodes, added up.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.up) {
            for (name, count) in node.handle.counters().totals() {
                *totals.entry(name).or_default() += count;
            }
        }
        totals
    }
}
