//! Registered nodes of a service that is being rolled out.

use sequoiagw_protocol::NodeId;

/// A registered node of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutMember {
    /// Identity in messages.
    pub node: NodeId,
    /// Name in registrations and records.
    pub name: String,
    /// Slots of the backend server.
    pub slots: u32,
}

/// Registered nodes of a service by the software version of their backend servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutMembers {
    /// Nodes whose backend servers have the new version and are ready, by name.
    pub new: Vec<RolloutMember>,
    /// Nodes of all other versions.
    pub old: Vec<RolloutMember>,
}
