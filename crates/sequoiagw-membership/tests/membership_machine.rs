//! Membership against a naive full mesh, under loss, pauses, deaths and leaves.

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

struct MemberWorld {
    rng: ChaCha8Rng,
    now: Instant,
    nodes: Vec<Option<MembershipMachine>>,
    boots: Vec<u64>,
    paused: BTreeSet<usize>,
    held: Vec<Vec<(NodeId, FrameBody)>>,
    transit: BTreeMap<(Instant, u64), (usize, NodeId, FrameBody)>,
    sequence: u64,
    loss: f64,
    cut: BTreeSet<usize>,
    centres: usize,
    messages: u64,
}

fn name(index: usize) -> String {
    format!("node-{index}")
}

fn id(index: usize) -> NodeId {
    NodeId::from_name(&name(index))
}

fn address(index: usize) -> NodeAddress {
    NodeAddress::parse(&format!("10.0.0.{}:7000", index + 1)).expect("address")
}

impl MemberWorld {
    fn new(count: usize, centres: usize, loss: f64, seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            nodes: (0..count).map(|_| None).collect(),
            boots: vec![0; count],
            paused: BTreeSet::new(),
            held: vec![Vec::new(); count],
            transit: BTreeMap::new(),
            sequence: 0,
            loss,
            cut: BTreeSet::new(),
            centres,
            messages: 0,
        };
        for index in 0..count {
            world.start(index);
        }
        world
    }

    fn start(&mut self, index: usize) {
        self.boots[index] += 1;
        let record = MemberRecord {
            node: id(index).get(),
            boot: self.boots[index],
            revision: 1,
            state: MemberState::Ready.into(),
            address: address(index).to_string(),
            data_centre: format!("dc{}", index % self.centres),
            service: "press".to_owned(),
            slots: 4,
            name: name(index),
            ..MemberRecord::default()
        };
        let seeds = vec![address(0), address(1)];
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        self.nodes[index] = Some(MembershipMachine::new(record, seeds, rng, self.now));
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    fn index_of(&self, node: NodeId) -> usize {
        (0..self.nodes.len())
            .find(|index| id(*index) == node)
            .expect("known")
    }

    fn collect(&mut self, index: usize) {
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        for action in node.take_actions() {
            let (to, body) = match action {
                MembershipAction::Send(node, body) => (self.index_of(node), body),
                MembershipAction::SendToAddress(to, body) => {
                    let found = (0..self.nodes.len()).find(|index| address(*index) == to);
                    (found.expect("known"), body)
                }
                _ => continue,
            };
            self.messages += 1;
            let apart = self.cut.contains(&index) != self.cut.contains(&to);
            if apart || self.rng.random_bool(self.loss) {
                continue;
            }
            self.sequence += 1;
            let delay = Duration::from_micros(self.rng.random_range(200..6_000));
            let place = (self.now + delay, self.sequence);
            self.transit.insert(place, (to, id(index), body));
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(5);
            while let Some((&place, _)) = self.transit.first_key_value() {
                if place.0 > self.now {
                    break;
                }
                let (to, from, body) = self.transit.remove(&place).expect("present");
                if self.paused.contains(&to) {
                    self.held[to].push((from, body));
                } else if let Some(node) = self.nodes[to].as_mut() {
                    node.on_message(from, body, self.now);
                    self.collect(to);
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
                self.collect(index);
            }
        }
    }

    fn pause(&mut self, index: usize, time: Duration) {
        self.paused.insert(index);
        self.pass(time);
        self.paused.remove(&index);
        let held = std::mem::take(&mut self.held[index]);
        let now = self.now;
        for (from, body) in held {
            if let Some(node) = self.nodes[index].as_mut() {
                node.on_message(from, body, now);
            }
        }
    }

    /// Naive full mesh: every running node is asked directly.
    fn naive_view(&self) -> BTreeSet<(String, u64)> {
        let running = (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some());
        running
            .map(|index| (name(index), self.boots[index]))
            .collect()
    }

    /// What one node's table says.
    fn view(&self, index: usize) -> BTreeSet<(String, u64)> {
        let table = self.nodes[index].as_ref().expect("running").table();
        let ready = table
            .records()
            .filter(|record| record.state() == MemberState::Ready);
        ready
            .map(|record| (record.name.clone(), record.boot))
            .collect()
    }

    fn assert_all_agree(&self) {
        let naive = self.naive_view();
        for index in (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some()) {
            assert_eq!(self.view(index), naive, "view of node-{index}");
        }
    }

    fn state_of(&self, viewer: usize, seen: usize) -> Option<MemberState> {
        let table = self.nodes[viewer].as_ref().expect("running").table();
        table.get(id(seen)).map(MemberRecord::state)
    }
}

#[test]
fn every_table_agrees_with_the_naive_full_mesh() {
    let mut world = MemberWorld::new(24, 3, 0.0, 1);
    world.pass(Duration::from_secs(30));
    world.assert_all_agree();
}

#[test]
fn dead_and_restarted_nodes_are_noticed_by_all_under_loss() {
    for seed in 0..5 {
        let mut world = MemberWorld::new(20, 2, 0.05, seed);
        world.pass(Duration::from_secs(30));
        world.kill(3);
        world.kill(8);
        world.start(9);
        world.pass(Duration::from_secs(40));
        world.assert_all_agree();
    }
}

#[test]
fn a_pause_of_several_hundred_milliseconds_loses_nobody() {
    let mut world = MemberWorld::new(12, 1, 0.0, 2);
    world.pass(Duration::from_secs(20));
    for index in 0..12 {
        world.pause(index, Duration::from_millis(800));
        let lost = (0..12)
            .filter(|viewer| world.state_of(*viewer, index) == Some(MemberState::Lost))
            .count();
        assert_eq!(lost, 0, "node-{index} was taken for lost");
    }
    world.pass(Duration::from_secs(15));
    world.assert_all_agree();
}

#[test]
fn a_node_taken_for_lost_refutes_it_after_a_long_pause() {
    let mut world = MemberWorld::new(12, 1, 0.0, 3);
    world.pass(Duration::from_secs(20));
    world.pause(4, Duration::from_secs(15));
    assert_eq!(world.state_of(0, 4), Some(MemberState::Lost));
    world.pass(Duration::from_secs(15));
    world.assert_all_agree();
}

#[test]
fn a_leaver_is_told_apart_from_a_lost_node() {
    let mut world = MemberWorld::new(10, 2, 0.0, 4);
    world.pass(Duration::from_secs(20));
    let now = world.now;
    let leaver = world.nodes[5].as_mut().expect("running");
    leaver.announce(|own| own.set_state(MemberState::Left), now);
    leaver.broadcast_own_record();
    world.collect(5);
    world.kill(5);
    world.pass(Duration::from_secs(1));
    for viewer in (0..10).filter(|viewer| *viewer != 5) {
        assert_eq!(
            world.state_of(viewer, 5),
            Some(MemberState::Left),
            "node-{viewer}"
        );
    }
}

#[test]
fn a_cut_off_group_and_the_rest_find_each_other_again() {
    let mut world = MemberWorld::new(16, 2, 0.0, 5);
    world.pass(Duration::from_secs(20));
    // All of one data centre is cut off, long enough for changes on both sides.
    world.cut = (0..16).filter(|index| index % 2 == 1).collect();
    world.pass(Duration::from_secs(20));
    world.start(3);
    world.kill(6);
    world.pass(Duration::from_secs(20));
    world.cut.clear();
    world.pass(Duration::from_secs(40));
    world.assert_all_agree();
}

#[test]
fn the_messages_of_a_node_do_not_grow_with_the_fleet() {
    let rate = |count: usize| {
        let mut world = MemberWorld::new(count, 2, 0.0, 6);
        world.pass(Duration::from_secs(40));
        let before = world.messages;
        world.pass(Duration::from_secs(30));
        (world.messages - before) as f64 / 30.0 / count as f64
    };
    let (small, large) = (rate(12), rate(96));
    assert!(
        large < small * 1.2,
        "{small} to {large} messages a second at each node"
    );
}

#[test]
fn a_node_that_cannot_join_asks_the_store_ever_less_often() {
    let mut world = MemberWorld::new(1, 1, 0.0, 7);
    let mut asked = 0;
    for _ in 0..1_200 {
        world.now += Duration::from_millis(50);
        let now = world.now;
        let node = world.nodes[0].as_mut().expect("running");
        node.on_tick(now);
        for action in node.take_actions() {
            if matches!(action, MembershipAction::ReadSeeds) {
                asked += 1;
                node.add_seeds(&[address(0), address(1)], now);
                node.on_tick(now);
            }
        }
    }
    assert!(asked <= 20, "asked {asked} times in 60 s");
}
