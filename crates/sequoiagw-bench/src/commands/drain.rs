//! `drain`: a rolling restart of all targets under load. Real nodes in one process on the
//! paused clock.

use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_standin::EntryList;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::LoadDriver;
use tokio::time::Instant;

use crate::bench_mesh::mesh_of;
use crate::bench_mesh::service_names;
use crate::commands::number;
use crate::commands::seed_arg;
use crate::commands::BenchEntry;
use crate::fleet_setup::entries_of;
use crate::fleet_setup::rank_streams;
use crate::fleet_setup::ready_fleet;
use crate::paused_run::on_paused_clock;
use crate::report_line::ReportLine;

pub(crate) const ENTRY: BenchEntry = BenchEntry {
    name: "drain",
    build,
    run,
};

/// Nodes of the fleet.
const NODE_COUNT: usize = 16;
/// Time between two restarts.
const RESTART_PERIOD: Duration = Duration::from_millis(1500);
/// Calls a second by rank.
const RATES: [f64; 3] = [150.0, 150.0, 300.0];
/// Time between two looks at a leaver.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

fn build() -> Command {
    Command::new(ENTRY.name)
        .about("Requests cut by a rolling restart, and how long leavers still get new work")
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    println!("real nodes in one process on the paused clock");
    on_paused_clock(measure(number(matches, "seed")))?
}

async fn measure(seed: u64) -> eyre::Result<()> {
    let services = service_names(2);
    let plan = FleetPlan {
        data_centres: 2,
        nodes: NODE_COUNT,
        services: services.clone(),
        seed,
        ..FleetPlan::default()
    };
    let mut fleet = ready_fleet(plan, mesh_of(&services, "2s", "")?).await?;
    let entries = entries_of(&fleet);
    let driver = LoadDriver::new(entries.clone(), fleet.log.clone(), seed);
    let streams = rank_streams(&services, RATES, true);
    let time = RESTART_PERIOD * (NODE_COUNT as u32 + 2);
    let (tally, latest) = tokio::join!(
        driver.drive(&streams, time),
        restart_all(&mut fleet, &entries)
    );
    let total = tally.total();
    for (rank, stream) in &tally.streams {
        println!(
            "{rank}: sent {} served {} refused {:?}",
            stream.sent, stream.served, stream.refused
        );
    }
    let doubled = fleet.log.repeated_runs();
    ReportLine::default()
        .with("cut_requests", total.sent - total.served)
        .number("late_new_work_s", latest.as_secs_f64())
        .with(
            "double_runs",
            doubled.iter().filter(|id| !id.starts_with("bulk")).count(),
        )
        .with("calls", total.sent)
        .print();
    Ok(())
}

/// Restarts each node in turn; returns the longest time after its drain began at which a
/// leaver's backend server was given new work.
async fn restart_all(fleet: &mut InProcessFleet, entries: &EntryList) -> Duration {
    let mut latest = Duration::ZERO;
    tokio::time::sleep(RESTART_PERIOD).await;
    for index in 0..NODE_COUNT {
        // Callers stop choosing the leaving node as their entry, as a load balancer would.
        let leaving = fleet.nodes[index].name.clone();
        entries
            .borrow_mut()
            .retain(|handle| handle.read(|core| core.identity().name != leaving));
        let started = Instant::now();
        let model = fleet.nodes[index].model.clone();
        let watch = tokio::task::spawn_local(async move {
            let mut seen = model.started_runs();
            let mut last = Duration::ZERO;
            while started.elapsed() < RESTART_PERIOD {
                tokio::time::sleep(LOOK_PERIOD).await;
                if model.started_runs() > seen {
                    seen = model.started_runs();
                    last = started.elapsed();
                }
            }
            last
        });
        fleet.drain_node(index).await;
        tokio::time::sleep(RESTART_PERIOD.saturating_sub(started.elapsed())).await;
        latest = latest.max(watch.await.unwrap_or_default());
        fleet.start_node(index);
        fleet.nodes[index].handle.wait_ready().await;
        entries.borrow_mut().push(fleet.nodes[index].handle.clone());
    }
    latest
}
