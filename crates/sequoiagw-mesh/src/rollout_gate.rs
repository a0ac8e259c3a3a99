//! What the stages of a roll-out allow: which targets entries may use, and which calls owners accept.

use std::time::Duration;

use sequoiagw_policy::RolloutController;
use sequoiagw_protocol::RolloutStage;
use tokio::time::Instant;

use crate::KnownRollout;
use crate::RolloutTable;

/// Time for which an owner of an old version accepts calls after it learned that requests shift to the
/// new one, since entries learn of it at other times.
pub const OLD_VERSION_GRACE: Duration = Duration::from_secs(1);
/// Time after the end of a completed roll-out from which all versions are used again. Heartbeats of
/// the old backend servers, which stop at the end, have timed out by then.
pub const COMPLETED_HOLD_TIME: Duration = Duration::from_secs(10);

/// Whether an owner accepts calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GateState {
    /// Calls are accepted.
    Open,
    /// Calls are refused.
    Closed,
}

impl GateState {
    fn open_if(condition: bool) -> Self {
        if condition {
            Self::Open
        } else {
            Self::Closed
        }
    }
}

/// Gate of an owner of `service` whose backend server has the software version `version`.
/// `controller` is the node's part in the roll-out, if it has one.
pub(crate) fn gate_state(
    table: &RolloutTable,
    service: &str,
    version: &str,
    controller: Option<&RolloutController>,
    now: Instant,
) -> GateState {
    if !table.is_complete() {
        return GateState::Closed;
    }
    let Some(known) = table.rollout(service) else {
        return GateState::Open;
    };
    let is_new = known.record.new_version == version;
    let is_admitted = match known.record.stage() {
        RolloutStage::Canary | RolloutStage::Shifting if is_new => {
            known.is_recorded() && controller.is_some_and(|controller| controller.admits(now))
        }
        RolloutStage::Canary => true,
        RolloutStage::Shifting => now < known.stage_since + OLD_VERSION_GRACE,
        RolloutStage::Completed => is_new || now >= known.stage_since + COMPLETED_HOLD_TIME,
        RolloutStage::RolledBack => !is_new,
    };
    GateState::open_if(is_admitted)
}

/// Whether an entry may use a target of the software version `version`, apart from the driver's.
pub(crate) fn is_usable(known: Option<&KnownRollout>, version: &str, now: Instant) -> bool {
    let Some(known) = known else {
        return true;
    };
    let is_new = known.record.new_version == version;
    match known.record.stage() {
        RolloutStage::Canary | RolloutStage::RolledBack => !is_new,
        RolloutStage::Shifting => is_new,
        RolloutStage::Completed => is_new || now >= known.stage_since + COMPLETED_HOLD_TIME,
    }
}

/// Next time after `now` at which a stage allows something else without a new record.
pub(crate) fn next_change(known: &KnownRollout, now: Instant) -> Option<Instant> {
    let change = match known.record.stage() {
        RolloutStage::Shifting => known.stage_since + OLD_VERSION_GRACE,
        RolloutStage::Completed => known.stage_since + COMPLETED_HOLD_TIME,
        RolloutStage::Canary | RolloutStage::RolledBack => return None,
    };
    (change > now).then_some(change)
}
