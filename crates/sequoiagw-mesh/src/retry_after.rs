//! When a refused caller had best come back.

use std::time::Duration;

use rand::Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;

/// Time in which a queue that is full now has mostly been worked off.
const QUEUE_TIME: Duration = Duration::from_millis(200);
/// Time in which targets that are missing or out of reach have mostly been replaced.
const TARGET_TIME: Duration = Duration::from_millis(400);
/// Time in which a starting node has mostly read its configuration.
const START_TIME: Duration = Duration::from_millis(500);
/// Further time for each rank below the most urgent one, so that urgent work comes first.
const RANK_STEP: Duration = Duration::from_millis(40);

/// Time after which a caller that was refused for `kind` had best come back; drawn from a
/// range, so that those refused together don't return together.
pub fn retry_after_delay(kind: ErrorKind, level: Option<RankLevel>) -> Duration {
    let base = match kind {
        ErrorKind::QueueFull | ErrorKind::FleetOverloaded | ErrorKind::BackendShed => QUEUE_TIME,
        ErrorKind::NodeUnready | ErrorKind::NodeStopping => START_TIME,
        _ => TARGET_TIME,
    };
    let step = RANK_STEP * level.map_or(0, |level| u32::from(level.get()));
    (base + step).mul_f64(rand::rng().random_range(0.75..1.25))
}
