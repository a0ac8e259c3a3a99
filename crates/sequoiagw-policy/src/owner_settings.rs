//! Settings of an owner.

use std::time::Duration;

use sequoiagw_protocol::RankLevel;

/// Time for which the store keeps claims before the first configuration version is known.
const DEFAULT_KEY_WINDOW: Duration = Duration::from_secs(900);

/// Settings of an owner, from the backend server's announcement and the configuration.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Service of the backend server; empty when none is announced.
    pub service: String,
    /// Number of slots that the backend server announced.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub queue_limit: usize,
    /// Number of slots reserved for the most urgent level.
    pub reserved_slots: u32,
    /// Guaranteed share of the started calls and of the queue, by level.
    pub shares: [f64; RankLevel::COUNT],
    /// Most urgent level in use.
    pub most_urgent: RankLevel,
    /// Time for which the store keeps claims.
    pub key_window: Duration,
    /// How the number of usable slots follows from the announced number.
    pub slot_rule: SlotRule,
}

/// How the number of usable slots follows from the announced number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SlotRule {
    /// The number starts low, grows with answered calls and shrinks when calls are shed.
    #[default]
    Adaptive,
    /// All announced slots are always usable, because no other client uses the backend server.
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
