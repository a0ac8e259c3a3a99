//! A store that comes back from an older copy: revisions and leases go back and are given out again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::TargetIncarnation;
use sequoiagw_mesh::NODES_PREFIX;
use sequoiagw_protocol::NodeId;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::direct_links::DirectLinks;
use crate::fleet_node::start_nodes;
use crate::fleet_node::start_store;
use crate::fleet_node::FleetNode;
use crate::fleet_node::FIRST_BOOT;
use crate::fleet_store::FleetStore;
use crate::fleet_store::NodeStore;
use crate::fleet_store::WaitingPolls;
use crate::support::settings;
use crate::support::NODES;

/// Time within which a confirmed version must be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a node that reaches the store is back in it, and known to the others.
const REGISTRATION_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a fleet has registered and follows the store.
const SETTLING_TIME: Duration = Duration::from_secs(8);
/// Time between two heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Identity of a backend server's process.
const INSTANCE: &str = "press-1";
const BORN_MS: u64 = 1;

/// Everything that may become of polls.
const ALL_POLLS: [WaitingPolls; 3] = [WaitingPolls::Cut, WaitingPolls::Lost, WaitingPolls::Kept];

/// A fleet with a backend server beside each node.
struct Fleet {
    store: FleetStore,
    links: DirectLinks,
    nodes: Vec<FleetNode>,
    backends: [Backend; 4],
}

impl Fleet {
    /// Starts all nodes with version 3, and lets them register and follow the store.
    async fn start() -> Self {
        let store = start_store(3, &NODES);
        let links = DirectLinks::default();
        let nodes = start_nodes(&store, &links);
        let backends = NODES.map(|_| Backend::new(12));
        for (node, backend) in nodes.iter().zip(&backends) {
            tokio::task::spawn_local(backend.clone().send_heartbeats(node.handle.clone()));
        }
        sleep(SETTLING_TIME).await;
        Self {
            store,
            links,
            nodes,
            backends,
        }
    }

    /// Ends a node's process and starts the next one beside the same backend server.
    fn restart(&mut self, name: &str, boot: u64) {
        let node = FleetNode::start(
            settings(name),
            boot,
            NodeStore::new(&self.store),
            self.links.for_another_node(),
        );
        let backend = self.backend(name).clone();
        tokio::task::spawn_local(backend.send_heartbeats(node.handle.clone()));
        self.nodes[index(name)] = node;
    }

    fn backend(&self, name: &str) -> &Backend {
        &self.backends[index(name)]
    }

    /// Lets a backend server announce other slots several times, so that the revision rises.
    async fn change_slots(&self, name: &str) {
        for slots in 13..30 {
            self.backend(name).slots.set(slots);
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Lets a backend server leave; it sends its node a leave notice and no more heartbeats.
    fn leave(&self, name: &str) {
        self.backend(name).slots.set(0);
        let departing = TargetIncarnation {
            instance: INSTANCE.to_owned(),
            born_ms: BORN_MS,
        };
        self.nodes[index(name)]
            .handle
            .with_core(|core, now| core.on_leave_notice(departing, now));
    }

    /// Registration of a node in the store.
    fn stored(&self, name: &str) -> Option<NodeRegistration> {
        let value = self.store.value(&format!("{NODES_PREFIX}{name}"))?;
        serde_json::from_str(&value).ok()
    }

    /// Nodes that use `name` as a target, each with the boot and the slots that it knows.
    fn views_of(&self, name: &str) -> Vec<(&'static str, u64, u32)> {
        let target = NodeId::from_name(name);
        let views = NODES
            .into_iter()
            .zip(&self.nodes)
            .filter_map(|(viewer, node)| {
                let mut targets = node.handle.read(|core| core.directory().targets());
                let targets = targets.remove("press").unwrap_or_default();
                let target = targets.into_iter().find(|info| info.node == target)?;
                Some((viewer, target.boot, target.slots))
            });
        views.collect()
    }
}

fn index(name: &str) -> usize {
    let index = NODES.iter().position(|node| *node == name);
    index.expect("a node of the fleet")
}

/// A backend server, which sends heartbeats while it has slots.
#[derive(Clone)]
struct Backend {
    slots: Rc<Cell<u32>>,
    sequence: Rc<Cell<u64>>,
}

impl Backend {
    fn new(slots: u32) -> Self {
        Self {
            slots: Rc::new(Cell::new(slots)),
            sequence: Rc::default(),
        }
    }

    /// Sends heartbeats to a process of its node, and never returns.
    async fn send_heartbeats(self, handle: MeshHandle) {
        loop {
            if self.slots.get() > 0 {
                self.send_heartbeat(&handle, self.slots.get());
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn send_heartbeat(&self, handle: &MeshHandle, slots: u32) {
        self.sequence.set(self.sequence.get() + 1);
        let heartbeat = Heartbeat {
            instance: INSTANCE.to_owned(),
            born_ms: Some(BORN_MS),
            sequence: self.sequence.get(),
            service: "press".to_owned(),
            address: "127.0.0.1:0".to_owned(),
            slots,
            phase: HeartbeatPhase::Ready,
            warmup_left: Duration::ZERO,
            version: String::new(),
        };
        handle.with_core(|core, now| core.on_heartbeat(&heartbeat, now));
    }
}

async fn run<Check>(check: Check)
where
    Check: std::future::Future<Output = ()>,
{
    LocalSet::new().run_until(check).await;
}

async fn check_version_after_a_restore(waiting_polls: WaitingPolls) {
    for step in 0..5 {
        let fleet = Fleet::start().await;
        // The moment of the restore relative to the renewals and digests is varied.
        sleep(Duration::from_millis(110) * step).await;
        let copy = fleet.store.copy();
        fleet.store.write_config(5);
        sleep(Duration::from_secs(1)).await;
        fleet.store.write_config(7);
        sleep(Duration::from_secs(1)).await;
        let revision = fleet.store.revision();
        fleet.store.restore(copy, waiting_polls);
        fleet.store.write_config(7);
        fleet.store.write_config(9);
        assert_eq!(fleet.store.revision(), revision, "given out a second time");
        sleep(PROPAGATION_LIMIT).await;
        for (name, node) in NODES.iter().zip(&fleet.nodes) {
            let version = node.active_version();
            assert_eq!(version, 9, "at {name}, {waiting_polls:?}, step {step}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn version_at_a_revision_given_out_again_is_in_force_in_time_when_polls_are_cut() {
    run(check_version_after_a_restore(WaitingPolls::Cut)).await;
}

#[tokio::test(start_paused = true)]
async fn version_at_a_revision_given_out_again_is_in_force_in_time_when_polls_are_lost() {
    run(check_version_after_a_restore(WaitingPolls::Lost)).await;
}

#[tokio::test(start_paused = true)]
async fn version_at_a_revision_given_out_again_is_in_force_in_time_when_polls_go_on() {
    run(check_version_after_a_restore(WaitingPolls::Kept)).await;
}

#[tokio::test(start_paused = true)]
async fn version_in_force_does_not_go_back_while_the_store_has_an_older_one() {
    run(async {
        let mut fleet = Fleet::start().await;
        let copy = fleet.store.copy();
        fleet.store.write_config(7);
        sleep(PROPAGATION_LIMIT).await;
        fleet.store.restore(copy, WaitingPolls::Cut);
        fleet.restart("d", 2);
        sleep(Duration::from_millis(300)).await;
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            for node in &fleet.nodes[..3] {
                assert_eq!(node.active_version(), 7);
            }
            sleep(Duration::from_millis(100)).await;
        }
        let version = fleet.nodes[3].active_version();
        assert_eq!(version, 7, "a process that started meanwhile learns it");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn registration_that_a_restore_has_lost_is_written_again() {
    run(async {
        let fleet = Fleet::start().await;
        let copy = fleet.store.copy();
        fleet.backend("d").slots.set(20);
        sleep(Duration::from_secs(1)).await;
        let before = fleet.stored("d").expect("it is registered");
        assert_eq!(before.slots, 20);
        fleet.store.restore(copy, WaitingPolls::Cut);
        sleep(REGISTRATION_LIMIT).await;
        let after = fleet.stored("d").expect("it is registered");
        assert_eq!(after.slots, 20);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn lease_that_was_given_to_another_node_after_a_restore_is_not_kept_as_ones_own() {
    run(async {
        let mut fleet = Fleet::start().await;
        let copy = fleet.store.copy();
        fleet.restart("d", 2);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(fleet.stored("d").map(|node| node.boot), Some(2));
        fleet.store.restore(copy, WaitingPolls::Cut);
        fleet.restart("c", 2);
        sleep(REGISTRATION_LIMIT).await;
        let boots = ["c", "d"].map(|name| fleet.stored(name).map(|node| node.boot));
        assert_eq!(boots, [Some(2), Some(2)]);
        // Without renewals of its own, the registration of either would lapse.
        sleep(Duration::from_secs(30)).await;
        let boots = ["c", "d"].map(|name| fleet.stored(name).map(|node| node.boot));
        assert_eq!(boots, [Some(2), Some(2)]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn registrations_written_after_a_restore_are_known_although_their_revisions_are_lower() {
    run(async {
        let fleet = Fleet::start().await;
        let copy = fleet.store.copy();
        fleet.change_slots("d").await;
        fleet.store.restore(copy, WaitingPolls::Cut);
        sleep(REGISTRATION_LIMIT).await;
        fleet.backend("d").slots.set(5);
        sleep(REGISTRATION_LIMIT).await;
        let views = fleet.views_of("d").into_iter().map(|(_, _, slots)| slots);
        assert_eq!(views.collect::<Vec<_>>(), [5; 4]);
        fleet.leave("d");
        sleep(REGISTRATION_LIMIT).await;
        assert_eq!(fleet.views_of("d"), []);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn registration_of_an_earlier_process_does_not_come_back_with_a_copy() {
    run(async {
        // The moment of the restore relative to the renewals is varied.
        for step in 0..5 {
            let mut fleet = Fleet::start().await;
            let copy = fleet.store.copy();
            fleet.restart("d", 2);
            sleep(REGISTRATION_LIMIT + Duration::from_millis(400) * step).await;
            fleet.store.restore(copy, WaitingPolls::Lost);
            let end = Instant::now() + Duration::from_secs(20);
            while Instant::now() < end {
                let views = fleet.views_of("d");
                assert_eq!(views.len(), 4, "all nodes use it: {views:?}");
                for (viewer, boot, _) in views {
                    assert_eq!(boot, 2, "known to {viewer}, step {step}");
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn node_that_left_before_a_restore_is_not_used_again() {
    run(async {
        for waiting_polls in ALL_POLLS {
            let mut fleet = Fleet::start().await;
            let copy = fleet.store.copy();
            // Its process ends, and its lease lapses.
            fleet.leave("d");
            fleet.nodes.truncate(3);
            sleep(Duration::from_secs(15)).await;
            assert_eq!(fleet.views_of("d"), []);
            fleet.store.restore(copy, waiting_polls);
            let end = Instant::now() + Duration::from_secs(20);
            while Instant::now() < end {
                assert_eq!(fleet.views_of("d"), [], "{waiting_polls:?}");
                sleep(Duration::from_millis(100)).await;
            }
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn leave_notice_lost_in_a_restore_is_kept_over_a_restart_of_its_node() {
    run(async {
        for step in 1..6 {
            let mut fleet = Fleet::start().await;
            let copy = fleet.store.copy();
            fleet.leave("d");
            sleep(REGISTRATION_LIMIT).await;
            assert_eq!(fleet.views_of("d"), []);
            fleet.store.restore(copy, WaitingPolls::Lost);
            fleet.restart("d", 2);
            sleep(Duration::from_millis(200) * step).await;
            // A heartbeat that was under way when the backend server left.
            let handle = fleet.nodes[3].handle.clone();
            fleet.backend("d").send_heartbeat(&handle, 12);
            let end = Instant::now() + Duration::from_secs(5);
            while Instant::now() < end {
                let offered = handle.read(MeshCore::own_registration).slots;
                assert_eq!(offered, 0, "by the node itself, step {step}");
                assert_eq!(fleet.views_of("d"), []);
                sleep(Duration::from_millis(100)).await;
            }
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn node_cut_off_during_a_restore_knows_and_is_known_when_it_is_back() {
    run(async {
        let mut fleet = Fleet::start().await;
        let copy = fleet.store.copy();
        fleet.change_slots("c").await;
        let cut_node = &fleet.nodes[3];
        cut_node.store.set_cut(true);
        cut_node.links.set_silent(true);
        fleet.store.restore(copy, WaitingPolls::Lost);
        fleet.store.write_config(7);
        fleet.restart("c", 2);
        fleet.backend("c").slots.set(5);
        sleep(Duration::from_secs(12)).await;
        let cut_node = &fleet.nodes[3];
        cut_node.store.set_cut(false);
        cut_node.links.set_silent(false);
        sleep(REGISTRATION_LIMIT).await;
        assert_eq!(cut_node.active_version(), 7);
        let views = fleet
            .views_of("c")
            .into_iter()
            .map(|(_, boot, slots)| (boot, slots));
        assert_eq!(views.collect::<Vec<_>>(), [(2, 5); 4]);
        assert_eq!(fleet.views_of("d").len(), 4);
        assert_eq!(fleet.stored("d").map(|node| node.boot), Some(FIRST_BOOT));
    })
    .await;
}
