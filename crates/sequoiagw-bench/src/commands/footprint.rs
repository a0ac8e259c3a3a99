//! `footprint`: processor time and memory of real node processes that have only control traffic,
//! over TCP on the local machine.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::MemoryStore;
use sequoiagw_standin::StoreServer;
use tokio::task::LocalSet;

use crate::bench_mesh::mesh_config;
use crate::bench_mesh::service_names;
use crate::commands::path::free_addresses;
use crate::commands::path::start_node;
use crate::commands::path::write_settings;
use crate::commands::path::NodeProcesses;
use crate::commands::seed_arg;
use crate::commands::u64_arg;
use crate::commands::BenchCommand;
use crate::process_usage::ProcessUsage;
use crate::report_line::ReportLine;

pub(crate) const COMMAND: BenchCommand = BenchCommand {
    name: "footprint",
    build,
    run,
};

/// Number of data centres.
const DATA_CENTRE_COUNT: usize = 7;
/// Number of services in the configuration.
const SERVICE_COUNT: usize = 80;
/// Time between the first configuration and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Duration of the measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(15);
/// Interval between two changes. The design load has one in 48 s.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Largest share of a core that control traffic may take at a node.
const CPU_SHARE_TARGET: f64 = 0.014;
/// Largest resident memory of a node in megabytes.
const MEMORY_TARGET_MB: f64 = 256.0;

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Processor time and memory of real node processes that have only control traffic")
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .default_value("56")
                .value_parser(clap::value_parser!(u64).range(7..=150))
                .help("Number of processes; run with several values to get the growth per node"),
        )
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let nodes = u64_arg(matches, "nodes") as usize;
    LocalSet::new().block_on(&runtime, measure(nodes, u64_arg(matches, "seed")))
}

async fn measure(nodes: usize, seed: u64) -> eyre::Result<()> {
    let store = MemoryStore::new(seed);
    let server = StoreServer::open(SocketAddr::from(([127, 0, 0, 1], 0)), &store)?;
    let store_address = server.address();
    let processes = start_nodes(nodes, store_address)?;
    apply_change(&store, 0).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = process_usages(&processes);
    let calls_before: u64 = store.counts().values().sum();
    let change_count = MEASUREMENT_DURATION.as_secs() / CHANGE_INTERVAL.as_secs();
    for change in 1..=change_count {
        apply_change(&store, change).await?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let after = process_usages(&processes);
    let calls = store.counts().values().sum::<u64>() - calls_before;
    let cpu_shares: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| {
            (after.cpu.saturating_sub(before.cpu)).as_secs_f64()
                / MEASUREMENT_DURATION.as_secs_f64()
        })
        .collect();
    let mean_share = cpu_shares.iter().sum::<f64>() / cpu_shares.len().max(1) as f64;
    let max_share = cpu_shares.iter().copied().fold(0.0, f64::max);
    let resident_mb: Vec<f64> = after
        .iter()
        .map(|usage| usage.resident_kb as f64 / 1024.0)
        .collect();
    let resident_mb_mean = resident_mb.iter().sum::<f64>() / resident_mb.len().max(1) as f64;
    ReportLine::default()
        .with("nodes", after.len())
        .with("cpu_share_mean", format!("{mean_share:.5}"))
        .with("cpu_share_max", format!("{max_share:.5}"))
        .with("cpu_target", CPU_SHARE_TARGET)
        .number("resident_mb_mean", resident_mb_mean)
        .number(
            "resident_mb_max",
            resident_mb.iter().copied().fold(0.0, f64::max),
        )
        .with("resident_target_mb", MEMORY_TARGET_MB)
        .number(
            "store_calls_s",
            calls as f64 / MEASUREMENT_DURATION.as_secs_f64(),
        )
        .print();
    Ok(())
}

fn start_nodes(nodes: usize, store: SocketAddr) -> eyre::Result<NodeProcesses> {
    let mut processes = NodeProcesses::default();
    let addresses = free_addresses(nodes * 3)?;
    for (index, node_addresses) in addresses.chunks(3).enumerate() {
        let settings = format!(
            "name = \"node-{index}\"\ndata_centre = \"dc{}\"\npeer_address = \"{}\"\n\
             caller_address = \"{}\"\nadmin_address = \"{}\"\nlog_level = \"error\"\n\
             seeds = [\"{}\", \"{}\"]\nstore_endpoints = [\"http://{store}\"]\n\
             [backend]\nservice = \"s{}\"\naddress = \"127.0.0.1:9\"\nslots = 12\n",
            index % DATA_CENTRE_COUNT,
            node_addresses[0],
            node_addresses[1],
            node_addresses[2],
            addresses[0],
            addresses[3],
            index % SERVICE_COUNT
        );
        let file = write_settings(&format!("node-{index}"), &settings)?;
        processes.children.push(start_node(&file)?);
    }
    Ok(processes)
}

async fn apply_change(store: &MemoryStore, change: u64) -> eyre::Result<()> {
    let extra = format!("queue_limit = {}", 64 + change);
    let mesh = mesh_config(&service_names(SERVICE_COUNT), "2s", &extra)?;
    InProcessFleet::write_config_to(store, mesh, &format!("change-{change}")).await?;
    Ok(())
}

fn process_usages(processes: &NodeProcesses) -> Vec<ProcessUsage> {
    let children = processes.children.iter();
    children
        .filter_map(|child| ProcessUsage::read(child.id()))
        .collect()
}
