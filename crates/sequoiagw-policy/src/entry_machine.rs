//! State machine of an entry: dispatches calls, handles answers and replies to callers.

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
use crate::AbandonRecord;
use crate::CallRequest;
use crate::CallSpec;
use crate::CallerAnswer;
use crate::CallerReply;
use crate::EntryAction;
use crate::EntryEvent;
use crate::RequestIdentity;
use crate::RetryBudget;
use crate::TargetBalancer;

/// Interval between queries about a call that its owner has reported as pending.
const PENDING_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Time past the deadline for which the entry still waits for the owner's answer.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// Handles the calls that reach this node from their callers, up to the reply.
#[derive(Debug)]
pub struct EntryMachine {
    pub(crate) balancer: TargetBalancer,
    pub(crate) calls: HashMap<u64, EntryCall>,
    /// Call ids by the id of the call's current dispatch; each dispatch has its own id.
    pub(crate) calls_by_dispatch: HashMap<u64, u64>,
    pub(crate) wake_times: BTreeSet<(Instant, u64)>,
    pub(crate) last_contact: HashMap<NodeId, Instant>,
    /// Nodes that get no calls while another target is left, with the times of their next probes.
    pub(crate) suspects: BTreeMap<NodeId, Instant>,
    pub(crate) retry_budgets: BTreeMap<String, RetryBudget>,
    pub(crate) retry_budget_capacity: f64,
    pub(crate) next_id: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<EntryAction>,
}

impl EntryMachine {
    /// Creates the entry of a node in `data_centre`.
    pub fn new(data_centre: &str, rng: ChaCha8Rng) -> Self {
        Self {
            balancer: TargetBalancer::new(data_centre),
            calls: HashMap::new(),
            calls_by_dispatch: HashMap::new(),
            wake_times: BTreeSet::new(),
            last_contact: HashMap::new(),
            suspects: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            retry_budget_capacity: RetryBudget::DEFAULT_CAPACITY,
            next_id: 1,
            rng,
            actions: Vec::new(),
        }
    }

    /// Returns and clears the actions queued since the last call.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }

    /// The load balancer over the targets, for updates.
    pub fn balancer_mut(&mut self) -> &mut TargetBalancer {
        &mut self.balancer
    }

    /// The load balancer over the targets.
    pub fn balancer(&self) -> &TargetBalancer {
        &self.balancer
    }

    /// Time of the last message from a node, `None` before the first.
    pub fn last_contact(&self, node: NodeId) -> Option<Instant> {
        self.last_contact.get(&node).copied()
    }

    /// Sets the token capacity of the retry budget of each service.
    pub fn set_retry_budget_capacity(&mut self, capacity: f64) {
        self.retry_budget_capacity = capacity;
        for budget in self.retry_budgets.values_mut() {
            budget.set_capacity(capacity);
        }
    }

    /// Number of calls without a reply so far.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Starts a call and returns its id, under which [`EntryAction::Reply`] follows.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.add_call(spec, request, now);
        self.dispatch(call, now);
        call
    }

    /// Refuses a call without a dispatch and returns its id, under which [`EntryAction::Reply`]
    /// follows.
    pub fn refuse_call(
        &mut self,
        spec: CallSpec,
        request: CallRequest,
        kind: ErrorKind,
        now: Instant,
    ) -> u64 {
        let call = self.add_call(spec, request, now);
        self.reply(call, Err(kind));
        call
    }

    fn add_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.allocate_id();
        let deadline = now + spec.timeout;
        self.retry_budget(&spec.service)
            .deposit(spec.retry_budget_ratio);
        let entry_call = EntryCall {
            spec,
            request,
            target: None,
            tried_nodes: Vec::new(),
            attempts: 0,
            redirects: 0,
            deadline,
            is_cut_short: false,
            phase: EntryPhase::NotDispatched,
            unknown_outcome: None,
            counted_attempts: 0,
            rounds: 0,
            full_refusals: 0,
            placement: None,
            slot_wait: Duration::ZERO,
            occupancy: Duration::ZERO,
            server_error: None,
            started_at: now,
            dispatch_id: 0,
            wake_at: now,
        };
        self.calls.insert(call, entry_call);
        call
    }

    /// Handles an owner's answer. An answer that no call waits for is dropped and counted.
    pub fn on_answer(&mut self, from: NodeId, from_boot: u64, answer: CallAnswer, now: Instant) {
        self.on_contact(from, now);
        if let Some(load) = answer.load {
            self.balancer.on_load_report(from, load, now);
        }
        let answered_call = self.call_of_dispatch(answer.call, from);
        let (Some(call), Some(outcome)) = (answered_call, answer.outcome) else {
            self.actions
                .push(EntryAction::Record(EntryEvent::LateAnswer));
            return;
        };
        if let Some(entry_call) = self.calls.get_mut(&call).filter(|_| answer.run_ms > 0) {
            entry_call.occupancy = Duration::from_millis(u64::from(answer.run_ms));
            entry_call.slot_wait = Duration::from_millis(u64::from(answer.wait_ms));
            self.balancer
                .record_occupancy(from, &entry_call.spec.route, entry_call.occupancy, now);
        }
        let dispatched_boot = self.calls[&call]
            .target
            .as_ref()
            .map_or(0, |target| target.boot);
        if dispatched_boot != from_boot && !reports_unknown_call(&outcome) {
            // The process that received the dispatch has ended; a later process of the node can't
            // know the outcome of the call.
            self.on_target_lost(call, now);
            return;
        }
        match outcome {
            CallOutcome::Served(served) => self.on_served(call, from, served, now),
            CallOutcome::Refused(refused) => {
                let kind = ErrorKind::from_code(refused.kind).unwrap_or(ErrorKind::TargetLost);
                self.on_refusal(call, kind, now);
            }
            CallOutcome::Redirect(redirect) => self.follow_redirect(call, redirect, now),
            CallOutcome::Pending(_) => {
                self.set_phase(
                    call,
                    EntryPhase::AwaitingAnswer,
                    now + PENDING_QUERY_INTERVAL,
                );
            }
        }
    }

    /// Records that a message of any kind has arrived from a node.
    pub fn on_contact(&mut self, node: NodeId, now: Instant) {
        self.last_contact.insert(node, now);
        self.balancer.on_contact(node);
        self.suspects.remove(&node);
    }

    /// Ends a call whose caller has disconnected and cancels it at its owner.
    pub fn on_caller_gone(&mut self, call: u64, now: Instant) {
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        let record = Box::new(self.abandon_record(entry_call, now));
        self.actions
            .push(EntryAction::Record(EntryEvent::Abandoned(record)));
        if let (Some(target), true) = (
            &entry_call.target,
            entry_call.phase != EntryPhase::NotDispatched,
        ) {
            let cancel = FrameBody::Cancel(CallCancel {
                call: entry_call.dispatch_id,
            });
            self.actions.push(EntryAction::Send(target.node, cancel));
        }
        self.remove_call(call);
    }

    /// Handles all timers that are due and sends the probes that are due.
    pub fn on_tick(&mut self, now: Instant) {
        while let Some((wake, call)) = self.wake_times.first().copied() {
            if wake > now {
                break;
            }
            self.wake_times.pop_first();
            self.on_wake(call, now);
        }
        self.probe_suspects(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do, `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Instant> {
        let wake = self.wake_times.first().map(|(wake, _)| *wake);
        wake.into_iter().chain(self.next_probe()).min()
    }

    fn on_served(&mut self, call: u64, from: NodeId, served: ServedAnswer, now: Instant) {
        let answer = match CallerAnswer::try_from(served) {
            Ok(answer) => answer,
            Err(error) => {
                self.on_unreadable_answer(call, from, error, now);
                return;
            }
        };
        let failed = answer.status.is_server_error();
        self.balancer.on_answer(from, failed, now);
        if let Some(entry_call) = self.calls.get(&call) {
            self.balancer
                .record_answer_size(&entry_call.spec.route, answer.body.len());
        }
        if failed && self.retry_server_error(call, &answer, now) {
            return;
        }
        self.reply(call, Ok(answer));
    }

    pub(crate) fn reply(&mut self, call: u64, outcome: Result<CallerAnswer, ErrorKind>) {
        if let Some(entry_call) = self.remove_call(call) {
            let outcome = match (outcome, entry_call.server_error) {
                (Err(_), Some(server_error)) => Ok(server_error),
                (outcome, _) => outcome,
            };
            let outcome = outcome.map_err(|kind| match entry_call.unknown_outcome {
                Some(unknown_outcome) if kind.rule().ran == RunState::No => unknown_outcome,
                _ => kind,
            });
            if outcome.as_ref().is_ok_and(CallerAnswer::ran_well) {
                let identity = RequestIdentity::of_request(&entry_call.request);
                for variant in identity.variants() {
                    self.actions.push(EntryAction::RanWell(variant.digest()));
                }
            }
            let reply = CallerReply {
                outcome,
                attempts: entry_call.attempts,
                level: entry_call.spec.level,
                placement: entry_call.placement,
                slot_wait: entry_call.slot_wait,
                occupancy: entry_call.occupancy,
            };
            self.actions.push(EntryAction::Reply(call, reply));
        }
    }

    fn abandon_record(&self, entry_call: &EntryCall, now: Instant) -> AbandonRecord {
        let target = entry_call.target.as_ref();
        let last_contact = target.and_then(|target| self.last_contact(target.node));
        AbandonRecord {
            request_id: entry_call.request.request_id.clone(),
            workspace: entry_call.request.workspace.clone(),
            phase: entry_call.phase.name(),
            placement: entry_call.placement,
            attempts: entry_call.attempts,
            age: now.saturating_duration_since(entry_call.started_at),
            last_contact_age: last_contact.map(|time| now.saturating_duration_since(time)),
        }
    }

    fn remove_call(&mut self, call: u64) -> Option<EntryCall> {
        self.end_dispatch(call);
        let entry_call = self.calls.remove(&call)?;
        self.wake_times.remove(&(entry_call.wake_at, call));
        Some(entry_call)
    }

    /// Ends the current dispatch, which no longer counts as in flight at its target. The call keeps
    /// its target, so that the target can still be looked up.
    pub(crate) fn end_dispatch(&mut self, call: u64) {
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return;
        };
        if entry_call.phase == EntryPhase::NotDispatched {
            return;
        }
        entry_call.phase = EntryPhase::NotDispatched;
        self.calls_by_dispatch.remove(&entry_call.dispatch_id);
        if let Some(target) = &entry_call.target {
            self.balancer.on_dispatch_ended(target.node);
        }
    }

    pub(crate) fn set_phase(&mut self, call: u64, phase: EntryPhase, wake: Instant) {
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return;
        };
        self.wake_times.remove(&(entry_call.wake_at, call));
        entry_call.phase = phase;
        let latest = match phase {
            EntryPhase::NotDispatched | EntryPhase::Sending => entry_call.deadline,
            // The removal may be requested late.
            EntryPhase::Withdrawing => wake,
            _ => entry_call.deadline + DEADLINE_GRACE,
        };
        entry_call.wake_at = wake.min(latest);
        self.wake_times.insert((entry_call.wake_at, call));
    }

    /// Retry budget of a service, created with the current capacity if absent.
    pub(crate) fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let capacity = self.retry_budget_capacity;
        self.retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(capacity))
    }

    pub(crate) fn allocate_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Id of the call whose current dispatch has this id and went to this node.
    pub(crate) fn call_of_dispatch(&self, dispatch: u64, node: NodeId) -> Option<u64> {
        let call = *self.calls_by_dispatch.get(&dispatch)?;
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

/// Whether an outcome says only that the answering process has no record of the call or its key.
fn reports_unknown_call(outcome: &CallOutcome) -> bool {
    let CallOutcome::Refused(refused) = outcome else {
        return false;
    };
    matches!(
        ErrorKind::from_code(refused.kind),
        Some(ErrorKind::TargetLost | ErrorKind::KeyUnknown)
    )
}
