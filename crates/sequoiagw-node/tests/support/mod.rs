//! Helpers that make a fleet case one readable line.

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
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A fleet in which the first version is in force everywhere and all targets are known.
pub async fn ready_fleet(plan: FleetPlan) -> InProcessFleet {
    let fleet = InProcessFleet::start(plan);
    let accepted = fleet
        .write_config(mesh_with_timeout(2), "first")
        .await
        .expect("accepted");
    within(
        60,
        "the first version is in force",
        fleet.wait_version(accepted.version),
    )
    .await;
    within(60, "all targets are known", fleet.wait_members()).await;
    fleet
}

/// Awaits something that has to happen within some seconds of the paused clock.
pub async fn within<Awaited>(seconds: u64, what: &str, awaited: Awaited) -> Awaited::Output
where
    Awaited: Future,
{
    let limit = Duration::from_secs(seconds);
    tokio::time::timeout(limit, awaited)
        .await
        .unwrap_or_else(|_| panic!("not within {seconds} s: {what}"))
}
