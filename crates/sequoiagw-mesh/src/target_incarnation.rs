//! Identity of one start of a backend server.

use sequoiagw_policy::ServerProcess;
use sequoiagw_protocol::LeavingBackend;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies one start of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Identity of the process; a restarted one may have the same.
    pub instance: String,
    /// Start time of the process, in Unix milliseconds; 0 when unknown.
    pub born_ms: u64,
}

impl TargetIncarnation {
    /// Number of the process, equal at all nodes.
    pub fn process(&self) -> ServerProcess {
        ServerProcess(xxh3_64_with_seed(self.instance.as_bytes(), self.born_ms))
    }

    /// Whether the start is known. An incarnation whose start isn't known stands for any start of its
    /// instance.
    pub fn has_known_start(&self) -> bool {
        self.born_ms != 0
    }
}

impl From<LeavingBackend> for TargetIncarnation {
    fn from(backend: LeavingBackend) -> Self {
        Self {
            instance: backend.instance,
            born_ms: backend.born_ms,
        }
    }
}

impl From<TargetIncarnation> for LeavingBackend {
    fn from(incarnation: TargetIncarnation) -> Self {
        Self {
            instance: incarnation.instance,
            born_ms: incarnation.born_ms,
        }
    }
}
