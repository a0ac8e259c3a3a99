//! Actions of the version machine.

use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_config::ConfigError;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::VersionStatus;

/// What the machine wants done.
#[derive(Clone, Debug)]
pub enum VersionAction {
    /// Send a message.
    Send(NodeId, FrameBody),
    /// Put a version in force.
    Activate(Arc<CompiledConfig>),
    /// The versions told to peers changed.
    VersionsChanged(VersionStatus),
    /// A version was refused; the last good one stays in force.
    Refused(u64, ConfigError),
    /// Read the newest version from the platform's store.
    ReadStore,
    /// Count a full copy that was put off.
    FullCopyDeferred,
}
