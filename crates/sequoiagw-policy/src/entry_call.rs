//! A call at its entry, the node that its caller reached.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::CallerAnswer;
use crate::PlacementRecord;
use crate::PlacementRule;
use crate::TargetInfo;

/// Limits and rules for a call, set by its route and its caller.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Service.
    pub service: String,
    /// Route.
    pub route: String,
    /// Rank level.
    pub level: RankLevel,
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// Largest number of retries, in addition to the first attempt.
    pub max_retries: u64,
    /// Retries allowed per call of the service, 0 to 1.
    pub retry_budget_ratio: f64,
    /// Load per slot of the local target above which remote ones are considered.
    pub spill_load: f64,
    /// Time until the deadline.
    pub timeout: Duration,
    /// How targets are chosen, and what happens when one is full.
    pub placement_rule: PlacementRule,
    /// Time after the start of the call by which the answer should arrive.
    pub latency_target: Duration,
    /// Time for which the caller had waited when this attempt arrived, since it was refused before.
    pub waited: Duration,
    /// Whether a 5xx answer of a backend server is retried if the call is idempotent.
    pub retries_server_errors: bool,
}

/// A caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// HTTP method.
    pub method: String,
    /// Path with query string.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Idempotency key, empty without one.
    pub idempotency_key: String,
    /// Hash that identifies the caller.
    pub caller_hash: u64,
    /// Hash of the caller's name, the same at every node; 0 if the caller has none.
    pub caller_name_hash: u64,
    /// Name of the caller's workspace, empty if it has none.
    pub workspace: String,
    /// Request id for logs.
    pub request_id: String,
}

/// Reply to the caller of a call.
#[derive(Clone, Debug)]
pub struct CallerReply {
    /// The backend server's answer, or the reason for its absence.
    pub outcome: Result<CallerAnswer, ErrorKind>,
    /// Number of attempts made.
    pub attempts: u32,
    /// Rank level of the call.
    pub level: RankLevel,
    /// Target of the last attempt, and the reason for its choice.
    pub placement: Option<PlacementRecord>,
    /// Time for which the answered call waited for a slot.
    pub slot_wait: Duration,
    /// Time for which the answered call occupied its slot.
    pub occupancy: Duration,
}

impl CallerReply {
    /// Creates an error reply that has no details of attempts.
    pub fn from_error(kind: ErrorKind, level: RankLevel) -> Self {
        Self {
            outcome: Err(kind),
            attempts: 0,
            level,
            placement: None,
            slot_wait: Duration::ZERO,
            occupancy: Duration::ZERO,
        }
    }
}

macro_rules! retry_reasons {
    ($($(#[$doc:meta])* $reason:ident => $name:literal,)*) => {
        /// Why a call is retried.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum RetryReason { $($(#[$doc])* $reason,)* }

        /// All retry reasons.
        pub const RETRY_REASONS: &[RetryReason] = &[$(RetryReason::$reason,)*];

        impl RetryReason {
            /// Name of the reason in counters and logs.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$reason => $name,)* }
            }
        }
    };
}

retry_reasons! {
    /// The target refused the call before running it; another target may take it.
    Rerouted => "rerouted",
    /// The target is overloaded and refused the call before running it.
    Overloaded => "overloaded",
    /// The dispatch never left this node.
    Undelivered => "undelivered",
    /// The target is full; the call was not sent to its backend server.
    TargetFull => "target_full",
    /// The backend server answered with a 5xx status and the call is idempotent.
    BackendFailed => "backend_failed",
    /// The outcome is unknown and the call is idempotent.
    IdempotentUnknown => "idempotent_unknown",
    /// Another node has claimed the idempotency key.
    KeyRedirected => "key_redirected",
}

/// Phase of a call at its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EntryPhase {
    /// The dispatch is large and may not have been sent whole; the owner may not know the call.
    Sending,
    /// The deadline has passed during [`Self::Sending`]; the dispatch is removed, unless it has been
    /// sent whole meanwhile.
    Withdrawing,
    /// Dispatched; the owner's answer is awaited.
    AwaitingAnswer,
    /// The owner hasn't answered in time and has been queried about the call.
    Querying {
        /// Time of the last query.
        queried_at: Instant,
        /// Queries repeated so far.
        repeats: u32,
    },
    /// No dispatch is in flight; the next one follows at `wake_at`.
    NotDispatched,
}

impl EntryPhase {
    /// Name of the phase in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Withdrawing => "withdrawing",
            Self::AwaitingAnswer => "awaiting_answer",
            Self::Querying { .. } => "querying",
            Self::NotDispatched => "not_dispatched",
        }
    }
}

/// State of a call at its entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    pub(crate) spec: CallSpec,
    pub(crate) request: CallRequest,
    pub(crate) target: Option<TargetInfo>,
    pub(crate) tried_nodes: Vec<NodeId>,
    pub(crate) attempts: u32,
    pub(crate) redirects: u32,
    pub(crate) deadline: Instant,
    /// Whether the deadline is earlier than the one that the owner knows.
    pub(crate) is_cut_short: bool,
    pub(crate) phase: EntryPhase,
    /// Error of an earlier attempt that may have run; replaces any later error that says "not
    /// run".
    pub(crate) unknown_outcome: Option<ErrorKind>,
    /// Attempts that may have reached a backend server, which count towards `max_retries`.
    pub(crate) counted_attempts: u32,
    /// Target of the last attempt, and the reason for its choice.
    pub(crate) placement: Option<PlacementRecord>,
    /// Time for which the call waited for its slot, as reported by the owner.
    pub(crate) slot_wait: Duration,
    /// Time for which the call occupied its slot, as reported by the owner.
    pub(crate) occupancy: Duration,
    /// Rounds in which every target was tried without an answer.
    pub(crate) rounds: u32,
    /// Refusals by full targets.
    pub(crate) full_refusals: u32,
    /// A 5xx answer, returned to the caller unless a retry brings another answer.
    pub(crate) server_error: Option<CallerAnswer>,
    /// Time at which the call started.
    pub(crate) started_at: Instant,
    /// Id of the current dispatch, 0 before the first.
    pub(crate) dispatch_id: u64,
    pub(crate) wake_at: Instant,
}
