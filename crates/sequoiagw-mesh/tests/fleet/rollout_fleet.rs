//! A fleet of two data centres in which a service moves to a new software version under load.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::StoredRollout;
use sequoiagw_mesh::ROLLOUTS_PREFIX;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::RolloutSettings;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_store::StoreEra;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::direct_links::DirectLinks;
use crate::fleet_node::FleetNode;
use crate::fleet_store::FleetStore;
use crate::fleet_store::NodeStore;
use crate::number_format::ORDER_PREFIX;
use crate::number_format::STATUS_PREFIX;
use crate::rollout_backend::Quality;
use crate::rollout_backend::RolloutBackend;
use crate::support;

/// Service that is moved.
pub const SERVICE: &str = "press";
/// Time after which a fleet has registered and serves calls.
const SETTLING_TIME: Duration = Duration::from_secs(8);
/// Time from the order to the start of the new nodes.
pub const NEW_NODE_DELAY: Duration = Duration::from_secs(1);
/// Time from the start of the new nodes to the first heartbeats of their backend servers.
const NEW_BACKEND_DELAY: Duration = Duration::from_secs(1);
/// Time between two calls at each old node.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Nodes with the old version; the first half of them is in the north, the others in the south.
pub const OLD_NODES: [&str; 4] = ["old-1", "old-2", "old-3", "old-4"];
/// Nodes with the new version; the first half of them is in the north, the others in the south.
pub const NEW_NODES: [&str; 4] = ["spare-1", "spare-2", "spare-3", "spare-4"];

/// Results of the calls.
#[derive(Clone, Default)]
pub struct CallResults {
    served: Rc<Cell<u32>>,
    failed: Rc<Cell<u32>>,
}

impl CallResults {
    /// Number of calls that were answered by a backend server, whatever its status.
    pub fn served(&self) -> u32 {
        self.served.get()
    }

    /// Number of calls that were refused, or whose outcome is unknown.
    pub fn failed(&self) -> u32 {
        self.failed.get()
    }
}

/// A node beside its backend server.
pub struct FleetMember {
    pub name: &'static str,
    pub node: Option<FleetNode>,
    pub backend: RolloutBackend,
}

/// A fleet with a service under load.
pub struct RolloutFleet {
    pub store: FleetStore,
    pub links: DirectLinks,
    pub members: Vec<FleetMember>,
    pub results: CallResults,
    boots: Cell<u64>,
}

impl RolloutFleet {
    /// Starts the old nodes and the load.
    pub async fn start() -> Self {
        let mut fleet = Self {
            store: FleetStore::start(3),
            links: DirectLinks::default(),
            members: Vec::new(),
            results: CallResults::default(),
            boots: Cell::new(0),
        };
        for name in OLD_NODES {
            fleet.add(
                name,
                RolloutBackend::new("v1", Quality::Good),
                Duration::ZERO,
            );
        }
        sleep(SETTLING_TIME).await;
        for name in OLD_NODES {
            fleet.start_load(name);
        }
        sleep(Duration::from_secs(2)).await;
        fleet
    }

    /// Adds a node beside a backend server, whose heartbeats begin after `delay`.
    pub fn add(&mut self, name: &'static str, backend: RolloutBackend, delay: Duration) {
        self.members.push(FleetMember {
            name,
            node: None,
            backend,
        });
        self.start_process(name, delay);
    }

    /// Starts a node's process, in place of an earlier one.
    pub fn start_process(&mut self, name: &str, delay: Duration) {
        self.boots.set(self.boots.get() + 1);
        let boot = self.boots.get();
        let store = NodeStore::new(&self.store);
        let links = self.links.for_another_node();
        let member = self.member_mut(name);
        let backend = member.backend.clone();
        let connect = |events| backend.connect(events);
        let node = FleetNode::start_beside(settings(name), boot, store, links, connect);
        let heartbeats = backend.clone().send_heartbeats(node.handle.clone(), delay);
        tokio::task::spawn_local(heartbeats);
        member.node = Some(node);
    }

    /// Writes an order to move the service to a version, and starts the nodes of that version.
    pub async fn order(&mut self, version: &'static str, duration_s: u64, quality: Quality) {
        self.write_order(&format!("{version} {duration_s}"));
        sleep(NEW_NODE_DELAY).await;
        for name in NEW_NODES {
            let backend = RolloutBackend::new(version, quality);
            self.add(name, backend, NEW_BACKEND_DELAY);
        }
    }

    /// Writes an order's text.
    pub fn write_order(&self, text: &str) {
        let key = format!("{ORDER_PREFIX}{SERVICE}");
        self.store.put(&key, text.to_owned());
    }

    fn start_load(&self, name: &str) {
        let handle = self.member(name).node().handle.clone();
        let results = self.results.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(CALL_INTERVAL).await;
                let handle = handle.clone();
                let results = results.clone();
                tokio::task::spawn_local(async move {
                    let reply = handle.call(call_spec(), CallRequest::default()).await;
                    let counter = if reply.outcome.is_ok() {
                        &results.served
                    } else {
                        &results.failed
                    };
                    counter.set(counter.get() + 1);
                });
            }
        });
    }

    pub fn member(&self, name: &str) -> &FleetMember {
        let member = self.members.iter().find(|member| member.name == name);
        member.expect("a member of this name")
    }

    pub fn member_mut(&mut self, name: &str) -> &mut FleetMember {
        let mut members = self.members.iter_mut();
        let member = members.find(|member| member.name == name);
        member.expect("a member of this name")
    }

    /// Record of the roll-out in the store.
    pub fn stored(&self) -> Option<RolloutRecord> {
        let key = format!("{ROLLOUTS_PREFIX}{SERVICE}");
        let entry = self.store.entry(&key)?;
        StoredRollout::read_entry(&entry, StoreEra::default()).ok()
    }

    /// Stage that the operators are told of.
    pub fn told_stage(&self) -> Option<RolloutStage> {
        let value = self.store.value(&format!("{STATUS_PREFIX}{SERVICE}"))?;
        RolloutStage::try_from(value.parse::<i32>().ok()?).ok()
    }

    /// Waits until the record in the store fulfils a condition; returns it with the time waited.
    pub async fn wait_for<IsMet>(
        &self,
        what: &str,
        limit: Duration,
        is_met: IsMet,
    ) -> (RolloutRecord, Duration)
    where
        IsMet: Fn(&RolloutRecord) -> bool,
    {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(record) = self.stored().filter(&is_met) {
                return (record, started.elapsed());
            }
            sleep(CHECK_INTERVAL).await;
        }
        panic!("{what} within {limit:?}; the store has {:?}", self.stored());
    }

    /// Waits until the roll-out is in a stage.
    pub async fn wait_for_stage(&self, stage: RolloutStage, limit: Duration) -> Duration {
        let what = format!("{stage:?}");
        let (_, waited) = self
            .wait_for(&what, limit, |record| record.stage() == stage)
            .await;
        assert_eq!(self.told_stage(), Some(stage), "the operators are told");
        waited
    }

    /// Stops the backend servers and nodes of the old version at once.
    pub fn stop_old(&mut self) {
        for member in &mut self.members {
            if member.backend.version() == "v1" {
                member.backend.stop();
            }
        }
    }

    /// Number of runs that were started at backend servers of a version since `since`.
    pub fn runs_since(&self, version: &str, since: Instant) -> usize {
        let members = self.members.iter();
        let of_version = members.filter(|member| member.backend.version() == version);
        let starts = of_version.flat_map(|member| member.backend.starts());
        starts.filter(|start| *start >= since).count()
    }

    /// Number of runs at backend servers of a version that haven't ended.
    pub fn open_runs(&self, version: &str) -> u32 {
        let members = self.members.iter();
        let of_version = members.filter(|member| member.backend.version() == version);
        of_version.map(|member| member.backend.open_runs()).sum()
    }

    /// Cuts the south off from the other data centre and the store, or ends that.
    pub fn cut_south_off(&self, cut: bool) {
        let is_southern = |member: &&FleetMember| data_centre(member.name) == "south";
        let southern: Vec<&FleetMember> = self.members.iter().filter(is_southern).collect();
        for member in &southern {
            if let Some(node) = &member.node {
                node.store.set_cut(cut);
            }
        }
        let addresses = southern.iter().map(|member| address(member.name).into());
        self.links
            .cut_off(addresses.filter(|_| cut).collect::<Vec<NodeAddress>>());
    }

    /// Cuts all nodes off from the store, or ends that.
    pub fn set_store_down(&self, down: bool) {
        for node in self
            .members
            .iter()
            .filter_map(|member| member.node.as_ref())
        {
            node.store.set_cut(down);
        }
    }
}

impl FleetMember {
    pub fn node(&self) -> &FleetNode {
        self.node.as_ref().expect("the node is running")
    }

    /// Stage of the roll-out that the node knows.
    pub fn known_stage(&self) -> Option<RolloutStage> {
        self.node().handle.read(|core: &MeshCore| {
            let known = core.rollout_table()?.rollout(SERVICE)?;
            Some(known.record.stage())
        })
    }
}

fn number(name: &str) -> u8 {
    let digits = name.trim_start_matches(|letter: char| !letter.is_ascii_digit());
    digits.parse().expect("the name ends with a number")
}

fn data_centre(name: &str) -> &'static str {
    if number(name) <= 2 {
        "north"
    } else {
        "south"
    }
}

fn address(name: &str) -> SocketAddr {
    let group = if name.starts_with("old") { 1 } else { 2 };
    SocketAddr::from(([10, 0, group, number(name)], 7000))
}

fn settings(name: &str) -> MeshSettings {
    MeshSettings {
        data_centre: data_centre(name).to_owned(),
        peer_address: address(name),
        link_mbps: if name.starts_with("old") { 140 } else { 70 },
        rollout: Some(RolloutSettings::default()),
        ..support::settings(name)
    }
}

fn call_spec() -> CallSpec {
    CallSpec {
        service: SERVICE.to_owned(),
        route: "order".to_owned(),
        level: RankLevel::MOST_URGENT,
        idempotent: false,
        max_retries: 2,
        retry_budget_ratio: 0.1,
        spill_load: 1.0,
        timeout: Duration::from_secs(2),
        placement_rule: PlacementRule::Fastest,
        latency_target: Duration::from_secs(1),
        waited: Duration::ZERO,
        retries_server_errors: false,
    }
}
