//! Calls in flight at unresponsive owners, over broken links or at lost nodes.

use std::time::Duration;

use sequoiagw_protocol::CallCancel;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::entry_call::EntryCall;
use crate::entry_call::EntryPhase;
use crate::entry_machine::DEADLINE_GRACE;
use crate::EntryAction;
use crate::EntryMachine;
use crate::RetryReason;

/// Time without an answer after which the owner is queried about a call.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Queries repeated for an idempotent call before its target counts as lost. The link to an
/// unresponsive node is replaced before each.
const MAX_QUERY_REPEATS: u32 = 3;

impl EntryMachine {
    /// Handles a broken link: queries the node at once about all calls dispatched to it, which
    /// opens a new link.
    pub fn on_link_lost(&mut self, node: NodeId, now: Instant) {
        for call in self.calls_at(node) {
            self.query_owner(call, 0, now);
        }
    }

    /// Retries a call whose dispatch was never written to any link, so that it can't have run.
    pub fn on_dispatch_undelivered(&mut self, dispatch: u64, node: NodeId, now: Instant) {
        let Some(call) = self.call_of_dispatch(dispatch, node) else {
            return;
        };
        if self.has_restarted(call, node) {
            // The dispatch was not sent because the node runs in a new boot, which may be
            // chosen again.
            self.forget_last_tried(call);
        } else {
            self.record_failure(node, now);
        }
        let kind = ErrorKind::TargetMissing;
        self.retry(call, kind, RetryReason::Undelivered, now);
    }

    /// Handles a query that wasn't sent, since its dispatch hasn't been sent whole: the call is
    /// pending at this node.
    pub fn on_dispatch_unsent(&mut self, dispatch: u64, now: Instant) {
        let Some(call) = self.calls_by_dispatch.get(&dispatch).copied() else {
            return;
        };
        if self.calls[&call].phase != EntryPhase::Withdrawing {
            self.set_phase(call, EntryPhase::Sending, now + ANSWER_TIMEOUT);
        }
    }

    /// Retries a call whose dispatch its receiver refused to take, because its link or its memory is
    /// occupied, or refuses the call once it has tried all targets. The node hasn't failed: it may
    /// still take other calls.
    pub fn on_dispatch_refused(&mut self, dispatch: u64, now: Instant) {
        let Some(call) = self.calls_by_dispatch.get(&dispatch).copied() else {
            return;
        };
        let entry_call = &self.calls[&call];
        let mut targets = self.balancer.targets(&entry_call.spec.service).iter();
        if targets.any(|target| !entry_call.tried_nodes.contains(&target.node)) {
            self.retry(call, ErrorKind::BodyUnsent, RetryReason::Undelivered, now);
        } else {
            self.reply(call, Err(ErrorKind::BodyUnsent));
        }
    }

    /// Refuses a call whose dispatch was removed before it had been sent whole, so that it can't
    /// have run.
    pub fn on_dispatch_withdrawn(&mut self, dispatch: u64) {
        if let Some(call) = self.calls_by_dispatch.get(&dispatch).copied() {
            self.reply(call, Err(ErrorKind::BodyUnsent));
        }
    }

    /// Whether a dispatch follows an earlier one that may have reached a backend server.
    pub fn is_retry(&self, dispatch: u64, node: NodeId) -> bool {
        let call = self.call_of_dispatch(dispatch, node);
        let entry_call = call.and_then(|call| self.calls.get(&call));
        entry_call.is_some_and(|entry_call| entry_call.counted_attempts > 0)
    }

    /// Ends a call whose dispatch is not sent, since its request is held back.
    pub fn on_dispatch_held(&mut self, dispatch: u64, node: NodeId) {
        if let Some(call) = self.call_of_dispatch(dispatch, node) {
            self.reply(call, Err(ErrorKind::RequestHeld));
        }
    }

    /// Handles a query that couldn't be delivered because the node is unreachable. An
    /// idempotent call is retried without waiting for the outcome of this attempt.
    pub fn on_query_undelivered(&mut self, dispatch: u64, node: NodeId, now: Instant) {
        let Some(call) = self.call_of_dispatch(dispatch, node) else {
            return;
        };
        if self.calls[&call].spec.idempotent {
            self.on_target_lost(call, now);
        }
    }

    /// Handles the loss of a node, or its restart in the new boot `live_boot`. The outcome of the
    /// calls at its earlier boot is unknown.
    pub fn on_node_lost(&mut self, node: NodeId, live_boot: Option<u64>, now: Instant) {
        for call in self.calls_at(node) {
            let boot = self.calls[&call].target.as_ref().map(|target| target.boot);
            if live_boot.is_none() || boot != live_boot {
                self.on_target_lost(call, now);
            }
        }
    }

    pub(crate) fn on_wake(&mut self, call: u64, now: Instant) {
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        match entry_call.phase {
            EntryPhase::NotDispatched if now >= entry_call.deadline => {
                self.reply(call, Err(ErrorKind::DeadlineQueued));
            }
            EntryPhase::NotDispatched => self.dispatch(call, now),
            EntryPhase::Sending if now >= entry_call.deadline => {
                let dispatch = entry_call.dispatch_id;
                self.actions.push(EntryAction::Withdraw(dispatch));
                self.set_phase(call, EntryPhase::Withdrawing, now + DEADLINE_GRACE);
            }
            EntryPhase::Withdrawing => self.reply(call, Err(ErrorKind::DeadlineRunning)),
            _ if now >= entry_call.deadline + DEADLINE_GRACE => self.end_at_deadline(call),
            EntryPhase::Sending | EntryPhase::AwaitingAnswer => self.query_owner(call, 0, now),
            EntryPhase::Querying {
                queried_at,
                repeats,
            } => self.repeat_query(call, queried_at, repeats, now),
        }
    }

    /// Moves the deadlines of all open calls that are later forward to `latest`, since this process can't
    /// answer after that.
    pub fn limit_deadlines(&mut self, latest: Instant, now: Instant) {
        let later = |entry_call: &EntryCall| entry_call.deadline > latest;
        let calls = self.calls.iter().filter(|(_, call)| later(call));
        let mut calls: Vec<u64> = calls.map(|(id, _)| *id).collect();
        calls.sort_unstable();
        for call in calls {
            let Some(entry_call) = self.calls.get_mut(&call) else {
                continue;
            };
            entry_call.deadline = latest;
            entry_call.is_cut_short = true;
            let (phase, wake) = (entry_call.phase, entry_call.wake_at.max(now));
            self.set_phase(call, phase, wake);
        }
    }

    /// Ends a dispatched call without an answer. An owner that knows a later deadline is told that nobody
    /// waits for the call any more.
    fn end_at_deadline(&mut self, call: u64) {
        let cut_short = self.calls.get(&call).filter(|call| call.is_cut_short);
        if let Some((entry_call, target)) = cut_short.zip(self.target_node(call)) {
            let cancel = CallCancel {
                call: entry_call.dispatch_id,
            };
            let cancel = FrameBody::Cancel(cancel);
            self.actions.push(EntryAction::Send(target, cancel));
        }
        self.reply(call, Err(ErrorKind::DeadlineRunning));
    }

    pub(crate) fn repeat_query(
        &mut self,
        call: u64,
        queried_at: Instant,
        repeats: u32,
        now: Instant,
    ) {
        let Some(node) = self.target_node(call) else {
            return;
        };
        if repeats >= MAX_QUERY_REPEATS && self.calls[&call].spec.idempotent {
            // An idempotent call is retried at another target. Any other call keeps waiting,
            // because its answer may still arrive and another run isn't allowed.
            self.on_target_lost(call, now);
            return;
        }
        let unresponsive = self
            .last_contact
            .get(&node)
            .is_none_or(|contact| *contact < queried_at);
        if unresponsive {
            self.mark_suspect(node, now);
            self.actions.push(EntryAction::ResetLink(node));
        }
        self.query_owner(call, repeats + 1, now);
    }

    pub(crate) fn query_owner(&mut self, call: u64, repeats: u32, now: Instant) {
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        let Some(target) = &entry_call.target else {
            return;
        };
        let query = CallQuery {
            call: entry_call.dispatch_id,
            target_boot: target.boot,
        };
        self.actions
            .push(EntryAction::Send(target.node, FrameBody::Query(query)));
        self.set_phase(
            call,
            EntryPhase::Querying {
                queried_at: now,
                repeats,
            },
            now + ANSWER_TIMEOUT,
        );
    }

    /// Whether the node now runs in another boot than the one that the call was dispatched to.
    pub(crate) fn has_restarted(&self, call: u64, node: NodeId) -> bool {
        let dispatched_boot = self.calls[&call].target.as_ref().map(|target| target.boot);
        self.balancer
            .boot(node)
            .is_some_and(|boot| Some(boot) != dispatched_boot)
    }

    /// Calls dispatched to a node and not answered, in order.
    pub(crate) fn calls_at(&self, node: NodeId) -> Vec<u64> {
        let mut calls: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, entry_call)| entry_call.phase != EntryPhase::NotDispatched)
            .filter(|(_, entry_call)| {
                entry_call
                    .target
                    .as_ref()
                    .is_some_and(|target| target.node == node)
            })
            .map(|(call, _)| *call)
            .collect();
        calls.sort_unstable();
        calls
    }
}
