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
use sequoiagw_protocol::RanState;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::entry_call::EntryCall;
use crate::entry_call::EntryPhase;
use crate::CallRequest;
use crate::CallSpec;
use crate::CallerReply;
use crate::EntryAction;
use crate::EntryEvent;
use crate::RetryBudget;
use crate::TargetBalancer;

/// Time between questions about a call that its owner holds.
const PENDING_TIME: Duration = Duration::from_secs(1);
/// Time past the deadline for which the owner's word is awaited.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// State of an entry.
#[derive(Debug)]
pub struct EntryMachine {
    pub(crate) balancer: TargetBalancer,
    pub(crate) calls: HashMap<u64, EntryCall>,
    /// Calls by the number of their current dispatch; each dispatch has a number of its own.
    pub(crate) dispatches: HashMap<u64, u64>,
    pub(crate) wakes: BTreeSet<(Instant, u64)>,
    pub(crate) last_contact: HashMap<NodeId, Instant>,
    /// Silent nodes with the times of their next probes.
    pub(crate) suspects: BTreeMap<NodeId, Instant>,
    pub(crate) retry_budgets: BTreeMap<String, RetryBudget>,
    pub(crate) retry_budget_capacity: f64,
    pub(crate) next_number: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<EntryAction>,
}

impl EntryMachine {
    /// Builds an entry in a data centre.
    pub fn new(data_centre: &str, rng: ChaCha8Rng) -> Self {
        Self {
            balancer: TargetBalancer::new(data_centre),
            calls: HashMap::new(),
            dispatches: HashMap::new(),
            wakes: BTreeSet::new(),
            last_contact: HashMap::new(),
            suspects: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            retry_budget_capacity: RetryBudget::DEFAULT_CAPACITY,
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
    pub fn balancer_mut(&mut self) -> &mut TargetBalancer {
        &mut self.balancer
    }

    /// The targets and what is known of them.
    pub fn balancer(&self) -> &TargetBalancer {
        &self.balancer
    }

    /// When a node was last heard.
    pub fn last_contact(&self, node: NodeId) -> Option<Instant> {
        self.last_contact.get(&node).copied()
    }

    /// Sets how many retries of a service may be saved up here.
    pub fn set_retry_budget_capacity(&mut self, limit: f64) {
        self.retry_budget_capacity = limit;
        for budget in self.retry_budgets.values_mut() {
            budget.set_capacity(limit);
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
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.take_number();
        let deadline = now + spec.timeout;
        self.budget(&spec.service).deposit(spec.retry_budget_ratio);
        let entry = EntryCall {
            spec,
            request,
            target: None,
            tried: Vec::new(),
            attempts: 0,
            redirects: 0,
            deadline,
            phase: EntryPhase::Pausing,
            unknown_outcome: None,
            counted_attempts: 0,
            rounds: 0,
            full: 0,
            placement: None,
            slot_wait: Duration::ZERO,
            occupancy: Duration::ZERO,
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
        self.on_contact(from, now);
        if let Some(load) = answer.load {
            self.balancer.on_load_report(from, load, now);
        }
        let expected = self.dispatched_to(answer.call, from);
        let (Some(call), Some(outcome)) = (expected, answer.outcome) else {
            self.actions
                .push(EntryAction::Record(EntryEvent::LateAnswer));
            return;
        };
        if let Some(entry) = self.calls.get_mut(&call).filter(|_| answer.run_ms > 0) {
            entry.occupancy = Duration::from_millis(u64::from(answer.run_ms));
            entry.slot_wait = Duration::from_millis(u64::from(answer.wait_ms));
            self.balancer
                .record_occupancy(from, &entry.spec.route, entry.occupancy, now);
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
    pub fn on_contact(&mut self, node: NodeId, now: Instant) {
        self.last_contact.insert(node, now);
        self.balancer.on_contact(node);
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
        self.balancer.on_answer(from, failed, now);
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
            let outcome = outcome.map_err(|kind| match entry.unknown_outcome {
                Some(unknown_outcome) if kind.rule().ran == RanState::No => unknown_outcome,
                _ => kind,
            });
            let reply = CallerReply {
                outcome,
                attempts: entry.attempts,
                level: entry.spec.level,
                placement: entry.placement,
                slot_wait: entry.slot_wait,
                occupancy: entry.occupancy,
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
            self.balancer.on_dispatch_ended(target.node);
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
        let limit = self.retry_budget_capacity;
        self.retry_budgets
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
