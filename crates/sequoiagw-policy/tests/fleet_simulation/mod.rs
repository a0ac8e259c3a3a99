//! A small fleet under load: one entry, targets in data centres, and links with a delay.

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
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

/// Data centre of the entry.
pub const NEAR: &str = "north";
/// Another data centre.
pub const FAR: &str = "south";
const SERVICE: &str = "press";
const ENTRY: u64 = 1;
const BOOT: u64 = 5;
/// One way between data centres.
const FAR_DELAY: Duration = Duration::from_millis(4);

/// A target of the fleet.
#[derive(Clone, Copy)]
pub struct SimulatedTarget {
    pub centre: &'static str,
    pub slots: u32,
    /// Factor on the work of each call.
    pub slowness: f64,
}

/// A kind of call, offered at an even rate.
#[derive(Clone, Copy)]
pub struct SimulatedLoad {
    pub route: &'static str,
    pub level: u8,
    pub gap_ms: u64,
    pub work_ms: u64,
    pub aim_ms: u64,
    pub timeout_ms: u64,
}

/// What became of one kind's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    pub offered: u32,
    pub in_aim: u32,
    pub late: u32,
    pub refused: u32,
    /// Dispatches to another data centre than the entry's.
    pub crossed: u32,
}

impl LoadResult {
    /// Part of the calls that were answered within their aim.
    pub fn timely(&self) -> f64 {
        f64::from(self.in_aim) / f64::from(self.offered.max(1))
    }
}

struct SimulatedOwner {
    machine: OwnerMachine,
    target: SimulatedTarget,
    runs: BTreeMap<RunId, Instant>,
}

/// The fleet, advanced a millisecond at a time.
pub struct FleetSimulation {
    entry: EntryMachine,
    owners: BTreeMap<NodeId, SimulatedOwner>,
    /// Frames under way by arrival, to the entry (`None`) or to an owner.
    frames: BTreeMap<(Instant, u64), (Option<NodeId>, NodeId, FrameBody)>,
    sent: u64,
    open: HashMap<u64, (usize, Instant)>,
    loads: Vec<SimulatedLoad>,
    results: Vec<LoadResult>,
    start: Instant,
    millis: u64,
}

impl FleetSimulation {
    pub fn new(targets: &[SimulatedTarget], loads: &[SimulatedLoad]) -> Self {
        let mut entry = EntryMachine::new(NEAR, ChaCha8Rng::seed_from_u64(7));
        let mut owners = BTreeMap::new();
        let mut infos = Vec::new();
        for (number, target) in (ENTRY..).zip(targets) {
            let node = NodeId::from(number);
            let setup = OwnerSettings {
                service: SERVICE.to_owned(),
                slots: target.slots,
                queue_limit: 240,
                slot_rule: SlotRule::Fixed,
                ..OwnerSettings::default()
            };
            let owner = SimulatedOwner {
                machine: OwnerMachine::new(node, BOOT, setup),
                target: *target,
                runs: BTreeMap::new(),
            };
            owners.insert(node, owner);
            infos.push(TargetInfo {
                node,
                boot: BOOT,
                data_centre: target.centre.to_owned(),
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
            sent: 0,
            open: HashMap::new(),
            loads: loads.to_vec(),
            results: vec![LoadResult::default(); loads.len()],
            start: Instant::now(),
            millis: 0,
        }
    }

    /// Changes how slow a target is; targets are numbered from 1.
    pub fn slow_down(&mut self, target: u64, slowness: f64) {
        if let Some(owner) = self.owners.get_mut(&NodeId::from(target)) {
            owner.target.slowness = slowness;
        }
    }

    /// Plays on and returns what became of the calls begun meanwhile.
    pub fn play(&mut self, seconds: u64) -> Vec<LoadResult> {
        self.results = vec![LoadResult::default(); self.loads.len()];
        for _ in 0..seconds * 1000 {
            self.step();
        }
        self.results.clone()
    }

    fn step(&mut self) {
        self.millis += 1;
        let now = self.start + Duration::from_millis(self.millis);
        for (kind, load) in self.loads.clone().iter().enumerate() {
            if self.millis % load.gap_ms == 0 {
                let call = self
                    .entry
                    .begin_call(spec_of(load), CallRequest::default(), now);
                self.results[kind].offered += 1;
                self.open.insert(call, (kind, now));
            }
        }
        self.end_runs(now);
        self.entry.on_tick(now);
        for owner in self.owners.values_mut() {
            owner.machine.on_tick(now);
        }
        while self.settle(now) {}
    }

    fn end_runs(&mut self, now: Instant) {
        for owner in self.owners.values_mut() {
            let over = |(run, end): (&RunId, &Instant)| (*end <= now).then_some(*run);
            let ended: Vec<RunId> = owner.runs.iter().filter_map(over).collect();
            for run in ended {
                owner.runs.remove(&run);
                let answered = BackendResult::Answered {
                    status: 200,
                    headers: Vec::new(),
                    body: Bytes::new(),
                };
                owner.machine.on_result(run, answered, now);
            }
        }
    }

    /// Delivers what has arrived and does what the machines want; tells whether it was anything.
    fn settle(&mut self, now: Instant) -> bool {
        let mut busy = false;
        while let Some(((arrival, _), _)) = self.frames.first_key_value() {
            if *arrival > now {
                break;
            }
            let Some((_, (to, from, body))) = self.frames.pop_first() else {
                break;
            };
            self.deliver(to, from, body, now);
            busy = true;
        }
        for action in self.entry.take_actions() {
            busy = true;
            match action {
                EntryAction::Send(node, body) => self.send(Some(node), node, body, now),
                EntryAction::Reply(call, reply) => self.note(call, reply.outcome.is_ok(), now),
                _ => {}
            }
        }
        let nodes: Vec<NodeId> = self.owners.keys().copied().collect();
        for node in nodes {
            busy |= self.settle_owner(node, now);
        }
        busy
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

    fn settle_owner(&mut self, node: NodeId, now: Instant) -> bool {
        let Some(owner) = self.owners.get_mut(&node) else {
            return false;
        };
        let actions = owner.machine.take_actions();
        let busy = !actions.is_empty();
        for action in actions {
            match action {
                OwnerAction::Run(request) => {
                    let route = request.dispatch.route.as_str();
                    let load = self.loads.iter().find(|load| load.route == route);
                    let work = Duration::from_millis(load.map_or(0, |load| load.work_ms));
                    let Some(owner) = self.owners.get_mut(&node) else {
                        continue;
                    };
                    let end = now + work.mul_f64(owner.target.slowness);
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
        busy
    }

    fn send(&mut self, to: Option<NodeId>, peer: NodeId, body: FrameBody, now: Instant) {
        let is_far = self
            .owners
            .get(&peer)
            .is_some_and(|owner| owner.target.centre != NEAR);
        let delay = if is_far { FAR_DELAY } else { Duration::ZERO };
        if let (true, FrameBody::Dispatch(dispatch)) = (is_far, &body) {
            let kind = self
                .loads
                .iter()
                .position(|load| load.route == dispatch.route);
            if let Some(kind) = kind {
                self.results[kind].crossed += 1;
            }
        }
        self.sent += 1;
        self.frames
            .insert((now + delay, self.sent), (to, peer, body));
    }

    fn note(&mut self, call: u64, served: bool, now: Instant) {
        let Some((kind, began)) = self.open.remove(&call) else {
            return;
        };
        let aim = Duration::from_millis(self.loads[kind].aim_ms);
        let result = &mut self.results[kind];
        match (served, now - began <= aim) {
            (true, true) => result.in_aim += 1,
            (true, false) => result.late += 1,
            (false, _) => result.refused += 1,
        }
    }
}

fn spec_of(load: &SimulatedLoad) -> CallSpec {
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
        latency_target: Duration::from_millis(load.aim_ms),
        retries_server_errors: true,
    }
}
