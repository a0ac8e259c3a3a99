//! One node's part in the roll-out of its own service.

use std::time::Duration;

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_protocol::RunStatsReply;
use tokio::time::Instant;

use crate::rollout_driver::DriverRole;
use crate::rollout_judge::JudgedRuns;
use crate::rollout_members::has_objected;
use crate::rollout_proposer::RolloutProposer;
use crate::RolloutAction;
use crate::RolloutJudge;
use crate::RolloutMembers;
use crate::RolloutSettings;
use crate::RolloutVerdict;
use crate::RunSample;

/// Interval at which the runs are judged.
const TICK: Duration = Duration::from_millis(250);
/// Interval at which a driver asks for run statistics.
const ROUND: Duration = Duration::from_secs(1);
/// Share of the duration after which fewer runs suffice for a good verdict.
const LATE_EVIDENCE_SHARE: f64 = 0.6;
/// Share of the duration after which a driver decides with what it knows.
const LATE_SHARE: f64 = 0.85;
/// Time without an event after which the process counts as paused. The run times of that time say
/// nothing about the backend server.
const PAUSE: Duration = Duration::from_secs(1);

/// One node's part in the roll-out of its own service; exists at nodes of the new version.
///
/// A node whose backend server has another version than the record must not have a controller, and
/// one that learns of a later order should create a new one with the age of that order.
#[derive(Debug)]
pub struct RolloutController {
    pub(crate) settings: RolloutSettings,
    pub(crate) node: String,
    pub(crate) record: RolloutRecord,
    /// Age of the order at `created`.
    order_age: Duration,
    created: Instant,
    pub(crate) stage_since: Instant,
    pub(crate) members: RolloutMembers,
    pub(crate) ready: bool,
    pub(crate) warm_up_end: Option<Instant>,
    pub(crate) role: DriverRole,
    pub(crate) judge: RolloutJudge,
    /// Evidence against the node's own backend server; kept for the whole order.
    pub(crate) fault: Option<String>,
    pub(crate) fault_since: Option<Instant>,
    pub(crate) proposer: RolloutProposer,
    next_round: Instant,
    next_tick: Instant,
    last_event: Instant,
    /// End of the last pause of the process.
    resumed: Option<Instant>,
    pub(crate) actions: Vec<RolloutAction>,
}

impl RolloutController {
    /// Creates the controller of the node called `node`. `order_age` is the time since the order.
    pub fn new(
        settings: RolloutSettings,
        node: &str,
        record: RolloutRecord,
        order_age: Duration,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            node: node.to_owned(),
            record,
            order_age,
            created: now,
            stage_since: now,
            members: RolloutMembers::default(),
            ready: false,
            warm_up_end: None,
            role: DriverRole::default(),
            judge: RolloutJudge::default(),
            fault: None,
            fault_since: None,
            proposer: RolloutProposer::default(),
            next_round: now,
            next_tick: now,
            last_event: now,
            resumed: None,
            actions: Vec::new(),
        }
    }

    /// Takes over a later record. Records of earlier orders are ignored. A final stage stays, also
    /// against a record from an older copy of the store, and is proposed again there.
    pub fn on_record(&mut self, record: &RolloutRecord, now: Instant) {
        self.note_event(now);
        let is_same_order = record.order_revision == self.record.order_revision;
        if record.order_revision > self.record.order_revision {
            self.start_order(record, now);
        } else if is_same_order && position(record) > position(&self.record) {
            self.take_record(record, now);
        }
        self.act(now);
    }

    /// Sets the registered nodes of the service.
    pub fn set_members(&mut self, members: RolloutMembers, now: Instant) {
        self.note_event(now);
        self.members = members.sorted();
        self.act(now);
    }

    /// Sets whether the backend server is ready, and the end of its warm-up if it has one.
    pub fn set_ready(&mut self, ready: bool, warm_up_end: Option<Instant>, now: Instant) {
        self.note_event(now);
        self.ready = ready;
        self.warm_up_end = warm_up_end;
        self.act(now);
    }

    /// Counts a call that the owner has accepted. To be called before the next [`Self::admits`],
    /// also if the call is queued first, so that queued calls stay within the exposure cap.
    pub fn on_run_started(&mut self, now: Instant) {
        self.note_event(now);
        if let Some(tenure) = self.role.tenure_mut() {
            tenure.exposure.on_run_started();
        }
    }

    /// Records a finished run.
    pub fn on_run_finished(&mut self, run: &RunSample<'_>, now: Instant) {
        self.note_event(now);
        let started = now.checked_sub(run.run_time);
        let excused_until = self.warm_up_end.max(self.resumed);
        self.judge.record(run, started < excused_until);
        if run.failed && self.look_for_fault(now) {
            self.propose(now);
        }
    }

    /// Takes over what a node of an old version has seen.
    pub fn on_stats(&mut self, node: NodeId, stats: &RunStatsReply, now: Instant) {
        self.note_event(now);
        let Some(tenure) = self.role.tenure_mut() else {
            return;
        };
        if stats.service != self.record.service || !self.members.is_old(node) {
            return;
        }
        tenure.exposure.on_report(node, stats.started_runs);
        tenure.drain.on_reply(node, stats, &self.record, now);
        self.judge.on_stats(node, &stats.routes);
    }

    /// Whether the owner may accept one more call now.
    pub fn admits(&self, now: Instant) -> bool {
        let is_accused = self.fault.is_some() || has_objected(&self.record, &self.node);
        match self.record.stage() {
            RolloutStage::Canary => {
                let tenure = self.role.tenure();
                let has_room =
                    tenure.is_some_and(|tenure| tenure.exposure.allows_run(&self.settings));
                has_room && self.ready && !is_accused && !self.is_late(now)
            }
            RolloutStage::Shifting => !is_accused,
            RolloutStage::Completed => true,
            RolloutStage::RolledBack => false,
        }
    }

    /// Acts on the time that has passed.
    pub fn on_tick(&mut self, now: Instant) {
        self.note_event(now);
        self.act(now);
    }

    /// Time of the next [`Self::on_tick`], `None` if there is nothing to wait for.
    pub fn next_wake(&self) -> Option<Instant> {
        let is_waiting = !self.is_final() || self.proposer.has_to_rewrite();
        is_waiting.then_some(self.next_tick)
    }

    /// Removes and returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<RolloutAction> {
        std::mem::take(&mut self.actions)
    }

    /// Time since the order.
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        self.order_age + now.saturating_duration_since(self.created)
    }

    pub(crate) fn is_final(&self) -> bool {
        is_final(&self.record)
    }

    fn start_order(&mut self, record: &RolloutRecord, now: Instant) {
        let members = std::mem::take(&mut self.members);
        let (ready, warm_up_end) = (self.ready, self.warm_up_end);
        let record = record.clone();
        *self = Self::new(self.settings, &self.node, record, Duration::ZERO, now);
        self.members = members;
        self.ready = ready;
        self.warm_up_end = warm_up_end;
    }

    fn take_record(&mut self, record: &RolloutRecord, now: Instant) {
        let stage = self.record.stage();
        if self.is_final() && !is_final(record) {
            self.record.revision = record.revision;
            self.record.store_era = record.store_era;
            self.proposer.rewrite(now);
            return;
        }
        if record.stage() != stage {
            self.stage_since = now;
        }
        self.record = record.clone();
        self.proposer.on_record();
        if self.role.on_record(&self.node, &self.record, now) {
            self.judge = RolloutJudge::default();
            self.next_round = now;
        }
        self.judge
            .assume_old_failures(self.record.old_failures_per_mille);
    }

    fn note_event(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_event) >= PAUSE {
            self.resumed = Some(now);
        }
        self.last_event = now;
    }

    fn act(&mut self, now: Instant) {
        self.next_tick = now + TICK;
        if !self.is_final() {
            self.role
                .update_vacancy(&self.node, self.ready, &self.record, &self.members, now);
            self.look_for_fault(now);
            self.end_round(now);
        }
        self.propose(now);
    }

    /// Judges the node's own backend server and returns whether a fault has been found now.
    fn look_for_fault(&mut self, now: Instant) -> bool {
        if self.fault.is_some() {
            return false;
        }
        let verdict = self.judge.verdict(self.judged_runs(now), now);
        if let RolloutVerdict::Bad { reason } = verdict {
            self.fault = Some(reason);
            self.fault_since = Some(now);
        }
        self.fault.is_some()
    }

    fn end_round(&mut self, now: Instant) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND;
        self.judge.end_round(now);
        if self.role.tenure().is_some() && !self.members.old.is_empty() {
            let nodes = self.members.old.iter().map(|member| member.node);
            let request = RolloutAction::RequestStats(nodes.collect());
            self.actions.push(request);
        }
    }

    pub(crate) fn judged_runs(&self, now: Instant) -> JudgedRuns {
        match self.record.stage() {
            RolloutStage::Canary if self.is_past(LATE_EVIDENCE_SHARE, now) => {
                JudgedRuns::ComparedLate
            }
            RolloutStage::Canary => JudgedRuns::Compared,
            _ => JudgedRuns::All,
        }
    }

    /// Whether the time for a good verdict has passed.
    pub(crate) fn is_late(&self, now: Instant) -> bool {
        self.is_past(LATE_SHARE, now)
    }

    fn is_past(&self, share: f64, now: Instant) -> bool {
        self.elapsed(now) >= Duration::from_millis(self.record.duration_ms).mul_f64(share)
    }
}

fn is_final(record: &RolloutRecord) -> bool {
    matches!(
        record.stage(),
        RolloutStage::Completed | RolloutStage::RolledBack
    )
}

/// Position of a record among those of its service.
fn position(record: &RolloutRecord) -> (u64, u64) {
    (record.store_era, record.revision)
}
