//! Actions that the core wants done.

use sequoiagw_policy::CallerReply;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;

/// Something to be done at an edge of the node.
#[derive(Debug)]
pub enum MeshAction {
    /// Send a frame to a peer.
    Send(NodeAddress, Box<PeerFrame>),
    /// Replace the link to a peer.
    ResetLink(NodeAddress),
    /// Run a call at the backend server.
    Run(Box<RunRequest>),
    /// Abort a run.
    Abort(RunId),
    /// Answer a caller.
    Reply(u64, CallerReply),
    /// The node's own entry in the store has to be written again.
    RegistrationChanged,
}
