//! Answers that may be delivered to callers.

use bytes::Bytes;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::ServedAnswer;
use sequoiagw_protocol::StatusError;
use thiserror::Error;

/// Answer of a backend server that may be delivered to its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: FinalStatus,
    /// Header fields for the caller.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Whether this is the stored answer of an earlier call with the same idempotency key.
    pub replayed: bool,
}

/// Why an owner's message holds no answer that may be delivered. The owner may run an earlier version,
/// which passes on what this one refuses to read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ServedError {
    /// The status isn't that of a final response.
    #[error(transparent)]
    Status(#[from] StatusError),
    /// The body hasn't the length that the owner states.
    #[error("the body has {received} of {stated} bytes")]
    Length {
        /// Bytes of the body.
        received: u64,
        /// Bytes of the body at the owner.
        stated: u64,
    },
}

impl ServedError {
    /// Name of the reason in logs and counters.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Status(_) => "invalid_status",
            Self::Length { .. } => "body_broken",
        }
    }
}

impl CallerAnswer {
    /// Whether the backend server doesn't say that it failed.
    pub fn ran_well(&self) -> bool {
        !self.status.is_server_error()
    }
}

impl TryFrom<ServedAnswer> for CallerAnswer {
    type Error = ServedError;

    fn try_from(served: ServedAnswer) -> Result<Self, Self::Error> {
        let received = served.body.len() as u64;
        if served.length != received {
            let stated = served.length;
            return Err(ServedError::Length { received, stated });
        }
        Ok(Self {
            status: FinalStatus::try_from(served.status)?,
            headers: served.headers,
            body: served.body,
            replayed: served.replayed,
        })
    }
}
