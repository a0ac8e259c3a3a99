//! An entry's view of one target.

use std::time::Duration;

use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

/// Age at which the weight of a load report reaches zero.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(1);
/// Age up to which a report of a full queue excludes its target.
const QUEUE_FULL_MAX_AGE: Duration = Duration::from_millis(50);
/// Slot occupancy of a call, assumed before a target reports one.
pub(crate) const DEFAULT_OCCUPANCY: Duration = Duration::from_millis(100);
/// Part of the latency target above which a reported wait causes a refusal without a dispatch.
const MAX_WAIT_RATIO: f64 = 1.0;
/// Age up to which a report of a long wait causes a refusal without a dispatch.
const LONG_WAIT_MAX_AGE: Duration = Duration::from_millis(120);
/// Time since a target's last answer at which the weight of its failure ratio reaches zero.
const FAILURE_RATIO_MAX_AGE: Duration = Duration::from_secs(5);
/// Time added to the expected answer of a target that fails every call.
const MAX_FAILURE_PENALTY: Duration = Duration::from_millis(800);

/// An entry's view of one target: its own observations and the last load report.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetView {
    pub(crate) in_flight: u32,
    pub(crate) dispatched_since_report: u32,
    pub(crate) report: Option<(LoadReport, Instant)>,
    pub(crate) consecutive_failures: u32,
    pub(crate) consecutive_ejections: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// Whether the node gets calls only when no other target is left, until its next message.
    pub(crate) suspect: bool,
    /// Moving average of the share of answers that are failures, 0 to 1.
    pub(crate) failure_ratio: f64,
    pub(crate) last_answer: Option<Instant>,
}

impl TargetView {
    /// Load in calls per slot: the calls that the owner reported, weighted down with the age of
    /// the report, plus the calls dispatched since, and at least this entry's calls in flight.
    pub(crate) fn load(&self, announced_slots: u32, now: Instant) -> f64 {
        let mut calls = f64::from(self.dispatched_since_report);
        let mut slots = announced_slots;
        if let Some((report, time)) = &self.report {
            let age = now.saturating_duration_since(*time);
            let weight = 1.0 - (age.as_secs_f64() / LOAD_REPORT_MAX_AGE.as_secs_f64()).min(1.0);
            calls += f64::from(report.running + report.waiting) * weight;
            slots = report.slots;
        }
        calls.max(f64::from(self.in_flight)) / f64::from(slots.max(1))
    }

    /// Expected time until a slot is free: the reported wait, weighted down with its age, plus a
    /// slot's share of the mean occupancy for each call dispatched since beyond the free slots.
    pub(crate) fn expected_slot_wait(
        &self,
        announced_slots: u32,
        level: RankLevel,
        now: Instant,
    ) -> Duration {
        let Some((report, time)) = &self.report else {
            return Duration::ZERO;
        };
        let occupancy = match report.occupancy_ms {
            0 => DEFAULT_OCCUPANCY,
            occupancy_ms => Duration::from_millis(u64::from(occupancy_ms)),
        };
        let age = now.saturating_duration_since(*time);
        let weight = 1.0 - (age.as_secs_f64() / LOAD_REPORT_MAX_AGE.as_secs_f64()).min(1.0);
        let free_slots = f64::from(report.slots.saturating_sub(report.running));
        let excess_calls = (f64::from(self.dispatched_since_report) - free_slots).max(0.0);
        let time_per_call = occupancy.div_f64(f64::from(announced_slots.max(1)));
        report.wait(level).mul_f64(weight) + time_per_call.mul_f64(excess_calls)
    }

    /// Expected wait for the link of the target's host: the reported wait, weighted down with its
    /// age.
    pub(crate) fn link_wait(&self, now: Instant) -> Duration {
        let Some((report, time)) = &self.report else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(*time);
        let weight = 1.0 - (age.as_secs_f64() / LOAD_REPORT_MAX_AGE.as_secs_f64()).min(1.0);
        report.link_wait().mul_f64(weight)
    }

    /// Expected wait of a large dispatch for the link of the target's host: the reported wait,
    /// weighted down with its age.
    pub(crate) fn receive_wait(&self, now: Instant) -> Duration {
        let Some((report, time)) = &self.report else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(*time);
        let weight = 1.0 - (age.as_secs_f64() / LOAD_REPORT_MAX_AGE.as_secs_f64()).min(1.0);
        report.receive_wait().mul_f64(weight)
    }

    /// Time added to the expected answer because of failures. It decreases with the time since
    /// the last answer, so that a recovered target gets calls again.
    pub(crate) fn failure_penalty(&self, now: Instant) -> Duration {
        let age = self
            .last_answer
            .map_or(Duration::ZERO, |time| now.saturating_duration_since(time));
        let weight = 1.0 - (age.as_secs_f64() / FAILURE_RATIO_MAX_AGE.as_secs_f64()).min(1.0);
        MAX_FAILURE_PENALTY.mul_f64(self.failure_ratio * weight)
    }

    /// Whether a recent report says that a call of this level would wait longer than
    /// `latency_target`.
    pub(crate) fn would_miss_latency_target(
        &self,
        level: RankLevel,
        latency_target: Duration,
        now: Instant,
    ) -> bool {
        self.report.is_some_and(|(report, time)| {
            let is_fresh = now.saturating_duration_since(time) < LONG_WAIT_MAX_AGE;
            is_fresh && report.wait(level) > latency_target.mul_f64(MAX_WAIT_RATIO)
        })
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether a recent report says that the queue has no room for this level.
    pub(crate) fn is_queue_full_for(&self, level: RankLevel, now: Instant) -> bool {
        self.report.is_some_and(|(report, time)| {
            let is_fresh = now.saturating_duration_since(time) < QUEUE_FULL_MAX_AGE;
            is_fresh && u32::from(level.get()) >= report.open_levels
        })
    }
}
