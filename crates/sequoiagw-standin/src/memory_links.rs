//! In-memory links with delay, loss and partitions.

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
/// Time after which a connection attempt across a partition fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay and loss of the simulated network.
#[derive(Clone, Debug)]
pub struct NetworkPlan {
    /// One-way delay within a data centre.
    pub local_delay: Duration,
    /// One-way delay between data centres.
    pub remote_delay: Duration,
    /// Upper bound of the random time added to each delay.
    pub jitter: Duration,
    /// Fraction of frames lost, from 0 to 1.
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
    /// Data centres partitioned from all others.
    partitioned: BTreeSet<String>,
    /// Pairs of sender and receiver whose current link drops all frames without an error.
    blackholed: BTreeSet<(NodeAddress, NodeAddress)>,
    rng: ChaCha8Rng,
}

/// A simulated in-memory network; clones share it.
#[derive(Clone)]
pub struct MemoryNetwork {
    state: Rc<RefCell<NetworkState>>,
}

impl MemoryNetwork {
    /// Builds a network without nodes.
    pub fn new(plan: NetworkPlan, seed: u64) -> Self {
        let state = NetworkState {
            plan,
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            blackholed: BTreeSet::new(),
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
            own_address: address,
        }
    }

    /// Removes a node from the network, as when its process is killed.
    pub fn disconnect(&self, address: NodeAddress) {
        self.state.borrow_mut().nodes.remove(&address);
    }

    /// Changes delay and loss.
    pub fn set_plan(&self, plan: NetworkPlan) {
        self.state.borrow_mut().plan = plan;
    }

    /// Partitions a data centre from all others, or reconnects it.
    pub fn set_partitioned(&self, data_centre: &str, partitioned: bool) {
        let mut state = self.state.borrow_mut();
        if partitioned {
            state.partitioned.insert(data_centre.to_owned());
        } else {
            state.partitioned.remove(data_centre);
        }
    }

    /// Makes the current link between two nodes drop all frames in both directions without an error,
    /// until one of the nodes resets it.
    pub fn blackhole_link(&self, one: NodeAddress, other: NodeAddress) {
        let mut state = self.state.borrow_mut();
        state.blackholed.insert((one, other));
        state.blackholed.insert((other, one));
    }

    /// Makes the blackholed links of a node deliver frames again.
    pub fn restore_links(&self, node: NodeAddress) {
        self.state
            .borrow_mut()
            .blackholed
            .retain(|(one, other)| *one != node && *other != node);
    }

    /// Blackholes the links of random pairs of nodes, each pair with the given probability.
    pub fn blackhole_random_links(&self, probability: f64) {
        let addresses: Vec<NodeAddress> = self.state.borrow().nodes.keys().copied().collect();
        for (index, one) in addresses.iter().enumerate() {
            for other in &addresses[index + 1..] {
                let is_chosen = self.state.borrow_mut().rng.random_bool(probability);
                if is_chosen {
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
            deliver_later(sender.events, event, state.plan.local_delay);
            return;
        };
        let is_remote = sender.data_centre != receiver.data_centre;
        if is_remote
            && (state.partitioned.contains(&sender.data_centre)
                || state.partitioned.contains(&receiver.data_centre))
        {
            deliver_later(
                sender.events,
                CoreEvent::Undelivered(to, vec![frame]),
                CONNECT_TIMEOUT,
            );
            return;
        }
        let loss = state.plan.loss;
        if state.blackholed.contains(&(from, to)) || (loss > 0.0 && state.rng.random_bool(loss)) {
            return;
        }
        let base_delay = if is_remote {
            state.plan.remote_delay
        } else {
            state.plan.local_delay
        };
        let jitter = state.plan.jitter.mul_f64(state.rng.random_range(0.0..1.0));
        let bytes = frame.encoded_len() + FRAME_OVERHEAD;
        deliver_later(
            receiver.events,
            CoreEvent::Frame { frame, bytes },
            base_delay + jitter,
        );
    }
}

fn deliver_later(events: EventSender, event: CoreEvent, delay: Duration) {
    tokio::task::spawn_local(async move {
        tokio::time::sleep(delay).await;
        let _ = events.send(event);
    });
}

/// Links of one node on a [`MemoryNetwork`].
pub struct MemoryLinks {
    network: MemoryNetwork,
    own_address: NodeAddress,
}

impl PeerLinks for MemoryLinks {
    fn send(&self, to: NodeAddress, frame: PeerFrame) {
        self.network.send(self.own_address, to, frame);
    }

    fn reset(&self, to: NodeAddress) {
        let mut state = self.network.state.borrow_mut();
        state.blackholed.remove(&(self.own_address, to));
        state.blackholed.remove(&(to, self.own_address));
    }
}
