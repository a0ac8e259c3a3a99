//! Runs on the paused clock: time passes as soon as nothing is left to do.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future on a paused single-threaded runtime.
pub(crate) fn on_paused_clock<Run>(run: Run) -> eyre::Result<Run::Output>
where
    Run: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, run))
}
