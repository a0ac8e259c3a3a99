//! Heartbeats of backend servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::TargetIncarnation;

/// Phase of a backend server, as a heartbeat states it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatPhase {
    /// The backend server accepts requests.
    Ready,
    /// The backend server is leaving and accepts no requests.
    Draining,
}

/// A heartbeat of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Identity of the process; a restarted one may have the same.
    pub instance: String,
    /// Start time of the process, in Unix milliseconds by its own clock.
    pub born_ms: Option<u64>,
    /// Sequence number, higher with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service that the process serves.
    pub service: String,
    /// Address at which the process accepts requests.
    pub address: String,
    /// Number of requests that the process serves at once.
    pub slots: u32,
    /// Whether the process accepts requests or is leaving.
    pub phase: HeartbeatPhase,
    /// Rest of the time after its start during which the process is slower.
    pub warmup_left: Duration,
    /// Software version of the process, empty if it states none.
    pub version: String,
}

impl Heartbeat {
    /// Incarnation that sent the heartbeat.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            instance: self.instance.clone(),
            born_ms: self.born_ms.unwrap_or(0),
        }
    }
}
