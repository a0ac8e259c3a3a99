//! Actions of the entry.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;

use crate::CallerReply;
use crate::RetryRecord;

/// What the entry wants done.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Send a message to a node.
    Send(NodeId, FrameBody),
    /// Replace the link to a node by a fresh one.
    ResetLink(NodeId),
    /// Answer the caller of a call.
    Reply(u64, CallerReply),
    /// Count, and log where it is about one request.
    Record(EntryEvent),
}

/// Something to be counted.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A call is tried again.
    Retried(Box<RetryRecord>),
    /// The budget didn't allow a retry.
    RetryBudgetExhausted,
    /// An answer that no call waits for.
    LateAnswer,
    /// A target is left out for a while.
    TargetEjected,
}
