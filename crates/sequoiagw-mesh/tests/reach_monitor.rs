//! Estimates of the part of the fleet that a node reaches, and what they cost.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_mesh::ProbePurpose;
use sequoiagw_mesh::ReachMonitor;
use sequoiagw_mesh::ReachProbe;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Time between two steps of the simulated clock.
const STEP: Duration = Duration::from_millis(10);
/// Bytes of a probe and its answer without the headers of the network.
const PROBE_BYTES: usize = 80;
/// Control traffic of a node at the size that decides the design.
const MAX_BYTES_PER_S: usize = 10_000;

/// A monitor in a fleet with a simulated network.
struct MonitoredFleet {
    monitor: ReachMonitor,
    purpose: ProbePurpose,
    rng: ChaCha8Rng,
    now: Instant,
    /// Nodes that answer probes.
    answering: BTreeSet<NodeId>,
    /// Time from a probe to its answer.
    delay: Duration,
    under_way: Vec<(Instant, ReachProbe)>,
    sent: usize,
}

impl MonitoredFleet {
    fn start(size: u64) -> Self {
        let now = Instant::now();
        let nodes: BTreeSet<NodeId> = (1..=size).map(NodeId::from).collect();
        let mut monitor = ReachMonitor::new(NodeId::from(1), 1, now);
        monitor.set_nodes(nodes.clone());
        Self {
            monitor,
            purpose: ProbePurpose::Measure,
            rng: ChaCha8Rng::seed_from_u64(size),
            now,
            answering: nodes,
            delay: Duration::from_millis(5),
            under_way: Vec::new(),
            sent: 0,
        }
    }

    /// Lets nodes with a number above `first` answer no more, all others do.
    fn cut_above(&mut self, first: u64, size: u64) {
        self.answering = (1..=size.min(first)).map(NodeId::from).collect();
    }

    /// Runs rounds of probes for a time; returns the bytes of probes and answers.
    fn run(&mut self, time: Duration) -> usize {
        let before = self.sent;
        let end = self.now + time;
        while self.now < end {
            self.monitor.check_overdue(self.now);
            let probes = self
                .monitor
                .start_round(self.purpose, &[], &mut self.rng, self.now);
            self.sent += probes.len();
            let due = self.now + self.delay;
            let probes = probes.into_iter().map(|probe| (due, probe));
            self.under_way.extend(probes);
            self.now += STEP;
            for (at, probe) in std::mem::take(&mut self.under_way) {
                if at > self.now {
                    self.under_way.push((at, probe));
                } else if self.answering.contains(&probe.node) {
                    self.monitor.on_answer(probe.node, probe.sequence, self.now);
                }
            }
        }
        (self.sent - before) * PROBE_BYTES
    }

    fn share(&self) -> f64 {
        self.monitor.reach(self.now).share()
    }
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// QUOTA: a counter that notices late grants the part of nodes that it doesn't reach any more.
#[test]
fn cut_is_noticed_within_a_second_and_its_end_too() {
    for size in [12, 71, 150] {
        let mut fleet = MonitoredFleet::start(size);
        fleet.run(seconds(5));
        assert!(fleet.share() > 0.999, "{size} nodes: {}", fleet.share());
        let left = size * 2 / 3;
        fleet.cut_above(left, size);
        fleet.run(seconds(1));
        let part = left as f64 / size as f64;
        let share = fleet.share();
        assert!(
            (share - part).abs() < 0.05,
            "{size} nodes: {share}, not {part}"
        );
        fleet.run(seconds(5));
        let share = fleet.share();
        assert!(
            (share - part).abs() < 0.001,
            "{size} nodes: {share}, not {part}"
        );
        fleet.cut_above(size, size);
        fleet.run(seconds(2));
        assert!(fleet.share() > 0.999, "{size} nodes: {}", fleet.share());
    }
}

/// The probes of a large fleet cost a node no more than those of a small one, beside a cut too.
#[test]
fn probes_cost_the_same_in_a_small_fleet_and_in_a_large_one() {
    for size in [71, 660] {
        let mut fleet = MonitoredFleet::start(size);
        let calm = fleet.run(seconds(10)) / 10;
        assert!(calm <= MAX_BYTES_PER_S / 2, "{size} nodes: {calm} B/s");
        fleet.cut_above(size * 2 / 3, size);
        let sweep = fleet.run(seconds(6)) / 6;
        assert!(sweep <= 2 * MAX_BYTES_PER_S, "{size} nodes: {sweep} B/s");
        let cut = fleet.run(seconds(10)) / 10;
        assert!(cut <= MAX_BYTES_PER_S, "{size} nodes: {cut} B/s");
    }
}

/// In a fleet that is too large to be probed at once, the answers stand for the nodes that weren't.
#[test]
fn large_fleet_is_estimated_until_all_nodes_were_probed() {
    let mut fleet = MonitoredFleet::start(660);
    fleet.run(seconds(5));
    fleet.cut_above(400, 660);
    fleet.run(seconds(1));
    let early = fleet.share();
    assert!((early - 400.0 / 660.0).abs() < 0.12, "{early}");
    fleet.run(seconds(6));
    let late = fleet.share();
    assert!((late - 400.0 / 660.0).abs() < 0.01, "{late}");
}

/// A slow node isn't reached, but may still grant permits.
#[test]
fn node_that_answers_late_counts_as_running() {
    let mut fleet = MonitoredFleet::start(2);
    fleet.delay = Duration::from_millis(400);
    fleet.run(seconds(5));
    let slow = NodeId::from(2);
    assert_eq!(fleet.monitor.is_running(slow, fleet.now), Some(true));
    assert!(fleet.share() < 0.6, "{}", fleet.share());
    fleet.answering.remove(&slow);
    fleet.run(seconds(3));
    assert_eq!(fleet.monitor.is_running(slow, fleet.now), Some(false));
}

/// Guards against a watch that costs as much as a measurement in quiet times, or that doesn't notice a cut.
#[test]
fn watch_costs_little_and_notices_a_cut_of_a_third() {
    for size in [71, 660] {
        let mut fleet = MonitoredFleet::start(size);
        fleet.purpose = ProbePurpose::Watch;
        let calm = fleet.run(seconds(10)) / 10;
        assert!(calm <= MAX_BYTES_PER_S / 10, "{size} nodes: {calm} B/s");
        assert!(fleet.share() > 0.999, "{size} nodes: {}", fleet.share());
        let left = size * 2 / 3;
        let part = left as f64 / size as f64;
        fleet.cut_above(left, size);
        fleet.run(seconds(2));
        let early = fleet.share();
        assert!((early - part).abs() < 0.12, "{size} nodes: {early}");
        fleet.run(seconds(6));
        let late = fleet.share();
        assert!((late - part).abs() < 0.01, "{size} nodes: {late}");
    }
}
