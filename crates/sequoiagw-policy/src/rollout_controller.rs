//! One node's part in the roll-out of its own service.

use std::time::Duration;

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RunStatsReply;
use tokio::time::Instant;

use crate::RolloutAction;
use crate::RolloutMembers;
use crate::RolloutSettings;
use crate::RunSample;

/// One node's part in the roll-out of its own service; exists at nodes of the new version.
#[derive(Debug)]
pub struct RolloutController {
    _settings: RolloutSettings,
    _node: String,
    record: RolloutRecord,
}

impl RolloutController {
    /// Creates the controller of the node called `node`. `order_age` is the time since the order.
    pub fn new(
        settings: RolloutSettings,
        node: &str,
        record: RolloutRecord,
        _order_age: Duration,
        _now: Instant,
    ) -> Self {
        Self {
            _settings: settings,
            _node: node.to_owned(),
            record,
        }
    }

    /// Takes over a later record of the same order.
    pub fn on_record(&mut self, record: &RolloutRecord, _now: Instant) {
        self.record = record.clone();
    }

    /// Sets the registered nodes of the service.
    pub fn set_members(&mut self, _members: RolloutMembers, _now: Instant) {}

    /// Sets whether the backend server is ready, and the end of its warm-up if it has one.
    pub fn set_ready(&mut self, _ready: bool, _warm_up_end: Option<Instant>, _now: Instant) {}

    /// Counts a call that the owner has accepted. To be called before the next [`Self::admits`],
    /// also if the call is queued first, so that queued calls stay within the exposure cap.
    pub fn on_run_started(&mut self, _now: Instant) {}

    /// Records a finished run.
    pub fn on_run_finished(&mut self, _run: &RunSample<'_>, _now: Instant) {}

    /// Takes over what a node of an old version has seen.
    pub fn on_stats(&mut self, _node: NodeId, _stats: &RunStatsReply, _now: Instant) {}

    /// Whether the owner may accept one more call now.
    pub fn admits(&self, _now: Instant) -> bool {
        false
    }

    /// Acts on the time that has passed.
    pub fn on_tick(&mut self, _now: Instant) {}

    /// Time of the next [`Self::on_tick`], `None` if there is nothing to wait for.
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }

    /// Removes and returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<RolloutAction> {
        Vec::new()
    }
}
