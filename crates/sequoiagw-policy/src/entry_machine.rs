//! The entry's side of calls: choice of target, silence, retries and the caller's reply.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallCancel;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RunState;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::entry_call::EntryCall;
use crate::entry_call::EntryPhase;
use crate::CallRequest;
use crate::CallSpec;
use crate::CallerReply;
use crate::EntryAction;
use crate::EntryNote;
use crate::RetryBudget;
use crate::TargetBoard;

/// Time between questions about a call that its owner holds.
const PENDING_TIME: Duration = Duration::from_secs(1);
/// Time past the deadline for which the owner's word is awaited.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// State of an entry.
#[derive(Debug)]
pub struct EntryMachine {
    pub(crate) board: TargetBoard,
    pub(crate) calls: HashMap<u64, EntryCall>,
    /// Calls by the number of their current dispatch; each dispatch has a number of its own.
    pub(crate) dispatches: HashMap<u64, u64>,
    pub(crate) wakes: BTreeSet<(Instant, u64)>,
    pub(crate) heard: HashMap<NodeId, Instant>,
    /// Silent nodes with the times of their next probes.
    pub(crate) suspects: BTreeMap<NodeId, Instant>,
    pub(crate) budgets: BTreeMap<String, RetryBudget>,
    pub(crate) saved_retries: f64,
    pub(crate) next_number: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<EntryAction>,
}

impl EntryMachine {
    /// Builds an entry in a data centre.
    pub fn new(data_centre: &str, rng: ChaCha8Rng) -> Self {
        Self {
            board: TargetBoard::new(data_centre),
            calls: HashMap::new(),
            dispatches: HashMap::new(),
            wakes: BTreeSet::new(),
            heard: HashMap::new(),
            suspects: BTreeMap::new(),
            budgets: BTreeMap::new(),
            saved_retries: RetryBudget::SAVED_LIMIT,
            next_number: 1,
            rng,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }

    /// The targets and what is known of them.
    pub fn board_mut(&mut self) -> &mut TargetBoard {
        &mut self.board
    }

    /// The targets and what is known of them.
    pub fn board(&self) -> &TargetBoard {
        &self.board
    }

    /// When a node was last heard.
    pub fn heard_at(&self, node: NodeId) -> Option<Instant> {
        self.heard.get(&node).copied()
    }

    /// Sets how many retries of a service may be saved up here.
    pub fn set_saved_retries(&mut self, limit: f64) {
        self.saved_retries = limit;
        for budget in self.budgets.values_mut() {
            budget.set_limit(limit);
        }
    }

    /// Request id of a call that isn't answered.
    pub fn request_id(&self, call: u64) -> Option<&str> {
        let entry = self.calls.get(&call)?;
        Some(&entry.request.request_id)
    }

    /// Number of calls that aren't answered.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Starts a call; its reply follows under the number returned.
    pub fn begin(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.take_number();
        let deadline = now + spec.timeout;
        self.budget(&spec.service).earn(spec.retry_budget);
        let entry = EntryCall {
            spec,
            request,
            target: None,
            tried: Vec::new(),
            tries: 0,
            redirects: 0,
            deadline,
            phase: EntryPhase::Pausing,
            doubt: None,
            reached: 0,
            rounds: 0,
            full: 0,
            placed: None,
            waited: Duration::ZERO,
            held: Duration::ZERO,
            failure: None,
            began: now,
            dispatch: 0,
            wake: now,
        };
        self.calls.insert(call, entry);
        self.dispatch(call, now);
        call
    }

    /// Takes an owner's answer. Answers that no call waits for are dropped and counted.
    pub fn on_answer(&mut self, from: NodeId, from_boot: u64, answer: CallAnswer, now: Instant) {
        self.on_heard(from, now);
        if let Some(load) = answer.load {
            self.board.reported(from, load, now);
        }
        let expected = self.dispatched_to(answer.call, from);
        let (Some(call), Some(outcome)) = (expected, answer.outcome) else {
            self.actions.push(EntryAction::Note(EntryNote::LateAnswer));
            return;
        };
        if let Some(entry) = self.calls.get_mut(&call).filter(|_| answer.run_ms > 0) {
            entry.held = Duration::from_millis(u64::from(answer.run_ms));
            entry.waited = Duration::from_millis(u64::from(answer.wait_ms));
            self.board.ran(from, &entry.spec.route, entry.held, now);
        }
        let boot = self.calls[&call]
            .target
            .as_ref()
            .map_or(0, |target| target.boot);
        if boot != from_boot && !is_denial(&outcome) {
            // The process that took the dispatch is gone; its successor can't know.
            self.lose(call, now);
            return;
        }
        match outcome {
            CallOutcome::Served(served) => self.serve(call, from, served, now),
            CallOutcome::Refused(refused) => {
                let kind = ErrorKind::from_code(refused.kind).unwrap_or(ErrorKind::TargetLost);
                self.on_refusal(call, kind, now);
            }
            CallOutcome::Redirect(redirect) => self.redirect(call, redirect, now),
            CallOutcome::Pending(_) => {
                self.set_phase(call, EntryPhase::Waiting, now + PENDING_TIME);
            }
        }
    }

    /// Notes that a node was heard, whatever it said.
    pub fn on_heard(&mut self, node: NodeId, now: Instant) {
        self.heard.insert(node, now);
        self.board.heard(node);
        self.suspects.remove(&node);
    }

    /// The caller has gone; its call is cancelled at the owner.
    pub fn on_caller_gone(&mut self, call: u64) {
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        if let (Some(target), true) = (&entry.target, entry.phase != EntryPhase::Pausing) {
            let cancel = FrameBody::Cancel(CallCancel {
                call: entry.dispatch,
            });
            self.actions.push(EntryAction::Send(target.node, cancel));
        }
        self.remove(call);
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        while let Some((wake, call)) = self.wakes.first().copied() {
            if wake > now {
                break;
            }
            self.wakes.pop_first();
            self.wake(call, now);
        }
        self.probe_suspects(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let wake = self.wakes.first().map(|(wake, _)| *wake);
        wake.into_iter().chain(self.next_probe()).min()
    }

    fn serve(&mut self, call: u64, from: NodeId, served: ServedAnswer, now: Instant) {
        if served.length != served.body.len() as u64 {
            self.on_refusal(call, ErrorKind::AnswerTruncated, now);
            return;
        }
        let failed = (500..600).contains(&served.status);
        self.board.answered(from, failed, now);
        if failed && self.try_past_failure(call, &served, now) {
            return;
        }
        self.reply(call, Ok(served));
    }

    pub(crate) fn reply(&mut self, call: u64, outcome: Result<ServedAnswer, ErrorKind>) {
        if let Some(entry) = self.remove(call) {
            let outcome = match (outcome, entry.failure) {
                (Err(_), Some(failure)) => Ok(failure),
                (outcome, _) => outcome,
            };
            let outcome = outcome.map_err(|kind| match entry.doubt {
                Some(doubt) if kind.rule().ran == RunState::No => doubt,
                _ => kind,
            });
            let reply = CallerReply {
                outcome,
                tries: entry.tries,
                level: entry.spec.level,
                placed: entry.placed,
                waited: entry.waited,
                held: entry.held,
            };
            self.actions.push(EntryAction::Reply(call, reply));
        }
    }

    fn remove(&mut self, call: u64) -> Option<EntryCall> {
        self.release_target(call);
        let entry = self.calls.remove(&call)?;
        self.wakes.remove(&(entry.wake, call));
        Some(entry)
    }

    /// Counts the call at its target as over; the target itself stays noted.
    pub(crate) fn release_target(&mut self, call: u64) {
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        if entry.phase == EntryPhase::Pausing {
            return;
        }
        entry.phase = EntryPhase::Pausing;
        self.dispatches.remove(&entry.dispatch);
        if let Some(target) = &entry.target {
            self.board.ended(target.node);
        }
    }

    pub(crate) fn set_phase(&mut self, call: u64, phase: EntryPhase, wake: Instant) {
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        self.wakes.remove(&(entry.wake, call));
        entry.phase = phase;
        let last = match phase {
            EntryPhase::Pausing => entry.deadline,
            _ => entry.deadline + DEADLINE_GRACE,
        };
        entry.wake = wake.min(last);
        self.wakes.insert((entry.wake, call));
    }

    /// Retry budget of a service.
    pub(crate) fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let limit = self.saved_retries;
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(limit))
    }

    pub(crate) fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// The call whose current dispatch has this number and went to this node.
    pub(crate) fn dispatched_to(&self, dispatch: u64, node: NodeId) -> Option<u64> {
        let call = *self.dispatches.get(&dispatch)?;
        (self.target_node(call)? == node).then_some(call)
    }

    pub(crate) fn target_node(&self, call: u64) -> Option<NodeId> {
        self.calls
            .get(&call)?
            .target
            .as_ref()
            .map(|target| target.node)
    }
}

/// Whether an outcome says only that this process can't tell or never took the call.
fn is_denial(outcome: &CallOutcome) -> bool {
    let CallOutcome::Refused(refused) = outcome else {
        return false;
    };
    matches!(
        ErrorKind::from_code(refused.kind),
        Some(ErrorKind::TargetLost | ErrorKind::KeyUnknown)
    )
}
