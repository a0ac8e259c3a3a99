//! Simulated clusters whose member tables are compared with the set of running nodes, under
//! message loss, pauses, crashes and leaves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_membership::MembershipAction;
use sequoiagw_membership::MembershipMachine;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

struct MembershipSimulation {
    rng: ChaCha8Rng,
    now: Instant,
    nodes: Vec<Option<MembershipMachine>>,
    boots: Vec<u64>,
    paused: BTreeSet<usize>,
    queued_while_paused: Vec<Vec<(NodeId, FrameBody)>>,
    in_transit: BTreeMap<(Instant, u64), (usize, NodeId, FrameBody)>,
    last_sequence: u64,
    loss_rate: f64,
    partitioned: BTreeSet<usize>,
    data_centre_count: usize,
    messages_sent: u64,
}

fn node_name(index: usize) -> String {
    format!("node-{index}")
}

fn node_id(index: usize) -> NodeId {
    NodeId::from_name(&node_name(index))
}

fn node_address(index: usize) -> NodeAddress {
    NodeAddress::parse(&format!("10.0.0.{}:7000", index + 1)).expect("address")
}

impl MembershipSimulation {
    fn new(count: usize, data_centre_count: usize, loss_rate: f64, seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            nodes: (0..count).map(|_| None).collect(),
            boots: vec![0; count],
            paused: BTreeSet::new(),
            queued_while_paused: vec![Vec::new(); count],
            in_transit: BTreeMap::new(),
            last_sequence: 0,
            loss_rate,
            partitioned: BTreeSet::new(),
            data_centre_count,
            messages_sent: 0,
        };
        for index in 0..count {
            simulation.start(index);
        }
        simulation
    }

    fn start(&mut self, index: usize) {
        self.boots[index] += 1;
        let record = MemberRecord {
            node: node_id(index).get(),
            boot: self.boots[index],
            revision: 1,
            state: MemberState::Ready.into(),
            address: node_address(index).to_string(),
            data_centre: format!("dc{}", index % self.data_centre_count),
            service: "press".to_owned(),
            slots: 4,
            name: node_name(index),
            ..MemberRecord::default()
        };
        let seeds = vec![node_address(0), node_address(1)];
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        self.nodes[index] = Some(MembershipMachine::new(record, seeds, rng, self.now));
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    fn index_of(&self, node: NodeId) -> usize {
        (0..self.nodes.len())
            .find(|index| node_id(*index) == node)
            .expect("known")
    }

    fn send_actions(&mut self, index: usize) {
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        for action in node.take_actions() {
            let (to, body) = match action {
                MembershipAction::Send(node, body) => (self.index_of(node), body),
                MembershipAction::SendToAddress(to, body) => {
                    let found = (0..self.nodes.len()).find(|index| node_address(*index) == to);
                    (found.expect("known"), body)
                }
                _ => continue,
            };
            self.messages_sent += 1;
            let link_is_cut = self.partitioned.contains(&index) != self.partitioned.contains(&to);
            if link_is_cut || self.rng.random_bool(self.loss_rate) {
                continue;
            }
            self.last_sequence += 1;
            let delay = Duration::from_micros(self.rng.random_range(200..6_000));
            let delivery_key = (self.now + delay, self.last_sequence);
            self.in_transit
                .insert(delivery_key, (to, node_id(index), body));
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(5);
            while let Some((&delivery_key, _)) = self.in_transit.first_key_value() {
                if delivery_key.0 > self.now {
                    break;
                }
                let (to, from, body) = self.in_transit.remove(&delivery_key).expect("present");
                if self.paused.contains(&to) {
                    self.queued_while_paused[to].push((from, body));
                } else if let Some(node) = self.nodes[to].as_mut() {
                    node.on_message(from, body, self.now);
                    self.send_actions(to);
                }
            }
            for index in 0..self.nodes.len() {
                if self.paused.contains(&index) {
                    continue;
                }
                let now = self.now;
                if let Some(node) = self.nodes[index].as_mut() {
                    if node.next_wake() <= now {
                        node.on_tick(now);
                    }
                }
                self.send_actions(index);
            }
        }
    }

    fn pause(&mut self, index: usize, time: Duration) {
        self.paused.insert(index);
        self.run_for(time);
        self.paused.remove(&index);
        let queued = std::mem::take(&mut self.queued_while_paused[index]);
        let now = self.now;
        for (from, body) in queued {
            if let Some(node) = self.nodes[index].as_mut() {
                node.on_message(from, body, now);
            }
        }
    }

    /// Names and boots of the running nodes, which every table should list as ready.
    fn running_nodes(&self) -> BTreeSet<(String, u64)> {
        let running = (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some());
        running
            .map(|index| (node_name(index), self.boots[index]))
            .collect()
    }

    /// Names and boots of the ready members in one node's table.
    fn ready_members(&self, index: usize) -> BTreeSet<(String, u64)> {
        let table = self.nodes[index].as_ref().expect("running").table();
        let ready = table
            .records()
            .filter(|record| record.state() == MemberState::Ready);
        ready
            .map(|record| (record.name.clone(), record.boot))
            .collect()
    }

    fn assert_tables_match(&self) {
        let expected = self.running_nodes();
        for index in (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some()) {
            assert_eq!(
                self.ready_members(index),
                expected,
                "table of node-{index} must list exactly the running nodes"
            );
        }
    }

    fn state_seen_by(&self, viewer: usize, seen: usize) -> Option<MemberState> {
        let table = self.nodes[viewer].as_ref().expect("running").table();
        table.get(node_id(seen)).map(MemberRecord::state)
    }
}

#[test]
fn tables_converge_to_all_running_nodes() {
    let mut simulation = MembershipSimulation::new(24, 3, 0.0, 1);
    simulation.run_for(Duration::from_secs(30));
    simulation.assert_tables_match();
}

#[test]
fn detects_dead_and_restarted_nodes_under_message_loss() {
    for seed in 0..5 {
        let mut simulation = MembershipSimulation::new(20, 2, 0.05, seed);
        simulation.run_for(Duration::from_secs(30));
        simulation.kill(3);
        simulation.kill(8);
        simulation.start(9);
        simulation.run_for(Duration::from_secs(40));
        simulation.assert_tables_match();
    }
}

#[test]
fn short_pause_does_not_mark_node_lost() {
    let mut simulation = MembershipSimulation::new(12, 1, 0.0, 2);
    simulation.run_for(Duration::from_secs(20));
    for index in 0..12 {
        simulation.pause(index, Duration::from_millis(800));
        let lost = (0..12)
            .filter(|viewer| simulation.state_seen_by(*viewer, index) == Some(MemberState::Lost))
            .count();
        assert_eq!(lost, 0, "node-{index} must not be marked lost");
    }
    simulation.run_for(Duration::from_secs(15));
    simulation.assert_tables_match();
}

#[test]
fn node_marked_lost_refutes_it_after_long_pause() {
    let mut simulation = MembershipSimulation::new(12, 1, 0.0, 3);
    simulation.run_for(Duration::from_secs(20));
    simulation.pause(4, Duration::from_secs(15));
    assert_eq!(simulation.state_seen_by(0, 4), Some(MemberState::Lost));
    simulation.run_for(Duration::from_secs(15));
    simulation.assert_tables_match();
}

#[test]
fn shows_leaving_node_as_left_instead_of_lost() {
    let mut simulation = MembershipSimulation::new(10, 2, 0.0, 4);
    simulation.run_for(Duration::from_secs(20));
    let now = simulation.now;
    let leaving_node = simulation.nodes[5].as_mut().expect("running");
    leaving_node.announce(|own| own.set_state(MemberState::Left), now);
    leaving_node.broadcast_own_record();
    simulation.send_actions(5);
    simulation.kill(5);
    simulation.run_for(Duration::from_secs(1));
    for viewer in (0..10).filter(|viewer| *viewer != 5) {
        assert_eq!(
            simulation.state_seen_by(viewer, 5),
            Some(MemberState::Left),
            "node-{viewer} must see node-5 as left"
        );
    }
}

#[test]
fn tables_converge_after_partition_heals() {
    let mut simulation = MembershipSimulation::new(16, 2, 0.0, 5);
    simulation.run_for(Duration::from_secs(20));
    // One whole data centre is partitioned, long enough for changes on both sides.
    simulation.partitioned = (0..16).filter(|index| index % 2 == 1).collect();
    simulation.run_for(Duration::from_secs(20));
    simulation.start(3);
    simulation.kill(6);
    simulation.run_for(Duration::from_secs(20));
    simulation.partitioned.clear();
    simulation.run_for(Duration::from_secs(40));
    simulation.assert_tables_match();
}

#[test]
fn message_rate_per_node_is_independent_of_fleet_size() {
    let rate = |count: usize| {
        let mut simulation = MembershipSimulation::new(count, 2, 0.0, 6);
        simulation.run_for(Duration::from_secs(40));
        let before = simulation.messages_sent;
        simulation.run_for(Duration::from_secs(30));
        (simulation.messages_sent - before) as f64 / 30.0 / count as f64
    };
    let (small, large) = (rate(12), rate(96));
    assert!(
        large < small * 1.2,
        "messages per second and node must not grow with the fleet: {small} to {large}"
    );
}

#[test]
fn backs_off_reading_seeds_while_join_fails() {
    let mut simulation = MembershipSimulation::new(1, 1, 0.0, 7);
    let mut seed_reads = 0;
    for _ in 0..1_200 {
        simulation.now += Duration::from_millis(50);
        let now = simulation.now;
        let node = simulation.nodes[0].as_mut().expect("running");
        node.on_tick(now);
        for action in node.take_actions() {
            if matches!(action, MembershipAction::ReadSeeds) {
                seed_reads += 1;
                node.add_seeds(&[node_address(0), node_address(1)], now);
                node.on_tick(now);
            }
        }
    }
    assert!(
        seed_reads <= 20,
        "expected at most 20 seed reads in 60 s, got {seed_reads}"
    );
}
