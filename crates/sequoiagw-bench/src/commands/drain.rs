//! `drain`: a rolling restart of all targets under load. Runs real nodes in one process on the
//! paused clock.

use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_standin::EntryList;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::LoadDriver;
use tokio::time::Instant;

use crate::bench_mesh::mesh_config;
use crate::bench_mesh::service_names;
use crate::commands::seed_arg;
use crate::commands::u64_arg;
use crate::commands::BenchCommand;
use crate::fleet_setup::rank_streams;
use crate::fleet_setup::running_entries;
use crate::fleet_setup::start_ready_fleet;
use crate::paused_run::run_on_paused_clock;
use crate::report_line::ReportLine;

pub(crate) const COMMAND: BenchCommand = BenchCommand {
    name: "drain",
    build,
    run,
};

/// Number of nodes in the fleet.
const NODE_COUNT: usize = 16;
/// Time from the start of a node's drain until the node is started again.
const RESTART_INTERVAL: Duration = Duration::from_millis(1500);
/// Calls a second for each rank, the most urgent first.
const RATES: [f64; 3] = [150.0, 150.0, 300.0];
/// Interval at which a draining node's backend server is checked for new runs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Requests cut by a rolling restart, and how long draining nodes still get new work")
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    println!("real nodes in one process on the paused clock");
    run_on_paused_clock(measure(u64_arg(matches, "seed")))?
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
    let mut fleet = start_ready_fleet(plan, mesh_config(&services, "2s", "")?).await?;
    let entries = running_entries(&fleet);
    let driver = LoadDriver::new(entries.clone(), fleet.log.clone(), seed);
    let streams = rank_streams(&services, RATES, true);
    let duration = RESTART_INTERVAL * (NODE_COUNT as u32 + 2);
    let (stats, longest_delay) = tokio::join!(
        driver.drive(&streams, duration),
        restart_all_nodes(&mut fleet, &entries)
    );
    let total = stats.total();
    for (rank, stream) in &stats.streams {
        println!(
            "{rank}: sent {} served {} refused {:?}",
            stream.sent, stream.served, stream.refused
        );
    }
    let repeated_ids = fleet.log.repeated_runs();
    ReportLine::default()
        .with("cut_requests", total.sent - total.served)
        .number("late_new_work_s", longest_delay.as_secs_f64())
        .with(
            "double_runs",
            repeated_ids
                .iter()
                .filter(|id| !id.starts_with("bulk"))
                .count(),
        )
        .with("calls", total.sent)
        .print();
    Ok(())
}

/// Restarts each node in turn. Returns the longest time between the start of a node's drain and
/// the last start of a run at its backend server.
async fn restart_all_nodes(fleet: &mut InProcessFleet, entries: &EntryList) -> Duration {
    let mut longest_delay = Duration::ZERO;
    tokio::time::sleep(RESTART_INTERVAL).await;
    for index in 0..NODE_COUNT {
        // Callers stop using the draining node as their entry, as behind a load balancer.
        let draining_name = fleet.nodes[index].name.clone();
        entries
            .borrow_mut()
            .retain(|handle| handle.read(|core| core.identity().name != draining_name));
        let started = Instant::now();
        let model = fleet.nodes[index].model.clone();
        let observer = tokio::task::spawn_local(async move {
            let mut seen_runs = model.started_runs();
            let mut last_start = Duration::ZERO;
            while started.elapsed() < RESTART_INTERVAL {
                tokio::time::sleep(POLL_INTERVAL).await;
                if model.started_runs() > seen_runs {
                    seen_runs = model.started_runs();
                    last_start = started.elapsed();
                }
            }
            last_start
        });
        fleet.drain_node(index).await;
        tokio::time::sleep(RESTART_INTERVAL.saturating_sub(started.elapsed())).await;
        longest_delay = longest_delay.max(observer.await.unwrap_or_default());
        fleet.start_node(index);
        fleet.nodes[index].handle.wait_ready().await;
        entries.borrow_mut().push(fleet.nodes[index].handle.clone());
    }
    longest_delay
}
