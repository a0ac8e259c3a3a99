//! Nodes with all their tasks, in one process on a paused clock.

use std::net::SocketAddr;
use std::rc::Rc;

use sequoiagw_mesh::BackendRuns;
use sequoiagw_mesh::MeshBackend;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::NodeRegistrar;
use sequoiagw_mesh::StoreFollower;
use sequoiagw_mesh::StoreHealth;
use sequoiagw_mesh::NODES_PREFIX;
use sequoiagw_node::EventSender;
use sequoiagw_node::NodeCounters;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_store::PollingStore;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::direct_links::DirectLinks;
use crate::fleet_store::FleetStore;
use crate::fleet_store::NodeStore;
use crate::number_format::NumberFormat;
use crate::number_format::HEADERS;
use crate::support::address;
use crate::support::registration;
use crate::support::NODES;

/// Boot of the processes that the store knows when a fleet starts.
pub const FIRST_BOOT: u64 = 1;

/// A running node, with what a fault changes. Its process ends when it is dropped.
pub struct FleetNode {
    pub handle: MeshHandle,
    pub store: NodeStore,
    pub links: DirectLinks,
    _tasks: JoinSet<()>,
}

impl FleetNode {
    /// Starts a node with all its tasks.
    pub fn start(settings: MeshSettings, boot: u64, store: NodeStore, links: DirectLinks) -> Self {
        let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
        let connect = |events| -> Box<dyn BackendRuns> {
            Box::new(MeshBackend::new(unused_address, HEADERS, events))
        };
        Self::start_beside(settings, boot, store, links, connect)
    }

    /// Starts a node with all its tasks beside the backend server that `connect` returns for the
    /// node's event loop.
    pub fn start_beside<Connect>(
        settings: MeshSettings,
        boot: u64,
        store: NodeStore,
        links: DirectLinks,
        connect: Connect,
    ) -> Self
    where
        Connect: FnOnce(EventSender) -> Box<dyn BackendRuns>,
    {
        let address = NodeAddress::from(settings.peer_address);
        let (events, receiver) = mpsc::unbounded_channel();
        links.add_receiver(address, events.clone());
        let backend = connect(events);
        let core = MeshCore::new(settings, boot, NodeCounters::default());
        let core_links = Box::new(links.clone());
        let handle = MeshHandle::new(core, core_links, backend, Rc::new(NumberFormat));
        let health = StoreHealth::new(NodeCounters::default());
        let shared: Rc<dyn PollingStore> = Rc::new(store.clone());
        let follower = StoreFollower::new(handle.clone(), Rc::clone(&shared), health.clone());
        let registrar = NodeRegistrar::new(handle.clone(), shared, health);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(follower.clone().request_config_from_peers());
        tasks.spawn_local(follower.clone().follow_config());
        tasks.spawn_local(follower.clone().broadcast_digests());
        tasks.spawn_local(follower.clone().follow_rollouts());
        tasks.spawn_local(follower.follow_registrations());
        tasks.spawn_local(registrar.run());
        let event_handle = handle.clone();
        tasks.spawn_local(async move { event_handle.run(receiver).await });
        Self {
            handle,
            store,
            links,
            _tasks: tasks,
        }
    }

    /// Number of the active version, 0 without one.
    pub fn active_version(&self) -> u64 {
        self.handle.read(MeshCore::active_version_number)
    }
}

/// Address of a node for links from other nodes.
pub fn node_address(name: &str) -> NodeAddress {
    NodeAddress::parse(&address(name)).expect("an address")
}

/// Starts a store with a configuration that already has the registrations of some nodes.
pub fn start_store(version: u64, registered: &[&str]) -> FleetStore {
    let store = FleetStore::start(version);
    for name in registered {
        let registration = registration(name, FIRST_BOOT);
        let value = serde_json::to_string(&registration).expect("a registration is JSON");
        store.put_leased(&format!("{NODES_PREFIX}{name}"), value);
    }
    store
}

/// Starts nodes that the store knows.
pub fn start_nodes(store: &FleetStore, links: &DirectLinks) -> Vec<FleetNode> {
    let nodes = NODES.iter().map(|name| {
        let settings = crate::support::settings(name);
        let links = links.for_another_node();
        FleetNode::start(settings, FIRST_BOOT, NodeStore::new(store), links)
    });
    nodes.collect()
}
