//! One probe of one member.

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// A probe on its way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeRound {
    /// Probed member.
    pub(crate) node: NodeId,
    /// Sequence number.
    pub(crate) sequence: u64,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// Whether other members were asked to probe as well.
    pub(crate) relayed: bool,
}
