//! Actions that the core wants done.

use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_policy::CallerReply;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::FleetReport;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::StoreRequest;

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTag {
    /// The holder's seat and head.
    Holder,
    /// Claims on idempotency keys.
    Claims,
    /// Entry points for a fresh node.
    Seeds,
    /// The newest version in full.
    CurrentConfig,
    /// The changes of one version.
    ConfigHistory(u64),
}

/// Something to be done at an edge of the node.
#[derive(Debug)]
pub enum CoreAction {
    /// Send a frame to a peer.
    Send(NodeAddress, Box<PeerFrame>),
    /// Replace the link to a peer.
    ResetLink(NodeAddress),
    /// Run a call at the backend server.
    Run(Box<RunRequest>),
    /// Abort a run.
    Abort(RunId),
    /// Call the store.
    Store(StoreTag, StoreRequest),
    /// Watch the head key from a revision on.
    Watch(u64),
    /// End the watch.
    Unwatch,
    /// Answer a caller.
    Reply(u64, CallerReply),
    /// Hand a data centre's report to whoever asked.
    Report(FleetReport),
    /// A version came into force.
    Activated(Arc<CompiledConfig>),
    /// Everything is done; the process may end.
    Stopped,
}
