//! The edges at which a node meets the rest of the world.

use std::rc::Rc;

use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::PlatformStore;
use tokio::sync::mpsc::UnboundedSender;

use crate::CoreEvent;

/// Where edges report what happened.
pub type EventSender = UnboundedSender<CoreEvent>;

/// Links to other nodes.
pub trait PeerLinks {
    /// Sends a frame, over a fresh link if none stands.
    ///
    /// A frame that was surely never written is reported as [`CoreEvent::Undelivered`];
    /// the loss of a standing link as [`CoreEvent::LinkLost`].
    fn send(&self, to: NodeAddress, frame: PeerFrame);

    /// Drops the link, so that the next frame makes a fresh one.
    fn reset(&self, to: NodeAddress);
}

/// The node's backend server.
pub trait BackendServer {
    /// Runs a call at `address`; its end is reported as [`CoreEvent::RunFinished`].
    fn run(&self, address: &str, request: RunRequest);

    /// Aborts a run; its end is still reported.
    fn abort(&self, run: RunId);
}

/// Everything a node needs from outside.
pub struct NodeEdges {
    /// The platform's store.
    pub store: Rc<dyn PlatformStore>,
    /// Links to other nodes.
    pub links: Box<dyn PeerLinks>,
    /// The backend server.
    pub backend: Box<dyn BackendServer>,
}
