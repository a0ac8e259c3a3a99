//! Links in memory that delay, lose and cut.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::EventSender;
use sequoiagw_node::PeerLinks;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;

/// Length prefix and version byte of a frame, in bytes.
const FRAME_OVERHEAD: usize = 5;
/// Time after which a link into a cut counts as not made.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Delays and losses.
#[derive(Clone, Debug)]
pub struct NetworkPlan {
    /// One way within a data centre.
    pub local_delay: Duration,
    /// One way between data centres.
    pub remote_delay: Duration,
    /// Most that is added to a delay.
    pub jitter: Duration,
    /// Share of frames lost.
    pub loss: f64,
}

impl Default for NetworkPlan {
    fn default() -> Self {
        Self {
            local_delay: Duration::from_millis(1),
            remote_delay: Duration::from_millis(5),
            jitter: Duration::from_millis(2),
            loss: 0.0,
        }
    }
}

#[derive(Clone)]
struct NetworkNode {
    data_centre: String,
    events: EventSender,
}

struct NetworkState {
    plan: NetworkPlan,
    nodes: BTreeMap<NodeAddress, NetworkNode>,
    /// Data centres cut off from all others.
    cut: BTreeSet<String>,
    /// Pairs of sender and receiver whose present link has gone silent.
    silent: BTreeSet<(NodeAddress, NodeAddress)>,
    rng: ChaCha8Rng,
}

/// A network in memory; clones share it.
#[derive(Clone)]
pub struct MemoryNetwork {
    state: Rc<RefCell<NetworkState>>,
}

impl MemoryNetwork {
    /// Builds a network.
    pub fn new(plan: NetworkPlan, seed: u64) -> Self {
        let state = NetworkState {
            plan,
            nodes: BTreeMap::new(),
            cut: BTreeSet::new(),
            silent: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Connects a node and returns its links.
    pub fn connect(
        &self,
        address: NodeAddress,
        data_centre: &str,
        events: EventSender,
    ) -> MemoryLinks {
        let node = NetworkNode {
            data_centre: data_centre.to_owned(),
            events,
        };
        self.state.borrow_mut().nodes.insert(address, node);
        MemoryLinks {
            network: self.clone(),
            own: address,
        }
    }

    /// Takes a node off the network, as when its process dies.
    pub fn disconnect(&self, address: NodeAddress) {
        self.state.borrow_mut().nodes.remove(&address);
    }

    /// Changes delays and losses.
    pub fn set_plan(&self, plan: NetworkPlan) {
        self.state.borrow_mut().plan = plan;
    }

    /// Cuts a data centre off from all others, or connects it again.
    pub fn set_partitioned(&self, data_centre: &str, cut: bool) {
        let mut state = self.state.borrow_mut();
        if cut {
            state.cut.insert(data_centre.to_owned());
        } else {
            state.cut.remove(data_centre);
        }
    }

    /// Silences the present link between two nodes, both ways, until one resets it.
    pub fn blackhole_link(&self, one: NodeAddress, other: NodeAddress) {
        let mut state = self.state.borrow_mut();
        state.silent.insert((one, other));
        state.silent.insert((other, one));
    }

    /// Lets the silent links of one node speak again.
    pub fn restore_links(&self, node: NodeAddress) {
        self.state
            .borrow_mut()
            .silent
            .retain(|(one, other)| *one != node && *other != node);
    }

    /// Silences the links between some share of all pairs.
    pub fn blackhole_random_links(&self, share: f64) {
        let addresses: Vec<NodeAddress> = self.state.borrow().nodes.keys().copied().collect();
        for (index, one) in addresses.iter().enumerate() {
            for other in &addresses[index + 1..] {
                let chosen = self.state.borrow_mut().rng.random_bool(share);
                if chosen {
                    self.blackhole_link(*one, *other);
                }
            }
        }
    }

    fn send(&self, from: NodeAddress, to: NodeAddress, frame: PeerFrame) {
        let mut state = self.state.borrow_mut();
        let Some(sender) = state.nodes.get(&from).cloned() else {
            return;
        };
        let Some(receiver) = state.nodes.get(&to).cloned() else {
            let event = CoreEvent::Undelivered(to, vec![frame]);
            post(sender.events, event, state.plan.local_delay);
            return;
        };
        let far = sender.data_centre != receiver.data_centre;
        if far
            && (state.cut.contains(&sender.data_centre)
                || state.cut.contains(&receiver.data_centre))
        {
            post(
                sender.events,
                CoreEvent::Undelivered(to, vec![frame]),
                CONNECT_TIME,
            );
            return;
        }
        let loss = state.plan.loss;
        if state.silent.contains(&(from, to)) || (loss > 0.0 && state.rng.random_bool(loss)) {
            return;
        }
        let base = if far {
            state.plan.remote_delay
        } else {
            state.plan.local_delay
        };
        let jitter = state.plan.jitter.mul_f64(state.rng.random_range(0.0..1.0));
        let bytes = frame.encoded_len() + FRAME_OVERHEAD;
        post(
            receiver.events,
            CoreEvent::Frame { frame, bytes },
            base + jitter,
        );
    }
}

fn post(events: EventSender, event: CoreEvent, delay: Duration) {
    tokio::task::spawn_local(async move {
        tokio::time::sleep(delay).await;
        let _ = events.send(event);
    });
}

/// Links of one node on a network in memory.
pub struct MemoryLinks {
    network: MemoryNetwork,
    own: NodeAddress,
}

impl PeerLinks for MemoryLinks {
    fn send(&self, to: NodeAddress, frame: PeerFrame) {
        self.network.send(self.own, to, frame);
    }

    fn reset(&self, to: NodeAddress) {
        let mut state = self.network.state.borrow_mut();
        state.silent.remove(&(self.own, to));
        state.silent.remove(&(to, self.own));
    }
}
