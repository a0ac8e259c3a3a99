//! Interface of a key-value store whose changes are polled.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use crate::EraAnswer;
use crate::KeyEntry;
use crate::StoreError;
use crate::StoreReply;
use crate::StoreRequest;

/// Request for the changes to all keys with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Key prefix; an empty one selects all keys.
    pub prefix: String,
    /// Revision after which changes are returned.
    pub after: u64,
    /// Longest time for which the store waits for a first change before it answers.
    pub wait: Duration,
}

/// A change to one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyChange {
    /// The key was created or has a new value.
    Written(KeyEntry),
    /// The key was deleted, by a call or because its lease lapsed.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: u64,
    },
}

/// Changes in revision order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeBatch {
    /// The changes; empty if none occurred during the wait.
    pub changes: Vec<KeyChange>,
    /// Revision to pass as [`PollRequest::after`] in the next poll.
    pub revision: u64,
}

/// Future answer to a call.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<EraAnswer<StoreReply>, StoreError>>>>;
/// Future answer to a poll.
pub type PollFuture = Pin<Box<dyn Future<Output = Result<EraAnswer<ChangeBatch>, StoreError>>>>;

/// A key-value store that is polled for changes instead of streaming them.
pub trait PollingStore {
    /// Makes one call. If the future is dropped, the call may still take effect.
    fn call(&self, request: StoreRequest) -> CallFuture;

    /// Requests changes.
    ///
    /// Errors: [`StoreError::Compacted`] if the store no longer has all of the changes.
    fn poll(&self, request: PollRequest) -> PollFuture;
}
