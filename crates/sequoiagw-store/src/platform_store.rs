//! Interface of a key-value store that streams changes.

use std::future::Future;
use std::pin::Pin;

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::StoreError;
use crate::StoreReply;
use crate::StoreRequest;
use crate::WatchUpdate;

/// Future result of a call to the store.
pub type StoreFuture = Pin<Box<dyn Future<Output = Result<StoreReply, StoreError>>>>;

/// Sending end of a watch.
pub type WatchSender = Sender<Result<WatchUpdate, StoreError>>;

/// Receiving end of a watch. The channel closes when the watch ends.
pub type WatchReceiver = Receiver<Result<WatchUpdate, StoreError>>;

/// A key-value store with watches that stream changes.
pub trait PlatformStore {
    /// Makes one call. If the future is dropped, the call may still take effect.
    fn call(&self, request: StoreRequest) -> StoreFuture;

    /// Watches one key and reports its changes from `from_revision` on.
    ///
    /// The watch ends with an error or when the receiver is dropped.
    fn watch(&self, key: &str, from_revision: u64) -> WatchReceiver;
}
