//! A call at the node that owns its target.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::CallId;
use crate::RunId;

/// A call to be run at the backend server.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Number of the run.
    pub run: RunId,
    /// The call.
    pub dispatch: CallDispatch,
    /// Deadline told to the backend server.
    pub deadline: Instant,
}

/// What came of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackendResult {
    /// The backend server answered in full.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<HeaderField>,
        /// Whole body.
        body: Bytes,
    },
    /// The backend server shed the call and says that it didn't run.
    Shed,
    /// No connection could be made; nothing was sent.
    Refused,
    /// The connection broke after something was sent.
    Broken,
    /// The answer was shorter than announced.
    Truncated,
    /// The run was aborted at its deadline or on cancellation.
    Aborted,
}

impl BackendResult {
    /// The outcome told to the entry.
    pub fn into_outcome(self) -> CallOutcome {
        match self {
            Self::Answered {
                status,
                headers,
                body,
            } => CallOutcome::Served(ServedAnswer {
                status: u32::from(status),
                headers,
                length: body.len() as u64,
                body,
                replayed: false,
            }),
            Self::Shed => CallOutcome::refused(ErrorKind::BackendShed),
            Self::Refused => CallOutcome::refused(ErrorKind::BackendRefused),
            Self::Broken => CallOutcome::refused(ErrorKind::BackendBroken),
            Self::Truncated => CallOutcome::refused(ErrorKind::AnswerTruncated),
            Self::Aborted => CallOutcome::refused(ErrorKind::DeadlineRunning),
        }
    }
}

/// State of a call at its owner.
#[derive(Clone, Debug)]
pub(crate) enum OwnerState {
    /// Its key is being claimed.
    Claiming,
    /// It waits for a slot.
    Queued,
    /// It runs.
    Running(RunId),
    /// It waits for the answer to another call with the same key.
    Attached,
    /// It is over; the outcome is kept for a while.
    Done(CallOutcome),
}

/// A call at its owner.
#[derive(Clone, Debug)]
pub(crate) struct OwnerCall {
    pub(crate) dispatch: CallDispatch,
    pub(crate) deadline: Instant,
    pub(crate) state: OwnerState,
    /// When it came.
    pub(crate) came: Instant,
    /// Time for which it waited for its slot, zero until it has one.
    pub(crate) waited: Duration,
    /// Time for which it held its slot, zero until it has run.
    pub(crate) held: Duration,
    /// Calls with the same key that wait for this one's answer.
    pub(crate) attached: Vec<CallId>,
}

impl OwnerCall {
    /// Key within its service, `None` for a call without a key.
    pub(crate) fn scoped_key(&self) -> Option<String> {
        scoped_key(&self.dispatch)
    }
}

/// Key of a call within its service.
pub(crate) fn scoped_key(dispatch: &CallDispatch) -> Option<String> {
    if dispatch.key.is_empty() {
        return None;
    }
    Some(format!("{}/{}", dispatch.service, dispatch.key))
}
