//! Actions and events that the entry hands to its node.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;

use crate::AbandonRecord;
use crate::CallerReply;
use crate::RequestDigest;
use crate::RetryRecord;
use crate::UnreadableRecord;

/// An action for the entry's node to carry out.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Send a message to a node.
    Send(NodeId, FrameBody),
    /// Replace the link to a node by a new one.
    ResetLink(NodeId),
    /// Remove the dispatch with this id unless it has been sent whole.
    Withdraw(u64),
    /// Reply to the caller of the call with this id.
    Reply(u64, CallerReply),
    /// Record that a request ran well.
    RanWell(RequestDigest),
    /// Count an event, and log it if it concerns a single request.
    Record(EntryEvent),
}

/// An event for the counters and the request log.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A call is retried.
    Retried(Box<RetryRecord>),
    /// A call's caller has left.
    Abandoned(Box<AbandonRecord>),
    /// The service's retry budget didn't allow a retry.
    RetryBudgetExhausted,
    /// An answer arrived that no call waits for.
    LateAnswer,
    /// An owner's answer can't be delivered.
    UnreadableAnswer(Box<UnreadableRecord>),
    /// A target was ejected and gets no calls for a while.
    TargetEjected,
}
