//! Failure detection: probes, suspected members and lost members.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::ProbeAnswer;
use sequoiagw_protocol::ProbeMessage;
use sequoiagw_protocol::VersionStatus;
use tokio::time::Instant;

use crate::membership_machine::PROBE_TIMEOUT;
use crate::membership_machine::RELAY_DELAY;
use crate::probe_round::ProbeRound;
use crate::MembershipAction;
use crate::MembershipMachine;

/// Number of members asked to relay a probe that has no answer yet.
const RELAY_COUNT: usize = 2;
/// Time after which a suspected member is declared lost.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which records of lost and left members are kept.
const DEPARTED_RETENTION: Duration = Duration::from_secs(600);

impl MembershipMachine {
    pub(crate) fn start_probe(&mut self, now: Instant) {
        if self.probe.is_some() {
            return;
        }
        let Some(node) = self.next_member_to_probe() else {
            return;
        };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.probe = Some(ProbeRound {
            node,
            sequence,
            sent: now,
            relayed: false,
        });
        self.send_probe(node, sequence, 0);
    }

    pub(crate) fn send_probe(&mut self, node: NodeId, sequence: u64, relay_to: u64) {
        let updates = self.piggyback_queue.take();
        let versions = Some(self.own_versions);
        let probe = ProbeMessage {
            sequence,
            relay_to,
            updates,
            versions,
        };
        self.send(node, FrameBody::Probe(probe));
    }

    /// Returns the next local member to probe. Each round visits every reachable member once,
    /// in random order.
    pub(crate) fn next_member_to_probe(&mut self) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.probe_order.pop() {
                let reachable = self.table.get(node).is_some_and(|record| {
                    !matches!(record.state(), MemberState::Lost | MemberState::Left)
                });
                if reachable {
                    return Some(node);
                }
            }
            self.probe_order = self.local_peers();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Reachable members of this node's data centre, without this node.
    pub(crate) fn local_peers(&self) -> Vec<NodeId> {
        self.table
            .reachable(&self.own.data_centre)
            .map(|record| NodeId::from(record.node))
            .filter(|node| node.get() != self.own.node)
            .collect()
    }

    pub(crate) fn check_probe_timeouts(&mut self, now: Instant) {
        let Some(probe) = self.probe else {
            return;
        };
        let age = now - probe.sent;
        if age >= PROBE_TIMEOUT {
            self.probe = None;
            self.mark_suspect(probe.node, now);
        } else if age >= RELAY_DELAY && !probe.relayed {
            self.probe = Some(ProbeRound {
                relayed: true,
                ..probe
            });
            let mut peers = self.local_peers();
            peers.retain(|node| *node != probe.node);
            let relays: Vec<NodeId> = peers
                .choose_multiple(&mut self.rng, RELAY_COUNT)
                .copied()
                .collect();
            for relay in relays {
                self.send_probe(relay, probe.sequence, probe.node.get());
            }
        }
    }

    pub(crate) fn mark_suspect(&mut self, node: NodeId, now: Instant) {
        self.set_member_state(node, MemberState::Suspect, now);
    }

    pub(crate) fn set_member_state(&mut self, node: NodeId, state: MemberState, now: Instant) {
        if let Some(record) = self.table.get(node) {
            let mut record = record.clone();
            record.set_state(state);
            self.apply_record(&record, now);
        }
    }

    pub(crate) fn expire_members(&mut self, now: Instant) {
        if let Some(limit) = now.checked_sub(SUSPICION_TIMEOUT) {
            for node in self.table.in_state_since(MemberState::Suspect, limit) {
                // Only members of the same data centre can tell a lost node from a
                // partition between data centres.
                let local = self
                    .table
                    .get(node)
                    .is_some_and(|record| record.data_centre == self.own.data_centre);
                if local {
                    self.set_member_state(node, MemberState::Lost, now);
                }
            }
        }
        if let Some(limit) = now.checked_sub(DEPARTED_RETENTION) {
            for state in [MemberState::Lost, MemberState::Left] {
                for node in self.table.in_state_since(state, limit) {
                    self.table.remove(node);
                    self.actions.push(MembershipAction::RecordChanged(node));
                }
            }
        }
    }

    pub(crate) fn on_probe(&mut self, from: NodeId, probe: &ProbeMessage, now: Instant) {
        self.apply_gossip(from, &probe.updates, probe.versions, now);
        let relay_to = NodeId::from(probe.relay_to);
        if probe.relay_to == 0 || relay_to == self.own_id() {
            let mut updates = self.piggyback_queue.take();
            updates.extend(self.record_to_refute(from));
            let answer = ProbeAnswer {
                sequence: probe.sequence,
                probed: self.own.node,
                updates,
                versions: Some(self.own_versions),
            };
            self.send(from, FrameBody::ProbeAnswer(answer));
            return;
        }
        self.last_sequence += 1;
        self.relayed_probes
            .insert(self.last_sequence, (from, probe.sequence));
        let sequence = self.last_sequence;
        self.send_probe(relay_to, sequence, 0);
    }

    /// Record of a probing node that is listed here as suspect or lost. It is sent back so
    /// that the node can refute it.
    pub(crate) fn record_to_refute(&self, node: NodeId) -> Option<MemberRecord> {
        let record = self.table.get(node)?;
        let needs_refutation = matches!(record.state(), MemberState::Suspect | MemberState::Lost);
        needs_refutation.then(|| record.clone())
    }

    pub(crate) fn on_probe_answer(&mut self, from: NodeId, answer: &ProbeAnswer, now: Instant) {
        self.apply_gossip(from, &answer.updates, answer.versions, now);
        let probed = NodeId::from(answer.probed);
        if let Some((requester, sequence)) = self.relayed_probes.remove(&answer.sequence) {
            let relayed = ProbeAnswer {
                sequence,
                probed: answer.probed,
                ..ProbeAnswer::default()
            };
            self.send(requester, FrameBody::ProbeAnswer(relayed));
            return;
        }
        let answered = self
            .probe
            .is_some_and(|probe| probe.sequence == answer.sequence && probe.node == probed);
        if answered {
            self.probe = None;
        }
    }

    pub(crate) fn apply_gossip(
        &mut self,
        from: NodeId,
        updates: &[MemberRecord],
        versions: Option<VersionStatus>,
        now: Instant,
    ) {
        for record in updates {
            self.apply_record(record, now);
        }
        if let Some(versions) = versions {
            self.actions
                .push(MembershipAction::PeerVersions(from, versions));
        }
    }
}
