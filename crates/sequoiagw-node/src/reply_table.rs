//! Callers that wait for the replies to their calls.

use std::collections::HashMap;

use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;
use tokio::sync::oneshot;

/// Senders of the replies to open calls, by call.
#[derive(Debug, Default)]
pub struct ReplyTable {
    senders: HashMap<u64, oneshot::Sender<CallerReply>>,
}

impl ReplyTable {
    /// Adds a call and returns the receiver of its reply.
    pub fn open(&mut self, call: u64) -> oneshot::Receiver<CallerReply> {
        let (sender, receiver) = oneshot::channel();
        self.senders.insert(call, sender);
        receiver
    }

    /// Passes on the reply to a call, whose caller may have just stopped waiting.
    pub fn resolve(&mut self, call: u64, reply: CallerReply) {
        if let Some(sender) = self.senders.remove(&call) {
            let _ = sender.send(reply);
        }
    }

    /// Removes a call whose caller no longer waits.
    pub fn remove(&mut self, call: u64) {
        self.senders.remove(&call);
    }
}

/// Cancels a call when it is dropped before the reply.
struct CancelGuard<Cancel>
where
    Cancel: FnOnce(),
{
    cancel: Option<Cancel>,
}

impl<Cancel> Drop for CancelGuard<Cancel>
where
    Cancel: FnOnce(),
{
    fn drop(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel();
        }
    }
}

/// Waits for the reply to a call of this level. `cancel` is called if the future is dropped before
/// the reply.
pub async fn wait_for_reply<Cancel>(
    receiver: oneshot::Receiver<CallerReply>,
    level: RankLevel,
    cancel: Cancel,
) -> CallerReply
where
    Cancel: FnOnce(),
{
    let mut guard = CancelGuard {
        cancel: Some(cancel),
    };
    let reply = receiver.await;
    guard.cancel = None;
    reply.unwrap_or_else(|_| CallerReply::from_error(ErrorKind::TargetLost, level))
}
