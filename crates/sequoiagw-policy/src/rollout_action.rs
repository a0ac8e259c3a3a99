//! What a roll-out's controller asks of its node.

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;

/// What a roll-out's controller asks of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Ask the nodes of old versions for their run statistics.
    ///
    /// A node must answer only the driver of the latest record that it knows. Otherwise two nodes
    /// that both take themselves for the driver would count the same runs, and the sum of their
    /// exposure caps would exceed the bound.
    RequestStats(Vec<NodeId>),
    /// Write this record if the one in the store still has this revision. Repeated at intervals
    /// of 0.5 s until a later record is known. The writer sets the record's revision and era.
    Propose {
        /// Record to write; its revision is 0.
        record: RolloutRecord,
        /// Revision of the record that this one replaces.
        expected_revision: u64,
    },
}
