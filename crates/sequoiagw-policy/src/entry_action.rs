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
    /// Count and log a retry.
    Retried(Box<RetryNote>),
    /// Count a retry that the budget didn't allow.
    BudgetSpent,
    /// Count an answer that no call waits for.
    LateAnswer,
    /// Count an ejection.
    Ejected(NodeId),
}
