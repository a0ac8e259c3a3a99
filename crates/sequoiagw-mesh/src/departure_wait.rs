//! When a departure may be acknowledged to the backend server.

use std::time::Duration;

use tokio::time::timeout_at;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::MeshCore;
use crate::MeshHandle;
use crate::TargetIncarnation;

/// Time after which the departure isn't acknowledged. A backend server waits a second.
const STORE_WAIT: Duration = Duration::from_millis(850);

/// Waits until the store has the departure of an incarnation; returns whether it does.
///
/// All nodes may end in the same second, so what only they remember isn't acknowledged.
pub async fn wait_until_departure_stored(
    handle: &MeshHandle,
    departing: &TargetIncarnation,
) -> bool {
    let started = Instant::now();
    let deadline = started + STORE_WAIT;
    let elapsed_ms = || started.elapsed().as_millis() as u64;
    loop {
        let stored = handle.wait_for_departure_stored();
        if handle.read(|core| core.is_departure_stored(departing)) {
            info!(event = "departure_stored", instance = %departing.instance, waited_ms = elapsed_ms());
            return true;
        }
        if timeout_at(deadline, stored).await.is_err() {
            let has_lost_store = handle.read(MeshCore::has_lost_store);
            warn!(
                event = "departure_unstored", instance = %departing.instance,
                waited_ms = elapsed_ms(), has_lost_store
            );
            handle.counters().count("backend.departure_unstored");
            return false;
        }
    }
}
