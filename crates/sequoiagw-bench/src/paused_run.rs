//! Runs on the paused clock: time passes as soon as nothing is left to do.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future on a paused single-threaded runtime.
pub(crate) fn run_on_paused_clock<Task>(task: Task) -> eyre::Result<Task::Output>
where
    Task: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, task))
}
