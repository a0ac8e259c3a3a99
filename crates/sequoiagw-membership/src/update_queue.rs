//! Membership updates piggybacked on probes.

use std::collections::BTreeMap;

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeId;

/// Largest number of updates attached to one message.
const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// Number of messages to which one update is attached.
const SENDS_PER_UPDATE: u32 = 6;

/// Updates with their number of remaining sends. Updates sent least often go first.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<NodeId, (u32, MemberRecord)>,
}

impl UpdateQueue {
    /// Adds an update; it replaces an earlier one about the same member.
    pub(crate) fn add(&mut self, record: MemberRecord) {
        self.updates
            .insert(NodeId::from(record.node), (SENDS_PER_UPDATE, record));
    }

    /// Takes the updates for the next message and counts one send for each.
    pub(crate) fn take(&mut self) -> Vec<MemberRecord> {
        let mut order: Vec<(u32, NodeId)> = self
            .updates
            .iter()
            .map(|(node, (count, _))| (*count, *node))
            .collect();
        order.sort_unstable_by(|one, other| other.cmp(one));
        order.truncate(MAX_UPDATES_PER_MESSAGE);
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
