//! Events that the node's state machine handles.

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

use crate::BackendNotice;
use crate::StoreTag;

/// Announcement of a backend server to its node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service that the backend server implements.
    pub service: String,
    /// Address for HTTP requests, as `ip:port`.
    pub address: String,
    /// Number of requests that the backend server handles concurrently.
    pub slots: u32,
}

/// An event reported by the node's I/O.
#[derive(Debug)]
pub enum CoreEvent {
    /// A frame arrived from a peer.
    Frame {
        /// Received frame.
        frame: PeerFrame,
        /// Length of the frame on the wire, in bytes.
        bytes: usize,
    },
    /// A part of a large frame, or a message about its transfer, arrived from a peer.
    PartReceived {
        /// Node at the other end.
        node: NodeId,
        /// Length of the part on the wire, in bytes.
        bytes: usize,
    },
    /// The handshake of a link to a peer is complete.
    LinkEstablished {
        /// Node at the other end.
        node: NodeId,
        /// Boot of the node's current process.
        boot: u64,
    },
    /// An established link to a peer failed.
    LinkLost(NodeAddress),
    /// These frames were never written to a link, for example because connecting failed.
    Undelivered(NodeAddress, Vec<PeerFrame>),
    /// The outcome of the dispatch with this id was queried, but it hasn't been sent whole; the
    /// query wasn't sent.
    DispatchUnsent(u64),
    /// The dispatch with this id was removed before it had been sent whole, so it never runs.
    DispatchWithdrawn(u64),
    /// The receiver refused the dispatch with this id, of which nothing has been sent.
    DispatchRefused(u64),
    /// A call to the store has finished.
    StoreReplied {
        /// Purpose of the call.
        tag: StoreTag,
        /// Request that was sent.
        request: StoreRequest,
        /// Reply or error.
        reply: Result<StoreReply, StoreError>,
        /// Time at which the request was sent.
        sent: Instant,
    },
    /// The watch on the head key delivered an update or an error; `None` when it ended.
    WatchUpdated(Option<Result<WatchUpdate, StoreError>>),
    /// A run at the backend server has finished.
    RunFinished(RunId, BackendResult),
    /// The backend server said something new of itself in a response.
    BackendNoticed(BackendNotice),
    /// The backend server sent an announcement.
    BackendAnnounced(BackendAnnouncement),
    /// The backend server withdrew its announcement.
    BackendWithdrawn,
}
