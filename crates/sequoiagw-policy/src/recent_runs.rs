//! Requests that ran well lately, as far as this node knows.

use std::time::Duration;

use tokio::time::Instant;

use crate::RequestDigest;

/// Number of requests that are remembered.
const SLOT_COUNT: usize = 2048;
/// Time for which a request is remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Remembers which requests ran well, and when last. A later request takes the place of another.
///
/// Serves equal reads that callers repeat all the time. They run beside any request that crashes
/// backend servers, and are told apart from it because they ran well before.
#[derive(Clone, Debug)]
pub(crate) struct RecentRuns {
    slots: Vec<Option<(RequestDigest, Instant)>>,
}

impl Default for RecentRuns {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOT_COUNT],
        }
    }
}

impl RecentRuns {
    /// Records that a request ran well.
    pub(crate) fn record(&mut self, digest: RequestDigest, now: Instant) {
        self.slots[slot_of(digest)] = Some((digest, now));
    }

    /// When a request last ran well, `None` if it isn't remembered.
    pub(crate) fn last_run(&self, digest: RequestDigest, now: Instant) -> Option<Instant> {
        let (recorded, at) = self.slots[slot_of(digest)]?;
        (recorded == digest && now < at + RETENTION).then_some(at)
    }
}

fn slot_of(digest: RequestDigest) -> usize {
    digest.0 as usize % SLOT_COUNT
}
