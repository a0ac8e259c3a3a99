//! The edge at which a process asks a store for changes, one call at a time.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use crate::KeyEntry;
use crate::StoreError;
use crate::StoreFuture;
use crate::StoreRequest;

/// Asks for the changes of all keys with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Prefix; an empty one stands for all keys.
    pub prefix: String,
    /// Revision after which changes are wanted.
    pub after: u64,
    /// Time for which the store may wait for the first change.
    pub wait: Duration,
}

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyChange {
    /// The key has a new value.
    Written(KeyEntry),
    /// The key was deleted, or its lease has lapsed.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: u64,
    },
}

/// Changes in their order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeBatch {
    /// The changes; empty when the wait ended without any.
    pub changes: Vec<KeyChange>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// Changes, to come.
pub type PollFuture = Pin<Box<dyn Future<Output = Result<ChangeBatch, StoreError>>>>;

/// A store that is asked for changes instead of streaming them.
pub trait PollingStore {
    /// Makes one call. The future may be dropped; the call may then still take effect.
    fn call(&self, request: StoreRequest) -> StoreFuture;

    /// Asks for changes; [`StoreError::Compacted`] when some of them are no longer kept.
    fn poll(&self, request: PollRequest) -> PollFuture;
}
