//! Simulation of a whole fleet under load: many entries, each of which sees a target only now and
//! then, targets of different speeds, and callers that return once after a refusal.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
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

const BOOT: u64 = 5;
const SERVICE: &str = "press";
/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_millis(1);
/// One-way delay between data centres.
const REMOTE_DELAY: Duration = Duration::from_millis(5);
/// Mean time after which a refused caller returns.
const RETURN_DELAY: Duration = Duration::from_millis(200);

/// Shape of a simulated fleet.
#[derive(Clone, Copy)]
pub struct MeshShape {
    pub data_centres: usize,
    pub entries: usize,
    pub targets: usize,
    pub slots: u32,
    /// Speeds of the targets, in turn.
    pub speeds: &'static [f64],
}

/// Calls of one route, offered to random entries at random times.
#[derive(Clone, Copy)]
pub struct MeshLoad {
    pub route: &'static str,
    pub level: u8,
    pub per_s: f64,
    pub run_ms: f64,
    pub latency_target_ms: u64,
    pub timeout_ms: u64,
}

/// What the callers of one load got.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeshResult {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    /// Callers that were refused, came back, and were refused again.
    pub refused_again: u32,
    /// Refusals, of first and second attempts.
    pub refusals: u32,
    /// Refusals that came later than an eighth of the latency target.
    pub late_refusals: u32,
}

impl MeshResult {
    /// Share of the callers that were answered within their latency target, from their first
    /// attempt on.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

struct MeshOwner {
    machine: OwnerMachine,
    data_centre: usize,
    speed: f64,
    runs: BTreeMap<RunId, Instant>,
}

struct OpenCall {
    load: usize,
    first_started: Instant,
    started: Instant,
    returned: bool,
}

/// The simulated fleet, advanced in steps of one millisecond.
pub struct MeshSimulation {
    shape: MeshShape,
    loads: Vec<MeshLoad>,
    entries: Vec<EntryMachine>,
    owners: Vec<MeshOwner>,
    frames: BTreeMap<(Instant, u64), (Receiver, usize, FrameBody)>,
    frames_sent: u64,
    open_calls: HashMap<(usize, u64), OpenCall>,
    /// Callers that return, by time: load, entry and start of the first attempt.
    returns: BTreeMap<(Instant, u64), (usize, usize, Instant)>,
    results: Vec<MeshResult>,
    /// Dispatches that owners received.
    pub dispatches: u32,
    rng: ChaCha8Rng,
    start: Instant,
    elapsed_ms: u64,
}

/// Receiver of a frame, by its index among the entries or the owners.
#[derive(Clone, Copy)]
enum Receiver {
    Entry(usize),
    Owner(usize),
}

impl MeshSimulation {
    pub fn new(shape: MeshShape, loads: &[MeshLoad]) -> Self {
        let owners: Vec<MeshOwner> = (0..shape.targets)
            .map(|index| Self::owner(shape, index))
            .collect();
        let infos: Vec<TargetInfo> = (0..shape.targets)
            .map(|index| TargetInfo {
                node: owner_id(index),
                boot: BOOT,
                data_centre: centre_name(index % shape.data_centres),
                slots: shape.slots,
            })
            .collect();
        let entries = (0..shape.entries)
            .map(|index| {
                let rng = ChaCha8Rng::seed_from_u64(index as u64);
                let mut entry = EntryMachine::new(&centre_name(index % shape.data_centres), rng);
                entry
                    .balancer_mut()
                    .set_targets(BTreeMap::from([(SERVICE.to_owned(), infos.clone())]));
                entry
            })
            .collect();
        Self {
            shape,
            loads: loads.to_vec(),
            entries,
            owners,
            frames: BTreeMap::new(),
            frames_sent: 0,
            open_calls: HashMap::new(),
            returns: BTreeMap::new(),
            results: vec![MeshResult::default(); loads.len()],
            dispatches: 0,
            rng: ChaCha8Rng::seed_from_u64(99),
            start: Instant::now(),
            elapsed_ms: 0,
        }
    }

    fn owner(shape: MeshShape, index: usize) -> MeshOwner {
        let settings = OwnerSettings {
            service: SERVICE.to_owned(),
            slots: shape.slots,
            queue_limit: 20 * shape.slots as usize,
            slot_rule: SlotRule::Fixed,
            ..OwnerSettings::default()
        };
        MeshOwner {
            machine: OwnerMachine::new(owner_id(index), BOOT, settings),
            data_centre: index % shape.data_centres,
            // The next speed in each data centre, so that all have the same mix.
            speed: shape.speeds[index / shape.data_centres % shape.speeds.len()],
            runs: BTreeMap::new(),
        }
    }

    /// Advances the simulation and returns what the callers of this period got.
    pub fn run_for(&mut self, seconds: u64) -> Vec<MeshResult> {
        self.results = vec![MeshResult::default(); self.loads.len()];
        self.dispatches = 0;
        for _ in 0..seconds * 1000 {
            self.step();
        }
        self.results.clone()
    }

    fn step(&mut self) {
        self.elapsed_ms += 1;
        let now = self.start + Duration::from_millis(self.elapsed_ms);
        self.start_calls(now);
        self.complete_runs(now);
        for entry in &mut self.entries {
            if entry.next_wake().is_some_and(|wake| wake <= now) {
                entry.on_tick(now);
            }
        }
        for owner in &mut self.owners {
            if owner.machine.next_wake().is_some_and(|wake| wake <= now) {
                owner.machine.on_tick(now);
            }
        }
        while self.deliver_and_apply(now) {}
    }

    fn start_calls(&mut self, now: Instant) {
        for load in 0..self.loads.len() {
            let mut expected = self.loads[load].per_s / 1000.0;
            while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
                let entry = self.rng.random_range(0..self.entries.len());
                self.results[load].offered += 1;
                self.begin(load, entry, now, false, now);
                expected -= 1.0;
            }
        }
        while let Some(((time, _), _)) = self.returns.first_key_value() {
            if *time > now {
                break;
            }
            if let Some((_, (load, entry, first_started))) = self.returns.pop_first() {
                self.begin(load, entry, first_started, true, now);
            }
        }
    }

    fn begin(
        &mut self,
        load: usize,
        entry: usize,
        first_started: Instant,
        returned: bool,
        now: Instant,
    ) {
        let mut spec = call_spec(&self.loads[load]);
        spec.timeout -= now - first_started;
        spec.waited = now - first_started;
        let call = self.entries[entry].begin_call(spec, CallRequest::default(), now);
        let open = OpenCall {
            load,
            first_started,
            started: now,
            returned,
        };
        self.open_calls.insert((entry, call), open);
    }

    fn complete_runs(&mut self, now: Instant) {
        for owner in &mut self.owners {
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

    fn deliver_and_apply(&mut self, now: Instant) -> bool {
        let mut progressed = false;
        while self
            .frames
            .first_key_value()
            .is_some_and(|((time, _), _)| *time <= now)
        {
            if let Some((_, (receiver, sender, body))) = self.frames.pop_first() {
                self.deliver(receiver, sender, body, now);
                progressed = true;
            }
        }
        for entry in 0..self.entries.len() {
            for action in self.entries[entry].take_actions() {
                progressed = true;
                match action {
                    EntryAction::Send(node, body) => {
                        let owner = (node.get() - 1) as usize;
                        self.send(Receiver::Owner(owner), entry, owner, body, now);
                    }
                    EntryAction::Reply(call, reply) => self.on_reply(entry, call, &reply, now),
                    _ => {}
                }
            }
        }
        for owner in 0..self.owners.len() {
            for action in self.owners[owner].machine.take_actions() {
                progressed = true;
                self.apply_owner_action(owner, action, now);
            }
        }
        progressed
    }

    fn deliver(&mut self, receiver: Receiver, sender: usize, body: FrameBody, now: Instant) {
        match (receiver, body) {
            (Receiver::Owner(owner), FrameBody::Dispatch(dispatch)) => {
                self.dispatches += 1;
                let machine = &mut self.owners[owner].machine;
                machine.on_dispatch(entry_id(sender), BOOT, dispatch, now);
            }
            (Receiver::Owner(owner), FrameBody::Query(query)) => {
                let machine = &mut self.owners[owner].machine;
                machine.on_query(entry_id(sender), BOOT, query, now);
            }
            (Receiver::Entry(entry), FrameBody::Answer(answer)) => {
                self.entries[entry].on_answer(owner_id(sender), BOOT, answer, now);
            }
            _ => {}
        }
    }

    fn apply_owner_action(&mut self, index: usize, action: OwnerAction, now: Instant) {
        match action {
            OwnerAction::Run(request) => {
                let route = request.dispatch.route.as_str();
                let load = self.loads.iter().find(|load| load.route == route);
                let run_ms = load.map_or(0.0, |load| load.run_ms);
                let spread = self.rng.random_range(0.4..1.6);
                let owner = &mut self.owners[index];
                let run_time = Duration::from_secs_f64(run_ms * spread / owner.speed / 1000.0);
                owner.runs.insert(request.run, now + run_time);
            }
            OwnerAction::Abort(run) => {
                let owner = &mut self.owners[index];
                owner.runs.remove(&run);
                owner.machine.on_result(run, BackendResult::Aborted, now);
            }
            OwnerAction::Answer(entry, answer) => {
                let entry = (entry.get() - FIRST_ENTRY_ID) as usize;
                let body = FrameBody::Answer(answer);
                self.send(Receiver::Entry(entry), index, entry, body, now);
            }
            OwnerAction::Claim(..) | OwnerAction::RecordRefusal(_) => {}
        }
    }

    fn send(
        &mut self,
        receiver: Receiver,
        sender: usize,
        other: usize,
        body: FrameBody,
        now: Instant,
    ) {
        let owner_centre = match receiver {
            Receiver::Owner(owner) => self.owners[owner].data_centre,
            Receiver::Entry(_) => self.owners[sender].data_centre,
        };
        let entry = match receiver {
            Receiver::Owner(_) => sender,
            Receiver::Entry(_) => other,
        };
        let delay = if entry % self.shape.data_centres == owner_centre {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        };
        self.frames_sent += 1;
        let position = (now + delay, self.frames_sent);
        self.frames.insert(position, (receiver, sender, body));
    }

    fn on_reply(&mut self, entry: usize, call: u64, reply: &CallerReply, now: Instant) {
        let Some(open) = self.open_calls.remove(&(entry, call)) else {
            return;
        };
        let load = self.loads[open.load];
        let latency_target = Duration::from_millis(load.latency_target_ms);
        let result = &mut self.results[open.load];
        if reply.outcome.is_ok() {
            if now - open.first_started <= latency_target {
                result.in_time += 1;
            } else {
                result.late += 1;
            }
            return;
        }
        result.refusals += 1;
        result.late_refusals += u32::from(now - open.started > latency_target / 8);
        if open.returned {
            result.refused_again += 1;
            return;
        }
        let timeout = Duration::from_millis(load.timeout_ms);
        let left = timeout.saturating_sub(now - open.first_started);
        let delay = RETURN_DELAY
            .mul_f64(self.rng.random_range(0.75..1.25))
            .min(left / 3);
        self.frames_sent += 1;
        self.returns.insert(
            (now + delay, self.frames_sent),
            (open.load, entry, open.first_started),
        );
    }
}

/// Ids of owners start at 1, those of entries here.
const FIRST_ENTRY_ID: u64 = 100_000;

fn owner_id(index: usize) -> NodeId {
    NodeId::from(index as u64 + 1)
}

fn entry_id(index: usize) -> NodeId {
    NodeId::from(FIRST_ENTRY_ID + index as u64)
}

fn centre_name(index: usize) -> String {
    format!("dc{index}")
}

fn call_spec(load: &MeshLoad) -> CallSpec {
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
