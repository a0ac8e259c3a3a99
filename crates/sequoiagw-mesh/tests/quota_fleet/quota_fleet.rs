//! A fleet of node state machines with a simulated network and simulated callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_mesh::first_counter;
use sequoiagw_mesh::KeyedWorkspace;
use sequoiagw_mesh::MeshAction;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::Workspace;
use sequoiagw_policy::PermitOutcome;
use sequoiagw_policy::QuotaDecision;
use sequoiagw_policy::QuotaLimit;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;

use crate::fleet_parts::node_id;
use crate::fleet_parts::registration;
use crate::fleet_parts::start_core;
use crate::fleet_parts::Demand;
use crate::fleet_parts::SimulatedClock;
use crate::fleet_parts::BOUNDS;
use crate::fleet_parts::CENTRES;
use crate::fleet_parts::FIRST_BOOT;
use crate::support;
use crate::use_log::UseLog;

/// Time until the next request of a workspace without demand, longer than any case.
const NO_DEMAND_GAP: Duration = Duration::from_secs(24 * 60 * 60);
/// Time from one node to another of the same data centre, and of another one.
const LOCAL_LATENCY: Duration = Duration::from_micros(300);
const REMOTE_LATENCY: Duration = Duration::from_micros(1700);
/// Longest time between two ticks of a node.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

pub struct FleetMember {
    pub core: MeshCore,
    pub is_alive: bool,
    pub is_paused: bool,
    /// Part of the fleet that the node is in touch with.
    pub part: usize,
    /// Frames that arrived while the process was paused.
    pub unread: Vec<PeerFrame>,
    pub next_tick: Instant,
}

struct Delivery {
    from: usize,
    to: usize,
    frame: PeerFrame,
}

/// Nodes, network, callers and what they got.
pub struct QuotaFleet {
    /// Read by processes when they start.
    pub clock: SimulatedClock,
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub logs: BTreeMap<String, UseLog>,
    /// Frames sent, and their encoded bytes.
    pub frames: usize,
    pub bytes: usize,
    pub members: Vec<FleetMember>,
    /// Revision of the store at which registrations were last written.
    pub revision: u64,
    /// Timers of the running processes.
    ticks: BTreeSet<(Instant, usize)>,
    by_address: HashMap<NodeAddress, usize>,
    network: BTreeMap<(Instant, u64), Delivery>,
    pub sent: u64,
    pub waiting: HashMap<(usize, u64), (String, Instant)>,
    /// Pairs of parts of which the first still reaches the second.
    pub open_ways: BTreeSet<(usize, usize)>,
}

impl QuotaFleet {
    /// Starts a fleet whose nodes know each other, with these workspaces.
    pub fn start(size: usize, seed: u64, limits: &[(&str, QuotaLimit)]) -> Self {
        let clock = SimulatedClock::start();
        let now = clock.now();
        let registrations: Vec<NodeRegistration> = (0..size).map(registration).collect();
        let members = (0..size).map(|index| FleetMember {
            core: clock.do_at(now, || start_core(index, FIRST_BOOT)),
            is_alive: true,
            is_paused: false,
            part: 0,
            unread: Vec::new(),
            next_tick: now,
        });
        let members: Vec<FleetMember> = members.collect();
        let addresses = registrations.iter().enumerate().map(|(index, record)| {
            let address = NodeAddress::parse(&record.address).expect("an address");
            (address, index)
        });
        let mut fleet = Self {
            clock,
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            logs: BTreeMap::new(),
            frames: 0,
            bytes: 0,
            members,
            revision: 10,
            ticks: BTreeSet::new(),
            by_address: addresses.collect(),
            network: BTreeMap::new(),
            sent: 0,
            waiting: HashMap::new(),
            open_ways: BTreeSet::new(),
        };
        for index in 0..size {
            let stored = registrations.iter().cloned();
            let stored = stored.map(|record| {
                let revision = record.written_at(5);
                (record, revision)
            });
            let core = &mut fleet.members[index].core;
            core.on_registrations(stored.collect(), StoreEra::default(), now);
            core.take_actions();
        }
        fleet.set_limits(1, limits);
        for index in 0..size {
            fleet.after_event(index);
        }
        fleet
    }

    /// Puts a version with these limits in force at all nodes.
    pub fn set_limits(&mut self, version: u64, limits: &[(&str, QuotaLimit)]) {
        let workspaces = limits.iter().map(|(name, limit)| KeyedWorkspace {
            workspace: Workspace {
                name: (*name).to_owned(),
                level: None,
                quota: Some(*limit),
            },
            keys: Vec::new(),
        });
        let compiled = Rc::new(support::version(version).with_workspaces(workspaces.collect()));
        for member in &mut self.members {
            member.core.activate_from_store(&compiled, self.now);
            member.core.take_actions();
        }
    }

    /// Nodes of a data centre, by its number.
    pub fn centre(&self, number: usize) -> Vec<usize> {
        let indexes = 0..self.members.len();
        indexes
            .filter(|index| index % CENTRES.len() == number)
            .collect()
    }

    /// All nodes.
    pub fn all(&self) -> Vec<usize> {
        (0..self.members.len()).collect()
    }

    /// Node that counts a workspace while the fleet is whole.
    pub fn counter_of(&self, workspace: &str) -> usize {
        let nodes = || (0..self.members.len()).map(node_id);
        let counter = first_counter(workspace, nodes(), |_| false);
        let position = nodes().position(|node| Some(node) == counter);
        position.expect("a counter")
    }

    /// Lets callers send requests for a time.
    pub fn run(&mut self, time: Duration, demands: &[Demand]) {
        let end = self.now + time;
        let mut arrivals: BTreeSet<(Instant, usize)> = BTreeSet::new();
        for (index, demand) in demands.iter().enumerate() {
            arrivals.insert((self.next_arrival(demand), index));
        }
        loop {
            let frame = self.network.keys().next().map(|(at, _)| *at);
            let tick = self.next_tick();
            let arrival = arrivals.first().map(|(at, _)| *at);
            let next = [frame, tick.map(|(at, _)| at), arrival]
                .into_iter()
                .flatten()
                .min();
            let Some(next) = next.filter(|next| *next < end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if frame == Some(next) {
                self.deliver_next();
            } else if arrival == Some(next) {
                if let Some((_, index)) = arrivals.pop_first() {
                    self.request(&demands[index]);
                    arrivals.insert((self.next_arrival(&demands[index]), index));
                }
            } else if let Some((_, node)) = tick {
                let now = self.now;
                self.members[node].core.on_tick(now);
                self.after_event(node);
            }
        }
    }

    fn next_arrival(&mut self, demand: &Demand) -> Instant {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = Duration::try_from_secs_f64(-uniform.ln() / demand.rate_per_s);
        self.now + gap.unwrap_or(NO_DEMAND_GAP)
    }

    fn next_tick(&mut self) -> Option<(Instant, usize)> {
        while let Some((at, index)) = self.ticks.first().copied() {
            let member = &self.members[index];
            if member.is_alive && !member.is_paused && member.next_tick == at {
                return Some((at, index));
            }
            self.ticks.pop_first();
        }
        None
    }

    fn deliver_next(&mut self) {
        let Some((_, delivery)) = self.network.pop_first() else {
            return;
        };
        let now = self.now;
        let is_open = self.reaches(delivery.from, delivery.to);
        let receiver = &mut self.members[delivery.to];
        if !receiver.is_alive || !is_open {
            return;
        }
        if receiver.is_paused {
            receiver.unread.push(delivery.frame);
            return;
        }
        receiver.core.on_frame(delivery.frame, 50, now);
        self.after_event(delivery.to);
    }

    /// Sends one request of a caller at a random node of the demand.
    fn request(&mut self, demand: &Demand) {
        let node = demand.nodes[self.rng.random_range(0..demand.nodes.len())];
        let member = &mut self.members[node];
        if !member.is_alive || member.is_paused {
            return;
        }
        let now = self.now;
        let workspace = demand.workspace.clone();
        let decision = member.core.take_permit(&workspace, now);
        let log = self.logs.entry(workspace.clone()).or_default();
        match decision {
            QuotaDecision::Allowed => {
                log.allowed.push(now);
                log.waits.push(Duration::ZERO);
            }
            QuotaDecision::Refused { .. } => log.refused.push(now),
            QuotaDecision::Waiting(ticket) => {
                self.waiting.insert((node, ticket), (workspace, now));
            }
        }
        self.after_event(node);
    }

    /// Carries out a node's actions and updates its timer.
    pub fn after_event(&mut self, node: usize) {
        let now = self.now;
        for action in self.members[node].core.take_actions() {
            match action {
                MeshAction::Send(address, frame) => self.send(node, address, *frame),
                MeshAction::Permit(ticket, outcome) => self.settle(node, ticket, outcome),
                _ => {}
            }
        }
        let member = &mut self.members[node];
        let wake = member.core.next_wake(now);
        let latest = now + MAX_TICK_INTERVAL;
        let wake = wake.map_or(latest, |wake| wake.min(latest));
        member.next_tick = wake.max(now + Duration::from_micros(100));
        let next_tick = member.next_tick;
        self.ticks.insert((next_tick, node));
    }

    fn send(&mut self, from: usize, address: NodeAddress, frame: PeerFrame) {
        self.frames += 1;
        self.bytes += frame.encoded_len();
        let Some(to) = self.by_address.get(&address).copied() else {
            return;
        };
        if !self.reaches(from, to) {
            return;
        }
        let is_local = from % CENTRES.len() == to % CENTRES.len();
        let latency = if is_local {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        };
        self.sent += 1;
        let delivery = Delivery { from, to, frame };
        self.network
            .insert((self.now + latency, self.sent), delivery);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.members[from].part, self.members[to].part);
        from == to || self.open_ways.contains(&(from, to))
    }

    fn settle(&mut self, node: usize, ticket: u64, outcome: PermitOutcome) {
        let Some((workspace, started)) = self.waiting.remove(&(node, ticket)) else {
            return;
        };
        let log = self.logs.entry(workspace).or_default();
        match outcome {
            PermitOutcome::Allowed => {
                log.allowed.push(self.now);
                log.waits.push(self.now - started);
            }
            PermitOutcome::Refused { .. } => log.refused.push(self.now),
            PermitOutcome::Unavailable => log.unavailable.push(self.now),
        }
    }

    /// What the callers of a workspace got.
    pub fn log(&self, workspace: &str) -> UseLog {
        self.logs.get(workspace).cloned().unwrap_or_default()
    }

    /// Asserts that a workspace stayed within its bound.
    pub fn assert_within_bound(&self, workspace: &str, limit: QuotaLimit) {
        let most = self.log(workspace).most_in_window();
        let bound = BOUNDS.bound(limit);
        assert!(
            most as f64 <= bound,
            "{workspace} used {most} permits in a window, its bound is {bound}"
        );
    }
}
