//! Log of what this node grants as counter of quotas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_policy::CounterMandate;
use sequoiagw_policy::CounterStanding;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;
use tracing::info;

use crate::FleetReach;

/// Time that one line covers.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of workspaces with lines of their own in that time.
const MAX_LOGGED_WORKSPACES: usize = 20;

/// One answer to a request for permits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantRecord {
    pub(crate) asker: NodeId,
    pub(crate) wanted: u32,
    pub(crate) granted: u32,
    pub(crate) mandate: CounterMandate,
    pub(crate) reach: FleetReach,
}

/// Grants of a workspace in the time of one line.
#[derive(Clone, Debug)]
struct GrantSums {
    started: Instant,
    wanted: u64,
    granted: u64,
    askers: BTreeSet<NodeId>,
    least_share: f64,
    last: GrantRecord,
}

/// Grants by workspace since the last line about each.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantLog {
    workspaces: BTreeMap<String, GrantSums>,
}

impl GrantLog {
    /// Adds an answer.
    pub(crate) fn record(&mut self, workspace: &str, record: GrantRecord, now: Instant) {
        if !self.workspaces.contains_key(workspace) {
            if self.workspaces.len() >= MAX_LOGGED_WORKSPACES {
                return;
            }
            let sums = GrantSums::new(record, now);
            self.workspaces.insert(workspace.to_owned(), sums);
        }
        if let Some(sums) = self.workspaces.get_mut(workspace) {
            sums.add(record);
        }
    }

    /// Writes the lines that are due. Nothing is written of a first counter that grants all that it is
    /// asked for from the whole rate.
    pub(crate) fn write_due(&mut self, now: Instant) {
        self.workspaces.retain(|workspace, sums| {
            let is_due = now >= sums.started + LINE_INTERVAL;
            if is_due && sums.is_notable() {
                sums.write(workspace, now);
            }
            !is_due
        });
    }
}

impl GrantSums {
    fn new(record: GrantRecord, now: Instant) -> Self {
        Self {
            started: now,
            wanted: 0,
            granted: 0,
            askers: BTreeSet::new(),
            least_share: record.mandate.share,
            last: record,
        }
    }

    fn add(&mut self, record: GrantRecord) {
        self.wanted += u64::from(record.wanted);
        self.granted += u64::from(record.granted);
        self.askers.insert(record.asker);
        self.least_share = self.least_share.min(record.mandate.share);
        self.last = record;
    }

    fn is_notable(&self) -> bool {
        let is_first = matches!(self.last.mandate.standing, CounterStanding::First { .. });
        self.granted < self.wanted || self.least_share < 1.0 || !is_first
    }

    fn write(&self, workspace: &str, now: Instant) {
        let standing = match self.last.mandate.standing {
            CounterStanding::First { .. } => "first",
            CounterStanding::Substitute {
                first_is_running: true,
            } => "standby",
            CounterStanding::Substitute { .. } => "substitute",
        };
        info!(
            event = "quota_granted",
            workspace,
            granted = self.granted,
            wanted = self.wanted,
            askers = self.askers.len(),
            standing,
            share = format!("{:.3}", self.last.mandate.share),
            least_share = format!("{:.3}", self.least_share),
            reached = self.last.reach.reached,
            unreached = self.last.reach.unreached,
            nodes = self.last.reach.nodes,
            over_ms = now.saturating_duration_since(self.started).as_millis() as u64,
        );
    }
}
