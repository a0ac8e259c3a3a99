//! Actions that the node's state machine requests.

use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_policy::CallerReply;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::FleetReport;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::StoreRequest;

/// Purpose of a call to the store; selects the handler of its reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTag {
    /// Seat of a watch holder, and the head key that it watches.
    Holder,
    /// Claims of idempotency keys.
    Claims,
    /// Seed addresses for a newly started node.
    Seeds,
    /// Full copy of the newest configuration version.
    CurrentConfig,
    /// Changes of the configuration version with this number.
    ConfigHistory(u64),
}

/// An action that the caller of the node's state machine must carry out.
#[derive(Debug)]
pub enum CoreAction {
    /// Send a frame to a peer.
    Send(NodeAddress, Box<PeerFrame>),
    /// Drop the link to a peer, so that the next frame opens a new one.
    ResetLink(NodeAddress),
    /// Remove the dispatch with this id unless it has been sent whole.
    Withdraw(u64),
    /// Run a call at the backend server.
    Run(Box<RunRequest>),
    /// Abort a run at the backend server.
    Abort(RunId),
    /// Call the store.
    Store(StoreTag, StoreRequest),
    /// Watch the store's head key from this revision on.
    Watch(u64),
    /// Stop watching the head key.
    Unwatch,
    /// Reply to the caller of the call with this id.
    Reply(u64, CallerReply),
    /// Pass a data centre's report to the fleet query that requested it.
    Report(FleetReport),
    /// A configuration version was activated.
    Activated(Arc<CompiledConfig>),
    /// The node has finished draining and the process may exit.
    Stopped,
}
