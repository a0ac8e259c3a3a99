//! `faults`: at-most-once execution, correct refusals and recovery under faults. Runs real nodes in
//! one process on the paused clock.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::EntryList;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::LoadDriver;
use sequoiagw_standin::LoadStats;
use sequoiagw_standin::NetworkPlan;

use crate::bench_mesh::mesh_config;
use crate::bench_mesh::service_names;
use crate::commands::seed_arg;
use crate::commands::u64_arg;
use crate::commands::BenchCommand;
use crate::fleet_setup::rank_streams;
use crate::fleet_setup::refresh_entries;
use crate::fleet_setup::running_entries;
use crate::fleet_setup::start_ready_fleet;
use crate::paused_run::run_on_paused_clock;
use crate::report_line::ReportLine;

pub(crate) const COMMAND: BenchCommand = BenchCommand {
    name: "faults",
    build,
    run,
};

/// Number of nodes in the fleet.
const NODE_COUNT: usize = 16;
/// Duration of the load before the fault.
const STEADY_LOAD_S: u64 = 4;
/// Duration of a fault, unless its kind needs longer.
const FAULT_DURATION_S: u64 = 6;
/// Duration of the load after the fault.
const RECOVERY_LOAD_S: u64 = 12;
/// Calls a second for each rank, the most urgent first.
const RATES: [f64; 3] = [80.0, 80.0, 160.0];

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultKind {
    /// Half of the nodes are killed and restarted.
    Herd,
    /// A third of all links stop delivering frames without an error.
    SilentLinks,
    /// Frames are lost, delayed and reordered, and answers of the store are lost.
    LostAnswers,
    /// Two nodes are paused for longer than any lease.
    Pause,
    /// The store is unavailable.
    StoreDown,
    /// One data centre is partitioned from the others.
    Cut,
    /// Backend servers close some connections after running the request, without an answer.
    BrokenBackends,
}

impl FaultKind {
    /// Duration of the fault in seconds.
    fn duration_s(self) -> u64 {
        match self {
            // Longer than the holders' lease of 10 s.
            Self::Pause => FAULT_DURATION_S * 2,
            _ => FAULT_DURATION_S,
        }
    }
}

const FAULTS: &[FaultKind] = &[
    FaultKind::Herd,
    FaultKind::SilentLinks,
    FaultKind::LostAnswers,
    FaultKind::Pause,
    FaultKind::StoreDown,
    FaultKind::Cut,
    FaultKind::BrokenBackends,
];

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Double runs, false refusals, wrong answers and recovery under each fault")
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let seed = u64_arg(matches, "seed");
    println!("real nodes in one process on the paused clock");
    let mut totals = FaultTotals::default();
    for fault in FAULTS {
        let (stats, double_runs) = run_on_paused_clock(measure(*fault, seed))??;
        totals.add(*fault, &stats, double_runs);
    }
    totals.print();
    Ok(())
}

/// Totals over all faults.
#[derive(Default)]
struct FaultTotals {
    double_runs: usize,
    false_not_run: u64,
    wrong: u64,
    unknown: u64,
    sent: u64,
    recovery_s: u64,
}

impl FaultTotals {
    fn add(&mut self, fault: FaultKind, stats: &LoadStats, double_runs: usize) {
        let total = stats.total();
        let recovery_s = recovery_seconds(fault, stats);
        let seconds: Vec<String> = stats
            .seconds
            .values()
            .map(|second| format!("{:.2}", second.served as f64 / second.sent.max(1) as f64))
            .collect();
        println!(
            "{fault:?}: share served by second of arrival: {}",
            seconds.join(" ")
        );
        let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
        for (kind, count) in &total.refused {
            kinds.insert(kind.rule().name, *count);
        }
        println!(
            "{fault:?}: sent {} served {} unknown {} unanswered {} double runs {double_runs} false not \
             run {} wrong {} recovery {recovery_s} s refused {kinds:?}",
            total.sent,
            total.served,
            total.unknown(),
            total.unanswered,
            total.false_not_run,
            total.wrong
        );
        self.double_runs += double_runs;
        self.false_not_run += total.false_not_run;
        self.wrong += total.wrong;
        self.unknown += total.unknown();
        self.sent += total.sent;
        self.recovery_s = self.recovery_s.max(recovery_s);
    }

    fn print(&self) {
        ReportLine::default()
            .with("double_runs", self.double_runs)
            .with("false_not_run", self.false_not_run)
            .with("wrong_answers", self.wrong)
            .number(
                "unknown_share",
                self.unknown as f64 / self.sent.max(1) as f64,
            )
            .with("recovery_s", self.recovery_s)
            .with("calls", self.sent)
            .print();
    }
}

/// Seconds after the fault's end until the share of arriving calls that are served stays at or
/// above 95% of its mean before the fault.
fn recovery_seconds(fault: FaultKind, stats: &LoadStats) -> u64 {
    let served_share = |second: u64| {
        let stats = stats.seconds.get(&second).copied().unwrap_or_default();
        stats.served as f64 / stats.sent.max(1) as f64
    };
    let baseline_share = (0..STEADY_LOAD_S).map(served_share).sum::<f64>() / STEADY_LOAD_S as f64;
    let fault_end = STEADY_LOAD_S + fault.duration_s();
    let is_below_baseline = |second: &u64| served_share(*second) < baseline_share * 0.95;
    let last_low_second = (fault_end..fault_end + RECOVERY_LOAD_S)
        .filter(is_below_baseline)
        .max();
    last_low_second.map_or(0, |second| second + 1 - fault_end)
}

async fn measure(fault: FaultKind, seed: u64) -> eyre::Result<(LoadStats, usize)> {
    let services = service_names(2);
    let broken = fault == FaultKind::BrokenBackends;
    let plan = FleetPlan {
        data_centres: 2,
        nodes: NODE_COUNT,
        services: services.clone(),
        backend: BackendPlan {
            break_rate: if broken { 0.02 } else { 0.0 },
            ..BackendPlan::default()
        },
        network: NetworkPlan::default(),
        seed,
    };
    let mut fleet = start_ready_fleet(plan, mesh_config(&services, "1500ms", "")?).await?;
    let entries = running_entries(&fleet);
    let driver = LoadDriver::new(entries.clone(), fleet.log.clone(), seed);
    let streams = rank_streams(&services, RATES, true);
    let duration = Duration::from_secs(STEADY_LOAD_S + fault.duration_s() + RECOVERY_LOAD_S);
    let fault_injection = inject_fault(fault, &mut fleet, &entries);
    let (stats, ()) = tokio::join!(driver.drive(&streams, duration), fault_injection);
    let repeated_ids = fleet.log.repeated_runs();
    let double_runs = repeated_ids
        .iter()
        .filter(|id| !id.starts_with("bulk"))
        .count();
    Ok((stats, double_runs))
}

async fn inject_fault(fault: FaultKind, fleet: &mut InProcessFleet, entries: &EntryList) {
    tokio::time::sleep(Duration::from_secs(STEADY_LOAD_S)).await;
    let fault_duration = Duration::from_secs(fault.duration_s());
    match fault {
        FaultKind::Herd => {
            for index in (0..NODE_COUNT).step_by(2) {
                fleet.kill_node(index);
            }
            refresh_entries(fleet, entries);
            tokio::time::sleep(fault_duration).await;
            for index in (0..NODE_COUNT).step_by(2) {
                fleet.start_node(index);
            }
            refresh_entries(fleet, entries);
        }
        FaultKind::SilentLinks => {
            fleet.network.blackhole_random_links(0.33);
            tokio::time::sleep(fault_duration).await;
        }
        FaultKind::LostAnswers => {
            fleet
                .store
                .set_faults(|faults| faults.lost_answer_rate = 0.2);
            let jitter = Duration::from_millis(60);
            fleet.network.set_plan(NetworkPlan {
                loss: 0.05,
                jitter,
                ..NetworkPlan::default()
            });
            tokio::time::sleep(fault_duration).await;
            fleet
                .store
                .set_faults(|faults| faults.lost_answer_rate = 0.0);
            fleet.network.set_plan(NetworkPlan::default());
        }
        FaultKind::Pause => {
            for index in [1, 4] {
                fleet.pause_node(index, true);
            }
            tokio::time::sleep(fault_duration).await;
            for index in [1, 4] {
                fleet.pause_node(index, false);
            }
        }
        FaultKind::StoreDown => {
            fleet.store.set_faults(|faults| faults.down = true);
            tokio::time::sleep(fault_duration).await;
            fleet.store.set_faults(|faults| faults.down = false);
        }
        FaultKind::Cut => {
            fleet.partition_data_centre("dc1", true);
            tokio::time::sleep(fault_duration).await;
            fleet.partition_data_centre("dc1", false);
        }
        FaultKind::BrokenBackends => tokio::time::sleep(fault_duration).await,
    }
}
