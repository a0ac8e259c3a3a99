//! Links of a node by the address of the peer.

use std::collections::HashMap;

use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Send queue of a link that is open or being opened.
#[derive(Debug)]
struct LinkQueue {
    id: u64,
    sender: UnboundedSender<PeerFrame>,
    /// Ends the link at once. Dropped without being used when another link replaces this one, which
    /// then still receives.
    reset: oneshot::Sender<()>,
}

/// The link's ends of its send queue.
#[derive(Debug)]
pub(crate) struct QueueEnds {
    /// Id under which the link is registered.
    pub(crate) id: u64,
    /// Frames to send.
    pub(crate) receiver: UnboundedReceiver<PeerFrame>,
    /// Resolves when the link has to end at once.
    pub(crate) reset: oneshot::Receiver<()>,
}

/// Whether a frame can be queued for a link.
#[derive(Debug)]
pub(crate) enum QueueOutcome {
    /// The frame was queued.
    Queued,
    /// No link exists; one may be opened.
    NoLink(Box<PeerFrame>),
    /// No link exists, and an attempt to open one has just failed.
    Unreachable(Box<PeerFrame>),
}

/// Send queues of the links that are open or being opened, and peers that can't be reached.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    links: HashMap<NodeAddress, LinkQueue>,
    unreachable_until: HashMap<NodeAddress, Instant>,
    last_id: u64,
}

impl LinkTable {
    /// Makes a new link the one on which frames to `address` are sent, and returns the ends of its
    /// queue.
    pub(crate) fn register(&mut self, address: NodeAddress) -> QueueEnds {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (reset_sender, reset) = oneshot::channel();
        self.last_id += 1;
        let id = self.last_id;
        self.unreachable_until.remove(&address);
        let queue = LinkQueue {
            id,
            sender,
            reset: reset_sender,
        };
        self.links.insert(address, queue);
        QueueEnds {
            id,
            receiver,
            reset,
        }
    }

    /// Removes the link with this id, unless another one has replaced it.
    pub(crate) fn unregister(&mut self, address: NodeAddress, id: u64) {
        let queue = self.links.get(&address);
        if queue.is_some_and(|queue| queue.id == id) {
            self.links.remove(&address);
        }
    }

    /// Records that no link to `address` could be opened, and none should be tried before `until`.
    pub(crate) fn set_unreachable(&mut self, address: NodeAddress, until: Instant) {
        self.unreachable_until.insert(address, until);
    }

    /// Queues a frame for the link to `address`.
    pub(crate) fn queue(
        &self,
        address: NodeAddress,
        frame: PeerFrame,
        now: Instant,
    ) -> QueueOutcome {
        let frame = match self.links.get(&address) {
            Some(queue) => match queue.sender.send(frame) {
                Ok(()) => return QueueOutcome::Queued,
                Err(failed) => failed.0,
            },
            None => frame,
        };
        let until = self.unreachable_until.get(&address);
        if until.is_some_and(|until| now < *until) {
            QueueOutcome::Unreachable(Box::new(frame))
        } else {
            QueueOutcome::NoLink(Box::new(frame))
        }
    }

    /// Ends the link to `address` at once, if there is one.
    pub(crate) fn reset(&mut self, address: NodeAddress) {
        if let Some(queue) = self.links.remove(&address) {
            // Sending fails if the link has just ended.
            let _ = queue.reset.send(());
        }
    }
}
