//! Messages that carry callers' requests and their answers.

use std::time::Duration;

use bytes::Bytes;
use prost::Enumeration;
use prost::Message;
use prost::Oneof;

use crate::ErrorKind;
use crate::RankLevel;

/// One HTTP header.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct HeaderField {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A call handed to the node that owns the target.
#[derive(Clone, Message, PartialEq)]
pub struct CallDispatch {
    /// Call number, never reused within the sender's boot.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Route, the kind of work.
    #[prost(string, tag = "3")]
    pub route: String,
    /// Rank level.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub remaining_ms: u32,
    /// Hash that tells callers apart for fairness.
    #[prost(fixed64, tag = "6")]
    pub caller_hash: u64,
    /// Idempotency key, empty when none.
    #[prost(string, tag = "7")]
    pub key: String,
    /// Hash of method, path and body.
    #[prost(fixed64, tag = "8")]
    pub fingerprint: u64,
    /// HTTP method.
    #[prost(string, tag = "9")]
    pub method: String,
    /// Path with query.
    #[prost(string, tag = "10")]
    pub path: String,
    /// Headers passed on.
    #[prost(message, repeated, tag = "11")]
    pub headers: Vec<HeaderField>,
    /// Whole body.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
    /// Request id.
    #[prost(string, tag = "13")]
    pub request_id: String,
    /// Boot of the receiver that the sender means; another one must not run the call.
    #[prost(uint64, tag = "14")]
    pub target_boot: u64,
    /// Whether the call may run more than once without harm.
    #[prost(bool, tag = "15")]
    pub idempotent: bool,
    /// Whether the receiver was named as the claimant of the key.
    #[prost(bool, tag = "16")]
    pub redirected: bool,
    /// How long a wait for a slot the sender accepts.
    #[prost(enumeration = "WaitLimit", tag = "17")]
    pub wait_limit: i32,
    /// Time left within which an answer is worth most, in milliseconds.
    #[prost(uint32, tag = "18")]
    pub latency_target_ms: u32,
}

/// How long a wait for a slot the sender of a call accepts.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WaitLimit {
    /// Up to the deadline.
    Deadline = 0,
    /// Short: another target may be free sooner.
    Short = 1,
    /// As long as the answer is expected within its aim.
    LatencyTarget = 2,
}

/// A whole HTTP answer.
#[derive(Clone, Message, PartialEq)]
pub struct ServedAnswer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers passed back.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderField>,
    /// Whole body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Length of the body as the owner sent it.
    #[prost(uint64, tag = "4")]
    pub length: u64,
    /// Whether this is the stored answer of an earlier call with the same key.
    #[prost(bool, tag = "5")]
    pub replayed: bool,
}

impl CallOutcome {
    /// A refusal of one kind.
    pub fn refused(kind: ErrorKind) -> Self {
        Self::Refused(RefusedAnswer { kind: kind.code() })
    }
}

/// A refusal.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct RefusedAnswer {
    /// Error kind's code.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// The key is claimed at another node: ask there.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct RedirectAnswer {
    /// Claiming node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its boot when it claimed.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
}

/// The call is held and not yet done.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct PendingAnswer {}

/// Outcome of a call at its owner.
#[derive(Clone, Oneof, PartialEq)]
pub enum CallOutcome {
    /// Answered by the backend server.
    #[prost(message, tag = "10")]
    Served(ServedAnswer),
    /// Refused.
    #[prost(message, tag = "11")]
    Refused(RefusedAnswer),
    /// Claimed elsewhere.
    #[prost(message, tag = "12")]
    Redirect(RedirectAnswer),
    /// Still held.
    #[prost(message, tag = "13")]
    Pending(PendingAnswer),
}

/// Answer of the owner, with its load.
#[derive(Clone, Message, PartialEq)]
pub struct CallAnswer {
    /// Call number.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Boot of the entry that dispatched the call.
    #[prost(uint64, tag = "2")]
    pub entry_boot: u64,
    /// Load of the target.
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadReport>,
    /// Time for which the call held its slot, in milliseconds; 0 for one that didn't run.
    #[prost(uint32, tag = "4")]
    pub run_ms: u32,
    /// Time for which it waited for a slot before, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// Outcome.
    #[prost(oneof = "CallOutcome", tags = "10, 11, 12, 13")]
    pub outcome: Option<CallOutcome>,
}

/// Load of a target, carried on each answer.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct LoadReport {
    /// Slots in use.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Slots the owner allows now.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Calls waiting.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Least urgent level that still finds room in the queue, plus one; 0 when none does.
    #[prost(uint32, tag = "4")]
    pub open_levels: u32,
    /// Time for which a call holds its slot on average, in milliseconds; 0 before the first.
    #[prost(uint32, tag = "5")]
    pub occupancy_ms: u32,
    /// Expected wait for a slot of each level, see [`LoadReport::wait`].
    #[prost(fixed64, tag = "6")]
    pub waits: u64,
}

/// Unit of the waits in a load report, in milliseconds.
const WAIT_UNIT_MS: u64 = 8;

impl LoadReport {
    /// Puts the expected waits of all levels into one number, a byte for each level.
    pub fn pack_waits(waits: [Duration; RankLevel::COUNT]) -> u64 {
        let units = waits.map(|wait| (wait.as_millis() as u64).div_ceil(WAIT_UNIT_MS).min(255));
        u64::from_le_bytes(units.map(|unit| unit as u8))
    }

    /// Expected wait of a level; the longest that can be told stands for longer ones too.
    pub fn wait(&self, level: RankLevel) -> Duration {
        let unit = self.waits.to_le_bytes()[level.index()];
        Duration::from_millis(u64::from(unit) * WAIT_UNIT_MS)
    }
}

/// Asks the owner what became of a call; an unknown call gets barred.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct CallQuery {
    /// Call number.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Owner's boot at the time of dispatch.
    #[prost(uint64, tag = "2")]
    pub target_boot: u64,
}

/// The caller has gone: drop the call if it has not run.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct CallCancel {
    /// Call number.
    #[prost(uint64, tag = "1")]
    pub call: u64,
}
