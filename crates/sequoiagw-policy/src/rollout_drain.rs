//! Whether the nodes of old versions have finished their calls.

use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_protocol::RunStatsReply;
use tokio::time::Instant;

use crate::RolloutMembers;

/// Time after which a node of an old version that knows the stage accepts no calls (1 s), with a
/// margin for the way of its replies.
const ACCEPTANCE_END: Duration = Duration::from_millis(1_250);

/// What a node of an old version has replied in the shifting stage.
#[derive(Clone, Copy, Debug)]
struct DrainReply {
    stage_known_since: Instant,
    drained: bool,
}

/// Replies of the nodes of old versions in the shifting stage.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutDrain {
    replies: HashMap<NodeId, DrainReply>,
}

impl RolloutDrain {
    /// Takes over a reply. A node counts as drained if it has no open calls and accepts no more.
    pub(crate) fn on_reply(
        &mut self,
        node: NodeId,
        reply: &RunStatsReply,
        record: &RolloutRecord,
        now: Instant,
    ) {
        let knows_stage = reply.order_revision == record.order_revision
            && matches!(
                reply.stage(),
                RolloutStage::Shifting | RolloutStage::Completed
            );
        if record.stage() != RolloutStage::Shifting || !knows_stage {
            self.replies.remove(&node);
            return;
        }
        let known = self.replies.entry(node).or_insert(DrainReply {
            stage_known_since: now,
            drained: false,
        });
        let known_for = now.saturating_duration_since(known.stage_known_since);
        known.drained = reply.open_calls == 0 && known_for >= ACCEPTANCE_END;
    }

    /// Whether all nodes of old versions are drained.
    pub(crate) fn is_complete(&self, members: &RolloutMembers) -> bool {
        let mut old = members.old.iter();
        old.all(|member| {
            let reply = self.replies.get(&member.node);
            reply.is_some_and(|reply| reply.drained)
        })
    }
}
