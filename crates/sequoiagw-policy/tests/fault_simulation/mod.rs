//! Simulation of entries and owners on a network that loses, duplicates, delays and reorders
//! frames, with a store that loses claims or their answers, and with owners that restart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerAnswer;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::RunId;
use sequoiagw_policy::SlotRule;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RunState;
use tokio::time::Instant;

pub const ENTRIES: usize = 2;
pub const OWNERS: usize = 3;

/// A frame or a result on its way to a machine.
#[derive(Clone, Debug)]
pub enum Delivery {
    ToOwner {
        entry: usize,
        owner: usize,
        body: FrameBody,
    },
    ToEntry {
        owner: usize,
        boot: u64,
        entry: usize,
        answer: CallAnswer,
    },
    RunResult {
        owner: usize,
        boot: u64,
        run: RunId,
        result: BackendResult,
    },
    ClaimResult {
        owner: usize,
        boot: u64,
        key: String,
        recorded: Option<KeyClaim>,
    },
}

/// Entries, owners, network and store under simulated time.
pub struct FaultSimulation {
    pub rng: ChaCha8Rng,
    pub now: Instant,
    pub entries: Vec<EntryMachine>,
    /// Owners with their current boots.
    pub owners: Vec<(u64, OwnerMachine)>,
    /// Deliveries by due time and sequence number.
    pub in_flight: BTreeMap<(Instant, u64), Delivery>,
    pub sequence: u64,
    pub store: HashMap<String, KeyClaim>,
    /// Number of runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Request id and key of each call without a reply, by entry and call number.
    pub open_calls: HashMap<(usize, u64), (String, String)>,
    /// Request ids of the calls reported as not run.
    pub reported_not_run: BTreeSet<String>,
    /// Number of answers whose body belongs to another request.
    pub wrong_answers: u32,
    pub served: u32,
    /// Probability of a lost frame, of a duplicated frame, of a lost claim and of a lost claim
    /// answer. A long delay of a frame is half as probable.
    pub fault_rate: f64,
}

pub fn owner_id(owner: usize) -> NodeId {
    NodeId::from(100 + owner as u64)
}

pub fn entry_id(entry: usize) -> NodeId {
    NodeId::from(1 + entry as u64)
}

pub fn owner_settings() -> OwnerSettings {
    OwnerSettings {
        service: "press".to_owned(),
        slots: 4,
        queue_limit: 4,
        reserved_slots: 1,
        shares: [0.0; RankLevel::COUNT],
        most_urgent: RankLevel::MOST_URGENT,
        key_window: Duration::from_secs(900),
        slot_rule: SlotRule::Adaptive,
    }
}

impl FaultSimulation {
    pub fn new(seed: u64, fault_rate: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..ENTRIES)
            .map(|_| EntryMachine::new("a", ChaCha8Rng::seed_from_u64(rng.random())))
            .collect();
        let owners = (0..OWNERS)
            .map(|owner| (1, OwnerMachine::new(owner_id(owner), 1, owner_settings())))
            .collect();
        let mut simulation = Self {
            rng,
            now: Instant::now(),
            entries,
            owners,
            in_flight: BTreeMap::new(),
            sequence: 0,
            store: HashMap::new(),
            runs: BTreeMap::new(),
            open_calls: HashMap::new(),
            reported_not_run: BTreeSet::new(),
            wrong_answers: 0,
            served: 0,
            fault_rate,
        };
        simulation.update_targets();
        simulation
    }

    /// Gives the entries the current boots of the owners.
    pub fn update_targets(&mut self) {
        let targets: Vec<TargetInfo> = self
            .owners
            .iter()
            .enumerate()
            .map(|(owner, (boot, _))| TargetInfo {
                node: owner_id(owner),
                boot: *boot,
                data_centre: "a".to_owned(),
                slots: 4,
            })
            .collect();
        for entry in &mut self.entries {
            entry
                .balancer_mut()
                .set_targets(BTreeMap::from([("press".to_owned(), targets.clone())]));
        }
    }

    /// Schedules a delivery after a random delay.
    pub fn schedule(&mut self, delivery: Delivery, max_delay_ms: u64) {
        self.sequence += 1;
        let delay = Duration::from_micros(self.rng.random_range(100..max_delay_ms * 1000));
        self.in_flight
            .insert((self.now + delay, self.sequence), delivery);
    }

    /// Sends a frame that may be lost, duplicated or delayed.
    pub fn send_frame(&mut self, delivery: Delivery) {
        let draw: f64 = self.rng.random();
        if draw < self.fault_rate {
            return;
        }
        let max_delay_ms = if draw < self.fault_rate * 1.5 { 900 } else { 3 };
        if draw > 1.0 - self.fault_rate {
            self.schedule(delivery.clone(), 500);
        }
        self.schedule(delivery, max_delay_ms);
    }

    pub fn call(&mut self, entry: usize, request_id: &str, key: &str, idempotent: bool) {
        let spec = CallSpec {
            service: "press".to_owned(),
            route: "change-die".to_owned(),
            level: RankLevel::new(self.rng.random_range(0..3)),
            idempotent,
            max_retries: 2,
            retry_budget_ratio: 1.0,
            spill_load: 1.5,
            timeout: Duration::from_millis(self.rng.random_range(20..2500)),
            placement_rule: PlacementRule::Spill,
            latency_target: Duration::from_millis(500),
            waited: Duration::ZERO,
            retries_server_errors: false,
        };
        let request = CallRequest {
            method: "POST".to_owned(),
            path: "/press".to_owned(),
            body: Bytes::from(request_id.to_owned()),
            idempotency_key: key.to_owned(),
            request_id: request_id.to_owned(),
            ..CallRequest::default()
        };
        let call = self.entries[entry].begin_call(spec, request, self.now);
        self.open_calls
            .insert((entry, call), (request_id.to_owned(), key.to_owned()));
        self.apply_entry_actions(entry);
    }

    pub fn apply_entry_actions(&mut self, entry: usize) {
        for action in self.entries[entry].take_actions() {
            match action {
                EntryAction::Send(node, body) => {
                    let owner = (node.get() - 100) as usize;
                    self.send_frame(Delivery::ToOwner { entry, owner, body });
                }
                EntryAction::Reply(call, reply) => self.on_reply(entry, call, reply.outcome),
                _ => {}
            }
        }
    }

    pub fn on_reply(&mut self, entry: usize, call: u64, outcome: Result<CallerAnswer, ErrorKind>) {
        let (request_id, _) = self
            .open_calls
            .remove(&(entry, call))
            .expect("each call gets exactly one reply");
        match outcome {
            Ok(answer) => {
                self.served += 1;
                if answer.body != request_id.as_bytes() {
                    self.wrong_answers += 1;
                }
                assert!(
                    self.runs.contains_key(&request_id),
                    "{request_id} must have run before it is served"
                );
            }
            Err(kind) if kind.rule().ran == RunState::No => {
                self.reported_not_run.insert(request_id);
            }
            Err(_) => {}
        }
    }

    pub fn apply_owner_actions(&mut self, owner: usize) {
        let boot = self.owners[owner].0;
        for action in self.owners[owner].1.take_actions() {
            match action {
                OwnerAction::Answer(node, answer) => {
                    let entry = (node.get() - 1) as usize;
                    self.send_frame(Delivery::ToEntry {
                        owner,
                        boot,
                        entry,
                        answer,
                    });
                }
                OwnerAction::Run(request) => {
                    let id = request.dispatch.request_id.clone();
                    *self.runs.entry(id.clone()).or_default() += 1;
                    let result = if self.rng.random_bool(0.05) {
                        BackendResult::Broken
                    } else {
                        let body = Bytes::from(id);
                        BackendResult::Answered {
                            status: FinalStatus::OK,
                            headers: Vec::new(),
                            body,
                        }
                    };
                    self.schedule(
                        Delivery::RunResult {
                            owner,
                            boot,
                            run: request.run,
                            result,
                        },
                        60,
                    );
                }
                OwnerAction::Abort(run) => {
                    let result = BackendResult::Aborted;
                    self.schedule(
                        Delivery::RunResult {
                            owner,
                            boot,
                            run,
                            result,
                        },
                        1,
                    );
                }
                OwnerAction::Claim(claim, _) => self.commit_claim(owner, boot, claim),
                OwnerAction::RecordRefusal(_) => {}
            }
        }
    }

    /// Records a claim in the store unless the claim is lost; its answer may be lost as well.
    pub fn commit_claim(&mut self, owner: usize, boot: u64, claim: KeyClaim) {
        let key = claim.key.clone();
        if self.rng.random_bool(self.fault_rate) {
            let recorded = None;
            self.schedule(
                Delivery::ClaimResult {
                    owner,
                    boot,
                    key,
                    recorded,
                },
                10,
            );
            return;
        }
        let recorded = self.store.entry(key.clone()).or_insert(claim).clone();
        let lost = self.rng.random_bool(self.fault_rate);
        let recorded = (!lost).then_some(recorded);
        self.schedule(
            Delivery::ClaimResult {
                owner,
                boot,
                key,
                recorded,
            },
            10,
        );
    }

    /// Restarts an owner under a new boot and drops its state.
    pub fn restart(&mut self, owner: usize) {
        let boot = self.owners[owner].0 + 1;
        self.owners[owner] = (
            boot,
            OwnerMachine::new(owner_id(owner), boot, owner_settings()),
        );
        self.update_targets();
        for entry in 0..ENTRIES {
            self.entries[entry].on_node_lost(owner_id(owner), Some(boot), self.now);
            self.apply_entry_actions(entry);
        }
    }

    /// Drains an owner and restarts it once its open calls are finished.
    pub fn leave(&mut self, owner: usize) {
        let now = self.now;
        self.owners[owner].1.drain(now);
        self.apply_owner_actions(owner);
        let open_calls = self.owners[owner].1.open_calls();
        self.step(50);
        assert!(
            self.owners[owner].1.open_calls() <= open_calls,
            "a draining owner must not accept new calls"
        );
        while self.owners[owner].1.open_calls() > 0 {
            self.step(20);
        }
        self.restart(owner);
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::ToOwner { entry, owner, body } => {
                let machine = &mut self.owners[owner].1;
                match body {
                    FrameBody::Dispatch(dispatch) => {
                        machine.on_dispatch(entry_id(entry), 1, dispatch, now);
                    }
                    FrameBody::Query(query) => machine.on_query(entry_id(entry), 1, query, now),
                    FrameBody::Cancel(cancel) => {
                        machine.on_cancel(entry_id(entry), 1, cancel.call, now);
                    }
                    _ => unreachable!("entries send only dispatches, queries and cancels"),
                }
                self.apply_owner_actions(owner);
            }
            Delivery::ToEntry {
                owner,
                boot,
                entry,
                answer,
            } => {
                self.entries[entry].on_answer(owner_id(owner), boot, answer, now);
                self.apply_entry_actions(entry);
            }
            Delivery::RunResult {
                owner,
                boot,
                run,
                result,
            } if self.owners[owner].0 == boot => {
                self.owners[owner].1.on_result(run, result, now);
                self.apply_owner_actions(owner);
            }
            Delivery::ClaimResult {
                owner,
                boot,
                key,
                recorded,
            } if self.owners[owner].0 == boot => {
                self.owners[owner].1.on_claim(&key, recorded.as_ref(), now);
                self.apply_owner_actions(owner);
            }
            Delivery::RunResult { .. } | Delivery::ClaimResult { .. } => {}
        }
    }

    /// Advances the time to `until`, delivering what is due and ticking every machine.
    pub fn run_until(&mut self, until: Instant) {
        while self.now < until {
            self.now += Duration::from_millis(1);
            while let Some((&delivery_key, _)) = self.in_flight.first_key_value() {
                if delivery_key.0 > self.now {
                    break;
                }
                let delivery = self
                    .in_flight
                    .remove(&delivery_key)
                    .expect("first delivery");
                self.deliver(delivery);
            }
            for entry in 0..ENTRIES {
                self.entries[entry].on_tick(self.now);
                self.apply_entry_actions(entry);
            }
            for owner in 0..OWNERS {
                self.owners[owner].1.on_tick(self.now);
                self.apply_owner_actions(owner);
            }
        }
    }

    pub fn step(&mut self, ms: u64) {
        self.run_until(self.now + Duration::from_millis(ms));
    }
}
