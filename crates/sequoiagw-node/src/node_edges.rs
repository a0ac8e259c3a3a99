//! Interfaces through which a node does its I/O.

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::PlatformStore;
use tokio::sync::mpsc::UnboundedSender;

use crate::CoreEvent;

/// Channel on which the I/O implementations report events to the node.
pub type EventSender = UnboundedSender<CoreEvent>;

/// Connections to other nodes.
pub trait PeerLinks {
    /// Sends a frame, over a new link if there is none.
    ///
    /// A frame that was certainly never written is reported as [`CoreEvent::Undelivered`], and the
    /// failure of an established link as [`CoreEvent::LinkLost`].
    fn send(&self, to: NodeAddress, frame: PeerFrame);

    /// Time until the large frames that wait at this host have been sent, zero where that isn't
    /// known.
    fn large_frame_wait(&self) -> Duration {
        Duration::ZERO
    }

    /// Time until the large dispatches that are offered to this host have been received, zero where
    /// that isn't known.
    fn receive_wait(&self) -> Duration {
        Duration::ZERO
    }

    /// Removes a dispatch that hasn't been sent whole, which is reported as
    /// [`CoreEvent::DispatchWithdrawn`]. Nothing is reported of any other dispatch.
    fn withdraw(&self, _dispatch: u64) {}

    /// Drops the link to a node, so that the next frame opens a new one.
    fn reset(&self, to: NodeAddress);
}

/// Client of the node's backend server.
pub trait BackendClient {
    /// Runs a call at `address`; its result is reported as [`CoreEvent::RunFinished`].
    fn run(&self, address: &str, request: RunRequest);

    /// Aborts a run; its result is still reported.
    fn abort(&self, run: RunId);
}

/// Implementations of a node's I/O.
pub struct NodeDependencies {
    /// Client of the platform's store.
    pub store: Rc<dyn PlatformStore>,
    /// Connections to other nodes.
    pub links: Box<dyn PeerLinks>,
    /// Client of the node's backend server.
    pub backend: Box<dyn BackendClient>,
}
