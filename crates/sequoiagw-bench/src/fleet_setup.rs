//! Fleets of the measurements.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_config::MeshConfig;
use sequoiagw_standin::EntryList;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::LoadStream;

/// Time of the paused clock in which a fleet has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Starts a fleet and waits until every node acts on a first version and knows all targets.
pub(crate) async fn start_ready_fleet(
    plan: FleetPlan,
    mesh: MeshConfig,
) -> eyre::Result<InProcessFleet> {
    let fleet = InProcessFleet::start(plan);
    let accepted = fleet.write_config(mesh, "first").await?;
    let ready = async {
        fleet.wait_version(accepted.version).await;
        fleet.wait_members().await;
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

/// Entries of all running nodes.
pub(crate) fn running_entries(fleet: &InProcessFleet) -> EntryList {
    let running = fleet.nodes.iter().filter(|node| node.up);
    Rc::new(RefCell::new(
        running.map(|node| node.handle.clone()).collect(),
    ))
}

/// Updates a list of entries to the nodes that run now.
pub(crate) fn refresh_entries(fleet: &InProcessFleet, entries: &EntryList) {
    let running = fleet.nodes.iter().filter(|node| node.up);
    *entries.borrow_mut() = running.map(|node| node.handle.clone()).collect();
}

/// A stream of each rank for each service; rates are for all services together.
pub(crate) fn rank_streams(services: &[String], rates: [f64; 3], keyed: bool) -> Vec<LoadStream> {
    let ranks = ["urgent", "normal", "bulk"];
    let mut streams = Vec::new();
    for service in services {
        for (rank, rate) in ranks.iter().zip(rates) {
            streams.push(LoadStream {
                name: (*rank).to_owned(),
                route: format!("{rank}-{service}"),
                rate: rate / services.len() as f64,
                // Bulk lookups are idempotent and need no key.
                keyed: keyed && *rank != "bulk",
                callers: 10,
            });
        }
    }
    streams
}
