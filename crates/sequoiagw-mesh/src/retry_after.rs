//! Delay that refused callers are asked to wait before they retry.

use std::time::Duration;

use rand::Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;

/// Time within which a full queue has usually been processed.
const QUEUE_DELAY: Duration = Duration::from_millis(200);
/// Time within which missing or unreachable targets have usually been replaced.
const TARGET_DELAY: Duration = Duration::from_millis(400);
/// Time within which a starting node has usually read its configuration.
const STARTUP_DELAY: Duration = Duration::from_millis(500);
/// Time after which a caller may ask whether a request is still held back.
const HELD_DELAY: Duration = Duration::from_secs(60);
/// Extra delay for each level below the most urgent one, so that urgent requests return first.
const LEVEL_STEP: Duration = Duration::from_millis(40);

/// Delay after which a caller that was refused for `kind` should retry. A random factor keeps
/// callers that were refused together from returning together.
pub fn retry_after_delay(kind: ErrorKind, level: Option<RankLevel>) -> Duration {
    let base = match kind {
        ErrorKind::QueueFull | ErrorKind::FleetOverloaded | ErrorKind::BackendShed => QUEUE_DELAY,
        ErrorKind::NodeUnready | ErrorKind::NodeStopping => STARTUP_DELAY,
        ErrorKind::RequestHeld => HELD_DELAY,
        _ => TARGET_DELAY,
    };
    let level_delay = LEVEL_STEP * level.map_or(0, |level| u32::from(level.get()));
    (base + level_delay).mul_f64(rand::rng().random_range(0.75..1.25))
}
