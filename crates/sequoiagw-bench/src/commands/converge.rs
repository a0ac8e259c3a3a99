//! `converge`: changes in force everywhere, and what control costs. Real nodes in one
//! process on the paused clock, over memory links.

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

use crate::bench_mesh::mesh_of;
use crate::bench_mesh::service_names;
use crate::commands::number;
use crate::commands::seed_arg;
use crate::commands::BenchEntry;
use crate::fleet_setup::ready_fleet;
use crate::naive_watch::run_naive_watch;
use crate::naive_watch::NaiveWatch;
use crate::paused_run::on_paused_clock;
use crate::process_usage::ProcessUsage;
use crate::report_line::ReportLine;

pub(crate) const ENTRY: BenchEntry = BenchEntry {
    name: "converge",
    build,
    run,
};

/// Services of the target.
const SERVICE_COUNT: usize = 80;
/// Time between two changes; the target's 1,800 a day are one in 48 s.
const CHANGE_PERIOD: Duration = Duration::from_secs(8);
/// Changes made.
const CHANGE_COUNT: u64 = 6;
/// Time between two restarts of a node: 1.3 times as often as 130 a day among 660.
const CHURN_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a fault lasts, the store's outage aside.
const FAULT_TIME: Duration = Duration::from_secs(20);
/// Time of the store's outage.
const OUTAGE_TIME: Duration = Duration::from_secs(60);
/// Time after the last change in which every node has to have it.
const LAST_TIME: Duration = Duration::from_secs(20);
/// Time between two looks at the versions in force.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

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
    Command::new(ENTRY.name)
        .about("Time until changes are in force everywhere, control bytes and store calls")
        .arg(count("nodes", "140"))
        .arg(count("data-centres", "7"))
        .arg(count("settle-s", "20").help("Seconds after the cold start before the idle costs"))
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
        nodes: number(matches, "nodes") as usize,
        data_centres: number(matches, "data-centres") as usize,
        fault: matches
            .get_one::<String>("fault")
            .cloned()
            .unwrap_or_default(),
        settle_time: Duration::from_secs(number(matches, "settle-s")),
        seed: number(matches, "seed"),
    };
    let naive = on_paused_clock(run_naive_watch(case.nodes, CHANGE_COUNT, mesh_with))??;
    on_paused_clock(measure(case, naive))?
}

/// What to measure.
#[derive(Clone, Debug)]
struct ConvergeCase {
    nodes: usize,
    data_centres: usize,
    fault: String,
    settle_time: Duration,
    seed: u64,
}

/// What every look at the fleet adds to.
#[derive(Default)]
struct ConvergeTally {
    /// Highest version seen in force at each node, across its restarts.
    highest: BTreeMap<String, u64>,
    /// When each version was accepted.
    accepted: BTreeMap<u64, Instant>,
    /// Time from acceptance to force, in seconds, for each node and version.
    delays: Vec<f64>,
    reverts: u64,
    partial: u64,
}

async fn measure(case: ConvergeCase, naive: NaiveWatch) -> eyre::Result<()> {
    let services = service_names(SERVICE_COUNT.min(case.nodes / case.data_centres));
    let plan = FleetPlan {
        data_centres: case.data_centres,
        nodes: case.nodes,
        services: services.clone(),
        network: NetworkPlan {
            loss: loss_of(&case.fault),
            ..NetworkPlan::default()
        },
        seed: case.seed,
        ..FleetPlan::default()
    };
    let mut fleet = ready_fleet(plan, mesh_with(1)?).await?;
    tokio::time::sleep(case.settle_time).await;
    let mut tally = ConvergeTally::default();
    look(&fleet, &mut tally);
    let idle = idle_costs(&fleet, case.nodes).await;
    let bytes_before = control_bytes(&fleet);
    let calls_before = fleet.store.counts();
    let started = Instant::now();
    let cpu_before = ProcessUsage::own().cpu;
    let churn = case.fault == "none";
    let last = change_often(&mut fleet, &mut tally, &case, churn).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = ProcessUsage::own()
        .cpu
        .saturating_sub(cpu_before)
        .as_secs_f64();
    let behind = fleet
        .versions()
        .values()
        .filter(|version| **version < last)
        .count();
    report(
        &case,
        &fleet,
        &tally,
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

/// Figures taken before the changes.
struct ReportInput {
    bytes_before: BTreeMap<FrameKind, u64>,
    calls_before: BTreeMap<&'static str, u64>,
    elapsed: f64,
    cpu: f64,
    behind: usize,
    idle: (f64, f64),
    naive: NaiveWatch,
}

fn loss_of(fault: &str) -> f64 {
    match fault {
        "loss-1" => 0.01,
        "loss-5" => 0.05,
        _ => 0.0,
    }
}

/// A configuration of the target's size; `change` tells versions apart in two settings.
fn mesh_with(change: u64) -> eyre::Result<MeshConfig> {
    let extra = format!("queue_limit = {}\nretries = {}", 64 + change, change % 10);
    mesh_of(&service_names(SERVICE_COUNT), "2s", &extra)
}

/// Control bytes and store calls a second while nothing changes.
async fn idle_costs(fleet: &InProcessFleet, nodes: usize) -> (f64, f64) {
    let time = Duration::from_secs(20);
    let total = |fleet: &InProcessFleet| control_bytes(fleet).values().sum::<u64>();
    let calls = |fleet: &InProcessFleet| fleet.store.counts().values().sum::<u64>();
    let (bytes_before, calls_before) = (total(fleet), calls(fleet));
    tokio::time::sleep(time).await;
    let bytes = (total(fleet) - bytes_before) as f64 / time.as_secs_f64() / nodes as f64;
    (
        bytes,
        (calls(fleet) - calls_before) as f64 / time.as_secs_f64(),
    )
}

/// Makes the changes with the fault between them; returns the last version.
async fn change_often(
    fleet: &mut InProcessFleet,
    tally: &mut ConvergeTally,
    case: &ConvergeCase,
    churn: bool,
) -> eyre::Result<u64> {
    let mut last = 1;
    let mut next_churn = Instant::now() + CHURN_PERIOD;
    let mut churned = 0;
    for change in 0..CHANGE_COUNT {
        if change == 1 {
            disturb(fleet, tally, case).await;
        }
        let accepted = fleet
            .write_config(mesh_with(change + 2)?, &format!("change-{change}"))
            .await?;
        last = accepted.version;
        tally.accepted.insert(last, Instant::now());
        let until = Instant::now() + CHANGE_PERIOD;
        while Instant::now() < until {
            look_for(fleet, tally, LOOK_PERIOD).await;
            if churn && Instant::now() >= next_churn {
                next_churn += CHURN_PERIOD;
                churned += 1;
                let index = (churned * 37) % case.nodes;
                fleet.kill_node(index);
                fleet.start_node(index);
            }
        }
    }
    let until = Instant::now() + LAST_TIME;
    while Instant::now() < until && fleet.versions().values().any(|version| *version < last) {
        look_for(fleet, tally, LOOK_PERIOD).await;
    }
    Ok(last)
}

async fn look_for(fleet: &InProcessFleet, tally: &mut ConvergeTally, time: Duration) {
    tokio::time::sleep(time).await;
    look(fleet, tally);
}

/// Notes each node's version in force, and checks that it never falls and is whole.
fn look(fleet: &InProcessFleet, tally: &mut ConvergeTally) {
    let now = Instant::now();
    for node in fleet.nodes.iter().filter(|node| node.up) {
        let snapshot = node.handle.read(|core| core.snapshot().cloned());
        let Some(snapshot) = snapshot else {
            continue;
        };
        let highest = tally.highest.entry(node.name.clone()).or_default();
        if snapshot.version < *highest {
            tally.reverts += 1;
        }
        if snapshot.version > *highest {
            *highest = snapshot.version;
            if let Some(accepted) = tally.accepted.get(&snapshot.version) {
                tally.delays.push((now - *accepted).as_secs_f64());
            }
            tally.partial += u64::from(!is_whole(&snapshot));
        }
    }
}

/// Whether both settings that each change sets belong to this version.
fn is_whole(snapshot: &sequoiagw_config::CompiledConfig) -> bool {
    let change = snapshot.version;
    let (queue_limit, _) = snapshot.target_limits("dc0", "s0", "node-0");
    let retries = snapshot
        .routes()
        .first()
        .map(|route| route.settings.retries);
    queue_limit == 64 + change && retries == Some(change % 10)
}

async fn disturb(fleet: &mut InProcessFleet, tally: &mut ConvergeTally, case: &ConvergeCase) {
    let until = |time: Duration| Instant::now() + time;
    match case.fault.as_str() {
        "store-down" => {
            fleet.store.set_faults(|faults| faults.down = true);
            wait_until(fleet, tally, until(OUTAGE_TIME)).await;
            fleet.store.set_faults(|faults| faults.down = false);
        }
        "cut" => {
            fleet.partition_data_centre("dc1", true);
            wait_until(fleet, tally, until(FAULT_TIME)).await;
            fleet.partition_data_centre("dc1", false);
        }
        "half-killed" => {
            for index in (0..case.nodes).step_by(2) {
                fleet.kill_node(index);
                fleet.start_node(index);
            }
            wait_until(fleet, tally, until(FAULT_TIME)).await;
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
            wait_until(fleet, tally, until(FAULT_TIME)).await;
            for index in &holders {
                fleet.pause_node(*index, false);
            }
        }
        _ => {}
    }
}

async fn wait_until(fleet: &InProcessFleet, tally: &mut ConvergeTally, until: Instant) {
    while Instant::now() < until {
        look_for(fleet, tally, LOOK_PERIOD * 10).await;
    }
}

/// Bytes sent and received by kind at the running processes, calls left out.
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

fn report(case: &ConvergeCase, fleet: &InProcessFleet, tally: &ConvergeTally, input: &ReportInput) {
    let mut delays = tally.delays.clone();
    delays.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = ((delays.len() as f64 * share) as usize).min(delays.len().saturating_sub(1));
        delays.get(index).copied().unwrap_or(f64::NAN)
    };
    let per_node = |bytes: u64| bytes as f64 / input.elapsed / case.nodes as f64;
    let mut total = 0;
    for (kind, bytes) in control_bytes(fleet) {
        // Restarted processes count from zero.
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
            ProcessUsage::own().resident_kb as f64 / 1024.0 / case.nodes as f64,
        )
        .with("naive_reads_per_change", input.naive.reads_per_change)
        .with(
            "naive_bytes_per_node_per_change",
            input.naive.bytes_per_change,
        )
        .with("naive_waiting_watches", input.naive.watches)
        .with("reverts", tally.reverts)
        .with("partial_applies", tally.partial)
        .with("missing", input.behind)
        .print();
}
