//! The owner's side of calls: it alone speaks for its backend server.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PendingAnswer;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::owner_call::scoped_key;
use crate::owner_call::OwnerCall;
use crate::owner_call::OwnerState;
use crate::CallId;
use crate::KeyState;
use crate::KeyTable;
use crate::OccupancyTimes;
use crate::OwnerAction;
use crate::OwnerSettings;
use crate::RankQueue;
use crate::RefusalRecord;
use crate::RunId;
use crate::SlotLimiter;
use crate::StartRates;

/// Time for which an outcome is kept, so that it can be asked for after a lost link.
const OUTCOME_TIME: Duration = Duration::from_secs(3);
/// Time past a call's deadline for which the owner knows that it had the call.
///
/// Entries stop asking shortly after the deadline; a call forgotten earlier would be
/// barred and called "not run".
const CALL_MEMORY: Duration = Duration::from_secs(60);
/// Time for which a barred call stays barred.
const BAR_MEMORY: Duration = Duration::from_secs(20 * 60);

/// State of a target's owner.
#[derive(Debug)]
pub struct OwnerMachine {
    pub(crate) node: NodeId,
    pub(crate) boot: u64,
    pub(crate) settings: OwnerSettings,
    pub(crate) limiter: SlotLimiter,
    pub(crate) queue: RankQueue,
    pub(crate) occupancy: OccupancyTimes,
    pub(crate) start_rates: StartRates,
    pub(crate) calls: HashMap<CallId, OwnerCall>,
    pub(crate) runs: HashMap<RunId, CallId>,
    pub(crate) run_deadlines: BTreeSet<(Instant, RunId)>,
    /// Calls whose claim is on its way, by the time of the next try.
    pub(crate) claim_deadlines: BTreeSet<(Instant, CallId)>,
    pub(crate) claim_tries: HashMap<CallId, u32>,
    /// Calls that are over and whose outcomes are forgotten.
    pub(crate) forgotten: HashSet<CallId>,
    pub(crate) memory: BTreeSet<(Instant, CallId)>,
    pub(crate) bars: HashMap<CallId, Instant>,
    pub(crate) bar_times: BTreeSet<(Instant, CallId)>,
    pub(crate) keys: KeyTable,
    pub(crate) next_run: u64,
    pub(crate) next_nonce: u64,
    pub(crate) draining: bool,
    pub(crate) actions: Vec<OwnerAction>,
}

impl OwnerMachine {
    /// Builds an owner with no backend server.
    pub fn new(node: NodeId, boot: u64, settings: OwnerSettings) -> Self {
        let limiter = SlotLimiter::new(settings.slots, settings.slot_rule);
        let queue = RankQueue::new(settings.queue_limit, settings.shares);
        Self {
            node,
            boot,
            settings,
            limiter,
            queue,
            occupancy: OccupancyTimes::default(),
            start_rates: StartRates::default(),
            calls: HashMap::new(),
            runs: HashMap::new(),
            run_deadlines: BTreeSet::new(),
            claim_deadlines: BTreeSet::new(),
            claim_tries: HashMap::new(),
            forgotten: HashSet::new(),
            memory: BTreeSet::new(),
            bars: HashMap::new(),
            bar_times: BTreeSet::new(),
            keys: KeyTable::default(),
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
    pub fn reconfigure(&mut self, settings: OwnerSettings, now: Instant) {
        if settings.service != self.settings.service {
            self.limiter = SlotLimiter::new(settings.slots, settings.slot_rule);
        }
        self.limiter.set_announced(settings.slots);
        self.queue
            .reconfigure(settings.queue_limit, settings.shares);
        self.settings = settings;
        self.start_runs(now);
    }

    /// Settings in force.
    pub fn settings(&self) -> &OwnerSettings {
        &self.settings
    }

    /// Load told with each answer.
    pub fn load(&self, now: Instant) -> LoadReport {
        LoadReport {
            running: self.limiter.running(),
            slots: self.limiter.allowed(),
            waiting: self.queue.len() as u32,
            open_levels: if self.draining {
                0
            } else {
                self.queue.open_levels()
            },
            occupancy_ms: self.occupancy.mean().as_millis() as u32,
            waits: LoadReport::pack_waits(self.expected_waits(now)),
        }
    }

    /// Number of calls that aren't over.
    pub fn open_calls(&self) -> usize {
        self.queue.len() + self.runs.len() + self.claim_deadlines.len()
    }

    /// Stops taking work: waiting calls are refused as not run, running ones finish.
    pub fn drain(&mut self, now: Instant) {
        self.draining = true;
        self.refuse_queued(now);
    }

    /// Refuses the calls that wait, as not run, because the backend server is leaving.
    pub fn refuse_queued(&mut self, now: Instant) {
        for id in self.queue.call_ids() {
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
        if self.calls.contains_key(&id) || self.forgotten.contains(&id) {
            // A frame that came twice: the first one decides.
            return;
        }
        if self.bars.contains_key(&id) {
            self.send(id, CallOutcome::refused(ErrorKind::CallBarred), now);
            return;
        }
        if let Some(kind) = self.reason_to_refuse(&dispatch) {
            self.note_refusal(&dispatch, kind, now);
            self.send(id, CallOutcome::refused(kind), now);
            return;
        }
        let deadline = now + Duration::from_millis(u64::from(dispatch.remaining_ms));
        let state = OwnerState::Queued;
        let call = OwnerCall {
            dispatch,
            deadline,
            state,
            came: now,
            waited: Duration::ZERO,
            held: Duration::ZERO,
            attached: Vec::new(),
        };
        let key = call.scoped_key();
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
            self.send(id, CallOutcome::refused(ErrorKind::TargetLost), now);
            return;
        }
        let outcome = match self.calls.get(&id).map(|call| &call.state) {
            Some(OwnerState::Done(outcome)) => outcome.clone(),
            Some(_) => CallOutcome::Pending(PendingAnswer {}),
            None if self.forgotten.contains(&id) => CallOutcome::refused(ErrorKind::TargetLost),
            None => {
                self.bar(id, now);
                CallOutcome::refused(ErrorKind::CallBarred)
            }
        };
        self.send(id, outcome, now);
    }

    /// Drops a call whose caller has gone, unless something else depends on it.
    pub fn on_cancel(&mut self, entry: NodeId, entry_boot: u64, call: u64, now: Instant) {
        let id = CallId {
            entry,
            boot: entry_boot,
            call,
        };
        let Some(held) = self.calls.get(&id) else {
            if !self.forgotten.contains(&id) {
                self.bar(id, now);
            }
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
        self.keys.expire(now);
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
        let known = scoped_key(dispatch).is_some_and(|key| self.keys.get(&key).is_some());
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
        (dispatch.service != self.settings.service).then_some(ErrorKind::ServiceMismatch)
    }

    /// Refuses a call; what did not run leaves its key free to run here later.
    pub(crate) fn refuse(&mut self, id: CallId, kind: ErrorKind, now: Instant) {
        if let Some(call) = self.calls.get(&id) {
            self.note_refusal(&call.dispatch.clone(), kind, now);
        }
        let key = self.calls.get(&id).and_then(OwnerCall::scoped_key);
        if let Some(key) = key {
            let held = matches!(
                self.keys.get(&key),
                Some((KeyState::InProgress(holder), _)) if *holder == id
            );
            if held {
                self.keys.set_state(&key, KeyState::NotRun);
            }
        }
        self.finish(id, &CallOutcome::refused(kind), now);
    }

    pub(crate) fn finish(&mut self, id: CallId, outcome: &CallOutcome, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = OwnerState::Done(outcome.clone());
        call.dispatch.body = bytes::Bytes::new();
        let attached = std::mem::take(&mut call.attached);
        self.memory.insert((now + OUTCOME_TIME, id));
        self.send(id, outcome.clone(), now);
        for other in attached {
            let outcome = replayed(outcome.clone());
            self.finish(other, &outcome, now);
        }
    }

    fn note_refusal(&mut self, dispatch: &CallDispatch, kind: ErrorKind, now: Instant) {
        let level = RankLevel::new(dispatch.rank.min(7) as u8);
        let note = RefusalRecord {
            request_id: dispatch.request_id.clone(),
            kind,
            level,
            expected_wait: self.expected_wait(level, now),
            waiting: self.queue.len(),
            running: self.limiter.running(),
            slots: self.limiter.allowed(),
        };
        self.actions
            .push(OwnerAction::RecordRefusal(Box::new(note)));
    }

    fn send(&mut self, id: CallId, outcome: CallOutcome, now: Instant) {
        let answer = CallAnswer {
            call: id.call,
            entry_boot: id.boot,
            load: Some(self.load(now)),
            run_ms: self.calls.get(&id).map_or(0, |call| whole_ms(call.held)),
            wait_ms: self.calls.get(&id).map_or(0, |call| whole_ms(call.waited)),
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

    fn expire_memory(&mut self, now: Instant) {
        while let Some((time, id)) = self.memory.first().copied() {
            if time > now {
                break;
            }
            self.memory.pop_first();
            let Some(call) = self.calls.remove(&id) else {
                self.forgotten.remove(&id);
                continue;
            };
            let last = call.deadline + CALL_MEMORY;
            if last > now {
                self.forgotten.insert(id);
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

fn replayed(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Served(mut answer) => {
            answer.replayed = true;
            CallOutcome::Served(answer)
        }
        other => other,
    }
}

/// Milliseconds, rounded up, so that only what took no time at all is 0.
fn whole_ms(time: Duration) -> u32 {
    time.as_micros().div_ceil(1000) as u32
}
