//! Suspects: nodes that get no calls and are probed until a message from them arrives.

use std::time::Duration;

use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::EntryAction;
use crate::EntryMachine;

/// Interval between two probes of a suspect node.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message from a node after which it is suspected together with another node of
/// its data centre.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

impl EntryMachine {
    /// Marks an unresponsive node as suspect. If the node is in a remote data centre, the whole
    /// data centre may be cut off, so its other nodes without recent contact become suspects
    /// too and are probed at once. A network cut thus delays a call at one target instead of one
    /// at each.
    pub(crate) fn mark_suspect(&mut self, node: NodeId, now: Instant) {
        self.balancer.mark_suspect(node);
        self.suspects.entry(node).or_insert(now + PROBE_INTERVAL);
        for peer in self.balancer.remote_data_centre_peers(node) {
            let last_contact = self.last_contact.get(&peer);
            let unresponsive = last_contact.is_none_or(|contact| now >= *contact + CONTACT_TIMEOUT);
            if unresponsive && !self.suspects.contains_key(&peer) {
                self.balancer.mark_suspect(peer);
                self.suspects.insert(peer, now);
            }
        }
    }

    /// Whether a node is suspect.
    pub fn is_suspect(&self, node: NodeId) -> bool {
        self.suspects.contains_key(&node)
    }

    /// Sends the probes that are due.
    pub(crate) fn probe_suspects(&mut self, now: Instant) {
        let balancer = &self.balancer;
        self.suspects.retain(|node, _| balancer.is_target(*node));
        for (node, probe_at) in &mut self.suspects {
            if *probe_at > now {
                continue;
            }
            *probe_at = now + PROBE_INTERVAL;
            // No process has boot 0 and no call id 0: the answer shows only that the node is
            // reachable.
            let probe = CallQuery {
                call: 0,
                target_boot: 0,
            };
            self.actions
                .push(EntryAction::Send(*node, FrameBody::Query(probe)));
        }
    }

    /// Time of the next probe, `None` without suspects.
    pub(crate) fn next_probe(&self) -> Option<Instant> {
        self.suspects.values().min().copied()
    }
}
