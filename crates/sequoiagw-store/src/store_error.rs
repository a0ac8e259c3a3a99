//! The closed list of errors of the platform's store.

use thiserror::Error;

/// Why a call to the store gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store can't be reached or didn't answer; a write may have taken effect.
    #[error("the platform's store gave no answer ({detail}); a write may have taken effect")]
    Unavailable {
        /// What the connection reported.
        detail: String,
    },
    /// The store refused the call; nothing took effect.
    #[error("the platform's store refused the call with status {status}: {detail}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the store said.
        detail: String,
    },
    /// The answer isn't what the protocol says.
    #[error("the platform's store gave an answer that doesn't decode: {detail}")]
    Malformed {
        /// What didn't decode.
        detail: String,
    },
    /// The watched revision has been compacted away; read afresh.
    #[error("the watched revision was compacted; the oldest kept is {oldest}")]
    Compacted {
        /// Oldest revision kept.
        oldest: u64,
    },
    /// The lease is unknown: it lapsed or was revoked.
    #[error("lease {lease} has lapsed")]
    LeaseLapsed {
        /// The lease.
        lease: u64,
    },
}
