//! Which part of the fleet this node reaches, as far as quotas depend on it.
//!
//! A counter grants the part of the rate that belongs to the nodes it reaches, so that the counters of
//! all sides of a partition grant the whole together. A node is reached if it answers probes: messages
//! from it show only one direction, and one node of a data centre shows nothing of the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Time after the sending of a probe for which its answer counts.
const ANSWER_VALIDITY: Duration = Duration::from_secs(1);
/// Time without an answer after which a probe speaks against the nodes that aren't probed, too.
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Time without an answer after which a node counts as unreached, until it answers a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without an answer after which a node counts as not running. A running node that is slow to answer
/// may still grant permits.
const RUNNING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between rounds of probes while grants depend on the reached part, and otherwise.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Nodes probed in such rounds at random.
const SAMPLED_NODES: usize = 8;
const WATCHED_NODES: usize = 4;
/// Unreached nodes probed in a round, those first that weren't for the longest time.
const RETRIED_NODES: usize = 8;
/// Nodes probed in a round once one has become unreached or reached again, until all are.
const SWEPT_NODES: usize = 40;
/// Shortest time between the starts of two such sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the fleet that a node reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetReach {
    /// Nodes known to be reached, with this one.
    pub reached: usize,
    /// Nodes that don't answer.
    pub unreached: usize,
    /// All nodes.
    pub nodes: usize,
    /// Part of the other nodes that is taken to be reached, from the answers to probes.
    pub answer_ratio: f64,
}

/// What probes are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbePurpose {
    /// To know which part of the fleet is reached, since grants depend on it.
    Measure,
    /// To notice that a part isn't reached any more.
    Watch,
}

/// A probe to a node, to be sent with this number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachProbe {
    /// Node to probe.
    pub node: NodeId,
    /// Number, which the answer repeats.
    pub sequence: u64,
}

/// Probes of one node.
#[derive(Clone, Copy, Debug)]
struct NodeProbes {
    /// Number and time of the latest probe.
    sequence: u64,
    sent: Instant,
    /// Whether the latest probe is unanswered.
    is_pending: bool,
    /// Whether it was sent without a sweep, so that its failure calls for one.
    is_outside_sweep: bool,
    /// When the latest probe that was answered had been sent.
    answered: Option<Instant>,
    /// When the node last answered any probe, or was first probed.
    last_sign: Instant,
    unreached_since: Option<Instant>,
}

/// Probes the nodes of the fleet and estimates which part of them is reached.
#[derive(Clone, Debug)]
pub struct ReachMonitor {
    own: NodeId,
    /// All nodes that may grant or use permits, without this one.
    others: BTreeSet<NodeId>,
    probes: BTreeMap<NodeId, NodeProbes>,
    next_sequence: u64,
    next_round: Instant,
    /// Start of the latest sweep, in which all nodes are probed.
    sweep_started: Option<Instant>,
    /// Whether nodes are left that weren't probed in it.
    is_sweeping: bool,
    /// Whether another sweep is to follow.
    is_sweep_due: bool,
}

impl FleetReach {
    /// Part of a workspace's rate that the node may grant as counter, from 0 to 1.
    pub fn share(self) -> f64 {
        let unknown = self.nodes.saturating_sub(self.reached + self.unreached);
        let reached = self.reached as f64 + unknown as f64 * self.answer_ratio;
        match self.nodes {
            0 => 1.0,
            nodes => reached / nodes as f64,
        }
    }
}

impl ReachMonitor {
    /// Creates the monitor of a node that knows no others. Probes are numbered from `first_sequence` on,
    /// which should differ between processes of a node.
    pub fn new(own: NodeId, first_sequence: u64, now: Instant) -> Self {
        Self {
            own,
            others: BTreeSet::new(),
            probes: BTreeMap::new(),
            next_sequence: first_sequence,
            next_round: now,
            sweep_started: None,
            is_sweeping: false,
            is_sweep_due: false,
        }
    }

    /// Sets the nodes of the fleet.
    pub fn set_nodes(&mut self, mut nodes: BTreeSet<NodeId>) {
        nodes.remove(&self.own);
        self.probes.retain(|node, _| nodes.contains(node));
        self.others = nodes;
    }

    /// Handles an answer to a probe.
    pub fn on_answer(&mut self, node: NodeId, sequence: u64, now: Instant) {
        let Some(probes) = self.probes.get_mut(&node) else {
            return;
        };
        probes.last_sign = now;
        // The answer to an earlier probe only shows that the node is running.
        if probes.is_pending && probes.sequence == sequence {
            probes.is_pending = false;
            probes.answered = Some(probes.sent);
            let was_unreached = probes.unreached_since.take().is_some();
            if was_unreached && probes.is_outside_sweep {
                self.request_sweep(now);
            }
        }
    }

    /// Handles a probe that couldn't be sent.
    pub fn on_undelivered(&mut self, node: NodeId, sequence: u64, now: Instant) {
        let probes = self.probes.get_mut(&node);
        let is_latest = |probes: &NodeProbes| probes.is_pending && probes.sequence == sequence;
        if let Some(probes) = probes.filter(|probes| is_latest(probes)) {
            if probes.unreached_since.is_none() {
                probes.unreached_since = Some(now);
                if probes.is_outside_sweep {
                    self.request_sweep(now);
                }
            }
        }
    }

    /// Marks the nodes whose probes are overdue as unreached.
    pub fn check_overdue(&mut self, now: Instant) {
        let mut has_new = false;
        for probes in self.probes.values_mut() {
            if probes.is_unanswered(PROBE_TIMEOUT, now) && probes.unreached_since.is_none() {
                probes.unreached_since = Some(now);
                has_new |= probes.is_outside_sweep;
            }
        }
        if has_new {
            self.request_sweep(now);
        }
    }

    /// Part of the fleet that is reached. Nodes without a recent probe count by the answers of those with
    /// one; if there are none, nothing speaks against them.
    pub fn reach(&self, now: Instant) -> FleetReach {
        let evidence_start = self.evidence_start(now);
        let (mut reached, mut unreached, mut failed) = (0, 0, 0);
        for probes in self.probes.values() {
            if let Some(since) = probes.unreached_since {
                unreached += 1;
                failed += usize::from(Some(since) >= evidence_start);
            } else if probes.is_unanswered(ANSWER_GRACE, now) {
                unreached += 1;
                failed += 1;
            } else if probes.is_answered_since(evidence_start) {
                reached += 1;
            }
        }
        let answer_ratio = match reached + failed {
            0 => 1.0,
            judged => reached as f64 / judged as f64,
        };
        FleetReach {
            reached: reached + 1,
            unreached,
            nodes: self.others.len() + 1,
            answer_ratio,
        }
    }

    /// Time from which on probes count, `None` for all of them. What a node answered before a sweep says
    /// nothing of the change that led to the sweep.
    fn evidence_start(&self, now: Instant) -> Option<Instant> {
        let swept = self.sweep_started;
        let swept = swept.filter(|started| now >= *started + ANSWER_GRACE);
        now.checked_sub(ANSWER_VALIDITY).max(swept)
    }

    /// Whether a node is running, by its answers; `None` if it was never probed, such as one that stops as
    /// planned.
    pub fn is_running(&self, node: NodeId, now: Instant) -> Option<bool> {
        let probes = self.probes.get(&node)?;
        Some(!probes.is_pending || now < probes.last_sign + RUNNING_TIMEOUT)
    }

    /// Time of the next round of probes.
    pub fn next_round(&self) -> Instant {
        self.next_round
    }

    /// Ends the longer wait for the next round of [`ProbePurpose::Watch`].
    pub fn hasten_round(&mut self, now: Instant) {
        if self.next_round > now + ROUND_INTERVAL {
            self.next_round = now;
        }
    }

    /// Returns the probes to send if a round is due: to some nodes at random, to unreached ones, to
    /// `watched`, and during a sweep to those that weren't probed in it.
    pub fn start_round<Generator>(
        &mut self,
        purpose: ProbePurpose,
        watched: &[NodeId],
        rng: &mut Generator,
        now: Instant,
    ) -> Vec<ReachProbe>
    where
        Generator: Rng,
    {
        if now < self.next_round {
            return Vec::new();
        }
        let is_changing = self.is_sweep_due || self.is_sweeping;
        let (interval, sampled_nodes) = match purpose {
            ProbePurpose::Watch if !is_changing => (WATCH_INTERVAL, WATCHED_NODES),
            ProbePurpose::Watch | ProbePurpose::Measure => (ROUND_INTERVAL, SAMPLED_NODES),
        };
        self.next_round = now + interval;
        if self.is_sweep_due && self.may_sweep(now) {
            self.is_sweep_due = false;
            self.is_sweeping = true;
            self.sweep_started = Some(now);
        }
        let mut chosen = self.unreached_in_turn();
        let others = self.others.iter().copied();
        chosen.extend(others.choose_multiple(rng, sampled_nodes));
        chosen.extend(watched.iter().filter(|node| self.others.contains(node)));
        let unswept = self.unswept_nodes(rng);
        self.is_sweeping = !unswept.is_empty();
        chosen.extend(unswept);
        // A probe under way is still to be answered.
        chosen.retain(|node| {
            let probes = self.probes.get(node);
            probes.is_none_or(|probes| !probes.is_pending || probes.unreached_since.is_some())
        });
        let chosen = chosen.into_iter();
        chosen.map(|node| self.probe(node, now)).collect()
    }

    /// Some unreached nodes, those first whose latest probe is oldest.
    fn unreached_in_turn(&self) -> BTreeSet<NodeId> {
        let unreached = self.probes.iter();
        let unreached = unreached.filter(|(_, probes)| probes.unreached_since.is_some());
        let mut in_turn: Vec<_> = unreached
            .map(|(node, probes)| (probes.sent, *node))
            .collect();
        in_turn.sort_unstable();
        let first = in_turn.into_iter().take(RETRIED_NODES);
        first.map(|(_, node)| node).collect()
    }

    /// Some of the nodes that weren't probed since the sweep started, at random: until all were, they
    /// stand for the others.
    fn unswept_nodes<Generator>(&self, rng: &mut Generator) -> Vec<NodeId>
    where
        Generator: Rng,
    {
        let Some(started) = self.sweep_started.filter(|_| self.is_sweeping) else {
            return Vec::new();
        };
        let is_unswept = |node: &NodeId| {
            let probes = self.probes.get(node);
            probes.is_none_or(|probes| probes.sent < started)
        };
        let unswept = self.others.iter().copied().filter(is_unswept);
        unswept.choose_multiple(rng, SWEPT_NODES)
    }

    /// Lets all nodes be probed, from now on or once the latest sweep is old enough.
    fn request_sweep(&mut self, now: Instant) {
        self.is_sweep_due = true;
        if self.may_sweep(now) {
            self.next_round = now;
        }
    }

    fn may_sweep(&self, now: Instant) -> bool {
        let started = self.sweep_started;
        !self.is_sweeping && started.is_none_or(|started| now >= started + SWEEP_INTERVAL)
    }

    fn probe(&mut self, node: NodeId, now: Instant) -> ReachProbe {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.wrapping_add(1);
        let probes = self.probes.entry(node).or_insert(NodeProbes {
            sequence,
            sent: now,
            is_pending: true,
            is_outside_sweep: true,
            answered: None,
            last_sign: now,
            unreached_since: None,
        });
        if !probes.is_pending {
            probes.last_sign = now;
        }
        probes.sequence = sequence;
        probes.sent = now;
        probes.is_pending = true;
        probes.is_outside_sweep = !self.is_sweeping;
        ReachProbe { node, sequence }
    }
}

impl NodeProbes {
    fn is_unanswered(&self, limit: Duration, now: Instant) -> bool {
        self.is_pending && now >= self.sent + limit
    }

    /// Whether a probe was answered that had been sent at `start` or later.
    fn is_answered_since(&self, start: Option<Instant>) -> bool {
        self.answered.is_some_and(|sent| Some(sent) >= start)
    }
}
