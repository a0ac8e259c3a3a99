//! Actions that the core requests from its I/O layer.

use sequoiagw_policy::CallerReply;
use sequoiagw_policy::PermitOutcome;
use sequoiagw_policy::PermitTicket;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;

/// An action for the I/O layer of the node.
#[derive(Debug)]
pub enum MeshAction {
    /// Send a frame to the peer at an address.
    Send(NodeAddress, Box<PeerFrame>),
    /// Close the link to the peer at an address and open a new one.
    ResetLink(NodeAddress),
    /// Remove the dispatch with this id unless it has been sent whole.
    Withdraw(u64),
    /// Send a call to the backend server.
    Run(Box<RunRequest>),
    /// Abort a run at the backend server.
    Abort(RunId),
    /// Reply to the caller of the call with this number.
    Reply(u64, CallerReply),
    /// Tell a caller that waited for a permit the outcome.
    Permit(PermitTicket, PermitOutcome),
    /// Write the node's own registration to the store again.
    RegistrationChanged,
    /// The store has the node's registration, with the departure that it names.
    DepartureStored,
    /// Follow the store, since the watchers of the data centre have lost it.
    WatchersLost,
    /// Write a roll-out's record, which [`crate::MeshCore::take_rollout_proposal`] returns.
    RolloutProposed,
}
