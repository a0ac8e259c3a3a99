//! Refusals of an owner whose backend server is leaving, or has a software version that gets no
//! requests.

use sequoiagw_protocol::ErrorKind;
use tokio::time::Instant;

use crate::OwnerMachine;

impl OwnerMachine {
    /// Refuses the queued calls without a key, as not run, because the backend server is
    /// leaving.
    pub fn refuse_queued(&mut self, now: Instant) {
        self.refuse_queued_with(ErrorKind::TargetDraining, now);
    }

    pub(crate) fn refuse_queued_with(&mut self, kind: ErrorKind, now: Instant) {
        for id in self.queue.call_ids() {
            // A keyed call stays queued, because its key is claimed for this node.
            if self
                .calls
                .get(&id)
                .is_some_and(|call| call.dispatch.key.is_empty())
            {
                self.queue.remove(id);
                self.refuse(id, kind, now);
            }
        }
    }

    /// Refuses all calls dispatched from now on, as not run, because of the backend server's software
    /// version; `false` ends that.
    pub fn set_version_held(&mut self, held: bool) {
        self.version_held = held;
    }

    /// Refuses the queued calls without a key, as not run, because of the backend server's software
    /// version.
    pub fn refuse_queued_version(&mut self, now: Instant) {
        self.refuse_queued_with(ErrorKind::VersionHeld, now);
    }
}
