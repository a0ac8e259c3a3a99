//! Nodes of the fleet, and their open runs.

use std::time::Duration;

use sequoiagw_policy::RolloutController;
use sequoiagw_policy::RunStatistics;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RunStatsReply;
use tokio::time::Instant;

use crate::backend::Backend;

/// A node of the old version.
pub struct OldNode {
    pub backend: Backend,
    pub statistics: RunStatistics,
    pub open: u32,
}

impl OldNode {
    /// Reply to a driver's request for statistics.
    pub fn reply(&self, known: &RolloutRecord, now: Instant) -> RunStatsReply {
        RunStatsReply {
            service: known.service.clone(),
            version: "v1".to_owned(),
            routes: self.statistics.reply(now),
            started_runs: self.statistics.started_runs(),
            open_calls: self.open,
            order_revision: known.order_revision,
            stage: known.stage,
        }
    }
}

/// A node of the new version.
pub struct NewNode {
    pub backend: Backend,
    /// `None` until the backend server has started.
    pub controller: Option<RolloutController>,
}

/// A run that has not ended.
pub struct OpenRun {
    pub is_new: bool,
    pub index: usize,
    pub route: &'static str,
    pub time: Duration,
    pub failed: bool,
}
