//! Slots that the calls of each flow use.

use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::rank_queue::SHARED_FLOW;

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_millis(800);
/// Used slots below which a flow is forgotten.
const MIN_SLOTS: f64 = 0.001;
/// Interval at which flows are forgotten.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Decayed slot time of the started calls of a flow, in seconds.
#[derive(Clone, Copy, Debug)]
struct SlotTime {
    seconds: f64,
    updated: Instant,
}

impl SlotTime {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.seconds * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Mean number of slots.
    fn slots(&self, now: Instant) -> f64 {
        self.at(now) / DECAY_TIME.as_secs_f64()
    }
}

/// Mean numbers of slots that the calls of each level and flow have used lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowSlots {
    flows: HashMap<(RankLevel, u64), SlotTime>,
    cleaned: Option<Instant>,
}

impl FlowSlots {
    /// Records the start of a call that is expected to occupy its slot for `occupancy`.
    pub(crate) fn record(
        &mut self,
        level: RankLevel,
        flow: u64,
        occupancy: Duration,
        now: Instant,
    ) {
        let is_due = |cleaned: Instant| now.saturating_duration_since(cleaned) > CLEANUP_INTERVAL;
        if self.cleaned.is_none_or(is_due) {
            self.cleaned = Some(now);
            self.flows.retain(|_, used| used.slots(now) > MIN_SLOTS);
        }
        let before = self.flows.get(&(level, flow)).map(|used| used.at(now));
        let used = SlotTime {
            seconds: before.unwrap_or(0.0) + occupancy.as_secs_f64(),
            updated: now,
        };
        self.flows.insert((level, flow), used);
    }

    /// Slots of `total` that a flow gets as long as it has queued calls: what the more urgent
    /// levels, the shared flow and the other flows of its level leave. No other flow is counted
    /// with more than an equal share, since the flows take turns.
    pub(crate) fn available_to(
        &self,
        level: RankLevel,
        flow: u64,
        total: f64,
        now: Instant,
    ) -> f64 {
        let takes_turns =
            |key: &(RankLevel, u64)| key.0 == level && key.1 != SHARED_FLOW && key.1 != flow;
        let others = self.flows.keys().filter(|key| takes_turns(key)).count();
        let equal_share = total / (others + 1) as f64;
        let used = self.flows.iter().map(|(key, used)| match key {
            _ if takes_turns(key) => used.slots(now).min(equal_share),
            (other, SHARED_FLOW) if *other == level => used.slots(now),
            (other, _) if *other < level => used.slots(now),
            _ => 0.0,
        });
        total - used.sum::<f64>()
    }
}
