//! A data centre whose watchers lose the platform's store while the other nodes still reach it.

mod number_format;
mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use number_format::NumberFormat;
use number_format::CONFIG_KEY;
use number_format::HEADERS;
use sequoiagw_mesh::MeshBackend;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::NodeRegistrar;
use sequoiagw_mesh::StoreFollower;
use sequoiagw_mesh::StoreHealth;
use sequoiagw_mesh::NODES_PREFIX;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::EventSender;
use sequoiagw_node::NodeCounters;
use sequoiagw_node::PeerLinks;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::ChangeBatch;
use sequoiagw_store::KeyChange;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PollFuture;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreFuture;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use support::address;
use support::registration;
use support::settings;
use support::NODES;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::Instant;

const BOOT: u64 = 1;
/// Time within which a confirmed version must be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a failed call to the store is made again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time that a call to the store takes.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Time after which a call to a store that doesn't answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// One node's access to the store that all nodes share.
#[derive(Clone)]
struct SharedStore {
    /// Version that the operators wrote last; it is also the store's revision.
    version: Rc<watch::Sender<u64>>,
    /// Whether the store answers nothing that this node sends.
    cut: Rc<Cell<bool>>,
    /// Nodes whose registrations the store has.
    registered: &'static [&'static str],
}

impl SharedStore {
    fn new(version: &Rc<watch::Sender<u64>>) -> Self {
        Self {
            version: Rc::clone(version),
            cut: Rc::default(),
            registered: &NODES,
        }
    }

    /// Access of another node to the same store.
    fn for_another_node(&self) -> Self {
        Self {
            cut: Rc::default(),
            ..self.clone()
        }
    }

    fn config(&self) -> KeyEntry {
        let number = *self.version.borrow();
        entry(CONFIG_KEY.to_owned(), number.to_string(), number)
    }

    async fn wait_if_cut(&self, time: Duration) -> Result<(), StoreError> {
        if self.cut.get() {
            sleep(time).await;
            return Err(StoreError::Unavailable {
                detail: "no answer".to_owned(),
            });
        }
        Ok(())
    }
}

fn entry(key: String, value: String, revision: u64) -> KeyEntry {
    KeyEntry {
        key,
        value,
        create_revision: revision,
        mod_revision: revision,
    }
}

impl PollingStore for SharedStore {
    fn call(&self, request: StoreRequest) -> StoreFuture {
        let store = self.clone();
        Box::pin(async move {
            store.wait_if_cut(CALL_TIMEOUT).await?;
            sleep(CALL_TIME).await;
            let revision = *store.version.borrow();
            Ok(match request {
                StoreRequest::Read { .. } => StoreReply::Entries {
                    entries: vec![store.config()],
                    revision,
                },
                StoreRequest::ReadPrefix { .. } => StoreReply::Entries {
                    entries: store
                        .registered
                        .iter()
                        .map(|name| node_entry(name))
                        .collect(),
                    revision,
                },
                StoreRequest::Grant { ttl_s } => StoreReply::Leased {
                    lease: LeaseId(1),
                    ttl_s,
                },
                StoreRequest::KeepAlive { lease } => StoreReply::Leased { lease, ttl_s: 10 },
                _ => StoreReply::Committed {
                    applied: true,
                    revision,
                },
            })
        })
    }

    fn poll(&self, request: PollRequest) -> PollFuture {
        let store = self.clone();
        Box::pin(async move {
            let mut version = store.version.subscribe();
            let answer = async {
                while *version.borrow_and_update() <= request.after || store.cut.get() {
                    if version.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                }
            };
            // A poll that waits while the node is cut off is never answered.
            let _ = tokio::time::timeout(request.wait, answer).await;
            store.wait_if_cut(CALL_TIMEOUT).await?;
            let revision = *store.version.borrow();
            let is_config = request.prefix == CONFIG_KEY && revision > request.after;
            let changes = is_config.then(|| KeyChange::Written(store.config()));
            Ok(ChangeBatch {
                changes: changes.into_iter().collect(),
                revision,
            })
        })
    }
}

fn node_entry(name: &str) -> KeyEntry {
    let value = serde_json::to_string(&registration(name, BOOT)).expect("a registration is JSON");
    entry(format!("{NODES_PREFIX}{name}"), value, 1)
}

/// One node's links, which pass frames to the event loops of the other nodes at once.
#[derive(Clone, Default)]
struct DirectLinks {
    /// Event loops of all nodes.
    receivers: Rc<RefCell<Vec<(NodeAddress, EventSender)>>>,
    /// Whether this node's frames are lost.
    silent: Rc<Cell<bool>>,
    /// Time that the nodes are behind in handling what they receive.
    backlog: Duration,
}

impl DirectLinks {
    /// Links of another node of the same fleet.
    fn for_another_node(&self) -> Self {
        Self {
            receivers: Rc::clone(&self.receivers),
            silent: Rc::default(),
            backlog: self.backlog,
        }
    }

    /// Lets the other nodes notice that the process of the node at `address` has ended.
    fn report_end(&self, address: NodeAddress) {
        for (_, events) in self.receivers.borrow().iter() {
            self.deliver(events, CoreEvent::LinkLost(address));
        }
    }

    /// Passes an event to a node's event loop, which runs until the end of the test.
    fn deliver(&self, events: &EventSender, event: CoreEvent) {
        let events = events.clone();
        let backlog = self.backlog;
        tokio::task::spawn_local(async move {
            sleep(backlog).await;
            let _ = events.send(event);
        });
    }
}

impl PeerLinks for DirectLinks {
    fn send(&self, to: NodeAddress, frame: PeerFrame) {
        if self.silent.get() {
            return;
        }
        for (address, events) in self.receivers.borrow().iter() {
            if *address == to {
                let frame = frame.clone();
                self.deliver(events, CoreEvent::Frame { frame, bytes: 50 });
            }
        }
    }

    fn reset(&self, _to: NodeAddress) {}
}

/// Starts a node with all its tasks.
fn start_node(name: &str, store: &SharedStore, links: &DirectLinks) -> MeshHandle {
    start_node_with(settings(name), store, links)
}

/// Starts a node with these settings and all its tasks.
fn start_node_with(settings: MeshSettings, store: &SharedStore, links: &DirectLinks) -> MeshHandle {
    let name = settings.name.clone();
    let (events, receiver) = mpsc::unbounded_channel();
    let own_address = NodeAddress::parse(&address(&name)).expect("an address");
    links
        .receivers
        .borrow_mut()
        .push((own_address, events.clone()));
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let backend = MeshBackend::new(unused_address, HEADERS, events);
    let core = MeshCore::new(settings, BOOT, NodeCounters::default());
    let links = Box::new(links.clone());
    let handle = MeshHandle::new(core, links, backend, Rc::new(NumberFormat));
    let health = StoreHealth::new(NodeCounters::default());
    let store: Rc<dyn PollingStore> = Rc::new(store.clone());
    let follower = StoreFollower::new(handle.clone(), Rc::clone(&store), health.clone());
    let registrar = NodeRegistrar::new(handle.clone(), store, health);
    tokio::task::spawn_local(follower.clone().request_config_from_peers());
    tokio::task::spawn_local(follower.clone().follow_config());
    tokio::task::spawn_local(follower.clone().broadcast_digests());
    tokio::task::spawn_local(follower.follow_registrations());
    tokio::task::spawn_local(registrar.run());
    let event_handle = handle.clone();
    tokio::task::spawn_local(async move { event_handle.run(receiver).await });
    handle
}

/// A node of a fleet, with what a fault changes.
struct FleetNode {
    handle: MeshHandle,
    store: SharedStore,
    links: DirectLinks,
}

impl FleetNode {
    fn active_version(&self) -> u64 {
        self.handle.read(MeshCore::active_version_number)
    }
}

/// Starts all nodes with a store that `operators` write to.
fn start_fleet(operators: &Rc<watch::Sender<u64>>) -> Vec<FleetNode> {
    start_busy_fleet(operators, Duration::ZERO)
}

/// Starts all nodes; they are `backlog` behind in handling what they receive.
fn start_busy_fleet(operators: &Rc<watch::Sender<u64>>, backlog: Duration) -> Vec<FleetNode> {
    let fleet_links = DirectLinks {
        backlog,
        ..DirectLinks::default()
    };
    let nodes = NODES.iter().map(|name| {
        let store = SharedStore::new(operators);
        let links = fleet_links.for_another_node();
        FleetNode {
            handle: start_node(name, &store, &links),
            store,
            links,
        }
    });
    nodes.collect()
}

/// How both watchers of the data centre end.
#[derive(Clone, Copy, Debug)]
enum WatcherEnd {
    PowerLoss,
    StoreLoss,
    Kill,
}

impl WatcherEnd {
    fn apply(self, watchers: &[FleetNode]) {
        for (watcher, name) in watchers.iter().zip(NODES) {
            watcher.store.cut.set(true);
            watcher.links.silent.set(!matches!(self, Self::StoreLoss));
            if matches!(self, Self::Kill) {
                watcher
                    .links
                    .report_end(NodeAddress::parse(&address(name)).expect("an address"));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_although_the_watchers_lost_the_store_unnoticed() {
    let check = async {
        // The moment of the cut relative to the renewals and digests is varied.
        for step in 0..10 {
            let operators = Rc::new(watch::channel(3).0);
            let nodes = start_fleet(&operators);
            sleep(Duration::from_secs(20) + Duration::from_millis(200) * step).await;
            WatcherEnd::StoreLoss.apply(&nodes[..2]);
            operators.send_replace(7);
            sleep(PROPAGATION_LIMIT).await;
            for node in &nodes[2..] {
                assert_eq!(node.active_version(), 7, "the cut was at step {step}");
            }
        }
    };
    LocalSet::new().run_until(check).await;
}

/// Writes two versions in quick succession and lets both watchers end some time later; the other
/// nodes must have the second version in time. `phase` shifts the moment relative to the renewals
/// and digests.
async fn check_version_before_an_end(
    end: WatcherEnd,
    backlog: Duration,
    phase: Duration,
    end_delay: Duration,
) {
    let operators = Rc::new(watch::channel(3).0);
    let nodes = start_busy_fleet(&operators, backlog);
    sleep(Duration::from_secs(8) + phase).await;
    operators.send_replace(5);
    sleep(Duration::from_millis(50)).await;
    operators.send_replace(7);
    let deadline = Instant::now() + PROPAGATION_LIMIT;
    sleep(end_delay).await;
    end.apply(&nodes[..2]);
    sleep_until(deadline).await;
    for node in &nodes[2..] {
        let version = node.active_version();
        assert_eq!(
            version, 7,
            "{end:?} after {end_delay:?}, shifted by {phase:?}"
        );
    }
}

async fn check_versions_before_an_end(end: WatcherEnd, backlog: Duration) {
    for phase in 0..5 {
        for step in 0..20 {
            let phase = Duration::from_millis(110) * phase;
            let end_delay = Duration::from_millis(50) * step;
            LocalSet::new()
                .run_until(check_version_before_an_end(end, backlog, phase, end_delay))
                .await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_although_the_watchers_lose_power_before_they_read_it() {
    check_versions_before_an_end(WatcherEnd::PowerLoss, Duration::ZERO).await;
}

#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_although_the_watchers_lose_the_store_before_they_read_it() {
    check_versions_before_an_end(WatcherEnd::StoreLoss, Duration::ZERO).await;
}

#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_at_busy_nodes_although_the_watchers_are_killed_before_they_read_it(
) {
    check_versions_before_an_end(WatcherEnd::Kill, Duration::from_millis(600)).await;
}

#[tokio::test(start_paused = true)]
async fn nodes_of_a_fleet_that_starts_do_not_take_their_watchers_for_lost() {
    let check = async {
        let operators = Rc::new(watch::channel(3).0);
        let fleet_links = DirectLinks {
            backlog: Duration::from_millis(100),
            ..DirectLinks::default()
        };
        let nodes = NODES.map(|name| {
            let settings = MeshSettings {
                first_fleet_start: true,
                ..settings(name)
            };
            let store = SharedStore::new(&operators);
            start_node_with(settings, &store, &fleet_links.for_another_node())
        });
        sleep(Duration::from_secs(10)).await;
        for node in &nodes {
            assert_eq!(node.counters().total("directory.watchers_lost"), 0);
        }
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn outage_does_not_outlast_the_first_answer_to_a_process_without_a_lease() {
    let check = async {
        let operators = Rc::new(watch::channel(3).0);
        let store = SharedStore::new(&operators);
        store.cut.set(true);
        let links = DirectLinks::default();
        let node = start_node("c", &store, &links);
        // The followers of the configuration wait for a sign that the store is back.
        sleep(Duration::from_secs(7)).await;
        store.cut.set(false);
        operators.send_replace(7);
        sleep(CALL_TIMEOUT + RETRY_DELAY).await;
        assert_eq!(node.read(MeshCore::active_version_number), 7);
    };
    LocalSet::new().run_until(check).await;
}

/// Lets node `d` start while both watchers, the only other nodes, are cut off from the store, and
/// writes a version later; it must be in force at the node in time.
async fn check_versions_after_a_start(registered: &'static [&'static str]) {
    for step in 10..20 {
        let operators = Rc::new(watch::channel(3).0);
        let links = DirectLinks::default();
        let store = SharedStore {
            registered,
            ..SharedStore::new(&operators)
        };
        let watchers = ["a", "b"].map(|name| {
            let store = store.for_another_node();
            start_node(name, &store, &links.for_another_node());
            store
        });
        sleep(Duration::from_secs(8)).await;
        for watcher in &watchers {
            watcher.cut.set(true);
        }
        sleep(Duration::from_secs(3)).await;
        let node = start_node("d", &store, &links);
        let write_delay = Duration::from_millis(100) * step;
        sleep(write_delay).await;
        operators.send_replace(7);
        sleep(PROPAGATION_LIMIT).await;
        let version = node.read(MeshCore::active_version_number);
        assert_eq!(version, 7, "written {write_delay:?} after the start");
    }
}

#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_at_a_new_node_that_its_watchers_cannot_know() {
    let check = check_versions_after_a_start(&["a", "b"]);
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_at_a_restarted_node_whose_watchers_have_lost_the_store() {
    let check = check_versions_after_a_start(&["a", "b", "d"]);
    LocalSet::new().run_until(check).await;
}
