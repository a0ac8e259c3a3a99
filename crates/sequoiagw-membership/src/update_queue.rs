//! Updates that a node still carries along on its probes.

use std::collections::BTreeMap;

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeId;

/// Updates carried on one message.
const UPDATES_PER_MESSAGE: usize = 6;
/// Messages on which one update is carried.
const CARRY_COUNT: u32 = 6;

/// Updates with the number of messages they are still carried on; the freshest go first.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<NodeId, (u32, MemberRecord)>,
}

impl UpdateQueue {
    /// Adds an update; it replaces an older one on the same member.
    pub(crate) fn add(&mut self, record: MemberRecord) {
        self.updates
            .insert(NodeId::from(record.node), (CARRY_COUNT, record));
    }

    /// Updates for the next message.
    pub(crate) fn take(&mut self) -> Vec<MemberRecord> {
        let mut order: Vec<(u32, NodeId)> = self
            .updates
            .iter()
            .map(|(node, (count, _))| (*count, *node))
            .collect();
        order.sort_unstable_by(|one, other| other.cmp(one));
        order.truncate(UPDATES_PER_MESSAGE);
        let mut taken = Vec::with_capacity(order.len());
        for (_, node) in order {
            if let Some((count, record)) = self.updates.get_mut(&node) {
                *count -= 1;
                taken.push(record.clone());
                if *count == 0 {
                    self.updates.remove(&node);
                }
            }
        }
        taken
    }
}
