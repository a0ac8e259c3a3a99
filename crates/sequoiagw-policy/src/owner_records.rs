//! What an owner remembers of calls that ended or never arrived.

use std::time::Duration;

use tokio::time::Instant;

use crate::CallId;
use crate::OwnerMachine;

/// Time after a call's deadline for which the owner remembers that it received the call.
///
/// Entries stop querying shortly after the deadline. A query for a call whose id was dropped
/// earlier would fence the call and report it as not run.
const CALL_ID_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a call stays fenced.
const FENCE_RETENTION: Duration = Duration::from_secs(20 * 60);

impl OwnerMachine {
    /// Guarantees that a call that was never received is refused if its dispatch arrives within
    /// [`FENCE_RETENTION`].
    pub(crate) fn fence(&mut self, id: CallId, now: Instant) {
        let until = now + FENCE_RETENTION;
        if self.fences.insert(id, until).is_none() {
            self.fence_expiries.insert((until, id));
        }
    }

    pub(crate) fn expire_records(&mut self, now: Instant) {
        while let Some((due, id)) = self.retention_deadlines.first().copied() {
            if due > now {
                break;
            }
            self.retention_deadlines.pop_first();
            let Some(call) = self.calls.remove(&id) else {
                self.finished_ids.remove(&id);
                continue;
            };
            let retain_until = call.deadline + CALL_ID_RETENTION;
            if retain_until > now {
                self.finished_ids.insert(id);
                self.retention_deadlines.insert((retain_until, id));
            }
        }
        while let Some((until, id)) = self.fence_expiries.first().copied() {
            if until > now {
                break;
            }
            self.fence_expiries.pop_first();
            self.fences.remove(&id);
        }
    }
}
