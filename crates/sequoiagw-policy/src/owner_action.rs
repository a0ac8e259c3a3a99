//! Actions requested by the owner's state machine.

use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;

use crate::RefusalRecord;
use crate::RunId;
use crate::RunRequest;

/// Action that the node carries out for its owner state machine.
#[derive(Clone, Debug)]
pub enum OwnerAction {
    /// Send an answer to an entry.
    Answer(NodeId, CallAnswer),
    /// Run a call at the backend server.
    Run(Box<RunRequest>),
    /// Abort a run. Its result must still be reported.
    Abort(RunId),
    /// Claim a key in the store. The number of earlier attempts selects the holder.
    Claim(KeyClaim, u32),
    /// Count and log a call that the owner refused.
    RecordRefusal(Box<RefusalRecord>),
}
