//! What a node hears from the watchers of its data centre.
//!
//! Two nodes of each data centre, the watchers, watch the registrations and the configuration in
//! the platform's store and send changes to the others, so that the load on the store doesn't
//! grow with the fleet. The watchers also send a digest of the registrations at intervals. A node
//! that receives none watches the store itself, and a node whose own digest stays different
//! reads all registrations again.

use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Time without a digest after which a node watches the store itself.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(1100);
/// Time for which the watchers' digest may differ before all registrations are read again.
const MISMATCH_READ_DELAY: Duration = Duration::from_millis(2500);
/// Extra time before the first timeout after a start, in which nodes register and learn which of
/// them are the watchers. It ends with the first version, which the node must keep up to date.
const STARTUP_GRACE: Duration = Duration::from_millis(2900);
/// Time for which the watchers' digest may differ before one of them is asked for its records.
const MISMATCH_REQUEST_DELAY: Duration = Duration::from_millis(900);
/// Time for which the watchers' version may be newer than this node's before the version is read
/// from the store. Meanwhile each digest leads to a request to its sender.
const NEWER_VERSION_READ_DELAY: Duration = Duration::from_millis(900);

/// What a watcher's latest digest said of its access to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatcherReport {
    /// It had the store when the digest arrived, at this time.
    StoreAvailable(Instant),
    /// It had lost the store.
    StoreLost,
}

/// Tracks the digests and versions that a node receives from the watchers of its data centre.
#[derive(Debug, Default)]
pub struct WatcherMonitor {
    /// Report of each watcher. One that has ended, or whose digest is too old, has none.
    reports: HashMap<NodeId, WatcherReport>,
    /// When the newest of these digests arrived, also of a watcher that has lost the store since.
    newest_digest: Option<Instant>,
    /// End of the startup grace, `None` once a watcher has reported.
    grace_end: Option<Instant>,
    /// Since when the watchers' digest has differed from this node's.
    mismatch_since: Option<Instant>,
    /// Whether a watcher has been asked for its records since `mismatch_since`.
    records_requested: bool,
    /// Since when the watchers' version has been newer than this node's.
    newer_since: Option<Instant>,
}

impl WatcherReport {
    fn is_current(self, now: Instant) -> bool {
        match self {
            Self::StoreAvailable(time) => now < time + DIGEST_TIMEOUT,
            Self::StoreLost => true,
        }
    }
}

impl WatcherMonitor {
    /// State of a process that starts at `now`. The watchers get extra time before they count as
    /// unresponsive, so that the process doesn't watch the store itself at once.
    pub fn with_startup_grace(now: Instant) -> Self {
        Self {
            grace_end: Some(now + STARTUP_GRACE),
            ..Self::default()
        }
    }

    /// Ends the startup grace, since the node has its first version. The watchers may not know the
    /// node, so only their digests show that they will send the next one.
    pub fn on_first_version(&mut self, now: Instant) {
        self.grace_end = self.grace_end.map(|grace_end| grace_end.min(now));
    }

    /// Time since a watcher that had the store sent a digest, `None` before the first one.
    pub fn silent_time(&self, now: Instant) -> Option<Duration> {
        let newest_digest = self.newest_digest?;
        Some(now.saturating_duration_since(newest_digest))
    }

    /// Whether no watcher that has the store has sent a digest within the timeout.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.deadline().is_none_or(|deadline| now >= deadline)
    }

    /// Time from which [`Self::is_unresponsive`] holds without another digest, `None` if it already
    /// holds.
    pub fn deadline(&self) -> Option<Instant> {
        Some(self.last_digest()? + DIGEST_TIMEOUT)
    }

    /// Newest digest of all watchers that have the store; before the first one, the end of the
    /// startup grace.
    fn last_digest(&self) -> Option<Instant> {
        let digests = self.reports.values().filter_map(|report| match report {
            WatcherReport::StoreAvailable(time) => Some(*time),
            WatcherReport::StoreLost => None,
        });
        digests.max().or(self.grace_end)
    }

    /// Compares the digest of a watcher that has the store with this node's; returns whether its
    /// previous report was another one.
    pub fn on_digest(
        &mut self,
        watcher: NodeId,
        digest: u64,
        own_digest: u64,
        now: Instant,
    ) -> bool {
        self.reports.retain(|_, report| report.is_current(now));
        let report = WatcherReport::StoreAvailable(now);
        let previous = self.reports.insert(watcher, report);
        self.newest_digest = Some(now);
        self.grace_end = None;
        if digest == own_digest {
            self.mismatch_since = None;
            self.records_requested = false;
        } else {
            self.mismatch_since.get_or_insert(now);
        }
        !matches!(previous, Some(WatcherReport::StoreAvailable(_)))
    }

    /// Handles a digest of a watcher that has lost the store; returns whether its previous report
    /// was another one. Its earlier digests no longer show that what it sends is up to date.
    pub fn on_store_lost(&mut self, watcher: NodeId) -> bool {
        self.grace_end = None;
        let previous = self.reports.insert(watcher, WatcherReport::StoreLost);
        previous != Some(WatcherReport::StoreLost)
    }

    /// Records that a watcher has probably ended.
    pub fn on_watcher_ended(&mut self, watcher: NodeId) {
        self.reports.remove(&watcher);
    }

    /// Whether a watcher must be asked for its records; true once while the digests differ.
    pub fn take_pending_records_request(&mut self, now: Instant) -> bool {
        let overdue = self
            .mismatch_since
            .is_some_and(|since| now >= since + MISMATCH_REQUEST_DELAY);
        overdue && !std::mem::replace(&mut self.records_requested, overdue)
    }

    /// Compares the number of a watcher's active version with this node's.
    pub fn on_version(&mut self, watcher_number: u64, own_number: u64, now: Instant) {
        if watcher_number > own_number {
            self.newer_since.get_or_insert(now);
        } else {
            self.newer_since = None;
        }
    }

    /// Requires the version to be read from the store without further delay.
    pub fn schedule_version_read(&mut self, now: Instant) {
        self.newer_since = now.checked_sub(NEWER_VERSION_READ_DELAY).or(Some(now));
    }

    /// Whether the version must be read from the store; resets the condition.
    pub fn take_pending_version_read(&mut self, now: Instant) -> bool {
        let pending = self
            .newer_since
            .is_some_and(|since| now >= since + NEWER_VERSION_READ_DELAY);
        if pending {
            self.newer_since = None;
        }
        pending
    }

    /// Whether all registrations must be read from the store; resets the condition.
    pub fn take_pending_registration_read(&mut self, now: Instant) -> bool {
        let pending = self
            .mismatch_since
            .is_some_and(|since| now >= since + MISMATCH_READ_DELAY);
        if pending {
            self.mismatch_since = None;
            self.records_requested = false;
        }
        pending
    }
}
