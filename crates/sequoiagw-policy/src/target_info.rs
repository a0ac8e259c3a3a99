//! A target as the fleet knows it.

use sequoiagw_protocol::NodeId;

/// A target as announced by membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo {
    /// Node that owns the target.
    pub node: NodeId,
    /// Boot of the node.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: String,
    /// Number of slots announced.
    pub slots: u32,
}
