//! How targets are chosen.

use std::time::Duration;

/// How a call's target is chosen, and what follows when it has no room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementRule {
    /// The own data centre, another one when it is clearly less loaded; a full queue refuses.
    #[default]
    Spill,
    /// Where the answer is expected first, a longer way counted in; a target without room
    /// passes the call on to the next one.
    Fastest,
}

impl PlacementRule {
    /// Advantage in time by which a target in another data centre must be better.
    pub const REMOTE_PENALTY: Duration = Duration::from_millis(60);
}
