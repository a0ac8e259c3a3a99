//! Incarnations of a backend server that a node knows from heartbeats.

use std::time::Duration;

use tokio::time::Instant;

use crate::heartbeat_evidence::HeartbeatEvidence;
use crate::Heartbeat;
use crate::HeartbeatPhase;
use crate::TargetIncarnation;

/// Heartbeat intervals without a heartbeat after which a backend server counts as gone.
const HEARTBEAT_TIMEOUT_INTERVALS: u32 = 4;
/// Heartbeat intervals without a heartbeat after which a backend server counts as gone although it
/// answers: only what it says of itself tells that it stays.
const ANSWERING_TIMEOUT_INTERVALS: u32 = 8;

/// State of the incarnation that counts as the present one.
#[derive(Clone, Debug)]
pub(crate) struct CurrentIncarnation {
    pub(crate) incarnation: TargetIncarnation,
    pub(crate) sequence: u64,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    pub(crate) version: String,
    pub(crate) warm_up_end: Instant,
    pub(crate) heartbeat_deadline: Instant,
    last_heartbeat: Instant,
    pub(crate) evidence: HeartbeatEvidence,
    /// Whether this incarnation may be one that has left or ended, so that a single heartbeat doesn't
    /// show that it is running.
    pub(crate) is_doubtful: bool,
}

impl CurrentIncarnation {
    /// Incarnation whose first heartbeat arrives now, or which has shown by other messages that it is
    /// running.
    pub(crate) fn new(
        heartbeat: &Heartbeat,
        evidence: HeartbeatEvidence,
        now: Instant,
        interval: Duration,
    ) -> Self {
        let mut current = Self {
            incarnation: heartbeat.incarnation(),
            sequence: heartbeat.sequence,
            slots: heartbeat.slots,
            leaving: false,
            version: String::new(),
            warm_up_end: now,
            heartbeat_deadline: now,
            last_heartbeat: now,
            evidence,
            is_doubtful: false,
        };
        current.update(heartbeat, now, interval);
        current
    }

    /// Takes over what a heartbeat of the incarnation says.
    pub(crate) fn update(&mut self, heartbeat: &Heartbeat, now: Instant, interval: Duration) {
        self.sequence = heartbeat.sequence;
        self.slots = heartbeat.slots;
        self.leaving |= heartbeat.phase == HeartbeatPhase::Draining;
        self.version.clone_from(&heartbeat.version);
        self.warm_up_end = now + heartbeat.warmup_left;
        self.heartbeat_deadline = now + interval * HEARTBEAT_TIMEOUT_INTERVALS;
        self.last_heartbeat = now;
        self.evidence.add(now, interval);
    }

    /// Extends the heartbeat deadline for a limited time.
    pub(crate) fn on_answer(&mut self, now: Instant, interval: Duration) {
        let latest = self.last_heartbeat + interval * ANSWERING_TIMEOUT_INTERVALS;
        let extended = (now + interval * 2).min(latest);
        self.heartbeat_deadline = self.heartbeat_deadline.max(extended);
    }

    /// Takes the incarnation out of use until further heartbeats show that it is running.
    pub(crate) fn withdraw(&mut self) {
        self.evidence = HeartbeatEvidence::default();
        self.is_doubtful = true;
    }

    pub(crate) fn accepts_requests(&self, now: Instant) -> bool {
        let is_believed = !self.is_doubtful || self.evidence.is_sufficient();
        !self.leaving && is_believed && now < self.heartbeat_deadline
    }
}

/// An incarnation that isn't the present one by the starts that both state.
///
/// It is an earlier one whose messages are late, or the present one after the clock was set back. The messages of
/// an earlier one aren't followed by others, and those of the present one aren't interrupted.
#[derive(Clone, Debug)]
pub(crate) struct CandidateIncarnation {
    pub(crate) incarnation: TargetIncarnation,
    sequence: u64,
    pub(crate) leaving: bool,
    pub(crate) evidence: HeartbeatEvidence,
}

impl CandidateIncarnation {
    pub(crate) fn new(incarnation: TargetIncarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            leaving: false,
            evidence: HeartbeatEvidence::default(),
        }
    }

    /// Adds a heartbeat unless it is older than one that has arrived; returns whether it was added.
    pub(crate) fn add_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
        interval: Duration,
    ) -> bool {
        if heartbeat.sequence <= self.sequence {
            return false;
        }
        self.sequence = heartbeat.sequence;
        self.leaving |= heartbeat.phase == HeartbeatPhase::Draining;
        self.evidence.add(now, interval);
        true
    }

    /// Adds a leave notice.
    pub(crate) fn add_leave_notice(&mut self, now: Instant, interval: Duration) {
        self.leaving = true;
        self.evidence.add(now, interval);
    }
}
