//! Entry and owner of a node, driven in the same way on both kinds of platform.

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::log_entry_event;
use crate::log_refusal;
use crate::NodeCounters;

/// An action of the entry or the owner that the node carries out.
#[derive(Clone, Debug)]
pub enum CallAction {
    /// Send a message to a node.
    Send(NodeId, FrameBody),
    /// Replace the link to a node by a new one.
    ResetLink(NodeId),
    /// Reply to the caller of the call with this id.
    Reply(u64, CallerReply),
    /// Run a call at the backend server.
    Run(Box<RunRequest>),
    /// Abort a run at the backend server.
    Abort(RunId),
    /// Claim a key in the store. The number of earlier attempts selects the holder.
    Claim(KeyClaim, u32),
}

/// State machines for the calls of a node: as entry for its callers, and as owner for the calls
/// that run at its backend server.
#[derive(Debug)]
pub struct CallMachines {
    /// Calls of the node's callers.
    pub entry: EntryMachine,
    /// Calls at the node's backend server.
    pub owner: OwnerMachine,
    counters: NodeCounters,
}

impl CallMachines {
    /// Combines both state machines; their events are counted in `counters`.
    pub fn new(entry: EntryMachine, owner: OwnerMachine, counters: NodeCounters) -> Self {
        Self {
            entry,
            owner,
            counters,
        }
    }

    /// Starts a call for a caller and returns its id, under which [`CallAction::Reply`] follows.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        self.entry.begin_call(spec, request, now)
    }

    /// Cancels a call whose caller has disconnected.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.counters
            .count_refusal(ErrorKind::CallerGone.rule().name);
        self.entry.on_caller_gone(call, now);
    }

    /// Handles the result of a run at the backend server.
    pub fn on_run_finished(&mut self, run: RunId, result: BackendResult, now: Instant) {
        self.owner.on_result(run, result, now);
    }

    /// Handles everything that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) {
        self.entry.on_tick(now);
        self.owner.on_tick(now);
    }

    /// Time at which [`Self::on_tick`] has to be called next, `None` when nothing is scheduled.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = [self.entry.next_wake(), self.owner.next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// Number of unfinished calls, as entry and as owner.
    pub fn open_calls(&self) -> usize {
        self.entry.open_calls() + self.owner.open_calls()
    }

    /// Handles a message of these state machines that was never written to a link.
    pub fn on_undelivered(&mut self, node: NodeId, body: &FrameBody, now: Instant) {
        match body {
            FrameBody::Dispatch(dispatch) => {
                self.entry.on_dispatch_undelivered(dispatch.call, node, now);
            }
            FrameBody::Query(query) => self.entry.on_query_undelivered(query.call, node, now),
            _ => {}
        }
    }

    /// Handles a message of these state machines for a node without a known address. A dispatch
    /// counts as undelivered, and other messages are dropped.
    pub fn on_unaddressed(&mut self, node: NodeId, body: &FrameBody, now: Instant) {
        self.counters.count("frame.no_address");
        if let FrameBody::Dispatch(dispatch) = body {
            self.entry.on_dispatch_undelivered(dispatch.call, node, now);
        }
    }

    /// Returns the actions requested since the last call. What concerns counters and the request
    /// log is done here; `name_of` returns a node's name for the log.
    pub fn take_actions<Name>(&mut self, name_of: Name) -> Vec<CallAction>
    where
        Name: Fn(NodeId) -> Option<String>,
    {
        let mut actions = Vec::new();
        for action in self.entry.take_actions() {
            match action {
                EntryAction::Send(node, body) => actions.push(CallAction::Send(node, body)),
                EntryAction::ResetLink(node) => {
                    self.counters.count("link.reset");
                    actions.push(CallAction::ResetLink(node));
                }
                EntryAction::Reply(call, reply) => {
                    if let Err(kind) = reply.outcome {
                        self.counters.count_refusal(kind.rule().name);
                    }
                    actions.push(CallAction::Reply(call, reply));
                }
                EntryAction::Record(event) => log_entry_event(&event, &self.counters, &name_of),
            }
        }
        for action in self.owner.take_actions() {
            match action {
                OwnerAction::Answer(node, answer) => {
                    actions.push(CallAction::Send(node, FrameBody::Answer(answer)));
                }
                OwnerAction::Run(request) => actions.push(CallAction::Run(request)),
                OwnerAction::Abort(run) => actions.push(CallAction::Abort(run)),
                OwnerAction::Claim(claim, attempt) => {
                    actions.push(CallAction::Claim(claim, attempt));
                }
                OwnerAction::RecordRefusal(record) => log_refusal(&record, &self.counters),
            }
        }
        actions
    }
}
