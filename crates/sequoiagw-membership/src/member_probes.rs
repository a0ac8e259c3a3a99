//! Failure detection: probes, suspicions and losses.

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

use crate::membership_machine::RELAY_AFTER;
use crate::membership_machine::SUSPECT_AFTER;
use crate::probe_round::ProbeRound;
use crate::MembershipAction;
use crate::MembershipMachine;

/// Members asked to probe as well.
const RELAY_COUNT: usize = 2;
/// Time after which a suspected member counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Time for which lost members and leavers are remembered.
const DEPARTED_MEMORY: Duration = Duration::from_secs(600);

impl MembershipMachine {
    pub(crate) fn start_probe(&mut self, now: Instant) {
        if self.probe.is_some() {
            return;
        }
        let Some(node) = self.next_probed() else {
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.probe = Some(ProbeRound {
            node,
            sequence,
            sent: now,
            relayed: false,
        });
        self.send_probe(node, sequence, 0);
    }

    pub(crate) fn send_probe(&mut self, node: NodeId, sequence: u64, relay_to: u64) {
        let updates = self.updates.take();
        let versions = Some(self.versions);
        let probe = ProbeMessage {
            sequence,
            relay_to,
            updates,
            versions,
        };
        self.send(node, FrameBody::Probe(probe));
    }

    /// Goes through the own data centre in random order, each member once a round.
    pub(crate) fn next_probed(&mut self) -> Option<NodeId> {
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

    /// Reachable peers of the own data centre.
    pub(crate) fn local_peers(&self) -> Vec<NodeId> {
        self.table
            .reachable(&self.own.data_centre)
            .map(|record| NodeId::from(record.node))
            .filter(|node| node.get() != self.own.node)
            .collect()
    }

    pub(crate) fn check_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe else {
            return;
        };
        let age = now - probe.sent;
        if age >= SUSPECT_AFTER {
            self.probe = None;
            self.suspect(probe.node, now);
        } else if age >= RELAY_AFTER && !probe.relayed {
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

    pub(crate) fn suspect(&mut self, node: NodeId, now: Instant) {
        self.conclude(node, MemberState::Suspect, now);
    }

    pub(crate) fn conclude(&mut self, node: NodeId, state: MemberState, now: Instant) {
        if let Some(record) = self.table.get(node) {
            let mut record = record.clone();
            record.set_state(state);
            self.take_record(&record, now);
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        if let Some(limit) = now.checked_sub(LOST_AFTER) {
            for node in self.table.in_state_since(MemberState::Suspect, limit) {
                // Only peers of the same data centre can tell a loss from a cut link.
                let local = self
                    .table
                    .get(node)
                    .is_some_and(|record| record.data_centre == self.own.data_centre);
                if local {
                    self.conclude(node, MemberState::Lost, now);
                }
            }
        }
        if let Some(limit) = now.checked_sub(DEPARTED_MEMORY) {
            for state in [MemberState::Lost, MemberState::Left] {
                for node in self.table.in_state_since(state, limit) {
                    self.table.remove(node);
                    self.actions.push(MembershipAction::RecordChanged(node));
                }
            }
        }
    }

    pub(crate) fn on_probe(&mut self, from: NodeId, probe: &ProbeMessage, now: Instant) {
        self.take_gossip(from, &probe.updates, probe.versions, now);
        let relay_to = NodeId::from(probe.relay_to);
        if probe.relay_to == 0 || relay_to == self.own_id() {
            let mut updates = self.updates.take();
            updates.extend(self.doubt_about(from));
            let answer = ProbeAnswer {
                sequence: probe.sequence,
                probed: self.own.node,
                updates,
                versions: Some(self.versions),
            };
            self.send(from, FrameBody::ProbeAnswer(answer));
            return;
        }
        self.sequence += 1;
        self.relays.insert(self.sequence, (from, probe.sequence));
        let sequence = self.sequence;
        self.send_probe(relay_to, sequence, 0);
    }

    /// The record of a prober that is taken for gone, so that it can refute it.
    pub(crate) fn doubt_about(&self, node: NodeId) -> Option<MemberRecord> {
        let record = self.table.get(node)?;
        let doubted = matches!(record.state(), MemberState::Suspect | MemberState::Lost);
        doubted.then(|| record.clone())
    }

    pub(crate) fn on_probe_answer(&mut self, from: NodeId, answer: &ProbeAnswer, now: Instant) {
        self.take_gossip(from, &answer.updates, answer.versions, now);
        let probed = NodeId::from(answer.probed);
        if let Some((asker, sequence)) = self.relays.remove(&answer.sequence) {
            let relayed = ProbeAnswer {
                sequence,
                probed: answer.probed,
                ..ProbeAnswer::default()
            };
            self.send(asker, FrameBody::ProbeAnswer(relayed));
            return;
        }
        let answered = self
            .probe
            .is_some_and(|probe| probe.sequence == answer.sequence && probe.node == probed);
        if answered {
            self.probe = None;
        }
    }

    pub(crate) fn take_gossip(
        &mut self,
        from: NodeId,
        updates: &[MemberRecord],
        versions: Option<VersionStatus>,
        now: Instant,
    ) {
        for record in updates {
            self.take_record(record, now);
        }
        if let Some(versions) = versions {
            self.actions
                .push(MembershipAction::PeerVersions(from, versions));
        }
    }
}
