//! Actions requested by the membership state machine.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::VersionStatus;

/// An action that the caller of the membership state machine must carry out.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message to a member.
    Send(NodeId, FrameBody),
    /// Send a message to an address whose node identity isn't known yet.
    SendToAddress(NodeAddress, FrameBody),
    /// The record of this member changed or was removed.
    RecordChanged(NodeId),
    /// A member was declared lost or has left.
    Departed(NodeId),
    /// A member reported its configuration versions.
    PeerVersions(NodeId, VersionStatus),
    /// No seed has answered: read seed addresses from the platform's store.
    ReadSeeds,
}
