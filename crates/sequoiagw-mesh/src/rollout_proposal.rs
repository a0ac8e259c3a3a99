//! Records of roll-outs that this node is to write to the store.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;

use crate::KnownRollout;

/// Delay of each watcher's write behind that of the watcher before it.
const WATCHER_WRITE_DELAY: Duration = Duration::from_millis(300);
/// Time between two attempts of a watcher to write a record.
const WATCHER_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the duration after which watchers end a roll-out that is still in its first stage.
const WATCHER_ROLLBACK_FRACTION: f64 = 0.9;

/// Age of the shifting stage from which watchers end a roll-out whose new targets are all gone.
const ABANDONED_SHIFT_AGE: Duration = Duration::from_secs(1);

/// A record to write to the store if the one there still has a certain revision.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutProposal {
    /// Record to write.
    pub record: RolloutRecord,
    /// Revision of the service's record in the store; 0 if the store has none.
    pub expected_revision: u64,
}

/// Proposals that haven't been taken for writing, by service. A later one replaces an earlier one.
#[derive(Debug, Default)]
pub(crate) struct ProposalQueue {
    waiting: BTreeMap<String, RolloutProposal>,
    /// Latest write that this node has proposed as a watcher.
    last_watcher_writes: BTreeMap<String, Instant>,
}

impl ProposalQueue {
    pub(crate) fn push(&mut self, proposal: RolloutProposal) {
        let service = proposal.record.service.clone();
        self.waiting.insert(service, proposal);
    }

    pub(crate) fn take_next(&mut self) -> Option<RolloutProposal> {
        let (_, proposal) = self.waiting.pop_first()?;
        Some(proposal)
    }

    /// Withdraws the proposal for a service, whose record has changed.
    pub(crate) fn withdraw(&mut self, service: &str) {
        self.waiting.remove(service);
        self.last_watcher_writes.remove(service);
    }

    /// Time at which the watcher at `position` writes a roll-out's record next, or checks whether the
    /// new targets are gone in the shifting stage; `None` if there is nothing to write.
    pub(crate) fn watcher_write_time(
        &self,
        known: &KnownRollout,
        position: usize,
    ) -> Option<Instant> {
        let due = match known.unwritten_since() {
            Some(since) => since,
            None if known.record.stage() == RolloutStage::Canary => {
                known.time_at_age(known.duration().mul_f64(WATCHER_ROLLBACK_FRACTION))
            }
            None if known.record.stage() == RolloutStage::Shifting => {
                known.stage_since + ABANDONED_SHIFT_AGE
            }
            None => return None,
        };
        let retry = self.last_watcher_writes.get(&known.record.service);
        let staggered = due + WATCHER_WRITE_DELAY * position as u32;
        Some(retry.map_or(staggered, |last| {
            staggered.max(*last + WATCHER_RETRY_INTERVAL)
        }))
    }

    /// Records that this node proposes a write, or has checked whether it has to, as a watcher.
    pub(crate) fn record_watcher_write(&mut self, service: &str, now: Instant) {
        self.last_watcher_writes.insert(service.to_owned(), now);
    }
}

/// Record that the watcher called `writer` writes: the first one of an order, a final one that the
/// store has lost, or the end of a roll-out that hasn't left its first stage in time or has lost its
/// new targets.
///
/// `is_everywhere` says whether all targets of the service already have the version, so that there is
/// nothing to roll out.
pub(crate) fn watcher_proposal(
    known: &KnownRollout,
    writer: &str,
    era: StoreEra,
    is_everywhere: bool,
) -> RolloutProposal {
    let stage = match known.unwritten_since() {
        Some(_) if is_everywhere && !known.is_recorded() => RolloutStage::Completed,
        Some(_) => known.record.stage(),
        None => RolloutStage::RolledBack,
    };
    let record = RolloutRecord {
        stage: stage.into(),
        writer: writer.to_owned(),
        revision: 0,
        store_era: era.0,
        ..known.record.clone()
    };
    RolloutProposal {
        record,
        expected_revision: known.stored_revision,
    }
}
