//! Simulation of a small fleet under load: one entry, targets in two data centres and a link
//! with a delay between them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::RunId;
use sequoiagw_policy::SlotRule;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

/// Data centre of the entry.
pub const LOCAL: &str = "north";
/// The remote data centre.
pub const REMOTE: &str = "south";
const SERVICE: &str = "press";
/// Node of the entry, which is also the node of the first target.
const ENTRY: u64 = 1;
const BOOT: u64 = 5;
/// One-way delay between the data centres.
const LINK_DELAY: Duration = Duration::from_millis(4);

/// A simulated target.
#[derive(Clone, Copy)]
pub struct SimulatedTarget {
    pub data_centre: &'static str,
    pub slots: u32,
    /// Factor on the run time of each call.
    pub slowdown: f64,
}

/// Calls of one route, started at a constant rate.
#[derive(Clone, Copy)]
pub struct SimulatedLoad {
    pub route: &'static str,
    pub level: u8,
    pub interval_ms: u64,
    pub run_ms: u64,
    pub latency_target_ms: u64,
    pub timeout_ms: u64,
}

/// Outcome counts of one load's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Dispatches to the remote data centre.
    pub remote_dispatches: u32,
}

impl LoadResult {
    /// Share of the calls that were answered within their latency target.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

struct SimulatedOwner {
    machine: OwnerMachine,
    target: SimulatedTarget,
    runs: BTreeMap<RunId, Instant>,
}

/// The simulated fleet, advanced in steps of one millisecond.
pub struct FleetSimulation {
    entry: EntryMachine,
    owners: BTreeMap<NodeId, SimulatedOwner>,
    /// Frames in transit by arrival time and sequence number: receiver (`None` for the entry),
    /// remote end as seen from the entry, and body.
    frames: BTreeMap<(Instant, u64), (Option<NodeId>, NodeId, FrameBody)>,
    frames_sent: u64,
    open_calls: HashMap<u64, (usize, Instant)>,
    loads: Vec<SimulatedLoad>,
    results: Vec<LoadResult>,
    start: Instant,
    elapsed_ms: u64,
}

impl FleetSimulation {
    pub fn new(targets: &[SimulatedTarget], loads: &[SimulatedLoad]) -> Self {
        let mut entry = EntryMachine::new(LOCAL, ChaCha8Rng::seed_from_u64(7));
        let mut owners = BTreeMap::new();
        let mut infos = Vec::new();
        for (number, target) in (ENTRY..).zip(targets) {
            let node = NodeId::from(number);
            let settings = OwnerSettings {
                service: SERVICE.to_owned(),
                slots: target.slots,
                queue_limit: 240,
                slot_rule: SlotRule::Fixed,
                ..OwnerSettings::default()
            };
            let owner = SimulatedOwner {
                machine: OwnerMachine::new(node, BOOT, settings),
                target: *target,
                runs: BTreeMap::new(),
            };
            owners.insert(node, owner);
            infos.push(TargetInfo {
                node,
                boot: BOOT,
                data_centre: target.data_centre.to_owned(),
                slots: target.slots,
            });
        }
        entry
            .balancer_mut()
            .set_targets(BTreeMap::from([(SERVICE.to_owned(), infos)]));
        Self {
            entry,
            owners,
            frames: BTreeMap::new(),
            frames_sent: 0,
            open_calls: HashMap::new(),
            loads: loads.to_vec(),
            results: vec![LoadResult::default(); loads.len()],
            start: Instant::now(),
            elapsed_ms: 0,
        }
    }

    /// Sets the slowdown of a target; targets are numbered from 1.
    pub fn set_slowdown(&mut self, target: u64, slowdown: f64) {
        if let Some(owner) = self.owners.get_mut(&NodeId::from(target)) {
            owner.target.slowdown = slowdown;
        }
    }

    /// Advances the simulation and returns the outcome counts for this period.
    pub fn run_for(&mut self, seconds: u64) -> Vec<LoadResult> {
        self.results = vec![LoadResult::default(); self.loads.len()];
        for _ in 0..seconds * 1000 {
            self.step();
        }
        self.results.clone()
    }

    fn step(&mut self) {
        self.elapsed_ms += 1;
        let now = self.start + Duration::from_millis(self.elapsed_ms);
        for (load_index, load) in self.loads.clone().iter().enumerate() {
            if self.elapsed_ms % load.interval_ms == 0 {
                let call = self
                    .entry
                    .begin_call(call_spec(load), CallRequest::default(), now);
                self.results[load_index].offered += 1;
                self.open_calls.insert(call, (load_index, now));
            }
        }
        self.complete_runs(now);
        self.entry.on_tick(now);
        for owner in self.owners.values_mut() {
            owner.machine.on_tick(now);
        }
        while self.deliver_and_apply(now) {}
    }

    fn complete_runs(&mut self, now: Instant) {
        for owner in self.owners.values_mut() {
            let due = |(run, end): (&RunId, &Instant)| (*end <= now).then_some(*run);
            let due_runs: Vec<RunId> = owner.runs.iter().filter_map(due).collect();
            for run in due_runs {
                owner.runs.remove(&run);
                let answered = BackendResult::Answered {
                    status: FinalStatus::OK,
                    headers: Vec::new(),
                    body: Bytes::new(),
                };
                owner.machine.on_result(run, answered, now);
            }
        }
    }

    /// Delivers the frames that have arrived and applies the actions of entry and owners. Returns
    /// whether there was anything to do.
    fn deliver_and_apply(&mut self, now: Instant) -> bool {
        let mut progressed = false;
        while let Some(((arrival, _), _)) = self.frames.first_key_value() {
            if *arrival > now {
                break;
            }
            let Some((_, (to, from, body))) = self.frames.pop_first() else {
                break;
            };
            self.deliver(to, from, body, now);
            progressed = true;
        }
        for action in self.entry.take_actions() {
            progressed = true;
            match action {
                EntryAction::Send(node, body) => self.send(Some(node), node, body, now),
                EntryAction::Reply(call, reply) => self.on_reply(call, reply.outcome.is_ok(), now),
                _ => {}
            }
        }
        let nodes: Vec<NodeId> = self.owners.keys().copied().collect();
        for node in nodes {
            progressed |= self.apply_owner_actions(node, now);
        }
        progressed
    }

    fn deliver(&mut self, to: Option<NodeId>, from: NodeId, body: FrameBody, now: Instant) {
        match (to, body) {
            (Some(node), FrameBody::Dispatch(dispatch)) => {
                if let Some(owner) = self.owners.get_mut(&node) {
                    let entry = NodeId::from(ENTRY);
                    owner.machine.on_dispatch(entry, BOOT, dispatch, now);
                }
            }
            (Some(node), FrameBody::Query(query)) => {
                if let Some(owner) = self.owners.get_mut(&node) {
                    owner
                        .machine
                        .on_query(NodeId::from(ENTRY), BOOT, query, now);
                }
            }
            (None, FrameBody::Answer(answer)) => self.entry.on_answer(from, BOOT, answer, now),
            _ => {}
        }
    }

    fn apply_owner_actions(&mut self, node: NodeId, now: Instant) -> bool {
        let Some(owner) = self.owners.get_mut(&node) else {
            return false;
        };
        let actions = owner.machine.take_actions();
        let progressed = !actions.is_empty();
        for action in actions {
            match action {
                OwnerAction::Run(request) => {
                    let route = request.dispatch.route.as_str();
                    let load = self.loads.iter().find(|load| load.route == route);
                    let run_time = Duration::from_millis(load.map_or(0, |load| load.run_ms));
                    let Some(owner) = self.owners.get_mut(&node) else {
                        continue;
                    };
                    let end = now + run_time.mul_f64(owner.target.slowdown);
                    owner.runs.insert(request.run, end);
                }
                OwnerAction::Abort(run) => {
                    let Some(owner) = self.owners.get_mut(&node) else {
                        continue;
                    };
                    owner.runs.remove(&run);
                    owner.machine.on_result(run, BackendResult::Aborted, now);
                }
                OwnerAction::Answer(_, answer) => {
                    self.send(None, node, FrameBody::Answer(answer), now);
                }
                OwnerAction::Claim(..) | OwnerAction::RecordRefusal(_) => {}
            }
        }
        progressed
    }

    fn send(&mut self, to: Option<NodeId>, remote_end: NodeId, body: FrameBody, now: Instant) {
        let is_remote = self
            .owners
            .get(&remote_end)
            .is_some_and(|owner| owner.target.data_centre != LOCAL);
        let delay = if is_remote {
            LINK_DELAY
        } else {
            Duration::ZERO
        };
        if let (true, FrameBody::Dispatch(dispatch)) = (is_remote, &body) {
            let load_index = self
                .loads
                .iter()
                .position(|load| load.route == dispatch.route);
            if let Some(load_index) = load_index {
                self.results[load_index].remote_dispatches += 1;
            }
        }
        self.frames_sent += 1;
        self.frames
            .insert((now + delay, self.frames_sent), (to, remote_end, body));
    }

    fn on_reply(&mut self, call: u64, served: bool, now: Instant) {
        let Some((load_index, started_at)) = self.open_calls.remove(&call) else {
            return;
        };
        let latency_target = Duration::from_millis(self.loads[load_index].latency_target_ms);
        let result = &mut self.results[load_index];
        match (served, now - started_at <= latency_target) {
            (true, true) => result.in_time += 1,
            (true, false) => result.late += 1,
            (false, _) => result.refused += 1,
        }
    }
}

fn call_spec(load: &SimulatedLoad) -> CallSpec {
    CallSpec {
        service: SERVICE.to_owned(),
        route: load.route.to_owned(),
        level: RankLevel::new(load.level),
        idempotent: true,
        max_retries: 1,
        retry_budget_ratio: 0.1,
        spill_load: 1.0,
        timeout: Duration::from_millis(load.timeout_ms),
        placement_rule: PlacementRule::Fastest,
        latency_target: Duration::from_millis(load.latency_target_ms),
        waited: Duration::ZERO,
        retries_server_errors: true,
    }
}
