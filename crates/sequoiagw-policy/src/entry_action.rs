//! Actions of the entry.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;

use crate::CallerReply;
use crate::RetryNote;

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
    Note(EntryNote),
}

/// Something to be counted.
#[derive(Clone, Debug)]
pub enum EntryNote {
    /// A call is tried again.
    Retried(Box<RetryNote>),
    /// The budget didn't allow a retry.
    BudgetSpent,
    /// An answer that no call waits for.
    LateAnswer,
    /// A target is left out for a while.
    Ejected,
}
