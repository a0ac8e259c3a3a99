//! Placement rules and the weight of the link to a remote data centre.

use std::time::Duration;

use sequoiagw_protocol::RankLevel;

/// How a call's target is chosen, and what happens when the target is full.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementRule {
    /// A target of the local data centre, or of a remote one that is clearly less loaded. A
    /// full queue refuses the call.
    #[default]
    Spill,
    /// The target with the earliest expected answer, including the cost of the link. A call
    /// refused by a full target goes to the next one.
    Fastest,
}

/// Part of the latency target by which a remote data centre must answer sooner to justify use of
/// the link.
const REMOTE_PENALTY_RATIO: f64 = 0.4;
/// Used instead of [`REMOTE_PENALTY_RATIO`] for the most urgent calls, for which a fast answer is
/// far more important than saving the link.
const URGENT_REMOTE_PENALTY_RATIO: f64 = 0.15;

/// Time by which a target in a remote data centre must be expected to answer sooner than a local
/// one.
pub fn remote_penalty(latency_target: Duration, level: RankLevel) -> Duration {
    if level == RankLevel::MOST_URGENT {
        latency_target.mul_f64(URGENT_REMOTE_PENALTY_RATIO)
    } else {
        latency_target.mul_f64(REMOTE_PENALTY_RATIO)
    }
}

/// Part of the latency target within which an answer from the local data centre is acceptable.
const ACCEPTABLE_LOCAL_RATIO: f64 = 0.6;

/// Expected time to an answer from the local data centre up to which no remote one is considered:
/// the caller is served within its latency target and the link isn't used. Zero for the most
/// urgent calls, for which remote data centres are always considered.
pub fn acceptable_local_latency(latency_target: Duration, level: RankLevel) -> Duration {
    if level == RankLevel::MOST_URGENT {
        Duration::ZERO
    } else {
        latency_target.mul_f64(ACCEPTABLE_LOCAL_RATIO)
    }
}
