//! What the entry does with refusals, losses and redirects.

use std::time::Duration;

use rand::Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RedirectAnswer;
use sequoiagw_protocol::RunState;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::entry_call::EntryPhase;
use crate::EntryAction;
use crate::EntryMachine;
use crate::EntryNote;
use crate::PlacementRule;
use crate::RetryNote;
use crate::RetryReason;
use crate::TargetInfo;

/// First pause before a try at an overloaded service.
const PAUSE_TIME: Duration = Duration::from_millis(4);
/// Tries that refusals outside a backend server's control may cost beyond the allowance.
const FREE_TRIES: u32 = 4;
/// Refusals for want of room after which a call is refused.
const FULL_LIMIT: u32 = 2;
/// Rounds over all targets after which a call is refused; a target that has just restarted is
/// reached in the second one.
const ROUND_LIMIT: u32 = 2;
/// Redirects that one call may follow.
const REDIRECT_LIMIT: u32 = 2;

impl EntryMachine {
    pub(crate) fn on_refusal(&mut self, call: u64, kind: ErrorKind, now: Instant) {
        let node = self.target_node(call);
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        let rule = kind.rule();
        let spreads = entry.spec.placement == PlacementRule::Fastest;
        let repeatable = entry.spec.idempotent && rule.ran == RunState::Unknown;
        let harmful = matches!(kind, ErrorKind::BackendBroken | ErrorKind::BackendRefused);
        if let (true, Some(node)) = (harmful, node) {
            self.note_failure(node, now);
        }
        match kind {
            ErrorKind::QueueFull if spreads => self.on_target_full(call, now),
            ErrorKind::QueueFull | ErrorKind::BackendShed => {
                self.retry(call, kind, RetryReason::Overloaded, now);
            }
            ErrorKind::CallBarred => {
                // The answer shows that the link works now, so this target isn't left out.
                self.forget_last_tried(call);
                self.retry(call, kind, RetryReason::Rerouted, now);
            }
            _ if rule.reroute => self.retry(call, kind, RetryReason::Rerouted, now),
            ErrorKind::DeadlineRunning => self.reply(call, Err(kind)),
            _ if repeatable => self.retry(call, kind, RetryReason::IdempotentUnknown, now),
            _ => self.reply(call, Err(kind)),
        }
    }

    /// Gives a call up as lost with its target; an idempotent one is tried elsewhere.
    pub(crate) fn lose(&mut self, call: u64, now: Instant) {
        if let Some(node) = self.target_node(call) {
            self.note_failure(node, now);
        }
        self.on_refusal(call, ErrorKind::TargetLost, now);
    }

    pub(crate) fn retry(&mut self, call: u64, kind: ErrorKind, reason: RetryReason, now: Instant) {
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        let free = matches!(reason, RetryReason::Rerouted | RetryReason::Undelivered);
        let over = if free {
            entry.tries > entry.spec.retries as u32 + FREE_TRIES
        } else {
            entry.reached >= entry.spec.retries as u32
        };
        if over || now >= entry.deadline {
            self.reply(call, Err(kind));
            return;
        }
        let service = entry.spec.service.clone();
        if !free && !self.budget(&service).spend() {
            self.actions.push(EntryAction::Note(EntryNote::BudgetSpent));
            self.reply(call, Err(kind));
            return;
        }
        self.note_retry(call, reason, Some(kind));
        self.release_target(call);
        if reason == RetryReason::IdempotentUnknown {
            self.note_doubt(call, kind);
        }
        let spreads = self.count_reached(call, free);
        if free || spreads {
            self.dispatch(call, now);
        } else {
            let pause = self.pause_before(call);
            self.set_phase(call, EntryPhase::Pausing, now + pause);
        }
    }

    /// Counts a try that may have reached a backend server; tells whether the next one goes
    /// elsewhere at once.
    fn count_reached(&mut self, call: u64, free: bool) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else {
            return false;
        };
        if !free {
            entry.reached += 1;
        }
        entry.spec.placement == PlacementRule::Fastest
    }

    /// A target had no room: the best one is chosen anew, for a longer wait.
    fn on_target_full(&mut self, call: u64, now: Instant) {
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        entry.full += 1;
        if entry.full >= FULL_LIMIT || now >= entry.deadline {
            self.reply(call, Err(ErrorKind::QueueFull));
            return;
        }
        self.note_retry(call, RetryReason::TargetFull, None);
        self.release_target(call);
        // Its report, which came with the refusal, is compared with the others' now.
        self.forget_last_tried(call);
        self.dispatch(call, now);
    }

    /// Tries an idempotent call elsewhere after its backend server failed it; tells whether
    /// it does. The failure stays the answer unless the further try brings another one.
    pub(crate) fn try_past_failure(
        &mut self,
        call: u64,
        served: &ServedAnswer,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else {
            return false;
        };
        let spec = &entry.spec;
        let allowed = spec.retries_errors && spec.idempotent;
        if !allowed || entry.reached >= spec.retries as u32 || now >= entry.deadline {
            return false;
        }
        entry.failure = Some(served.clone());
        self.retry(
            call,
            ErrorKind::BackendBroken,
            RetryReason::BackendFailed,
            now,
        );
        true
    }

    /// Sends a call to the node that claimed its key. That node may be unknown here as a
    /// target, because it has just started or is leaving; it knows its keys all the same.
    pub(crate) fn redirect(&mut self, call: u64, redirect: RedirectAnswer, now: Instant) {
        self.release_target(call);
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        entry.redirects += 1;
        if entry.redirects > REDIRECT_LIMIT {
            self.reply(call, Err(ErrorKind::KeyUnknown));
            return;
        }
        let claimant = TargetInfo {
            node: NodeId::from(redirect.node),
            boot: redirect.boot,
            data_centre: String::new(),
            slots: 0,
        };
        self.note_retry(call, RetryReason::KeyRedirected, None);
        self.send_to(call, claimant, true, now);
    }

    /// Jittered pause that doubles with each try.
    pub(crate) fn pause_before(&mut self, call: u64) -> Duration {
        let tries = self.calls.get(&call).map_or(0, |entry| entry.tries.min(6));
        let most = PAUSE_TIME * 2u32.pow(tries);
        most.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Every target has been tried: starts over with all of them, after a pause.
    pub(crate) fn forget_tried(&mut self, call: u64, now: Instant) {
        let pause = self.pause_before(call);
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        entry.tried.clear();
        entry.rounds += 1;
        let spreads = entry.spec.placement == PlacementRule::Fastest;
        let is_hopeless = spreads && entry.rounds > ROUND_LIMIT;
        if is_hopeless || self.board.targets(&entry.spec.service).is_empty() {
            self.reply(call, Err(ErrorKind::TargetMissing));
            return;
        }
        self.set_phase(call, EntryPhase::Pausing, now + pause);
    }

    pub(crate) fn forget_last_tried(&mut self, call: u64) {
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.tried.pop();
        }
    }

    pub(crate) fn note_doubt(&mut self, call: u64, kind: ErrorKind) {
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.doubt = Some(kind);
        }
    }

    fn note_retry(&mut self, call: u64, reason: RetryReason, kind: Option<ErrorKind>) {
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        let note = RetryNote {
            request_id: entry.request.request_id.clone(),
            reason,
            kind,
            placed: entry.placed,
            tries: entry.tries,
        };
        self.actions
            .push(EntryAction::Note(EntryNote::Retried(Box::new(note))));
    }

    pub(crate) fn note_failure(&mut self, node: NodeId, now: Instant) {
        if self.board.failed(node, now) {
            self.actions.push(EntryAction::Note(EntryNote::Ejected));
        }
    }
}
