//! Fleets and load streams of the benchmarks.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_config::MeshConfig;
use sequoiagw_standin::EntryList;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::LoadStream;

/// Limit on the paused clock for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Starts a fleet and waits until the first version is in force and all targets are known at every
/// node.
///
/// Errors: the configuration is refused, or the fleet isn't ready in time.
pub(crate) async fn start_ready_fleet(
    plan: FleetPlan,
    mesh: MeshConfig,
) -> eyre::Result<InProcessFleet> {
    let fleet = InProcessFleet::start(plan);
    let accepted = fleet.write_config(mesh, "first").await?;
    let ready = async {
        fleet.wait_version(accepted.version).await;
        fleet.wait_targets_ready().await;
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .map_err(|_| {
            eyre::eyre!(
                "the fleet wasn't ready within {} s",
                READY_TIMEOUT.as_secs()
            )
        })?;
    Ok(fleet)
}

/// Lists the running nodes, which callers use as entries.
pub(crate) fn running_entries(fleet: &InProcessFleet) -> EntryList {
    let running = fleet.nodes.iter().filter(|node| node.is_running);
    Rc::new(RefCell::new(
        running.map(|node| node.handle.clone()).collect(),
    ))
}

/// Replaces a list of entries by the nodes that are running now.
pub(crate) fn refresh_entries(fleet: &InProcessFleet, entries: &EntryList) {
    let running = fleet.nodes.iter().filter(|node| node.is_running);
    *entries.borrow_mut() = running.map(|node| node.handle.clone()).collect();
}

/// Builds a load stream of each rank for each service. `rates` are in calls a second for all
/// services together.
pub(crate) fn rank_streams(services: &[String], rates: [f64; 3], keyed: bool) -> Vec<LoadStream> {
    let ranks = ["urgent", "normal", "bulk"];
    let mut streams = Vec::new();
    for service in services {
        for (rank, rate) in ranks.iter().zip(rates) {
            streams.push(LoadStream {
                name: (*rank).to_owned(),
                route: format!("{rank}-{service}"),
                rate: rate / services.len() as f64,
                // Bulk routes are idempotent and need no idempotency key.
                keyed: keyed && *rank != "bulk",
                callers: 10,
            });
        }
    }
    streams
}
