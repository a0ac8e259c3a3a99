//! The edge at which a process meets the platform's store.

use std::future::Future;
use std::pin::Pin;

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::StoreError;
use crate::StoreReply;
use crate::StoreRequest;
use crate::WatchUpdate;

/// Result of a call, to come.
pub type StoreFuture = Pin<Box<dyn Future<Output = Result<StoreReply, StoreError>>>>;

/// Sending end of a watch.
pub type WatchSender = Sender<Result<WatchUpdate, StoreError>>;

/// Receiving end of a watch; it closes when the watch ends.
pub type WatchReceiver = Receiver<Result<WatchUpdate, StoreError>>;

/// The platform's key-value store.
pub trait PlatformStore {
    /// Makes one call. The future may be dropped; the call may then still take effect.
    fn call(&self, request: StoreRequest) -> StoreFuture;

    /// Watches one key from a revision on.
    ///
    /// The watch ends with an error or by dropping the receiver.
    fn watch(&self, key: &str, from_revision: u64) -> WatchReceiver;
}
