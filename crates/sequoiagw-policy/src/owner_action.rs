//! Actions of the owner.

use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;

use crate::RefusalRecord;
use crate::RunId;
use crate::RunRequest;

/// What the owner wants done.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// Send an answer to an entry.
    Answer(NodeId, CallAnswer),
    /// Run a call.
    Run(Box<RunRequest>),
    /// Abort a run; its result is still awaited.
    Abort(RunId),
    /// Claim a key in the store; the number of tries before this one chooses the holder.
    Claim(KeyClaim, u32),
    /// Count and log a call that was refused here.
    RecordRefusal(Box<RefusalRecord>),
}
