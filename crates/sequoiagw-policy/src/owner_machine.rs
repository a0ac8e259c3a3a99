//! The owner's side of calls: it alone speaks for its backend server.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PendingAnswer;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RedirectAnswer;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::owner_call::ledger_key;
use crate::owner_call::OwnerCall;
use crate::owner_call::OwnerState;
use crate::BackendResult;
use crate::CallId;
use crate::KeyLedger;
use crate::KeyState;
use crate::PushOutcome;
use crate::QueuedCall;
use crate::RankQueue;
use crate::RunId;
use crate::RunRequest;
use crate::SlotLimiter;

/// Time for which an outcome is kept, so that it can be asked for after a lost link.
const OUTCOME_TIME: Duration = Duration::from_secs(3);
/// Time past a call's deadline for which the owner knows that it had the call.
///
/// Entries stop asking shortly after the deadline; a call forgotten earlier would be
/// barred and called "not run".
const CALL_MEMORY: Duration = Duration::from_secs(60);
/// Time for which a barred call stays barred.
const BAR_MEMORY: Duration = Duration::from_secs(20 * 60);
/// Time for which a keyed call may run on past its deadline, so that a retry finds the answer.
const KEYED_GRACE: Duration = Duration::from_secs(5);
/// Time after which an unanswered claim is tried through another holder.
const CLAIM_RETRY: Duration = Duration::from_millis(300);
/// Tries at a claim before the call is refused.
const CLAIM_TRIES: u32 = 4;
/// Memory of a key, in multiples of the window for which the store keeps its claim.
const KEY_MEMORY_FACTOR: u32 = 2;
/// Part of the slots that may be reserved at most.
const RESERVED_DIVISOR: u32 = 4;

/// What the owner wants done.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// Send an answer to an entry.
    Answer(NodeId, CallAnswer),
    /// Run a call.
    Run(Box<RunRequest>),
    /// Abort a run; its result is still awaited.
    Abort(RunId),
    /// Claim a key in the store; the number of tries before this one chooses the holder.
    Claim(KeyClaim, u32),
    /// Count a call that was refused here.
    Refused(ErrorKind),
}

/// Settings of an owner.
#[derive(Clone, Debug)]
pub struct OwnerSetup {
    /// Service of the backend server; empty when none is announced.
    pub service: String,
    /// Slots announced.
    pub slots: u32,
    /// Calls that may wait.
    pub queue_limit: usize,
    /// Slots that only the most urgent rank may take.
    pub reserved_slots: u32,
    /// Share of each level.
    pub shares: [f64; RankLevel::COUNT],
    /// Most urgent level in use.
    pub most_urgent: RankLevel,
    /// Time for which the store keeps claims.
    pub key_window: Duration,
}

/// State of a target's owner.
#[derive(Debug)]
pub struct OwnerMachine {
    node: NodeId,
    boot: u64,
    setup: OwnerSetup,
    limiter: SlotLimiter,
    queue: RankQueue,
    calls: HashMap<CallId, OwnerCall>,
    runs: HashMap<RunId, CallId>,
    run_deadlines: BTreeSet<(Instant, RunId)>,
    /// Calls whose claim is on its way, by the time of the next try.
    claim_deadlines: BTreeSet<(Instant, CallId)>,
    claim_tries: HashMap<CallId, u32>,
    memory: BTreeSet<(Instant, CallId)>,
    bars: HashMap<CallId, Instant>,
    bar_times: BTreeSet<(Instant, CallId)>,
    ledger: KeyLedger,
    next_run: u64,
    next_nonce: u64,
    draining: bool,
    actions: Vec<OwnerAction>,
}

impl OwnerMachine {
    /// Builds an owner with no backend server.
    pub fn new(node: NodeId, boot: u64, setup: OwnerSetup) -> Self {
        let limiter = SlotLimiter::new(setup.slots);
        let queue = RankQueue::new(setup.queue_limit, setup.shares);
        Self {
            node,
            boot,
            setup,
            limiter,
            queue,
            calls: HashMap::new(),
            runs: HashMap::new(),
            run_deadlines: BTreeSet::new(),
            claim_deadlines: BTreeSet::new(),
            claim_tries: HashMap::new(),
            memory: BTreeSet::new(),
            bars: HashMap::new(),
            bar_times: BTreeSet::new(),
            ledger: KeyLedger::default(),
            next_run: 0,
            next_nonce: 0,
            draining: false,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes a changed announcement or configuration.
    pub fn reconfigure(&mut self, setup: OwnerSetup, now: Instant) {
        if setup.service != self.setup.service {
            self.limiter = SlotLimiter::new(setup.slots);
        }
        self.limiter.announce(setup.slots);
        self.queue.reconfigure(setup.queue_limit, setup.shares);
        self.setup = setup;
        self.start_runs(now);
    }

    /// Settings in force.
    pub fn setup(&self) -> &OwnerSetup {
        &self.setup
    }

    /// Load told with each answer.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.limiter.running(),
            slots: self.limiter.allowed(),
            waiting: self.queue.len() as u32,
            open_levels: self.queue.open_levels(),
        }
    }

    /// Number of calls that aren't over.
    pub fn open_calls(&self) -> usize {
        self.queue.len() + self.runs.len() + self.claim_deadlines.len()
    }

    /// Stops taking work: waiting calls are refused as not run, running ones finish.
    pub fn drain(&mut self, now: Instant) {
        self.draining = true;
        for id in self.queue.waiting() {
            // A keyed call stays: its key is claimed for this node.
            if self
                .calls
                .get(&id)
                .is_some_and(|call| call.dispatch.key.is_empty())
            {
                self.queue.remove(id);
                self.refuse(id, ErrorKind::TargetDraining, now);
            }
        }
    }

    /// Whether the owner takes no more work.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Takes a call from an entry.
    pub fn on_dispatch(
        &mut self,
        entry: NodeId,
        entry_boot: u64,
        dispatch: CallDispatch,
        now: Instant,
    ) {
        let id = CallId {
            entry,
            boot: entry_boot,
            call: dispatch.call,
        };
        if self.calls.contains_key(&id) {
            // A frame that came twice: the first one decides.
            return;
        }
        if self.bars.contains_key(&id) {
            self.send(id, CallOutcome::refused(ErrorKind::CallBarred));
            return;
        }
        if let Some(kind) = self.reason_to_refuse(&dispatch) {
            self.actions.push(OwnerAction::Refused(kind));
            self.send(id, CallOutcome::refused(kind));
            return;
        }
        let deadline = now + Duration::from_millis(u64::from(dispatch.remaining_ms));
        let state = OwnerState::Queued;
        let call = OwnerCall {
            dispatch,
            deadline,
            state,
            attached: Vec::new(),
        };
        let key = call.ledger_key();
        self.calls.insert(id, call);
        match key {
            Some(key) => self.admit_keyed(id, &key, now),
            None => self.enqueue(id, now),
        }
        self.start_runs(now);
    }

    /// Answers what became of a call; one that never came is barred for good.
    pub fn on_query(&mut self, entry: NodeId, entry_boot: u64, query: CallQuery, now: Instant) {
        let id = CallId {
            entry,
            boot: entry_boot,
            call: query.call,
        };
        if query.target_boot != self.boot {
            self.send(id, CallOutcome::refused(ErrorKind::TargetLost));
            return;
        }
        let outcome = match self.calls.get(&id).map(|call| &call.state) {
            Some(OwnerState::Done(outcome)) => outcome.clone(),
            Some(OwnerState::Forgotten) => CallOutcome::refused(ErrorKind::TargetLost),
            Some(_) => CallOutcome::Pending(PendingAnswer {}),
            None => {
                self.bar(id, now);
                CallOutcome::refused(ErrorKind::CallBarred)
            }
        };
        self.send(id, outcome);
    }

    /// Drops a call whose caller has gone, unless something else depends on it.
    pub fn on_cancel(&mut self, entry: NodeId, entry_boot: u64, call: u64, now: Instant) {
        let id = CallId {
            entry,
            boot: entry_boot,
            call,
        };
        let Some(held) = self.calls.get(&id) else {
            self.bar(id, now);
            return;
        };
        if !held.attached.is_empty() {
            return;
        }
        match held.state {
            OwnerState::Queued => {
                self.queue.remove(id);
                self.refuse(id, ErrorKind::CallerGone, now);
            }
            OwnerState::Running(run) if held.dispatch.idempotent => {
                self.actions.push(OwnerAction::Abort(run));
            }
            _ => {}
        }
    }

    /// Takes the claim that stands on a key, `None` when the store gave no answer.
    pub fn on_claim(&mut self, key: &str, standing: Option<&KeyClaim>, now: Instant) {
        let Some((KeyState::Claiming(id), fingerprint)) = self.ledger.get(key) else {
            return;
        };
        let id = *id;
        let nonce = self.ledger.nonce(key).unwrap_or_default();
        let Some(claim) = standing else {
            self.on_claim_failed(id, key, now);
            return;
        };
        self.drop_claim_deadline(id);
        let own = claim.node == self.node.get() && claim.boot == self.boot;
        if own && claim.nonce == nonce {
            self.ledger.set(key, KeyState::Held(id));
            self.enqueue(id, now);
            self.start_runs(now);
            return;
        }
        self.ledger.remove(key);
        if claim.fingerprint != fingerprint {
            self.refuse(id, ErrorKind::KeyReused, now);
        } else if claim.node == self.node.get() {
            // This host claimed it in an earlier boot, or so long ago that it is forgotten.
            self.refuse(id, ErrorKind::KeyUnknown, now);
        } else {
            let redirect = RedirectAnswer {
                node: claim.node,
                boot: claim.boot,
            };
            self.finish(id, &CallOutcome::Redirect(redirect), now);
        }
    }

    /// Takes the result of a run.
    pub fn on_result(&mut self, run: RunId, result: BackendResult, now: Instant) {
        let Some(id) = self.runs.remove(&run) else {
            return;
        };
        self.run_deadlines.retain(|(_, other)| *other != run);
        match result {
            BackendResult::Answered { .. } => self.limiter.finish(),
            BackendResult::Shed => self.limiter.shed(now),
            _ => self.limiter.release(),
        }
        let key = self.calls.get(&id).and_then(OwnerCall::ledger_key);
        let outcome = result.into_outcome();
        if let Some(key) = key {
            self.ledger.set(&key, key_state_after(&outcome));
        }
        self.finish(id, &outcome, now);
        self.start_runs(now);
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        for id in self.queue.take_expired(now) {
            self.refuse(id, ErrorKind::DeadlineQueued, now);
        }
        self.expire_claims(now);
        while let Some((deadline, run)) = self.run_deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.run_deadlines.pop_first();
            self.actions.push(OwnerAction::Abort(run));
        }
        self.expire_memory(now);
        self.ledger.expire(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let runs = self.run_deadlines.first().map(|(deadline, _)| *deadline);
        let claims = self.claim_deadlines.first().map(|(deadline, _)| *deadline);
        let memory = self.memory.first().map(|(deadline, _)| *deadline);
        [self.queue.next_deadline(), runs, claims, memory]
            .into_iter()
            .flatten()
            .min()
    }

    fn reason_to_refuse(&self, dispatch: &CallDispatch) -> Option<ErrorKind> {
        let known = ledger_key(dispatch).is_some_and(|key| self.ledger.get(&key).is_some());
        if dispatch.redirected && (dispatch.target_boot != self.boot || !known) {
            return Some(ErrorKind::KeyUnknown);
        }
        if dispatch.target_boot != self.boot {
            // An earlier boot may have run it.
            return Some(ErrorKind::TargetLost);
        }
        if known {
            return None;
        }
        if self.draining {
            return Some(ErrorKind::TargetDraining);
        }
        (dispatch.service != self.setup.service).then_some(ErrorKind::ServiceMismatch)
    }

    fn admit_keyed(&mut self, id: CallId, key: &str, now: Instant) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let fingerprint = call.dispatch.fingerprint;
        match self.ledger.get(key) {
            Some((_, other)) if other != fingerprint => {
                self.refuse(id, ErrorKind::KeyReused, now);
            }
            Some((KeyState::Answered(answer), _)) => {
                let mut answer = answer.clone();
                answer.replayed = true;
                self.finish(id, &CallOutcome::Served(answer), now);
            }
            Some((KeyState::AnswerLost, _)) => self.refuse(id, ErrorKind::KeyUnknown, now),
            Some((KeyState::Claiming(first) | KeyState::Held(first), _)) => {
                let first = *first;
                self.attach(id, first);
            }
            Some((KeyState::NotRun | KeyState::Unclaimed, _)) if self.draining => {
                self.refuse(id, ErrorKind::NodeStopping, now);
            }
            Some((KeyState::NotRun, _)) => {
                self.ledger.set(key, KeyState::Held(id));
                self.enqueue(id, now);
            }
            None | Some((KeyState::Unclaimed, _)) => self.claim_key(id, key, fingerprint, now),
        }
    }

    fn claim_key(&mut self, id: CallId, key: &str, fingerprint: u64, now: Instant) {
        let nonce = self.ledger.nonce(key).unwrap_or(self.next_nonce);
        self.next_nonce = self.next_nonce.max(nonce + 1);
        let expires = now + self.setup.key_window * KEY_MEMORY_FACTOR;
        self.ledger.claim(key, fingerprint, nonce, id, expires);
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = OwnerState::Claiming;
        }
        self.claim_tries.insert(id, 0);
        self.try_claim(id, key, now);
    }

    /// Sends a claim; claiming again under the same number changes nothing.
    fn try_claim(&mut self, id: CallId, key: &str, now: Instant) {
        let (Some(call), Some(tries)) = (self.calls.get(&id), self.claim_tries.get_mut(&id)) else {
            return;
        };
        let claim = KeyClaim {
            key: key.to_owned(),
            fingerprint: call.dispatch.fingerprint,
            node: self.node.get(),
            boot: self.boot,
            nonce: self.ledger.nonce(key).unwrap_or_default(),
        };
        self.claim_deadlines
            .insert((call.deadline.min(now + CLAIM_RETRY), id));
        self.actions.push(OwnerAction::Claim(claim, *tries));
        *tries += 1;
    }

    fn attach(&mut self, id: CallId, first: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = OwnerState::Attached;
        }
        if let Some(call) = self.calls.get_mut(&first) {
            call.attached.push(id);
        }
    }

    fn enqueue(&mut self, id: CallId, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = OwnerState::Queued;
        let queued = QueuedCall {
            id,
            level: RankLevel::new(call.dispatch.rank.min(7) as u8),
            flow: flow_of(&call.dispatch),
            deadline: call.deadline,
        };
        if self.queue.is_empty() && self.may_run(queued.level) {
            self.run(id, now);
            return;
        }
        match self.queue.push(queued) {
            PushOutcome::Accepted => {}
            PushOutcome::Evicted(victim) => self.refuse(victim, ErrorKind::QueueFull, now),
            PushOutcome::Full => self.refuse(id, ErrorKind::QueueFull, now),
        }
    }

    /// Least urgent level that may take a slot now, if any slot is free.
    ///
    /// The reserved slots stay free for the most urgent level as long as none of it waits.
    /// Once it waits, the queue's shares decide: a flood of the most urgent must not live
    /// off the slots reserved for it.
    fn runnable_level(&self) -> Option<RankLevel> {
        let free = self.limiter.free();
        let reserved = self
            .setup
            .reserved_slots
            .min(self.limiter.allowed() / RESERVED_DIVISOR);
        if free == 0 {
            None
        } else if free > reserved || self.queue.waits_at(self.setup.most_urgent) {
            Some(RankLevel::LEAST_URGENT)
        } else {
            Some(self.setup.most_urgent)
        }
    }

    fn may_run(&self, level: RankLevel) -> bool {
        self.runnable_level().is_some_and(|least| level <= least)
    }

    fn start_runs(&mut self, now: Instant) {
        while let Some(least) = self.runnable_level() {
            let Some(id) = self.queue.pop(least) else {
                break;
            };
            if self.calls.get(&id).is_some_and(|call| call.deadline <= now) {
                self.refuse(id, ErrorKind::DeadlineQueued, now);
            } else {
                self.run(id, now);
            }
        }
    }

    fn run(&mut self, id: CallId, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        call.state = OwnerState::Running(run);
        let grace = if call.dispatch.key.is_empty() {
            Duration::ZERO
        } else {
            KEYED_GRACE
        };
        let deadline = call.deadline.max(now) + grace;
        let mut dispatch = call.dispatch.clone();
        dispatch.remaining_ms = (call.deadline.saturating_duration_since(now)).as_millis() as u32;
        self.limiter.start();
        self.runs.insert(run, id);
        self.run_deadlines.insert((deadline, run));
        self.actions.push(OwnerAction::Run(Box::new(RunRequest {
            run,
            dispatch,
            deadline,
        })));
    }

    /// Refuses a call; what did not run leaves its key free to run here later.
    fn refuse(&mut self, id: CallId, kind: ErrorKind, now: Instant) {
        self.actions.push(OwnerAction::Refused(kind));
        let key = self.calls.get(&id).and_then(OwnerCall::ledger_key);
        if let Some(key) = key {
            let held = matches!(
                self.ledger.get(&key),
                Some((KeyState::Held(holder), _)) if *holder == id
            );
            if held {
                self.ledger.set(&key, KeyState::NotRun);
            }
        }
        self.finish(id, &CallOutcome::refused(kind), now);
    }

    fn finish(&mut self, id: CallId, outcome: &CallOutcome, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = OwnerState::Done(outcome.clone());
        call.dispatch.body = bytes::Bytes::new();
        let attached = std::mem::take(&mut call.attached);
        self.memory.insert((now + OUTCOME_TIME, id));
        self.send(id, outcome.clone());
        for other in attached {
            let outcome = replayed(outcome.clone());
            self.finish(other, &outcome, now);
        }
    }

    fn send(&mut self, id: CallId, outcome: CallOutcome) {
        let answer = CallAnswer {
            call: id.call,
            entry_boot: id.boot,
            load: Some(self.load()),
            outcome: Some(outcome),
        };
        self.actions.push(OwnerAction::Answer(id.entry, answer));
    }

    fn bar(&mut self, id: CallId, now: Instant) {
        let until = now + BAR_MEMORY;
        if self.bars.insert(id, until).is_none() {
            self.bar_times.insert((until, id));
        }
    }

    fn drop_claim_deadline(&mut self, id: CallId) {
        self.claim_deadlines.retain(|(_, other)| *other != id);
        self.claim_tries.remove(&id);
    }

    fn expire_claims(&mut self, now: Instant) {
        while let Some((until, id)) = self.claim_deadlines.first().copied() {
            if until > now {
                break;
            }
            self.claim_deadlines.pop_first();
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let Some(key) = call.ledger_key() else {
                continue;
            };
            let tries = self.claim_tries.get(&id).copied().unwrap_or(0);
            if tries < CLAIM_TRIES && call.deadline > now {
                self.try_claim(id, &key, now);
            } else {
                self.fail_claim(id, &key, now);
            }
        }
    }

    /// A holder couldn't record a claim: another one may, before the call is refused.
    fn on_claim_failed(&mut self, id: CallId, key: &str, now: Instant) {
        if self.claim_tries.get(&id).copied().unwrap_or(0) >= CLAIM_TRIES {
            self.fail_claim(id, key, now);
            return;
        }
        self.claim_deadlines.retain(|(_, other)| *other != id);
        let pause = now + CLAIM_RETRY / 4;
        self.claim_deadlines.insert((pause, id));
    }

    /// Gives a claim up: it may stand in the store, but nothing has run.
    fn fail_claim(&mut self, id: CallId, key: &str, now: Instant) {
        self.drop_claim_deadline(id);
        self.ledger.set(key, KeyState::Unclaimed);
        self.refuse(id, ErrorKind::ClaimUnavailable, now);
    }

    fn expire_memory(&mut self, now: Instant) {
        while let Some((time, id)) = self.memory.first().copied() {
            if time > now {
                break;
            }
            self.memory.pop_first();
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let last = call.deadline + CALL_MEMORY;
            if last <= now {
                self.calls.remove(&id);
            } else {
                call.state = OwnerState::Forgotten;
                call.dispatch = CallDispatch::default();
                self.memory.insert((last, id));
            }
        }
        while let Some((until, id)) = self.bar_times.first().copied() {
            if until > now {
                break;
            }
            self.bar_times.pop_first();
            self.bars.remove(&id);
        }
    }
}

/// Calls of one kind from one caller.
fn flow_of(dispatch: &CallDispatch) -> u64 {
    xxh3_64_with_seed(dispatch.route.as_bytes(), dispatch.caller)
}

fn key_state_after(outcome: &CallOutcome) -> KeyState {
    match outcome {
        CallOutcome::Served(answer) => KeyState::Answered(answer.clone()),
        CallOutcome::Refused(refused) => match ErrorKind::from_code(refused.kind) {
            Some(kind) if kind.rule().retry_safe => KeyState::NotRun,
            _ => KeyState::AnswerLost,
        },
        CallOutcome::Redirect(_) | CallOutcome::Pending(_) => KeyState::AnswerLost,
    }
}

fn replayed(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Served(mut answer) => {
            answer.replayed = true;
            CallOutcome::Served(answer)
        }
        other => other,
    }
}
