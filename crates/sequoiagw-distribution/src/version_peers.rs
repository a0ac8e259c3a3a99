//! What the version machine has to know of the members.

use std::collections::BTreeSet;

use sequoiagw_protocol::NodeId;

/// What the machine has to know of the members, as membership has it now.
#[derive(Clone, Debug, Default)]
pub struct VersionPeers {
    /// Voters of the own data centre besides this node: members in service.
    pub voters: BTreeSet<NodeId>,
    /// Reachable members of the own data centre besides this node.
    pub local_peers: Vec<NodeId>,
    /// Bridges of each other data centre.
    pub remote_bridges: Vec<Vec<NodeId>>,
    /// Whether this node links its data centre to the others.
    pub bridge: bool,
    /// Whether the member table has been received from a peer.
    pub joined: bool,
}
