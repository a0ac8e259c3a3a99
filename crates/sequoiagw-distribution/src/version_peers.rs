//! Members that the version state machine exchanges messages with.

use std::collections::BTreeSet;

use sequoiagw_protocol::NodeId;

/// Current members as the version state machine needs them.
#[derive(Clone, Debug, Default)]
pub struct VersionPeers {
    /// Voters of the own data centre, that is its members in service, without this node.
    pub voters: BTreeSet<NodeId>,
    /// Reachable members of the own data centre, without this node.
    pub local_peers: Vec<NodeId>,
    /// Bridges of each remote data centre.
    pub remote_bridges: Vec<Vec<NodeId>>,
    /// Whether this node is a bridge of its data centre.
    pub bridge: bool,
    /// Whether the member table has been received from a peer.
    pub joined: bool,
}
