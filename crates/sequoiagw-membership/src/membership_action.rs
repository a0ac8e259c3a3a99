//! Actions of membership.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::VersionStatus;

/// What membership wants done.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message to a member.
    Send(NodeId, FrameBody),
    /// Send a message to an address whose node isn't known yet.
    SendToAddress(NodeAddress, FrameBody),
    /// The table changed for this member.
    RecordChanged(NodeId),
    /// A member is lost or has left.
    Departed(NodeId),
    /// A peer of the own data centre told its versions.
    PeerVersions(NodeId, VersionStatus),
    /// No entry point answers: read them from the platform's store.
    ReadSeeds,
}
