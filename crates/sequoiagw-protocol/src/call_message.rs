//! Messages that carry callers' requests to owners, and their answers.

use std::time::Duration;

use bytes::Bytes;
use prost::Enumeration;
use prost::Message;
use prost::Oneof;

use crate::ErrorKind;
use crate::RankLevel;

/// An HTTP header field.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct HeaderField {
    /// Name in lowercase.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the field.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Dispatch of a call from its entry to the owner of a target.
#[derive(Clone, Message, PartialEq)]
pub struct CallDispatch {
    /// Id of the dispatch, unique within the sender's boot. Each attempt at a call has its own.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Name of the route that the request matched.
    #[prost(string, tag = "3")]
    pub route: String,
    /// Rank level, from 0 to 7.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub remaining_ms: u32,
    /// Hash that identifies the caller, for fair queueing among callers.
    #[prost(fixed64, tag = "6")]
    pub caller_hash: u64,
    /// Idempotency key, empty if the caller sent none.
    #[prost(string, tag = "7")]
    pub key: String,
    /// Hash of method, path and body, which detects a key that is reused for another request.
    #[prost(fixed64, tag = "8")]
    pub fingerprint: u64,
    /// HTTP method.
    #[prost(string, tag = "9")]
    pub method: String,
    /// Request path with its query.
    #[prost(string, tag = "10")]
    pub path: String,
    /// Header fields to forward to the backend server.
    #[prost(message, repeated, tag = "11")]
    pub headers: Vec<HeaderField>,
    /// Complete request body.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
    /// Id of the request, for logs.
    #[prost(string, tag = "13")]
    pub request_id: String,
    /// Boot of the owner that the call is meant for. The owner must not run the call in any other
    /// boot.
    #[prost(uint64, tag = "14")]
    pub target_boot: u64,
    /// Whether the call may safely run more than once.
    #[prost(bool, tag = "15")]
    pub idempotent: bool,
    /// Whether the call was redirected to the receiver as the node that claimed its key.
    #[prost(bool, tag = "16")]
    pub redirected: bool,
    /// Longest wait for a slot that the sender accepts.
    #[prost(enumeration = "WaitLimit", tag = "17")]
    pub wait_limit: i32,
    /// Time left of the call's latency target, in milliseconds.
    #[prost(uint32, tag = "18")]
    pub latency_target_ms: u32,
    /// Hash of the caller's name, the same at every node; 0 if the caller has none.
    #[prost(fixed64, tag = "19")]
    pub caller_name_hash: u64,
    /// Name of the caller's workspace, empty if it has none.
    #[prost(string, tag = "20")]
    pub workspace: String,
}

/// Limit on the time for which a dispatched call may wait for a slot. The owner refuses a call
/// whose expected wait is longer.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WaitLimit {
    /// The call may wait until its deadline.
    Deadline = 0,
    /// The call may wait for a short time only, as another target may have a free slot sooner.
    Short = 1,
    /// The call may wait as long as its answer is expected within the latency target.
    LatencyTarget = 2,
}

/// A complete HTTP response of a backend server.
#[derive(Clone, Message, PartialEq)]
pub struct ServedAnswer {
    /// HTTP status code; of an owner of an earlier version it may be none of a final response.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Header fields to return to the caller.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderField>,
    /// Complete response body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Length of the body at the owner, in bytes. The entry compares it with `body` to detect a
    /// truncated response.
    #[prost(uint64, tag = "4")]
    pub length: u64,
    /// Whether this is the stored response of an earlier call with the same idempotency key.
    #[prost(bool, tag = "5")]
    pub replayed: bool,
}

impl CallOutcome {
    /// Builds the outcome of a call that failed or was refused.
    pub fn refused(kind: ErrorKind) -> Self {
        Self::Refused(RefusedAnswer { kind: kind.code() })
    }
}

/// Refusal or failure of a call.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct RefusedAnswer {
    /// Code of the error kind, see [`ErrorKind::code`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// Redirection to the node that claimed the call's idempotency key.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct RedirectAnswer {
    /// Node that claimed the key.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Boot of this node at the time of the claim.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
}

/// Notice that the owner has the call and hasn't completed it yet.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct PendingAnswer {}

/// State of a call at its owner.
#[derive(Clone, Oneof, PartialEq)]
pub enum CallOutcome {
    /// The backend server responded.
    #[prost(message, tag = "10")]
    Served(ServedAnswer),
    /// The call failed or was refused, for the reason given by the error kind.
    #[prost(message, tag = "11")]
    Refused(RefusedAnswer),
    /// Another node claimed the call's idempotency key.
    #[prost(message, tag = "12")]
    Redirect(RedirectAnswer),
    /// The call is waiting or running.
    #[prost(message, tag = "13")]
    Pending(PendingAnswer),
}

/// Answer of the owner to a call's entry, with the target's load.
#[derive(Clone, Message, PartialEq)]
pub struct CallAnswer {
    /// Id of the dispatch that this answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Boot of the entry that dispatched the call.
    #[prost(uint64, tag = "2")]
    pub entry_boot: u64,
    /// Load of the target when the answer was sent.
    #[prost(message, optional, tag = "3")]
    pub load: Option<LoadReport>,
    /// Time for which the call occupied a slot, in milliseconds; 0 if it didn't run.
    #[prost(uint32, tag = "4")]
    pub run_ms: u32,
    /// Time for which the call waited for its key's claim and for a slot, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// Time left until the call's deadline when the answer was sent, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub remaining_ms: u32,
    /// State of the call.
    #[prost(oneof = "CallOutcome", tags = "10, 11, 12, 13")]
    pub outcome: Option<CallOutcome>,
}

/// Load of a target, sent with each answer.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct LoadReport {
    /// Slots in use.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Slots that the owner currently allows.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Calls that wait for a slot.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Number of levels, from the most urgent one on, that the queue has room for; 0 if the
    /// target takes no calls.
    #[prost(uint32, tag = "4")]
    pub open_levels: u32,
    /// Average time for which a call occupies a slot, in milliseconds; 0 before the first call.
    #[prost(uint32, tag = "5")]
    pub occupancy_ms: u32,
    /// Expected wait for a slot at each level, one byte per level; see [`LoadReport::wait`].
    #[prost(fixed64, tag = "6")]
    pub waits: u64,
    /// Time until the large frames that wait at the host have been sent, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub link_wait_ms: u32,
    /// Time until the large dispatches that are offered to the host have been received, in
    /// milliseconds.
    #[prost(uint32, tag = "8")]
    pub receive_wait_ms: u32,
}

/// Unit of the expected waits in a load report. The longest wait that fits into a byte is 255
/// units.
const WAIT_UNIT_MS: u64 = 8;

impl LoadReport {
    /// Time until the large frames that wait at the host have been sent.
    pub fn link_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.link_wait_ms))
    }

    /// Time until the large dispatches that are offered to the host have been received.
    pub fn receive_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.receive_wait_ms))
    }

    /// Encodes the expected waits of all levels as one number, with one byte per level.
    ///
    /// Waits are rounded up to whole units; longer ones than a byte can hold are capped.
    pub fn pack_waits(waits: [Duration; RankLevel::COUNT]) -> u64 {
        let units = waits.map(|wait| (wait.as_millis() as u64).div_ceil(WAIT_UNIT_MS).min(255));
        u64::from_le_bytes(units.map(|unit| unit as u8))
    }

    /// Expected wait for a slot at a level. The longest wait that can be encoded also stands for
    /// all longer ones.
    pub fn wait(&self, level: RankLevel) -> Duration {
        let unit = self.waits.to_le_bytes()[level.index()];
        Duration::from_millis(u64::from(unit) * WAIT_UNIT_MS)
    }
}

/// Query for the state of a call at its owner. The owner fences a call that it hasn't received,
/// so that it doesn't run if its dispatch arrives late.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct CallQuery {
    /// Id of the call's dispatch.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Owner's boot at the time of dispatch.
    #[prost(uint64, tag = "2")]
    pub target_boot: u64,
}

/// Cancellation of a call whose caller has disconnected. The owner refuses the call if it is
/// queued and aborts an idempotent run, unless other calls wait for the answer.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct CallCancel {
    /// Id of the call's dispatch.
    #[prost(uint64, tag = "1")]
    pub call: u64,
}
