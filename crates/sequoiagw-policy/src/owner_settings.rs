//! Settings of an owner.

use std::time::Duration;

use sequoiagw_protocol::RankLevel;

/// Time for which the store keeps claims until a version says otherwise.
const DEFAULT_KEY_WINDOW: Duration = Duration::from_secs(900);

/// Settings of an owner.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Service of the backend server; empty when none is announced.
    pub service: String,
    /// Slots announced.
    pub slots: u32,
    /// Calls that may wait.
    pub queue_limit: usize,
    /// Slots that only the most urgent rank may take.
    pub reserved_slots: u32,
    /// Share of each level.
    pub shares: [f64; RankLevel::COUNT],
    /// Most urgent level in use.
    pub most_urgent: RankLevel,
    /// Time for which the store keeps claims.
    pub key_window: Duration,
    /// How the slots in use follow from the announced ones.
    pub slot_rule: SlotRule,
}

/// How the slots in use follow from the announced ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SlotRule {
    /// They start low, grow with answers and shrink with shedding.
    #[default]
    Adaptive,
    /// All of them, always: nobody else uses the backend server.
    Fixed,
}

impl Default for OwnerSettings {
    /// Settings of an owner without a backend server.
    fn default() -> Self {
        Self {
            service: String::new(),
            slots: 0,
            queue_limit: 0,
            reserved_slots: 0,
            shares: [0.0; RankLevel::COUNT],
            most_urgent: RankLevel::MOST_URGENT,
            key_window: DEFAULT_KEY_WINDOW,
            slot_rule: SlotRule::Adaptive,
        }
    }
}
