//! Entry and owner of a node, driven in the same way on both kinds of platform.

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_policy::CrashVerdict;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::RequestIdentity;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CrashRecord;
use sequoiagw_protocol::CrashRecords;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::log_entry_event;
use crate::log_refusal;
use crate::CrashMonitor;
use crate::NodeCounters;

/// An action of the entry or the owner that the node carries out.
#[derive(Clone, Debug)]
pub enum CallAction {
    /// Send a message to a node.
    Send(NodeId, FrameBody),
    /// Replace the link to a node by a new one.
    ResetLink(NodeId),
    /// Remove the dispatch with this id unless it has been sent whole.
    Withdraw(u64),
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
    /// Crashes of backend servers, and the requests held back because of them.
    pub crashes: CrashMonitor,
    counters: NodeCounters,
}

impl CallMachines {
    /// Combines both state machines; their events are counted in `counters`.
    pub fn new(entry: EntryMachine, owner: OwnerMachine, counters: NodeCounters) -> Self {
        Self {
            entry,
            owner,
            crashes: CrashMonitor::new(counters.clone()),
            counters,
        }
    }

    /// Starts a call for a caller and returns its id, under which [`CallAction::Reply`] follows. A
    /// request that is held back is refused.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        match self.crashes.verdict(&RequestIdentity::of_request(&request)) {
            CrashVerdict::Held => {
                let identity = RequestIdentity::of_request(&request);
                self.crashes
                    .log_held_call(&request.request_id, &identity, now);
                self.entry
                    .refuse_call(spec, request, ErrorKind::RequestHeld, now)
            }
            CrashVerdict::Allowed | CrashVerdict::AllowedOnce => {
                self.entry.begin_call(spec, request, now)
            }
        }
    }

    /// Cancels a call whose caller has disconnected.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.counters
            .count_refusal(ErrorKind::CallerGone.rule().name);
        self.entry.on_caller_gone(call, now);
    }

    /// Handles the result of a run at the backend server.
    pub fn on_run_finished(&mut self, run: RunId, result: BackendResult, now: Instant) {
        if let Some(dispatch) = self.owner.running_dispatch(run) {
            let next_run = self.owner.next_run();
            self.crashes
                .on_run_finished(run, dispatch, &result, next_run, now);
            self.refuse_newly_held(now);
        }
        self.owner.on_result(run, result, now);
    }

    /// Handles crashes that another node reports; returns those that are new here.
    pub fn on_crash_records(&mut self, received: &CrashRecords, now: Instant) -> Vec<CrashRecord> {
        let new_records = self.crashes.merge(received, now);
        self.refuse_newly_held(now);
        new_records
    }

    /// Refuses queued calls whose requests are held back from now on.
    fn refuse_newly_held(&mut self, now: Instant) {
        if self.crashes.report_newly_held(now) {
            let crashes = &self.crashes;
            self.owner
                .refuse_held(|dispatch| is_held(crashes, dispatch), now);
        }
    }

    /// Whether a dispatch must not be sent: its request is held back, or is one crash away from that
    /// and has already failed in this call.
    fn must_not_send(&self, dispatch: &CallDispatch, node: NodeId) -> bool {
        let identity = RequestIdentity::of_dispatch(dispatch);
        match self.crashes.verdict(&identity) {
            CrashVerdict::Allowed => false,
            CrashVerdict::AllowedOnce => self.entry.is_retry(dispatch.call, node),
            CrashVerdict::Held => true,
        }
    }

    /// Handles everything that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) {
        self.entry.on_tick(now);
        self.owner.on_tick(now);
        self.crashes.on_tick(now);
    }

    /// Time at which [`Self::on_tick`] has to be called next, `None` when nothing is scheduled.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = [
            self.entry.next_wake(),
            self.owner.next_wake(),
            self.crashes.news_due(),
        ];
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

    /// Returns the actions requested since the last call, without those for requests that are held
    /// back. What concerns counters and the request log is done here; `name_of` returns a node's name
    /// for the log.
    pub fn take_actions<Name>(&mut self, name_of: Name, now: Instant) -> Vec<CallAction>
    where
        Name: Fn(NodeId) -> Option<String>,
    {
        let mut actions = Vec::new();
        loop {
            let entry_actions = self.entry.take_actions();
            let owner_actions = self.owner.take_actions();
            if entry_actions.is_empty() && owner_actions.is_empty() {
                return actions;
            }
            for action in entry_actions {
                self.add_entry_action(action, &name_of, &mut actions, now);
            }
            for action in owner_actions {
                self.add_owner_action(action, &mut actions, now);
            }
        }
    }

    fn add_entry_action<Name>(
        &mut self,
        action: EntryAction,
        name_of: &Name,
        actions: &mut Vec<CallAction>,
        now: Instant,
    ) where
        Name: Fn(NodeId) -> Option<String>,
    {
        match action {
            EntryAction::Send(node, FrameBody::Dispatch(dispatch))
                if self.must_not_send(&dispatch, node) =>
            {
                self.entry.on_dispatch_held(dispatch.call, node);
            }
            EntryAction::Send(node, body) => actions.push(CallAction::Send(node, body)),
            EntryAction::ResetLink(node) => {
                self.counters.count("link.reset");
                actions.push(CallAction::ResetLink(node));
            }
            EntryAction::Withdraw(dispatch) => actions.push(CallAction::Withdraw(dispatch)),
            EntryAction::Reply(call, reply) => {
                if let Err(kind) = reply.outcome {
                    self.counters.count_refusal(kind.rule().name);
                }
                actions.push(CallAction::Reply(call, reply));
            }
            EntryAction::RanWell(digest) => self.crashes.on_ran_well(digest, now),
            EntryAction::Record(event) => log_entry_event(&event, &self.counters, name_of),
        }
    }

    fn add_owner_action(
        &mut self,
        action: OwnerAction,
        actions: &mut Vec<CallAction>,
        now: Instant,
    ) {
        match action {
            OwnerAction::Run(request) if is_held(&self.crashes, &request.dispatch) => {
                self.owner.on_result(request.run, BackendResult::Held, now);
            }
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
}

fn is_held(crashes: &CrashMonitor, dispatch: &CallDispatch) -> bool {
    crashes.verdict(&RequestIdentity::of_dispatch(dispatch)) == CrashVerdict::Held
}
