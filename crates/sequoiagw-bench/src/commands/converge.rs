//! `converge`: time until changes are in force everywhere, and the costs of control traffic. Runs
//! real nodes in one process on the paused clock, connected by in-memory links.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiagw_config::MeshConfig;
use sequoiagw_protocol::FrameKind;
use sequoiagw_protocol::FRAME_KINDS;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::NetworkPlan;
use tokio::time::Instant;

use crate::bench_mesh::mesh_config;
use crate::bench_mesh::service_names;
use crate::commands::seed_arg;
use crate::commands::u64_arg;
use crate::commands::BenchCommand;
use crate::fleet_setup::start_ready_fleet;
use crate::naive_watch::measure_naive_watch;
use crate::naive_watch::NaiveWatchCosts;
use crate::paused_run::run_on_paused_clock;
use crate::process_usage::ProcessUsage;
use crate::report_line::ReportLine;

pub(crate) const COMMAND: BenchCommand = BenchCommand {
    name: "converge",
    build,
    run,
};

/// Number of services in the deployment for which the system is designed.
const SERVICE_COUNT: usize = 80;
/// Interval between two changes. The design load of 1,800 changes a day is one in 48 s.
const CHANGE_INTERVAL: Duration = Duration::from_secs(8);
/// Number of changes made.
const CHANGE_COUNT: u64 = 6;
/// Interval between two node restarts: 1.3 times as often as 130 a day among 660 nodes.
const RESTART_INTERVAL: Duration = Duration::from_secs(10);
/// Duration of a fault other than the store's outage.
const FAULT_DURATION: Duration = Duration::from_secs(20);
/// Duration of the store's outage.
const STORE_OUTAGE_DURATION: Duration = Duration::from_secs(60);
/// Limit for the last change to be in force at every node.
const LAST_CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the versions in force are read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const FAULT_NAMES: [&str; 7] = [
    "none",
    "store-down",
    "cut",
    "half-killed",
    "loss-1",
    "loss-5",
    "holders-paused",
];

fn build() -> Command {
    let count = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(clap::value_parser!(u64))
    };
    Command::new(COMMAND.name)
        .about("Time until changes are in force everywhere, control bytes and store calls")
        .arg(count("nodes", "140"))
        .arg(count("data-centres", "7"))
        .arg(
            count("settle-s", "20")
                .help("Seconds between the cold start and the measurement of the idle costs"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .default_value("none")
                .value_parser(FAULT_NAMES),
        )
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    println!("real nodes in one process on the paused clock, over memory links");
    let case = ConvergeCase {
        nodes: u64_arg(matches, "nodes") as usize,
        data_centres: u64_arg(matches, "data-centres") as usize,
        fault: matches
            .get_one::<String>("fault")
            .cloned()
            .unwrap_or_default(),
        settle_time: Duration::from_secs(u64_arg(matches, "settle-s")),
        seed: u64_arg(matches, "seed"),
    };
    let naive = run_on_paused_clock(measure_naive_watch(
        case.nodes,
        CHANGE_COUNT,
        mesh_config_for_change,
    ))??;
    run_on_paused_clock(measure(case, naive))?
}

/// Parameters of a run.
#[derive(Clone, Debug)]
struct ConvergeCase {
    nodes: usize,
    data_centres: usize,
    fault: String,
    settle_time: Duration,
    seed: u64,
}

/// Results collected from the repeated observations of the fleet.
#[derive(Default)]
struct ConvergeStats {
    /// Highest version seen in force at each node, across its restarts.
    highest: BTreeMap<String, u64>,
    /// Time at which each version was accepted.
    accepted: BTreeMap<u64, Instant>,
    /// Seconds from acceptance until the version is in force, for each node and version.
    delays: Vec<f64>,
    reverts: u64,
    inconsistent: u64,
}

async fn measure(case: ConvergeCase, naive: NaiveWatchCosts) -> eyre::Result<()> {
    let services = service_names(SERVICE_COUNT.min(case.nodes / case.data_centres));
    let plan = FleetPlan {
        data_centres: case.data_centres,
        nodes: case.nodes,
        services: services.clone(),
        network: NetworkPlan {
            loss: frame_loss_rate(&case.fault),
            ..NetworkPlan::default()
        },
        seed: case.seed,
        ..FleetPlan::default()
    };
    let mut fleet = start_ready_fleet(plan, mesh_config_for_change(1)?).await?;
    tokio::time::sleep(case.settle_time).await;
    let mut stats = ConvergeStats::default();
    observe_versions(&fleet, &mut stats);
    let idle = measure_idle_costs(&fleet, case.nodes).await;
    let bytes_before = control_bytes(&fleet);
    let calls_before = fleet.store.counts();
    let started = Instant::now();
    let cpu_before = ProcessUsage::of_current_process().cpu;
    let restart_nodes = case.fault == "none";
    let last_version = apply_changes(&mut fleet, &mut stats, &case, restart_nodes).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = ProcessUsage::of_current_process()
        .cpu
        .saturating_sub(cpu_before)
        .as_secs_f64();
    let behind = fleet
        .versions()
        .values()
        .filter(|version| **version < last_version)
        .count();
    report(
        &case,
        &fleet,
        &stats,
        &ReportInput {
            bytes_before,
            calls_before,
            elapsed,
            cpu,
            behind,
            idle,
            naive,
        },
    );
    Ok(())
}

/// Values of the run that the report combines with the fleet's final counters.
struct ReportInput {
    bytes_before: BTreeMap<FrameKind, u64>,
    calls_before: BTreeMap<&'static str, u64>,
    elapsed: f64,
    cpu: f64,
    behind: usize,
    idle: (f64, f64),
    naive: NaiveWatchCosts,
}

fn frame_loss_rate(fault: &str) -> f64 {
    match fault {
        "loss-1" => 0.01,
        "loss-5" => 0.05,
        _ => 0.0,
    }
}

/// Builds a configuration with all services. `change` sets two settings, so that a version with
/// settings of different changes can be detected.
fn mesh_config_for_change(change: u64) -> eyre::Result<MeshConfig> {
    let extra = format!("queue_limit = {}\nretries = {}", 64 + change, change % 10);
    mesh_config(&service_names(SERVICE_COUNT), "2s", &extra)
}

/// Measures control bytes a second at each node, and store calls a second, while nothing changes.
async fn measure_idle_costs(fleet: &InProcessFleet, nodes: usize) -> (f64, f64) {
    let duration = Duration::from_secs(20);
    let total = |fleet: &InProcessFleet| control_bytes(fleet).values().sum::<u64>();
    let calls = |fleet: &InProcessFleet| fleet.store.counts().values().sum::<u64>();
    let (bytes_before, calls_before) = (total(fleet), calls(fleet));
    tokio::time::sleep(duration).await;
    let bytes = (total(fleet) - bytes_before) as f64 / duration.as_secs_f64() / nodes as f64;
    (
        bytes,
        (calls(fleet) - calls_before) as f64 / duration.as_secs_f64(),
    )
}

/// Applies the changes and injects the fault before the second one. Returns the last version.
async fn apply_changes(
    fleet: &mut InProcessFleet,
    stats: &mut ConvergeStats,
    case: &ConvergeCase,
    restart_nodes: bool,
) -> eyre::Result<u64> {
    let mut last_version = 1;
    let mut next_restart = Instant::now() + RESTART_INTERVAL;
    let mut restart_count = 0;
    for change in 0..CHANGE_COUNT {
        if change == 1 {
            inject_fault(fleet, stats, case).await;
        }
        let accepted = fleet
            .write_config(
                mesh_config_for_change(change + 2)?,
                &format!("change-{change}"),
            )
            .await?;
        last_version = accepted.version;
        stats.accepted.insert(last_version, Instant::now());
        let deadline = Instant::now() + CHANGE_INTERVAL;
        while Instant::now() < deadline {
            wait_and_observe(fleet, stats, POLL_INTERVAL).await;
            if restart_nodes && Instant::now() >= next_restart {
                next_restart += RESTART_INTERVAL;
                restart_count += 1;
                let index = (restart_count * 37) % case.nodes;
                fleet.kill_node(index);
                fleet.start_node(index);
            }
        }
    }
    let deadline = Instant::now() + LAST_CHANGE_TIMEOUT;
    while Instant::now() < deadline
        && fleet
            .versions()
            .values()
            .any(|version| *version < last_version)
    {
        wait_and_observe(fleet, stats, POLL_INTERVAL).await;
    }
    Ok(last_version)
}

async fn wait_and_observe(fleet: &InProcessFleet, stats: &mut ConvergeStats, interval: Duration) {
    tokio::time::sleep(interval).await;
    observe_versions(fleet, stats);
}

/// Records each node's version in force, and counts versions that are older than an earlier one or
/// that mix settings of different changes.
fn observe_versions(fleet: &InProcessFleet, stats: &mut ConvergeStats) {
    let now = Instant::now();
    for node in fleet.nodes.iter().filter(|node| node.is_running) {
        let config = node.handle.read(|core| core.active_config().cloned());
        let Some(config) = config else {
            continue;
        };
        let highest = stats.highest.entry(node.name.clone()).or_default();
        if config.version < *highest {
            stats.reverts += 1;
        }
        if config.version > *highest {
            *highest = config.version;
            if let Some(accepted) = stats.accepted.get(&config.version) {
                stats.delays.push((now - *accepted).as_secs_f64());
            }
            stats.inconsistent += u64::from(!has_consistent_settings(&config));
        }
    }
}

/// Whether both settings that each change sets have the values of this version.
fn has_consistent_settings(config: &sequoiagw_config::CompiledConfig) -> bool {
    let change = config.version;
    let (queue_limit, _) = config.target_limits("dc0", "s0", "node-0");
    let retries = config.routes().first().map(|route| route.settings.retries);
    queue_limit == 64 + change && retries == Some(change % 10)
}

async fn inject_fault(fleet: &mut InProcessFleet, stats: &mut ConvergeStats, case: &ConvergeCase) {
    let deadline_after = |duration: Duration| Instant::now() + duration;
    match case.fault.as_str() {
        "store-down" => {
            fleet.store.set_faults(|faults| faults.down = true);
            observe_until(fleet, stats, deadline_after(STORE_OUTAGE_DURATION)).await;
            fleet.store.set_faults(|faults| faults.down = false);
        }
        "cut" => {
            fleet.partition_data_centre("dc1", true);
            observe_until(fleet, stats, deadline_after(FAULT_DURATION)).await;
            fleet.partition_data_centre("dc1", false);
        }
        "half-killed" => {
            for index in (0..case.nodes).step_by(2) {
                fleet.kill_node(index);
                fleet.start_node(index);
            }
            observe_until(fleet, stats, deadline_after(FAULT_DURATION)).await;
        }
        "holders-paused" => {
            let holders: Vec<usize> = (0..case.nodes)
                .filter(|index| {
                    fleet.nodes[*index]
                        .handle
                        .read(|core| core.seat().is_some())
                })
                .collect();
            for index in &holders {
                fleet.pause_node(*index, true);
            }
            observe_until(fleet, stats, deadline_after(FAULT_DURATION)).await;
            for index in &holders {
                fleet.pause_node(*index, false);
            }
        }
        _ => {}
    }
}

async fn observe_until(fleet: &InProcessFleet, stats: &mut ConvergeStats, deadline: Instant) {
    while Instant::now() < deadline {
        wait_and_observe(fleet, stats, POLL_INTERVAL * 10).await;
    }
}

/// Bytes sent and received by the running nodes for each frame kind other than calls.
fn control_bytes(fleet: &InProcessFleet) -> BTreeMap<FrameKind, u64> {
    let totals = fleet.counters();
    let control = FRAME_KINDS.iter().filter(|kind| **kind != FrameKind::Call);
    control
        .map(|kind| {
            (
                *kind,
                totals.get(&format!("bytes.{kind}")).copied().unwrap_or(0),
            )
        })
        .collect()
}

fn report(case: &ConvergeCase, fleet: &InProcessFleet, stats: &ConvergeStats, input: &ReportInput) {
    let mut delays = stats.delays.clone();
    delays.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        let index = ((delays.len() as f64 * fraction) as usize).min(delays.len().saturating_sub(1));
        delays.get(index).copied().unwrap_or(f64::NAN)
    };
    let per_node = |bytes: u64| bytes as f64 / input.elapsed / case.nodes as f64;
    let mut total = 0;
    for (kind, bytes) in control_bytes(fleet) {
        // The counters of a restarted node begin at zero.
        let bytes = bytes.saturating_sub(input.bytes_before.get(&kind).copied().unwrap_or(0));
        total += bytes;
        println!(
            "bytes a second at each node, sent and received, {kind}: {:.1}",
            per_node(bytes)
        );
    }
    let mut calls = 0.0;
    for (kind, count) in fleet.store.counts() {
        let before = input.calls_before.get(kind).copied().unwrap_or(0);
        let rate = (count - before) as f64 / input.elapsed;
        calls += rate;
        println!("store calls a second, {kind}: {rate:.2}");
    }
    let (idle_bytes, idle_calls) = input.idle;
    ReportLine::default()
        .with("nodes", case.nodes)
        .with("fault", &case.fault)
        .number("p50_s", quantile(0.5))
        .number("p99_s", quantile(0.99))
        .number("max_s", delays.last().copied().unwrap_or(f64::NAN))
        .number("control_bytes_per_node_s", per_node(total))
        .number("idle_bytes_per_node_s", idle_bytes)
        .number("store_calls_s", calls)
        .number("idle_store_calls_s", idle_calls)
        .number(
            "cpu_us_per_node_s",
            input.cpu * 1e6 / input.elapsed / case.nodes as f64,
        )
        .number(
            "resident_mb_per_node",
            ProcessUsage::of_current_process().resident_kb as f64 / 1024.0 / case.nodes as f64,
        )
        .with("naive_reads_per_change", input.naive.reads_per_change)
        .with(
            "naive_bytes_per_node_per_change",
            input.naive.bytes_per_change,
        )
        .with("naive_waiting_watches", input.naive.watches)
        .with("reverts", stats.reverts)
        .with("partial_applies", stats.inconsistent)
        .with("missing", input.behind)
        .print();
}
