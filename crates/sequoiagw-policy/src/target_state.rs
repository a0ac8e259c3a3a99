//! What an entry has seen of one target.

use std::time::Duration;

use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

/// Age at which a load report counts for nothing.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Age up to which a report of a full queue refuses calls early.
const REFUSAL_AGE: Duration = Duration::from_millis(50);
/// Time for which a call holds a slot, assumed before a target reports one.
pub(crate) const FIRST_HOLD: Duration = Duration::from_millis(100);
/// Part of the aim that a wait may take before a call is refused without asking.
const HOPELESS_PART: f64 = 1.0;
/// Age up to which a report of a long wait refuses a call without asking.
const HOPELESS_AGE: Duration = Duration::from_millis(120);
/// Age at which a target's share of failures counts for nothing.
const ERROR_AGE: Duration = Duration::from_secs(5);
/// Time that a target which fails every call counts as slower.
const ERROR_PENALTY: Duration = Duration::from_millis(800);

/// What this entry has seen of one target itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetState {
    pub(crate) in_flight: u32,
    pub(crate) sent_since_report: u32,
    pub(crate) report: Option<(LoadReport, Instant)>,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// Whether the node has been asked and was not heard since.
    pub(crate) suspect: bool,
    /// Moving average of the share of answers that are failures.
    pub(crate) error_share: f64,
    pub(crate) answered: Option<Instant>,
}

impl TargetState {
    /// Load per slot: what the owner reported, fading with age, and what was sent since.
    pub(crate) fn load(&self, announced: u32, now: Instant) -> f64 {
        let mut busy = f64::from(self.sent_since_report);
        let mut slots = announced;
        if let Some((report, time)) = &self.report {
            let age = now.saturating_duration_since(*time);
            let weight = 1.0 - (age.as_secs_f64() / REPORT_AGE.as_secs_f64()).min(1.0);
            busy += f64::from(report.running + report.waiting) * weight;
            slots = report.slots;
        }
        busy.max(f64::from(self.in_flight)) / f64::from(slots.max(1))
    }

    /// Expected time until a slot is free: the reported wait, fading with its age, and a turn
    /// for each call sent since.
    pub(crate) fn slot_time(&self, announced: u32, level: RankLevel, now: Instant) -> Duration {
        let Some((report, time)) = &self.report else {
            return Duration::ZERO;
        };
        let hold = match report.occupancy_ms {
            0 => FIRST_HOLD,
            occupancy_ms => Duration::from_millis(u64::from(occupancy_ms)),
        };
        let age = now.saturating_duration_since(*time);
        let weight = 1.0 - (age.as_secs_f64() / REPORT_AGE.as_secs_f64()).min(1.0);
        let free = f64::from(report.slots.saturating_sub(report.running));
        let over = (f64::from(self.sent_since_report) - free).max(0.0);
        let turn = hold.div_f64(f64::from(announced.max(1)));
        report.wait(level).mul_f64(weight) + turn.mul_f64(over)
    }

    /// Time by which failures make a target count as slower; it fades, so that a target which
    /// has recovered gets work again.
    pub(crate) fn failure_penalty(&self, now: Instant) -> Duration {
        let age = self
            .answered
            .map_or(Duration::ZERO, |time| now.saturating_duration_since(time));
        let weight = 1.0 - (age.as_secs_f64() / ERROR_AGE.as_secs_f64()).min(1.0);
        ERROR_PENALTY.mul_f64(self.error_share * weight)
    }

    /// Whether a fresh report says that a call of this level would wait past `aim`.
    pub(crate) fn is_hopeless(&self, level: RankLevel, aim: Duration, now: Instant) -> bool {
        self.report.is_some_and(|(report, time)| {
            let fresh = now.saturating_duration_since(time) < HOPELESS_AGE;
            fresh && report.wait(level) > aim.mul_f64(HOPELESS_PART)
        })
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether a fresh report says that the queue has no room for this level.
    pub(crate) fn refuses(&self, level: RankLevel, now: Instant) -> bool {
        self.report.is_some_and(|(report, time)| {
            let fresh = now.saturating_duration_since(time) < REFUSAL_AGE;
            fresh && u32::from(level.get()) >= report.open_levels
        })
    }
}
