//! Nodes that have been silent: left out, probed, and used again once they are heard.

use std::time::Duration;

use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::EntryAction;
use crate::EntryMachine;

/// Time between two probes of a silent node.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time without word from a node after which it shares the suspicion of a silent node of its
/// data centre.
const SILENT_TIME: Duration = Duration::from_millis(600);

impl EntryMachine {
    /// Leaves a silent node out. If its data centre is another one, it may be cut off as a
    /// whole: its other nodes are left out too until a probe, sent at once, is answered. So a
    /// cut costs a call at one target and not one at each.
    pub(crate) fn suspect(&mut self, node: NodeId, now: Instant) {
        self.balancer.mark_suspect(node);
        self.suspects.entry(node).or_insert(now + PROBE_PERIOD);
        for mate in self.balancer.remote_data_centre_peers(node) {
            let heard = self.last_contact.get(&mate);
            let silent = heard.is_none_or(|heard| now >= *heard + SILENT_TIME);
            if silent && !self.suspects.contains_key(&mate) {
                self.balancer.mark_suspect(mate);
                self.suspects.insert(mate, now);
            }
        }
    }

    /// Probes the silent nodes whose turn it is.
    pub(crate) fn probe_suspects(&mut self, now: Instant) {
        let balancer = &self.balancer;
        self.suspects.retain(|node, _| balancer.is_target(*node));
        for (node, next) in &mut self.suspects {
            if *next > now {
                continue;
            }
            *next = now + PROBE_PERIOD;
            // No process has this boot and no call this number: the answer only shows that
            // the node is there.
            let probe = CallQuery {
                call: 0,
                target_boot: 0,
            };
            self.actions
                .push(EntryAction::Send(*node, FrameBody::Query(probe)));
        }
    }

    /// When the next probe is due.
    pub(crate) fn next_probe(&self) -> Option<Instant> {
        self.suspects.values().min().copied()
    }
}
