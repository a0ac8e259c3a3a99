//! Links between the nodes of a fleet in one process.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_node::CoreEvent;
use sequoiagw_node::EventSender;
use sequoiagw_node::PeerLinks;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use tokio::time::sleep;

/// One node's links, which pass frames to the event loops of the other nodes at once.
#[derive(Clone, Default)]
pub struct DirectLinks {
    /// Event loops of all nodes.
    receivers: Rc<RefCell<Vec<(NodeAddress, EventSender)>>>,
    /// Nodes that frames from and to the others don't reach.
    cut_off: Rc<RefCell<Vec<NodeAddress>>>,
    /// Address of this node.
    own_address: Rc<Cell<Option<NodeAddress>>>,
    /// Whether this node's frames are lost.
    silent: Rc<Cell<bool>>,
    /// Time that the nodes are behind in handling what they receive.
    backlog: Duration,
}

impl DirectLinks {
    /// Links of a node in a fleet whose nodes are `backlog` behind.
    pub fn with_backlog(backlog: Duration) -> Self {
        Self {
            backlog,
            ..Self::default()
        }
    }

    /// Links of another node of the same fleet.
    pub fn for_another_node(&self) -> Self {
        Self {
            receivers: Rc::clone(&self.receivers),
            cut_off: Rc::clone(&self.cut_off),
            own_address: Rc::default(),
            silent: Rc::default(),
            backlog: self.backlog,
        }
    }

    /// Adds a node's event loop, in place of an earlier one at its address.
    pub fn add_receiver(&self, address: NodeAddress, events: EventSender) {
        self.own_address.set(Some(address));
        let mut receivers = self.receivers.borrow_mut();
        receivers.retain(|(existing, _)| *existing != address);
        receivers.push((address, events));
    }

    /// Loses all frames of this node from now on, or no longer.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
    }

    /// Cuts nodes off from all others, but not from each other; an empty list ends that.
    pub fn cut_off(&self, nodes: Vec<NodeAddress>) {
        *self.cut_off.borrow_mut() = nodes;
    }

    fn is_cut_off_from(&self, to: NodeAddress) -> bool {
        let cut_off = self.cut_off.borrow();
        let own_address = self.own_address.get();
        own_address.is_some_and(|own| cut_off.contains(&own) != cut_off.contains(&to))
    }

    /// Lets the other nodes notice that the process of the node at `address` has ended.
    pub fn report_end(&self, address: NodeAddress) {
        for (_, events) in self.receivers.borrow().iter() {
            self.deliver(events, CoreEvent::LinkLost(address));
        }
    }

    /// Passes an event to a node's event loop, which may have ended.
    fn deliver(&self, events: &EventSender, event: CoreEvent) {
        let events = events.clone();
        let backlog = self.backlog;
        tokio::task::spawn_local(async move {
            sleep(backlog).await;
            let _ = events.send(event);
        });
    }
}

impl PeerLinks for DirectLinks {
    fn send(&self, to: NodeAddress, frame: PeerFrame) {
        if self.silent.get() || self.is_cut_off_from(to) {
            return;
        }
        for (address, events) in self.receivers.borrow().iter() {
            if *address == to {
                let frame = frame.clone();
                self.deliver(events, CoreEvent::Frame { frame, bytes: 50 });
            }
        }
    }

    fn reset(&self, _to: NodeAddress) {}
}
