//! Why the answer of a backend server can't be read.

use sequoiagw_policy::BackendResult;
use sequoiagw_protocol::StatusError;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use thiserror::Error;
use tracing::info;

use crate::body_reader::BodyError;
use crate::NodeCounters;

/// Why the answer of a backend server can't be read. Nothing that it says is believed then.
#[derive(Debug, Error)]
pub(crate) enum AnswerError {
    /// The head isn't one in the protocol.
    #[error("the head isn't valid: {0}")]
    Head(hyper::Error),
    /// The status isn't that of a final response.
    #[error(transparent)]
    Status(#[from] StatusError),
    /// The body can't be read.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl AnswerError {
    /// Name of the reason in logs and counters.
    fn name(&self) -> &'static str {
        match self {
            Self::Head(error) if error.is_parse_status() => "invalid_status",
            Self::Head(error) if error.is_parse_too_large() => "head_too_large",
            Self::Head(_) => "malformed",
            Self::Status(_) => "invalid_status",
            Self::Body(BodyError::TooLarge) => "body_too_large",
            Self::Body(BodyError::NoRoom) => "no_room",
            Self::Body(BodyError::Broken(_)) => "body_broken",
        }
    }

    /// Result of the run whose answer it is.
    pub(crate) fn run_result(&self) -> BackendResult {
        match self {
            Self::Head(_) => BackendResult::Broken,
            Self::Status(_) | Self::Body(_) => BackendResult::Truncated,
        }
    }

    /// Counts and logs the answer to a request.
    pub(crate) fn record(&self, request_id: &str, counters: &NodeCounters) {
        let reason = self.name();
        counters.count_unreadable_answer(reason);
        info!(
            target: REQUEST_LOG_TARGET,
            event = "answer_unreadable", request = request_id, reason, error = %self
        );
    }
}
