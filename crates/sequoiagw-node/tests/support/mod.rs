//! Helpers for tests with a simulated fleet.

pub mod mesh;

use std::future::Future;
use std::time::Duration;

use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use tokio::task::LocalSet;

use self::mesh::mesh_with_timeout;

/// Runs a test on the paused clock of a single-threaded runtime.
pub fn on_paused_clock<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime should build");
    LocalSet::new().block_on(&runtime, test);
}

/// Starts a fleet and waits until the first version is active and all targets are known at every
/// node.
pub async fn ready_fleet(plan: FleetPlan) -> InProcessFleet {
    let fleet = InProcessFleet::start(plan);
    let accepted = fleet
        .write_config(mesh_with_timeout(2), "first")
        .await
        .expect("the first version should be accepted");
    within(
        60,
        "the first version is active",
        fleet.wait_version(accepted.version),
    )
    .await;
    within(60, "all targets are known", fleet.wait_targets_ready()).await;
    fleet
}

/// Awaits a future; panics unless it completes within `seconds` of the paused clock.
pub async fn within<Awaitable>(
    seconds: u64,
    expectation: &str,
    future: Awaitable,
) -> Awaitable::Output
where
    Awaitable: Future,
{
    let time_limit = Duration::from_secs(seconds);
    tokio::time::timeout(time_limit, future)
        .await
        .unwrap_or_else(|_| panic!("not within {seconds} s: {expectation}"))
}
