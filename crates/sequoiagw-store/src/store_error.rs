//! Errors of calls to the platform's store.

use thiserror::Error;

use crate::StoreEra;

/// Error of a call to the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store can't be reached or sent no complete answer. A write may have taken effect.
    #[error("no answer from the platform's store ({detail}); a write may have taken effect")]
    Unavailable {
        /// Error of the connection.
        detail: String,
    },
    /// The store refused the call, which had no effect.
    #[error("the platform's store refused the call with status {status}: {detail}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        detail: String,
    },
    /// The answer doesn't follow the store's protocol.
    #[error("can't decode the answer of the platform's store: {detail}")]
    Malformed {
        /// Error of the decoder.
        detail: String,
    },
    /// The requested revision was compacted. The reader must read the current state again.
    #[error("the requested revision was compacted; the oldest available revision is {oldest}")]
    Compacted {
        /// Oldest revision that the store still has; 0 if the store doesn't report it.
        oldest: u64,
    },
    /// The answer was given before the store came back from an older copy, of which a later answer
    /// has told.
    #[error("the answer is of era {era} of the store, which is in era {latest}")]
    Superseded {
        /// Era of the answer.
        era: StoreEra,
        /// Latest known era.
        latest: StoreEra,
    },
    /// The store has no such lease, because it lapsed or was revoked.
    #[error("lease {lease} has lapsed")]
    LeaseLapsed {
        /// Identifier of the lease; 0 if the store doesn't report it.
        lease: u64,
    },
}
