//! Records that a node of the new version proposes.

use std::time::Duration;

use sequoiagw_protocol::RolloutObjection;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use tokio::time::Instant;

use crate::rollout_driver::DriverTenure;
use crate::rollout_members::has_objected;
use crate::RolloutAction;
use crate::RolloutController;
use crate::RolloutVerdict;

/// Interval at which a proposal is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between the objections, and the rewrites, of nodes that follow each other by name. Without
/// it all nodes of a large service would write at once.
const WRITE_STAGGER: Duration = Duration::from_millis(20);
/// Longest such delay.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Number of objections that roll a version back.
const OBJECTIONS_FOR_ROLLBACK: usize = 2;
/// Least time as the driver before a good verdict.
const MIN_JUDGED_TIME: Duration = Duration::from_millis(4_500);
/// Least share of the duration as the driver before a good verdict.
const MIN_JUDGED_SHARE: f64 = 0.25;
/// Least age of the shifting stage for a completion while old nodes have open calls.
const MIN_SHIFTING_TIME: Duration = Duration::from_secs(3);

/// Which proposal has been made, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutProposer {
    last: Option<(RolloutRecord, Instant)>,
    /// Time since which the store lacks the final stage that the node knows.
    rewrite_since: Option<Instant>,
}

impl RolloutProposer {
    /// Notes that a later record is known.
    pub(crate) fn on_record(&mut self) {
        self.last = None;
        self.rewrite_since = None;
    }

    /// Notes that the store has lost the final stage.
    pub(crate) fn rewrite(&mut self, now: Instant) {
        self.last = None;
        self.rewrite_since = Some(now);
    }

    /// Whether the store lacks the final stage.
    pub(crate) fn has_to_rewrite(&self) -> bool {
        self.rewrite_since.is_some()
    }

    fn is_due(&self, record: &RolloutRecord, now: Instant) -> bool {
        let last = self.last.as_ref();
        last.is_none_or(|(last, time)| {
            last != record || now.saturating_duration_since(*time) >= REPEAT_INTERVAL
        })
    }
}

impl RolloutController {
    /// Proposes the record that the node wants, if there is one and it is due.
    pub(crate) fn propose(&mut self, now: Instant) {
        let Some(mut record) = self.wanted_record(now) else {
            return;
        };
        record.writer.clone_from(&self.node);
        record.revision = 0;
        if !self.proposer.is_due(&record, now) {
            return;
        }
        if record.driver == self.node && self.role.tenure().is_none() {
            self.role.on_claim(&record);
        }
        self.proposer.last = Some((record.clone(), now));
        self.actions.push(RolloutAction::Propose {
            record,
            expected_revision: self.record.revision,
        });
    }

    fn wanted_record(&self, now: Instant) -> Option<RolloutRecord> {
        if self.is_final() {
            let since = self.proposer.rewrite_since?;
            return (now >= since + self.write_delay()).then(|| self.record.clone());
        }
        if has_objected(&self.record, &self.node) {
            return None;
        }
        if let Some(reason) = &self.fault {
            return self.objection(reason, now);
        }
        match (self.role.tenure(), self.record.stage()) {
            (Some(tenure), RolloutStage::Canary) => self.end_of_canary(tenure, now),
            (Some(tenure), _) => self.end_of_shifting(tenure, now),
            (None, _) => self.claim(now),
        }
    }

    fn claim(&self, now: Instant) -> Option<RolloutRecord> {
        let time = self
            .role
            .claim_time(&self.node, &self.record, &self.members)?;
        (now >= time).then(|| RolloutRecord {
            driver: self.node.clone(),
            driver_claims: self.record.driver_claims + 1,
            ..self.record.clone()
        })
    }

    fn objection(&self, reason: &str, now: Instant) -> Option<RolloutRecord> {
        let is_driver = self.role.tenure().is_some();
        if !is_driver && now < self.fault_since? + self.write_delay() {
            return None;
        }
        let mut record = self.record.clone();
        record.objections.push(RolloutObjection {
            node: self.node.clone(),
            reason: reason.to_owned(),
        });
        let mut members = self.members.new.iter();
        let is_alone = !members.any(|member| !has_objected(&record, &member.name));
        if record.objections.len() >= OBJECTIONS_FOR_ROLLBACK || is_alone {
            record.set_stage(RolloutStage::RolledBack);
        } else {
            record.driver.clear();
        }
        Some(record)
    }

    fn end_of_canary(&self, tenure: &DriverTenure, now: Instant) -> Option<RolloutRecord> {
        if self.is_late(now) {
            return Some(self.with_stage(RolloutStage::RolledBack));
        }
        let duration = Duration::from_millis(self.record.duration_ms);
        let judged_time = MIN_JUDGED_TIME.max(duration.mul_f64(MIN_JUDGED_SHARE));
        let is_judged = now.saturating_duration_since(tenure.since) >= judged_time
            && self.warm_up_end.is_none_or(|end| now >= end);
        if !is_judged || !self.members.has_slots_for_all() {
            return None;
        }
        let verdict = self.judge.verdict(self.judged_runs(now), now);
        (verdict == RolloutVerdict::Good).then(|| RolloutRecord {
            old_failures_per_mille: self.judge.old_failures_per_mille(),
            ..self.with_stage(RolloutStage::Shifting)
        })
    }

    fn end_of_shifting(&self, tenure: &DriverTenure, now: Instant) -> Option<RolloutRecord> {
        let stage_age = now.saturating_duration_since(self.stage_since);
        let has_to_end = self.is_late(now) && stage_age >= MIN_SHIFTING_TIME;
        (has_to_end || tenure.drain.is_complete(&self.members))
            .then(|| self.with_stage(RolloutStage::Completed))
    }

    fn with_stage(&self, stage: RolloutStage) -> RolloutRecord {
        let mut record = self.record.clone();
        record.set_stage(stage);
        record
    }

    fn write_delay(&self) -> Duration {
        let rank = self.members.rank(&self.node, &self.record).unwrap_or(0);
        (WRITE_STAGGER * rank.min(1_000)).min(MAX_WRITE_DELAY)
    }
}
