//! Owners that are silent, links that broke, nodes that are lost: what becomes of their calls.

use std::time::Duration;

use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::entry_call::EntryPhase;
use crate::entry_machine::DEADLINE_GRACE;
use crate::EntryAction;
use crate::EntryMachine;
use crate::RetryReason;

/// Time without an answer after which the owner is asked about a call.
pub(crate) const QUIET_TIME: Duration = Duration::from_millis(300);
/// Links replaced for an idempotent call before its target counts as lost.
const RESET_LIMIT: u32 = 3;

impl EntryMachine {
    /// The link to a node broke: its calls are asked about on a fresh one at once.
    pub fn on_link_lost(&mut self, node: NodeId, now: Instant) {
        for call in self.calls_at(node) {
            self.ask(call, 0, now);
        }
    }

    /// A dispatch was never written to any link, so it can't have run.
    pub fn on_dispatch_undelivered(&mut self, dispatch: u64, node: NodeId, now: Instant) {
        let Some(call) = self.dispatched_to(dispatch, node) else {
            return;
        };
        if self.has_restarted(call, node) {
            // It was kept from a process that has followed the one it was meant for.
            self.forget_last_tried(call);
        } else {
            self.note_failure(node, now);
        }
        let kind = ErrorKind::TargetMissing;
        self.retry(call, kind, RetryReason::Undelivered, now);
    }

    /// A question about a call couldn't be delivered: its node can't be reached now. An
    /// idempotent call needn't wait for what became of it.
    pub fn on_query_undelivered(&mut self, dispatch: u64, node: NodeId, now: Instant) {
        let Some(call) = self.dispatched_to(dispatch, node) else {
            return;
        };
        if self.calls[&call].spec.idempotent {
            self.lose(call, now);
        }
    }

    /// A node is lost, or runs in a new boot: what it held is unknown.
    pub fn on_node_lost(&mut self, node: NodeId, live_boot: Option<u64>, now: Instant) {
        for call in self.calls_at(node) {
            let boot = self.calls[&call].target.as_ref().map(|target| target.boot);
            if live_boot.is_none() || boot != live_boot {
                self.lose(call, now);
            }
        }
    }

    pub(crate) fn wake(&mut self, call: u64, now: Instant) {
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        match entry.phase {
            EntryPhase::Pausing if now >= entry.deadline => {
                self.reply(call, Err(ErrorKind::DeadlineQueued));
            }
            EntryPhase::Pausing => self.dispatch(call, now),
            _ if now >= entry.deadline + DEADLINE_GRACE => {
                self.reply(call, Err(ErrorKind::DeadlineRunning));
            }
            EntryPhase::Waiting => self.ask(call, 0, now),
            EntryPhase::Asking { since, resets } => self.ask_again(call, since, resets, now),
        }
    }

    pub(crate) fn ask_again(&mut self, call: u64, since: Instant, resets: u32, now: Instant) {
        let Some(node) = self.target_node(call) else {
            return;
        };
        if resets >= RESET_LIMIT && self.calls[&call].spec.idempotent {
            // It is tried elsewhere. A call that must not run twice has nowhere else to go: its
            // answer may still come, and is waited for.
            self.lose(call, now);
            return;
        }
        let silent = self
            .last_contact
            .get(&node)
            .is_none_or(|heard| *heard < since);
        if silent {
            self.suspect(node, now);
            self.actions.push(EntryAction::ResetLink(node));
        }
        self.ask(call, resets + 1, now);
    }

    pub(crate) fn ask(&mut self, call: u64, resets: u32, now: Instant) {
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        let Some(target) = &entry.target else {
            return;
        };
        let query = CallQuery {
            call: entry.dispatch,
            target_boot: target.boot,
        };
        self.actions
            .push(EntryAction::Send(target.node, FrameBody::Query(query)));
        self.set_phase(
            call,
            EntryPhase::Asking { since: now, resets },
            now + QUIET_TIME,
        );
    }

    /// Whether the target that a call was sent to runs in another process by now.
    pub(crate) fn has_restarted(&self, call: u64, node: NodeId) -> bool {
        let meant = self.calls[&call].target.as_ref().map(|target| target.boot);
        self.balancer
            .boot(node)
            .is_some_and(|boot| Some(boot) != meant)
    }

    /// Calls dispatched to a node and not answered, in order.
    pub(crate) fn calls_at(&self, node: NodeId) -> Vec<u64> {
        let mut calls: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, entry)| entry.phase != EntryPhase::Pausing)
            .filter(|(_, entry)| {
                entry
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
