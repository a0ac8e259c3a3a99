//! Records of placements, retries and refusals, for the logs.

use std::time::Duration;

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;

use crate::RetryReason;
use crate::ServedError;

/// Target of a call and the data on which it was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRecord {
    /// Node of the target.
    pub node: NodeId,
    /// Expected time to the answer when the target was chosen.
    pub expected_latency: Duration,
    /// Age of the target's last load report, `None` before the first.
    pub report_age: Option<Duration>,
}

/// A retry of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryRecord {
    /// Request id.
    pub request_id: String,
    /// Reason for the retry.
    pub reason: RetryReason,
    /// Error of the previous attempt, `None` if its target was full or redirected the call.
    pub kind: Option<ErrorKind>,
    /// Target of the previous attempt.
    pub placement: Option<PlacementRecord>,
    /// Number of attempts made so far.
    pub attempts: u32,
}

/// An answer that can't be delivered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRecord {
    /// Request id.
    pub request_id: String,
    /// Node that sent the answer.
    pub owner: NodeId,
    /// Why it can't be delivered.
    pub error: ServedError,
}

/// A refusal of a call by its owner, with the owner's load at that time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalRecord {
    /// Request id.
    pub request_id: String,
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Rank level.
    pub level: RankLevel,
    /// Expected wait for a slot at this level.
    pub expected_wait: Duration,
    /// Number of calls in the queue.
    pub waiting: usize,
    /// Number of slots in use.
    pub running: u32,
    /// Number of slots that the owner may use.
    pub slots: u32,
}

/// A call whose caller left before the reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AbandonRecord {
    /// Request id.
    pub request_id: String,
    /// Name of the caller's workspace, empty if it has none.
    pub workspace: String,
    /// What the entry was waiting for.
    pub phase: &'static str,
    /// Target of the last attempt.
    pub placement: Option<PlacementRecord>,
    /// Number of attempts made.
    pub attempts: u32,
    /// Time since the start of the call.
    pub age: Duration,
    /// Time since the last message from the target's node, `None` if there was none.
    pub last_contact_age: Option<Duration>,
}
