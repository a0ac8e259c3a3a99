//! State of an outstanding probe.

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// A probe that hasn't been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeRound {
    /// Probed member.
    pub(crate) node: NodeId,
    /// Sequence number that the answer repeats.
    pub(crate) sequence: u64,
    /// Time at which the probe was sent.
    pub(crate) sent: Instant,
    /// Whether other members were asked to relay the probe.
    pub(crate) relayed: bool,
}
