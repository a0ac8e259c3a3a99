//! Timers of a link.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time without a frame after which the node that opened a link closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Sleeps until a time, or forever without one.
pub(crate) async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Waits until no frame has been sent or received for [`IDLE_TIMEOUT`].
pub(crate) async fn wait_until_idle(last_frame: &Cell<Instant>) {
    loop {
        let idle_deadline = last_frame.get() + IDLE_TIMEOUT;
        if Instant::now() >= idle_deadline {
            return;
        }
        tokio::time::sleep_until(idle_deadline).await;
    }
}
