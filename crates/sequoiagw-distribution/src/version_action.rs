//! Actions requested by the version state machine.

use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_config::ConfigError;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::VersionStatus;

/// An action that the caller of the version state machine must carry out.
#[derive(Clone, Debug)]
pub enum VersionAction {
    /// Send a message to a node.
    Send(NodeId, FrameBody),
    /// Activate a version.
    Activate(Arc<CompiledConfig>),
    /// The held or active version of this node changed.
    VersionsChanged(VersionStatus),
    /// A version was refused because it is invalid; the active one stays active.
    Refused(u64, ConfigError),
    /// Read the newest version from the platform's store.
    ReadStore,
    /// Count a full copy that was deferred by the rate limit.
    FullCopyDeferred,
}
