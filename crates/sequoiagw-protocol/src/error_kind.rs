//! Error kinds of calls, and the response that a caller gets for each.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum RunState {
    /// The request has not run and never will.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran, and this is its response.
    Yes,
}

/// Properties of an error kind, among them the response that a caller gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorRule {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: RunState,
    /// Whether a retry of a non-idempotent request is safe.
    pub retry_safe: bool,
    /// Whether the entry may dispatch the request to another target at once.
    pub reroute: bool,
    /// Name of the kind in counters and in problem bodies.
    pub name: &'static str,
    /// What happened and how to fix it, for the caller.
    pub help: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $code:literal => $status:literal, $ran:ident, $reroute:literal, $name:literal, $help:literal;)*) => {
        /// Reason for which a caller gets no response from a backend server.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind { $($(#[$doc])* $kind,)* }

        /// All error kinds.
        pub const ERROR_KINDS: &[ErrorKind] = &[$(ErrorKind::$kind,)*];

        impl ErrorKind {
            /// Returns the properties of the kind.
            pub const fn rule(self) -> ErrorRule {
                match self {
                    $(Self::$kind => ErrorRule {
                        status: $status,
                        ran: RunState::$ran,
                        retry_safe: matches!(RunState::$ran, RunState::No),
                        reroute: $reroute,
                        name: $name,
                        help: $help,
                    },)*
                }
            }

            /// Returns the code of the kind in messages between nodes.
            pub const fn code(self) -> u32 {
                match self { $(Self::$kind => $code,)* }
            }

            /// Returns the kind with a code, or `None` if the code is unknown.
            pub const fn from_code(code: u32) -> Option<Self> {
                match code { $($code => Some(Self::$kind),)* _ => None }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    RequestInvalid = 1 => 400, No, false, "request_invalid", "The request is malformed; correct the header named in the detail.";
    /// No route matches the method and path.
    RouteUnknown = 2 => 404, No, false, "route_unknown", "No route matches; check the path, or add a route to the configuration.";
    /// The request body is larger than the route allows.
    BodyTooLarge = 3 => 413, No, false, "body_too_large", "The body is over max_body_bytes; send less or raise the setting.";
    /// No configuration version is in force at this node yet.
    NodeUnready = 4 => 503, No, false, "node_unready", "The node is starting; try another node.";
    /// No target of the service is known or could be reached.
    TargetMissing = 5 => 503, No, false, "target_missing", "No backend server of this service is known here; retry later.";
    /// Every target has reported overload for this rank.
    FleetOverloaded = 6 => 503, No, false, "fleet_overloaded", "Every backend server is busy with work as urgent; retry after the given time.";
    /// The target's queue is full of calls that are at least as urgent.
    QueueFull = 7 => 503, No, true, "queue_full", "The target's queue is full; retry after the given time.";
    /// The deadline passed before the call ran, such as while it waited for a slot.
    DeadlineQueued = 8 => 504, No, false, "deadline_queued", "The deadline passed before the call ran; allow more time or retry.";
    /// The deadline passed while the call ran.
    DeadlineRunning = 9 => 504, Unknown, false, "deadline_running", "The deadline passed while the call ran; check its effect before you retry.";
    /// The target is draining.
    TargetDraining = 10 => 503, No, true, "target_draining", "The backend server is leaving; retry.";
    /// The caller disconnected before the call ran.
    CallerGone = 11 => 499, No, false, "caller_gone", "The caller closed its connection before the call ran.";
    /// The outcome is unknown, for example because the target's node was lost after dispatch.
    TargetLost = 12 => 502, Unknown, false, "target_lost", "The target's node was lost while it held the call; check its effect before you retry.";
    /// The owner received a query or cancellation before the call itself, and fenced the call so that
    /// it doesn't run.
    CallBarred = 13 => 503, No, true, "call_barred", "The dispatch was lost on its way and is barred; retry.";
    /// The response was shorter than its announced length, or isn't one in the protocol.
    AnswerTruncated = 14 => 502, Unknown, false, "answer_truncated", "The answer broke off or isn't valid; check the call's effect before you retry.";
    /// The connection to the backend server broke after the request was sent.
    BackendBroken = 15 => 502, Unknown, false, "backend_broken", "The backend server's connection broke; check the call's effect before you retry.";
    /// The backend server refused the connection.
    BackendRefused = 16 => 503, No, true, "backend_refused", "The backend server takes no connections; retry.";
    /// The backend server shed the call without running it.
    BackendShed = 17 => 503, No, true, "backend_shed", "The backend server shed the call unrun; retry after the given time.";
    /// The idempotency key was already used for another request.
    KeyReused = 18 => 422, No, false, "key_reused", "This Idempotency-Key was used with another request; make a new key.";
    /// The outcome of the call that claimed the idempotency key is unknown, for example because its
    /// node was lost.
    KeyUnknown = 19 => 409, Unknown, false, "key_unknown", "The first try with this key was lost with its node; check its effect and use a new key.";
    /// The claim on the key couldn't be recorded in the platform's store.
    ClaimUnavailable = 20 => 503, No, false, "claim_unavailable", "The platform's store is out, so the key can't be claimed; retry later or send without a key.";
    /// The target doesn't serve the requested service.
    ServiceMismatch = 21 => 503, No, true, "service_mismatch", "The target no longer serves this service; retry.";
    /// This node is shutting down.
    NodeStopping = 22 => 503, No, false, "node_stopping", "The node is stopping; retry at another node.";
    /// The request has crashed several backend servers and is held back.
    RequestHeld = 23 => 503, No, false, "request_held", "This request crashed several backend servers and is held back for minutes; correct the request or the backend server.";
    /// The node has no memory for the request's body.
    BodyUnbuffered = 24 => 503, No, false, "body_unbuffered", "The node has no memory for a body of this size now; retry after the given time.";
    /// The request carries a key that no workspace holds.
    ApiKeyUnknown = 25 => 401, No, false, "api_key_unknown", "No workspace holds this key; check it, or ask for a new one.";
    /// The workspace has used up its quota.
    QuotaExceeded = 26 => 429, No, false, "quota_exceeded", "The workspace has used up its quota; retry after the given time.";
    /// A roll-out doesn't allow requests to the target's software version now.
    VersionHeld = 27 => 503, No, true, "version_held", "The target's software version gets no requests now; retry.";
    /// The node that counts the workspace's quota didn't answer in time.
    QuotaUnavailable = 28 => 503, No, false, "quota_unavailable", "The workspace's quota can't be checked now; retry after the given time.";
    /// The request's body couldn't be sent to its target by the deadline.
    BodyUnsent = 29 => 503, No, false, "body_unsent", "The body couldn't be sent to its backend server in time; retry after the given time.";
}

impl std::fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.rule().name)
    }
}
