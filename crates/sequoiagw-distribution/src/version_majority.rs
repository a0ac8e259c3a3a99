//! Majorities: which version a data centre holds, and what a fresh process may act on.

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

/// Time between two reports while a held version isn't in force.
pub(crate) const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Members that count together who holds what.
const COLLECTOR_COUNT: usize = 2;
/// Reports after which the next members in the order count, in case these can't be heard.
const COLLECTOR_ROUNDS: usize = 2;
/// Time between two reports otherwise, so that a lost one is made up for.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// Time between two rounds of questions of a fresh process.
const QUERY_PERIOD: Duration = Duration::from_secs(1);
/// Rounds of questions after which a fresh process reads the store.
const QUERY_ROUNDS: u32 = 2;

impl VersionMachine {
    pub(crate) fn own_report(&self, query: bool) -> VersionReport {
        VersionReport {
            held: self.held_version(),
            active: self.active,
            query,
            voter: self.is_ready(),
        }
    }

    /// Tells the collectors what this node holds, often while it isn't in force.
    pub(crate) fn report(&mut self, now: Instant) {
        let behind = self.active < self.held_version();
        self.report_rounds = if behind { self.report_rounds + 1 } else { 0 };
        let period = if behind {
            REPORT_PERIOD
        } else {
            REFRESH_PERIOD
        };
        self.next_report = Some(now + period.mul_f64(self.rng.random_range(0.8..1.2)));
        let report = FrameBody::Versions(self.own_report(false));
        let own = self.node;
        for collector in self.collectors().into_iter().filter(|node| *node != own) {
            self.send(collector, report.clone());
        }
        self.count_holders(now);
    }

    /// The lowest members in service, or those next in the order when they gave no sign.
    pub(crate) fn collectors(&self) -> Vec<NodeId> {
        let mut order: Vec<NodeId> = self.peers.voters.iter().copied().collect();
        if self.is_ready() {
            order.push(self.node);
            order.sort_unstable();
        }
        let turn = self.report_rounds.saturating_sub(1) / COLLECTOR_ROUNDS;
        let start = turn * COLLECTOR_COUNT % order.len().max(1);
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
            let held = PeerReport {
                held: report.held,
                active: report.active,
                voter: report.voter,
            };
            self.reports.insert(from, held);
            self.raise_goal(report.active, now);
            if report.voter && self.floor.is_none() {
                let mark = VersionStatus {
                    held: report.held,
                    active: report.active,
                };
                self.answers.insert(from, mark);
                self.check_answers(now);
            }
        }
        if report.query {
            let answer = FrameBody::Versions(self.own_report(false));
            self.send(from, answer);
        } else if local && report.active < self.active && report.held >= self.active {
            // The peer holds what is in force here and wasn't told.
            let activate = self.activate_body(self.active);
            self.send(from, activate);
        }
        self.fetch_if_behind(from, report.held, now);
        self.count_holders(now);
    }

    pub(crate) fn activate_body(&self, version: u64) -> FrameBody {
        FrameBody::Activate(VersionActivate {
            version,
            data_centre: self.data_centre.clone(),
        })
    }

    /// Finds the newest version that a majority of the voters holds.
    pub(crate) fn count_holders(&mut self, now: Instant) {
        let own = if self.is_ready() {
            Some(self.held_version())
        } else {
            None
        };
        let mut held: Vec<u64> = self
            .peers
            .voters
            .iter()
            .map(|node| self.reports.get(node).filter(|report| report.voter))
            .map(|report| report.map_or(0, |report| report.held))
            .chain(own)
            .collect();
        if held.is_empty() {
            // No voter is left or has ever been: what the store says is taken as it is.
            held.push(self.floor.map_or(0, |_| self.held_version()));
        }
        held.sort_unstable_by(|one, other| other.cmp(one));
        let majority = held.len() / 2 + 1;
        let version = held[majority - 1];
        let in_force = self
            .reports
            .values()
            .map(|report| report.active)
            .max()
            .unwrap_or(0);
        self.raise_goal(version.max(in_force), now);
    }

    pub(crate) fn raise_goal(&mut self, version: u64, now: Instant) {
        if version > self.goal {
            self.goal = version;
            self.advance(now);
        }
    }

    /// Puts the newest staged version in force that a majority holds.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.floor.is_none() {
            return;
        }
        let next = self.staged.range(..=self.goal).next_back();
        let Some((version, snapshot)) = next.map(|(version, table)| (*version, Arc::clone(table)))
        else {
            return;
        };
        if version <= self.active || self.floor.is_some_and(|floor| version < floor) {
            return;
        }
        self.active = version;
        self.staged = self.staged.split_off(&version);
        self.actions.push(VersionAction::Activate(snapshot));
        self.actions
            .push(VersionAction::VersionsChanged(self.own_versions()));
        let activate = self.activate_body(version);
        self.push_to_local_peers(&activate, None);
        self.report(now);
    }

    /// A fresh process asks its data centre's voters what they hold.
    pub(crate) fn ask_peers(&mut self, now: Instant) {
        if self.floor.is_some() {
            self.next_query = None;
            return;
        }
        let wait = QUERY_PERIOD.mul_f64(self.rng.random_range(0.7..1.3));
        self.next_query = Some(now + wait);
        self.query_rounds += 1;
        let unanswered: Vec<NodeId> = self
            .peers
            .voters
            .iter()
            .copied()
            .filter(|node| !self.answers.contains_key(node))
            .collect();
        let query = FrameBody::Versions(self.own_report(true));
        for node in unanswered {
            self.send(node, query.clone());
        }
        if self.query_rounds > QUERY_ROUNDS {
            self.actions.push(VersionAction::ReadStore);
        }
    }

    /// Ends the questions when a majority of the voters has answered.
    pub(crate) fn check_answers(&mut self, now: Instant) {
        if self.floor.is_some() {
            return;
        }
        let voters = &self.peers.voters;
        if voters.is_empty() || !self.peers.joined {
            return;
        }
        let answered: Vec<VersionStatus> = voters
            .iter()
            .filter_map(|node| self.answers.get(node).copied())
            .collect();
        if answered.len() < voters.len() / 2 + 1 {
            if self.query_rounds <= 1 && answered.is_empty() {
                self.next_query = Some(now);
            }
            return;
        }
        let floor = answered.iter().map(|mark| mark.held).max().unwrap_or(0);
        self.set_floor(floor);
        for mark in answered {
            self.raise_goal(mark.active, now);
        }
        self.advance(now);
    }

    pub(crate) fn set_floor(&mut self, version: u64) {
        self.floor = Some(version);
        self.next_query = None;
        self.answers.clear();
    }
}
