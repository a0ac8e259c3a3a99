//! Runs on Tokio's paused clock, which advances to the next timer as soon as all tasks are idle.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future to completion on a single-threaded runtime whose clock is paused.
///
/// Errors: the runtime can't be built.
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
