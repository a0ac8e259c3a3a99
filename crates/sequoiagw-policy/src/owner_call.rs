//! Calls and runs at the node that owns their target.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::CallId;
use crate::RunId;

/// Request to run a call at the backend server.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Number of the run.
    pub run: RunId,
    /// The call, with the time left until its deadline at the start of the run.
    pub dispatch: CallDispatch,
    /// Time at which the run is aborted; later than the call's deadline for a keyed call.
    pub deadline: Instant,
}

/// Result of a run at the backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendResult {
    /// The backend server sent a complete answer.
    Answered {
        /// HTTP status code.
        status: FinalStatus,
        /// HTTP headers.
        headers: Vec<HeaderField>,
        /// Complete body.
        body: Bytes,
    },
    /// The backend server shed the call and reported that it didn't run.
    Shed,
    /// No connection could be established, so nothing was sent.
    Refused,
    /// The connection failed after part of the request was sent.
    Broken,
    /// The answer ended before its announced length, or isn't one in the protocol.
    Truncated,
    /// The connection failed after part of the request was sent, because the process of the backend
    /// server has ended.
    Crashed,
    /// The request is held back, because it has crashed several backend servers. Nothing was sent.
    Held,
    /// The run was aborted at its deadline or because the call was cancelled.
    Aborted,
}

impl BackendResult {
    /// Whether the backend server sent a response.
    pub(crate) fn is_response(&self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Shed)
    }

    /// Converts the result into the outcome reported to the entry.
    pub fn into_outcome(self) -> CallOutcome {
        match self {
            Self::Answered {
                status,
                headers,
                body,
            } => CallOutcome::Served(ServedAnswer {
                status: u32::from(status.get()),
                headers,
                length: body.len() as u64,
                body,
                replayed: false,
            }),
            Self::Shed => CallOutcome::refused(ErrorKind::BackendShed),
            Self::Refused => CallOutcome::refused(ErrorKind::BackendRefused),
            Self::Broken | Self::Crashed => CallOutcome::refused(ErrorKind::BackendBroken),
            Self::Held => CallOutcome::refused(ErrorKind::RequestHeld),
            Self::Truncated => CallOutcome::refused(ErrorKind::AnswerTruncated),
            Self::Aborted => CallOutcome::refused(ErrorKind::DeadlineRunning),
        }
    }
}

/// State of a call at its owner.
#[derive(Clone, Debug)]
pub(crate) enum OwnerState {
    /// The claim on its key isn't confirmed yet.
    Claiming,
    /// The call is queued for a slot.
    Queued,
    /// The call runs at the backend server.
    Running(RunId),
    /// The call shares the run of another call with the same key and waits for its answer.
    Coalesced,
    /// The call is finished. Its outcome is kept for later queries.
    Done(CallOutcome),
}

/// Record of a call at its owner.
#[derive(Clone, Debug)]
pub(crate) struct OwnerCall {
    pub(crate) dispatch: CallDispatch,
    pub(crate) deadline: Instant,
    pub(crate) state: OwnerState,
    /// Time at which the dispatch was received.
    pub(crate) received_at: Instant,
    /// Time from the receipt of the dispatch to the start of the run, zero until then.
    pub(crate) slot_wait: Duration,
    /// Time for which the call occupied its slot, zero until the run has ended.
    pub(crate) occupancy: Duration,
    /// Calls with the same key that wait for this call's answer.
    pub(crate) coalesced: Vec<CallId>,
}

impl OwnerCall {
    /// Idempotency key qualified by the service, `None` for a call without a key.
    pub(crate) fn scoped_key(&self) -> Option<String> {
        scoped_key(&self.dispatch)
    }
}

/// Idempotency key of a call qualified by its service, `None` for a call without a key.
pub(crate) fn scoped_key(dispatch: &CallDispatch) -> Option<String> {
    if dispatch.key.is_empty() {
        return None;
    }
    Some(format!("{}/{}", dispatch.service, dispatch.key))
}
