//! Cap on the number of runs that a driver starts at its backend server.

use std::collections::HashMap;

use sequoiagw_protocol::NodeId;

use crate::RolloutSettings;

/// Number of times that a driver's role may be claimed in the canary stage. Each claim may use its
/// part of the exposure tolerance.
pub(crate) const MAX_DRIVER_CLAIMS: u32 = 4;
/// Part of the exposure share that a driver uses. The rest covers runs that end with the driver's
/// time before they count.
const SHARE_IN_USE: f64 = 0.8;

/// Numbers of started runs that a node has reported to this driver.
#[derive(Clone, Copy, Debug)]
struct ReportedRuns {
    first: u64,
    highest: u64,
}

/// Cap on the number of runs that a driver starts at its backend server.
///
/// Grows only with runs that nodes of old versions have reported. A driver that is cut off gets no
/// reports, so its cap stays as it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutExposure {
    own_runs: u64,
    reported: HashMap<NodeId, ReportedRuns>,
}

impl RolloutExposure {
    /// Counts a run at the driver's own backend server.
    pub(crate) fn on_run_started(&mut self) {
        self.own_runs += 1;
    }

    /// Takes over the number of runs that a node has started. The first report of a node is the
    /// base for later ones. Lower numbers are ignored: they come from a late report, or from a
    /// process that has restarted, whose runs count again once they exceed the highest report.
    pub(crate) fn on_report(&mut self, node: NodeId, started_runs: u64) {
        let reported = self.reported.entry(node).or_insert(ReportedRuns {
            first: started_runs,
            highest: started_runs,
        });
        reported.highest = reported.highest.max(started_runs);
    }

    /// Whether one more run may start.
    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of runs are far below 2^52"
    )]
    pub(crate) fn allows_run(&self, settings: &RolloutSettings) -> bool {
        let reports = self.reported.values();
        let reported = reports.map(|report| report.highest - report.first);
        let reported = reported.fold(0, u64::saturating_add);
        let cap = settings.exposure_tolerance / f64::from(MAX_DRIVER_CLAIMS)
            + SHARE_IN_USE
                * settings.exposure_share
                * reported.saturating_add(self.own_runs) as f64;
        (self.own_runs + 1) as f64 <= cap
    }
}
