//! State machine of a target's owner, the only node that talks to the target's backend server.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PendingAnswer;
use tokio::time::Instant;

use crate::flow_slots::FlowSlots;
use crate::owner_call::scoped_key;
use crate::owner_call::OwnerCall;
use crate::owner_call::OwnerState;
use crate::AnswerSizes;
use crate::CallId;
use crate::KeyState;
use crate::KeyTable;
use crate::OccupancyTimes;
use crate::OwnerAction;
use crate::OwnerSettings;
use crate::RankQueue;
use crate::RunId;
use crate::SlotLimiter;
use crate::StartPacer;
use crate::StartRates;

/// Time for which an outcome is kept, so that an entry can query it after losing its link.
const OUTCOME_RETENTION: Duration = Duration::from_secs(3);
/// State machine of a target's owner: admission, queueing, runs, outcomes and fences.
#[derive(Debug)]
pub struct OwnerMachine {
    pub(crate) node: NodeId,
    pub(crate) boot: u64,
    pub(crate) settings: OwnerSettings,
    pub(crate) limiter: SlotLimiter,
    pub(crate) queue: RankQueue,
    pub(crate) occupancy: OccupancyTimes,
    pub(crate) start_rates: StartRates,
    pub(crate) flow_slots: FlowSlots,
    pub(crate) pacer: StartPacer,
    /// Whether the backend server has answered this process yet.
    pub(crate) backend_known: bool,
    /// When queued calls may start that wait for the pacer alone.
    pub(crate) paused_until: Option<Instant>,
    pub(crate) answer_sizes: AnswerSizes,
    /// Time until the large answers that wait at this host have been sent.
    pub(crate) link_wait: Duration,
    pub(crate) calls: HashMap<CallId, OwnerCall>,
    pub(crate) runs: HashMap<RunId, CallId>,
    pub(crate) run_deadlines: BTreeSet<(Instant, RunId)>,
    /// Calls whose claim is unanswered, by the time of the next attempt.
    pub(crate) claim_retry_times: BTreeSet<(Instant, CallId)>,
    pub(crate) claim_attempts: HashMap<CallId, u32>,
    /// Finished calls whose outcomes have been dropped.
    pub(crate) finished_ids: HashSet<CallId>,
    /// When the outcome, and later the id, of each finished call is dropped.
    pub(crate) retention_deadlines: BTreeSet<(Instant, CallId)>,
    /// Calls that must never run here, with the time at which their fence expires.
    pub(crate) fences: HashMap<CallId, Instant>,
    pub(crate) fence_expiries: BTreeSet<(Instant, CallId)>,
    pub(crate) keys: KeyTable,
    pub(crate) next_run: u64,
    pub(crate) next_nonce: u64,
    pub(crate) draining: bool,
    pub(crate) actions: Vec<OwnerAction>,
}

impl OwnerMachine {
    /// Creates an owner with the given settings.
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
            flow_slots: FlowSlots::default(),
            pacer: StartPacer::default(),
            backend_known: false,
            paused_until: None,
            answer_sizes: AnswerSizes::default(),
            link_wait: Duration::ZERO,
            calls: HashMap::new(),
            runs: HashMap::new(),
            run_deadlines: BTreeSet::new(),
            claim_retry_times: BTreeSet::new(),
            claim_attempts: HashMap::new(),
            finished_ids: HashSet::new(),
            retention_deadlines: BTreeSet::new(),
            fences: HashMap::new(),
            fence_expiries: BTreeSet::new(),
            keys: KeyTable::default(),
            next_run: 0,
            next_nonce: 0,
            draining: false,
            actions: Vec::new(),
        }
    }

    /// Returns the actions requested since the last call of this method.
    pub fn take_actions(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Applies settings from a changed announcement or configuration.
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

    /// Current settings.
    pub fn settings(&self) -> &OwnerSettings {
        &self.settings
    }

    /// Limits the rate at which runs start, in runs per second; `None` removes the limit.
    pub fn set_start_rate(&mut self, rate: Option<f64>, now: Instant) {
        self.pacer.set_rate(rate, now);
        self.start_runs(now);
    }

    /// Sets the time until the large answers that wait at this host have been sent.
    pub fn set_link_wait(&mut self, link_wait: Duration) {
        self.link_wait = link_wait;
    }

    /// Number of calls that are queued, running or waiting for a claim.
    pub fn open_calls(&self) -> usize {
        self.queue.len() + self.runs.len() + self.claim_retry_times.len()
    }

    /// Stops accepting calls. Queued calls without a key are refused as not run; queued calls
    /// with a key and running calls finish.
    pub fn drain(&mut self, now: Instant) {
        self.draining = true;
        self.refuse_queued(now);
    }

    /// Refuses the queued calls without a key, as not run, because the backend server is
    /// leaving.
    pub fn refuse_queued(&mut self, now: Instant) {
        for id in self.queue.call_ids() {
            // A keyed call stays queued, because its key is claimed for this node.
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

    /// Refuses the queued calls that `is_held` selects, as not run.
    pub fn refuse_held<IsHeld>(&mut self, is_held: IsHeld, now: Instant)
    where
        IsHeld: Fn(&CallDispatch) -> bool,
    {
        for id in self.queue.call_ids() {
            if self
                .calls
                .get(&id)
                .is_some_and(|call| is_held(&call.dispatch))
            {
                self.queue.remove(id);
                self.refuse(id, ErrorKind::RequestHeld, now);
            }
        }
    }

    /// Whether the owner has stopped accepting calls.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Handles a call dispatched by an entry.
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
        if self.calls.contains_key(&id) || self.finished_ids.contains(&id) {
            // Duplicate frame; the call was handled when the first one arrived.
            return;
        }
        if self.fences.contains_key(&id) {
            self.send_answer(id, CallOutcome::refused(ErrorKind::CallBarred), now);
            return;
        }
        if let Some(kind) = self.refusal_reason(&dispatch) {
            self.record_refusal(&dispatch, kind, now);
            self.send_answer(id, CallOutcome::refused(kind), now);
            return;
        }
        let deadline = now + Duration::from_millis(u64::from(dispatch.remaining_ms));
        let state = OwnerState::Queued;
        let call = OwnerCall {
            dispatch,
            deadline,
            state,
            received_at: now,
            slot_wait: Duration::ZERO,
            occupancy: Duration::ZERO,
            coalesced: Vec::new(),
        };
        let key = call.scoped_key();
        self.calls.insert(id, call);
        match key {
            Some(key) => self.admit_keyed(id, &key, now),
            None => self.enqueue(id, now),
        }
        self.start_runs(now);
    }

    /// Reports the outcome of a call. A call that was never received is fenced and reported as
    /// not run, so it is refused if its dispatch arrives later.
    pub fn on_query(&mut self, entry: NodeId, entry_boot: u64, query: CallQuery, now: Instant) {
        let id = CallId {
            entry,
            boot: entry_boot,
            call: query.call,
        };
        if query.target_boot != self.boot {
            self.send_answer(id, CallOutcome::refused(ErrorKind::TargetLost), now);
            return;
        }
        let outcome = match self.calls.get(&id).map(|call| &call.state) {
            Some(OwnerState::Done(outcome)) => outcome.clone(),
            Some(_) => CallOutcome::Pending(PendingAnswer {}),
            None if self.finished_ids.contains(&id) => CallOutcome::refused(ErrorKind::TargetLost),
            None => {
                self.fence(id, now);
                CallOutcome::refused(ErrorKind::CallBarred)
            }
        };
        self.send_answer(id, outcome, now);
    }

    /// Cancels a call whose caller has disconnected.
    ///
    /// A queued call is refused and an idempotent run is aborted, unless other calls wait for
    /// the answer. A call that was never received is fenced.
    pub fn on_cancel(&mut self, entry: NodeId, entry_boot: u64, call: u64, now: Instant) {
        let id = CallId {
            entry,
            boot: entry_boot,
            call,
        };
        let Some(record) = self.calls.get(&id) else {
            if !self.finished_ids.contains(&id) {
                self.fence(id, now);
            }
            return;
        };
        if !record.coalesced.is_empty() {
            return;
        }
        match record.state {
            OwnerState::Queued => {
                self.queue.remove(id);
                self.refuse(id, ErrorKind::CallerGone, now);
            }
            OwnerState::Running(run) if record.dispatch.idempotent => {
                self.actions.push(OwnerAction::Abort(run));
            }
            _ => {}
        }
    }

    /// Handles everything that is due at `now`: deadlines, claim attempts and expired records.
    pub fn on_tick(&mut self, now: Instant) {
        for id in self.queue.take_expired(now) {
            self.refuse(id, ErrorKind::DeadlineQueued, now);
        }
        self.retry_due_claims(now);
        self.start_runs(now);
        while let Some((deadline, run)) = self.run_deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.run_deadlines.pop_first();
            self.actions.push(OwnerAction::Abort(run));
        }
        self.expire_records(now);
        self.keys.expire(now);
    }

    /// Time at which [`Self::on_tick`] must be called next, `None` when nothing is scheduled.
    ///
    /// Expired fences and keys need no call of their own; the next call removes them.
    pub fn next_wake(&self) -> Option<Instant> {
        let runs = self.run_deadlines.first().map(|(deadline, _)| *deadline);
        let claims = self
            .claim_retry_times
            .first()
            .map(|(deadline, _)| *deadline);
        let retention = self
            .retention_deadlines
            .first()
            .map(|(deadline, _)| *deadline);
        let queued = self.queue.next_deadline();
        [queued, runs, claims, retention, self.paused_until]
            .into_iter()
            .flatten()
            .min()
    }

    fn refusal_reason(&self, dispatch: &CallDispatch) -> Option<ErrorKind> {
        let key_known = scoped_key(dispatch).is_some_and(|key| self.keys.get(&key).is_some());
        if dispatch.redirected && (dispatch.target_boot != self.boot || !key_known) {
            return Some(ErrorKind::KeyUnknown);
        }
        if dispatch.target_boot != self.boot {
            // An earlier boot may have run the call.
            return Some(ErrorKind::TargetLost);
        }
        if key_known {
            return None;
        }
        if self.draining {
            return Some(ErrorKind::TargetDraining);
        }
        (dispatch.service != self.settings.service).then_some(ErrorKind::ServiceMismatch)
    }

    /// Refuses a call that has not run. If the call was in progress under its key, the key
    /// becomes free for another call to run at this node.
    pub(crate) fn refuse(&mut self, id: CallId, kind: ErrorKind, now: Instant) {
        if let Some(call) = self.calls.get(&id) {
            self.record_refusal(&call.dispatch.clone(), kind, now);
        }
        let key = self.calls.get(&id).and_then(OwnerCall::scoped_key);
        if let Some(key) = key {
            let in_progress = matches!(
                self.keys.get(&key),
                Some((KeyState::InProgress(primary), _)) if *primary == id
            );
            if in_progress {
                self.keys.set_state(&key, KeyState::NotRun);
            }
        }
        self.finish(id, &CallOutcome::refused(kind), now);
    }

    /// Stores and sends the outcome of a call, and of the calls that wait for its answer.
    pub(crate) fn finish(&mut self, id: CallId, outcome: &CallOutcome, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = OwnerState::Done(outcome.clone());
        call.dispatch.body = bytes::Bytes::new();
        let coalesced = std::mem::take(&mut call.coalesced);
        self.retention_deadlines
            .insert((now + OUTCOME_RETENTION, id));
        self.send_answer(id, outcome.clone(), now);
        for other in coalesced {
            let outcome = mark_replayed(outcome.clone());
            self.finish(other, &outcome, now);
        }
    }
}

fn mark_replayed(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Served(mut answer) => {
            answer.replayed = true;
            CallOutcome::Served(answer)
        }
        other => other,
    }
}
