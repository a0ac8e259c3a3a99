//! Retries: how the entry handles refusals, lost targets, failed answers and redirects.

use std::time::Duration;

use rand::Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RedirectAnswer;
use sequoiagw_protocol::RunState;
use tokio::time::Instant;

use crate::entry_call::EntryPhase;
use crate::CallerAnswer;
use crate::EntryAction;
use crate::EntryEvent;
use crate::EntryMachine;
use crate::PlacementRule;
use crate::RetryReason;
use crate::RetryRecord;
use crate::ServedError;
use crate::TargetInfo;
use crate::UnreadableRecord;

/// Base of the exponential delay before a retry or another round over all targets.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(4);
/// Attempts allowed beyond `max_retries` for free retries: after refusals before a run that another
/// target can take, and after dispatches that never left this node. The attempt didn't run at a
/// backend server, so a free retry takes nothing from the retry budget.
const MAX_FREE_ATTEMPTS: u32 = 4;
/// Refusals by full targets after which the call itself is refused.
const MAX_FULL_REFUSALS: u32 = 2;
/// Rounds over all targets that may follow the first one under [`PlacementRule::Fastest`]. A target
/// that has just restarted is reached in the second round.
const MAX_ROUNDS: u32 = 2;
/// Redirects that one call may follow.
const MAX_REDIRECTS: u32 = 2;

impl EntryMachine {
    pub(crate) fn on_refusal(&mut self, call: u64, kind: ErrorKind, now: Instant) {
        let node = self.target_node(call);
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        let rule = kind.rule();
        let picks_fastest = entry_call.spec.placement_rule == PlacementRule::Fastest;
        let may_repeat = entry_call.spec.idempotent && rule.ran == RunState::Unknown;
        let is_target_failure =
            matches!(kind, ErrorKind::BackendBroken | ErrorKind::BackendRefused);
        if let (true, Some(node)) = (is_target_failure, node) {
            self.record_failure(node, now);
        }
        match kind {
            ErrorKind::QueueFull if picks_fastest => self.on_target_full(call, now),
            ErrorKind::QueueFull | ErrorKind::BackendShed => {
                self.retry(call, kind, RetryReason::Overloaded, now);
            }
            ErrorKind::CallBarred => {
                // The answer shows that the link works now, so this target may be chosen again.
                self.forget_last_tried(call);
                self.retry(call, kind, RetryReason::Rerouted, now);
            }
            _ if rule.reroute => self.retry(call, kind, RetryReason::Rerouted, now),
            ErrorKind::DeadlineRunning => self.reply(call, Err(kind)),
            _ if may_repeat => self.retry(call, kind, RetryReason::IdempotentUnknown, now),
            _ => self.reply(call, Err(kind)),
        }
    }

    /// Handles an owner's answer that can't be delivered: the call may have run.
    pub(crate) fn on_unreadable_answer(
        &mut self,
        call: u64,
        owner: NodeId,
        error: ServedError,
        now: Instant,
    ) {
        if let Some(entry_call) = self.calls.get(&call) {
            let record = UnreadableRecord {
                request_id: entry_call.request.request_id.clone(),
                owner,
                error,
            };
            let event = EntryEvent::UnreadableAnswer(Box::new(record));
            self.actions.push(EntryAction::Record(event));
        }
        self.on_refusal(call, ErrorKind::AnswerTruncated, now);
    }

    /// Treats a call as lost with its target. An idempotent call is retried elsewhere, any other
    /// one fails.
    pub(crate) fn on_target_lost(&mut self, call: u64, now: Instant) {
        if let Some(node) = self.target_node(call) {
            self.record_failure(node, now);
        }
        self.on_refusal(call, ErrorKind::TargetLost, now);
    }

    /// Retries a call, or replies with `kind` if its deadline, its limits or the retry budget of
    /// its service don't allow it.
    pub(crate) fn retry(&mut self, call: u64, kind: ErrorKind, reason: RetryReason, now: Instant) {
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        let is_free = matches!(reason, RetryReason::Rerouted | RetryReason::Undelivered);
        let limit_reached = if is_free {
            entry_call.attempts > entry_call.spec.max_retries as u32 + MAX_FREE_ATTEMPTS
        } else {
            entry_call.counted_attempts >= entry_call.spec.max_retries as u32
        };
        if limit_reached || now >= entry_call.deadline {
            self.reply(call, Err(kind));
            return;
        }
        let service = entry_call.spec.service.clone();
        if !is_free && !self.retry_budget(&service).withdraw() {
            self.actions
                .push(EntryAction::Record(EntryEvent::RetryBudgetExhausted));
            self.reply(call, Err(kind));
            return;
        }
        self.record_retry(call, reason, Some(kind));
        self.end_dispatch(call);
        if reason == RetryReason::IdempotentUnknown {
            self.record_unknown_outcome(call, kind);
        }
        let picks_fastest = self.count_attempt(call, is_free);
        if is_free || picks_fastest {
            self.dispatch(call, now);
        } else {
            let delay = self.retry_delay(call);
            self.set_phase(call, EntryPhase::NotDispatched, now + delay);
        }
    }

    /// Counts an attempt that may have reached a backend server, that is one whose retry isn't
    /// free. Returns whether the next attempt is sent to another target without a delay.
    fn count_attempt(&mut self, call: u64, is_free: bool) -> bool {
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return false;
        };
        if !is_free {
            entry_call.counted_attempts += 1;
        }
        entry_call.spec.placement_rule == PlacementRule::Fastest
    }

    /// Handles a refusal by a full target: picks the best target again and allows a longer wait.
    fn on_target_full(&mut self, call: u64, now: Instant) {
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return;
        };
        entry_call.full_refusals += 1;
        if entry_call.full_refusals >= MAX_FULL_REFUSALS || now >= entry_call.deadline {
            self.reply(call, Err(ErrorKind::QueueFull));
            return;
        }
        self.record_retry(call, RetryReason::TargetFull, None);
        self.end_dispatch(call);
        // The refusal brought a fresh load report, so this target is compared with the others
        // again.
        self.forget_last_tried(call);
        self.dispatch(call, now);
    }

    /// Retries an idempotent call after a 5xx answer of its backend server and returns whether
    /// it does. The 5xx answer goes to the caller unless the retry brings another answer.
    pub(crate) fn retry_server_error(
        &mut self,
        call: u64,
        answer: &CallerAnswer,
        now: Instant,
    ) -> bool {
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return false;
        };
        let spec = &entry_call.spec;
        let may_retry = spec.retries_server_errors && spec.idempotent;
        if !may_retry
            || entry_call.counted_attempts >= spec.max_retries as u32
            || now >= entry_call.deadline
        {
            return false;
        }
        entry_call.server_error = Some(answer.clone());
        self.retry(
            call,
            ErrorKind::BackendBroken,
            RetryReason::BackendFailed,
            now,
        );
        true
    }

    /// Sends a call to the node that claimed its key. That node need not be a known target: a
    /// node that has just started or is leaving still answers for its keys.
    pub(crate) fn follow_redirect(&mut self, call: u64, redirect: RedirectAnswer, now: Instant) {
        self.end_dispatch(call);
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return;
        };
        entry_call.redirects += 1;
        if entry_call.redirects > MAX_REDIRECTS {
            self.reply(call, Err(ErrorKind::KeyUnknown));
            return;
        }
        let claimant = TargetInfo {
            node: NodeId::from(redirect.node),
            boot: redirect.boot,
            data_centre: String::new(),
            slots: 0,
        };
        self.record_retry(call, RetryReason::KeyRedirected, None);
        self.send_dispatch(call, claimant, true, now);
    }

    /// Jittered delay that doubles with each attempt up to the sixth.
    pub(crate) fn retry_delay(&mut self, call: u64) -> Duration {
        let attempts = self
            .calls
            .get(&call)
            .map_or(0, |entry_call| entry_call.attempts.min(6));
        let max_delay = BASE_RETRY_DELAY * 2u32.pow(attempts);
        max_delay.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Starts another round over all targets after a delay, once each has been tried.
    pub(crate) fn start_next_round(&mut self, call: u64, now: Instant) {
        let delay = self.retry_delay(call);
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return;
        };
        entry_call.tried_nodes.clear();
        entry_call.rounds += 1;
        let picks_fastest = entry_call.spec.placement_rule == PlacementRule::Fastest;
        let rounds_exhausted = picks_fastest && entry_call.rounds > MAX_ROUNDS;
        if rounds_exhausted || self.balancer.targets(&entry_call.spec.service).is_empty() {
            self.reply(call, Err(ErrorKind::TargetMissing));
            return;
        }
        self.set_phase(call, EntryPhase::NotDispatched, now + delay);
    }

    pub(crate) fn forget_last_tried(&mut self, call: u64) {
        if let Some(entry_call) = self.calls.get_mut(&call) {
            entry_call.tried_nodes.pop();
        }
    }

    pub(crate) fn record_unknown_outcome(&mut self, call: u64, kind: ErrorKind) {
        if let Some(entry_call) = self.calls.get_mut(&call) {
            entry_call.unknown_outcome = Some(kind);
        }
    }

    fn record_retry(&mut self, call: u64, reason: RetryReason, kind: Option<ErrorKind>) {
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        let record = RetryRecord {
            request_id: entry_call.request.request_id.clone(),
            reason,
            kind,
            placement: entry_call.placement,
            attempts: entry_call.attempts,
        };
        self.actions
            .push(EntryAction::Record(EntryEvent::Retried(Box::new(record))));
    }

    pub(crate) fn record_failure(&mut self, node: NodeId, now: Instant) {
        if self.balancer.on_failure(node, now) {
            self.actions
                .push(EntryAction::Record(EntryEvent::TargetEjected));
        }
    }
}
