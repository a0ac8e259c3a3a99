//! A call at the node its caller reached.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::PlacementRecord;
use crate::PlacementRule;
use crate::TargetInfo;

/// How a call is to be treated, from its route and its caller.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Service.
    pub service: String,
    /// Route.
    pub route: String,
    /// Rank level.
    pub level: RankLevel,
    /// Whether it may run more than once without harm.
    pub idempotent: bool,
    /// Further tries after the first.
    pub max_retries: u64,
    /// Share of the service's calls that may be retries.
    pub retry_budget_ratio: f64,
    /// Load per slot above which other data centres are weighed.
    pub spill_load: f64,
    /// Time until the deadline.
    pub timeout: Duration,
    /// How targets are chosen, and what follows when one has no room.
    pub placement_rule: PlacementRule,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Whether a backend server's own failure is tried again where the call is idempotent.
    pub retries_server_errors: bool,
}

/// A caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
    /// Idempotency key, empty when none.
    pub idempotency_key: String,
    /// Hash that tells callers apart.
    pub caller_hash: u64,
    /// Request id.
    pub request_id: String,
}

/// What the caller is told.
#[derive(Clone, Debug)]
pub struct CallerReply {
    /// The answer, or why there is none.
    pub outcome: Result<ServedAnswer, ErrorKind>,
    /// Tries made.
    pub attempts: u32,
    /// Rank level under which the call was treated.
    pub level: RankLevel,
    /// Where it was tried last, and why there.
    pub placement: Option<PlacementRecord>,
    /// Time for which the answered call waited for its slot.
    pub slot_wait: Duration,
    /// Time for which the answered call held its slot.
    pub occupancy: Duration,
}

impl CallerReply {
    /// Reply to a call that was never tried.
    pub fn not_attempted(kind: ErrorKind, level: RankLevel) -> Self {
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
        /// Why a call was tried again.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum RetryReason { $($(#[$doc])* $reason,)* }

        /// All reasons.
        pub const RETRY_REASONS: &[RetryReason] = &[$(RetryReason::$reason,)*];

        impl RetryReason {
            /// Name of the counter.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$reason => $name,)* }
            }
        }
    };
}

retry_reasons! {
    /// Another target takes work that this one refused unrun.
    Rerouted => "rerouted",
    /// The target is overloaded and refused unrun.
    Overloaded => "overloaded",
    /// The dispatch never left this node.
    Undelivered => "undelivered",
    /// The target has no room; the call was not sent to its backend server.
    TargetFull => "target_full",
    /// The backend server failed the call, which is idempotent.
    BackendFailed => "backend_failed",
    /// The outcome is unknown and the call is idempotent.
    IdempotentUnknown => "idempotent_unknown",
    /// The key is claimed at another node.
    KeyRedirected => "key_redirected",
}

/// Where a call at its entry stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EntryPhase {
    /// Dispatched; the owner is expected to answer.
    Waiting,
    /// Asked about, because the owner has been quiet.
    Asking {
        /// When it was asked last.
        since: Instant,
        /// Links replaced so far.
        resets: u32,
    },
    /// To be tried again at its next wake.
    Pausing,
}

/// A call at its entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    pub(crate) spec: CallSpec,
    pub(crate) request: CallRequest,
    pub(crate) target: Option<TargetInfo>,
    pub(crate) tried: Vec<NodeId>,
    pub(crate) attempts: u32,
    pub(crate) redirects: u32,
    pub(crate) deadline: Instant,
    pub(crate) phase: EntryPhase,
    /// Why an earlier try may have run; from then on no refusal may say "not run".
    pub(crate) unknown_outcome: Option<ErrorKind>,
    /// Tries that may have reached a backend server and count against the allowance.
    pub(crate) counted_attempts: u32,
    /// Where it was tried last, and why there.
    pub(crate) placement: Option<PlacementRecord>,
    /// Time for which it waited for its slot, as its owner told.
    pub(crate) slot_wait: Duration,
    /// Time for which it held its slot, as its owner told.
    pub(crate) occupancy: Duration,
    /// Rounds in which every target was tried in vain.
    pub(crate) rounds: u32,
    /// Targets that had no room for the call.
    pub(crate) full: u32,
    /// A backend server's failure, kept as the answer unless a further try does better.
    pub(crate) failure: Option<ServedAnswer>,
    /// When the call began.
    pub(crate) began: Instant,
    /// Number of the current dispatch.
    pub(crate) dispatch: u64,
    pub(crate) wake: Instant,
}
