//! Majority decisions: which version a data centre may activate, and which version a newly
//! started process needs before it is ready.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::VersionActivate;
use sequoiagw_protocol::VersionReport;
use sequoiagw_protocol::VersionStatus;
use tokio::time::Instant;

use crate::version_machine::PeerReport;
use crate::VersionAction;
use crate::VersionMachine;

/// Interval between two reports while the held version isn't active.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of members that collect reports at the same time.
const COLLECTOR_COUNT: usize = 2;
/// Reports after which a node switches to the next collectors, in case it can't reach the
/// current ones.
const REPORTS_BEFORE_ROTATION: usize = 2;
/// Interval between two reports while the held version is active, so that a lost report is
/// replaced.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between two rounds of queries of a newly started process.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Rounds of queries after which a newly started process reads the store.
const QUERY_ROUNDS_BEFORE_STORE_READ: u32 = 2;

impl VersionMachine {
    pub(crate) fn version_report(&self, query: bool) -> VersionReport {
        VersionReport {
            held: self.held_version(),
            active: self.active,
            query,
            voter: self.is_ready(),
        }
    }

    /// Reports this node's versions to the collectors, more often while the held version isn't
    /// active.
    pub(crate) fn send_report(&mut self, now: Instant) {
        let behind = self.active < self.held_version();
        self.report_rounds = if behind { self.report_rounds + 1 } else { 0 };
        let period = if behind {
            REPORT_INTERVAL
        } else {
            REFRESH_INTERVAL
        };
        self.next_report = Some(now + period.mul_f64(self.rng.random_range(0.8..1.2)));
        let report = FrameBody::Versions(self.version_report(false));
        let own = self.node;
        for collector in self.collectors().into_iter().filter(|node| *node != own) {
            self.send(collector, report.clone());
        }
        self.update_majority_version(now);
    }

    /// Members that this node reports to: the voters with the lowest node identities, or the
    /// next ones if reports to these had no effect.
    pub(crate) fn collectors(&self) -> Vec<NodeId> {
        let mut order: Vec<NodeId> = self.peers.voters.iter().copied().collect();
        if self.is_ready() {
            order.push(self.node);
            order.sort_unstable();
        }
        let rotation = self.report_rounds.saturating_sub(1) / REPORTS_BEFORE_ROTATION;
        let start = rotation * COLLECTOR_COUNT % order.len().max(1);
        order
            .iter()
            .cycle()
            .skip(start)
            .take(COLLECTOR_COUNT.min(order.len()))
            .copied()
            .collect()
    }

    pub(crate) fn on_report(&mut self, from: NodeId, report: VersionReport, now: Instant) {
        let local = self.peers.local_peers.contains(&from);
        if local {
            let peer_report = PeerReport {
                held: report.held,
                active: report.active,
                voter: report.voter,
            };
            self.peer_reports.insert(from, peer_report);
            self.raise_majority_version(report.active, now);
            if report.voter && self.min_ready_version.is_none() {
                let versions = VersionStatus {
                    held: report.held,
                    active: report.active,
                };
                self.query_answers.insert(from, versions);
                self.check_query_answers(now);
            }
        }
        if report.query {
            let answer = FrameBody::Versions(self.version_report(false));
            self.send(from, answer);
        } else if local && report.active < self.active && report.held >= self.active {
            // The peer holds the version active here but hasn't been asked to activate it.
            let activate = self.activate_body(self.active);
            self.send(from, activate);
        }
        self.fetch_if_behind(from, report.held, now);
        self.update_majority_version(now);
    }

    pub(crate) fn activate_body(&self, version: u64) -> FrameBody {
        FrameBody::Activate(VersionActivate {
            version,
            data_centre: self.data_centre.clone(),
        })
    }

    /// Updates the newest version that a majority of the voters holds. A version active at any
    /// peer counts as well.
    pub(crate) fn update_majority_version(&mut self, now: Instant) {
        let own = if self.is_ready() {
            Some(self.held_version())
        } else {
            None
        };
        let mut held_versions: Vec<u64> = self
            .peers
            .voters
            .iter()
            .map(|node| self.peer_reports.get(node).filter(|report| report.voter))
            .map(|report| report.map_or(0, |report| report.held))
            .chain(own)
            .collect();
        if held_versions.is_empty() {
            // Without voters the held version counts as held by a majority, once the minimum
            // version for readiness is known.
            held_versions.push(self.min_ready_version.map_or(0, |_| self.held_version()));
        }
        held_versions.sort_unstable_by(|one, other| other.cmp(one));
        let majority = held_versions.len() / 2 + 1;
        let version = held_versions[majority - 1];
        let highest_active = self
            .peer_reports
            .values()
            .map(|report| report.active)
            .max()
            .unwrap_or(0);
        self.raise_majority_version(version.max(highest_active), now);
    }

    pub(crate) fn raise_majority_version(&mut self, version: u64, now: Instant) {
        if version > self.majority_version {
            self.majority_version = version;
            self.activate_staged(now);
        }
    }

    /// Activates the newest staged version that a majority holds.
    pub(crate) fn activate_staged(&mut self, now: Instant) {
        if self.min_ready_version.is_none() {
            return;
        }
        let next = self.staged.range(..=self.majority_version).next_back();
        let Some((version, compiled)) =
            next.map(|(version, compiled)| (*version, Arc::clone(compiled)))
        else {
            return;
        };
        if version <= self.active
            || self
                .min_ready_version
                .is_some_and(|minimum| version < minimum)
        {
            return;
        }
        self.active = version;
        self.staged = self.staged.split_off(&version);
        self.actions.push(VersionAction::Activate(compiled));
        self.actions
            .push(VersionAction::VersionsChanged(self.own_versions()));
        let activate = self.activate_body(version);
        self.push_to_local_peers(&activate, None);
        self.send_report(now);
    }

    /// Asks the voters of the data centre which versions they hold, as a newly started process
    /// does.
    pub(crate) fn query_voters(&mut self, now: Instant) {
        if self.min_ready_version.is_some() {
            self.next_query = None;
            return;
        }
        let wait = QUERY_INTERVAL.mul_f64(self.rng.random_range(0.7..1.3));
        self.next_query = Some(now + wait);
        self.query_rounds += 1;
        let unanswered: Vec<NodeId> = self
            .peers
            .voters
            .iter()
            .copied()
            .filter(|node| !self.query_answers.contains_key(node))
            .collect();
        let query = FrameBody::Versions(self.version_report(true));
        for node in unanswered {
            self.send(node, query.clone());
        }
        if self.query_rounds > QUERY_ROUNDS_BEFORE_STORE_READ {
            self.actions.push(VersionAction::ReadStore);
        }
    }

    /// Ends the queries once a majority of the voters has answered.
    pub(crate) fn check_query_answers(&mut self, now: Instant) {
        if self.min_ready_version.is_some() {
            return;
        }
        let voters = &self.peers.voters;
        if voters.is_empty() || !self.peers.joined {
            return;
        }
        let answers: Vec<VersionStatus> = voters
            .iter()
            .filter_map(|node| self.query_answers.get(node).copied())
            .collect();
        if answers.len() < voters.len() / 2 + 1 {
            // The first queries may have been sent before any voter was known.
            if self.query_rounds <= 1 && answers.is_empty() {
                self.next_query = Some(now);
            }
            return;
        }
        let minimum = answers.iter().map(|answer| answer.held).max().unwrap_or(0);
        self.set_min_ready_version(minimum);
        for answer in answers {
            self.raise_majority_version(answer.active, now);
        }
        self.activate_staged(now);
    }

    pub(crate) fn set_min_ready_version(&mut self, version: u64) {
        self.min_ready_version = Some(version);
        self.next_query = None;
        self.query_answers.clear();
    }
}
