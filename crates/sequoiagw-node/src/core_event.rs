//! Events that the core takes.

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::StoreTag;

/// A backend server's announcement to its node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service it serves.
    pub service: String,
    /// Where it takes HTTP requests, `ip:port`.
    pub address: String,
    /// Requests it serves at once.
    pub slots: u32,
}

/// Something that happened at an edge of the node.
#[derive(Debug)]
pub enum CoreEvent {
    /// A frame came from a peer; `bytes` is its length on the wire.
    Frame {
        /// The frame.
        frame: PeerFrame,
        /// Length in bytes.
        bytes: usize,
    },
    /// A link to a peer stands, and the process at its other end has this boot.
    LinkEstablished {
        /// Peer.
        node: NodeId,
        /// Boot of its process.
        boot: u64,
    },
    /// A link to a peer broke after it stood.
    LinkLost(NodeAddress),
    /// No link could be made, so these frames were never written.
    Undelivered(NodeAddress, Vec<PeerFrame>),
    /// A call to the store is over.
    StoreReplied {
        /// What the call was for.
        tag: StoreTag,
        /// The call.
        request: StoreRequest,
        /// Its result.
        reply: Result<StoreReply, StoreError>,
        /// When it was sent.
        sent: Instant,
    },
    /// The watch on the head key brought something; `None` when it ended.
    WatchUpdated(Option<Result<WatchUpdate, StoreError>>),
    /// A run at the backend server is over.
    RunFinished(RunId, BackendResult),
    /// The backend server announced itself.
    BackendAnnounced(BackendAnnouncement),
    /// The backend server took its announcement back.
    BackendWithdrawn,
}
