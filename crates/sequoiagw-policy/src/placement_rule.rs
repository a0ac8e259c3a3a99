//! How targets are chosen.

use std::time::Duration;

use sequoiagw_protocol::RankLevel;

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

/// Part of a call's aim by which another data centre must answer sooner to be worth the link.
const REMOTE_PART: f64 = 0.4;
/// The same for the most urgent calls, whose answers are worth far more than the link.
const URGENT_REMOTE_PART: f64 = 0.15;

/// Advantage in time by which a target in another data centre must be better.
pub fn remote_penalty(latency_target: Duration, level: RankLevel) -> Duration {
    if level == RankLevel::MOST_URGENT {
        latency_target.mul_f64(URGENT_REMOTE_PART)
    } else {
        latency_target.mul_f64(REMOTE_PART)
    }
}

/// Part of a call's aim within which an answer of the own data centre is good enough.
const NEAR_PART: f64 = 0.6;

/// Time to an answer of the own data centre up to which no other one is weighed: the caller
/// is served within its aim and the link is spared. None for the most urgent calls.
pub fn acceptable_local_latency(latency_target: Duration, level: RankLevel) -> Duration {
    if level == RankLevel::MOST_URGENT {
        Duration::ZERO
    } else {
        latency_target.mul_f64(NEAR_PART)
    }
}
