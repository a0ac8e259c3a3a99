//! What decided about a call, for the logs.

use std::time::Duration;

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;

use crate::RetryReason;

/// Why a call was placed at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRecord {
    /// Node of the target.
    pub node: NodeId,
    /// Expected time to the answer.
    pub expected_latency: Duration,
    /// Age of the target's load report, `None` before the first.
    pub report_age: Option<Duration>,
}

/// Why a call is tried again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryRecord {
    /// Request id.
    pub request_id: String,
    /// Why it is tried again.
    pub reason: RetryReason,
    /// Why the try before brought no answer, `None` when it was only sent elsewhere.
    pub kind: Option<ErrorKind>,
    /// Where it was tried.
    pub placement: Option<PlacementRecord>,
    /// Tries made.
    pub attempts: u32,
}

/// Why an owner refused a call, and its load then.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalRecord {
    /// Request id.
    pub request_id: String,
    /// Why it was refused.
    pub kind: ErrorKind,
    /// Rank level.
    pub level: RankLevel,
    /// Wait that was expected for this level.
    pub expected_wait: Duration,
    /// Calls waiting.
    pub waiting: usize,
    /// Slots in use.
    pub running: u32,
    /// Slots allowed.
    pub slots: u32,
}
