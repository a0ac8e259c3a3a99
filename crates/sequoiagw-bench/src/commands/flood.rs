//! `flood`: calls served for each rank when some ranks are overloaded. Runs real nodes in one
//! process on the paused clock.

use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_protocol::RankLevel;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::LoadDriver;
use sequoiagw_standin::LoadStats;
use sequoiagw_standin::NetworkPlan;

use crate::bench_mesh::mesh_config;
use crate::bench_mesh::service_names;
use crate::commands::seed_arg;
use crate::commands::u64_arg;
use crate::commands::BenchCommand;
use crate::fleet_setup::rank_streams;
use crate::fleet_setup::running_entries;
use crate::fleet_setup::start_ready_fleet;
use crate::naive_queue::simulate_naive_queue;
use crate::naive_queue::NaiveOrder;
use crate::paused_run::run_on_paused_clock;
use crate::report_line::ReportLine;

pub(crate) const COMMAND: BenchCommand = BenchCommand {
    name: "flood",
    build,
    run,
};

/// Number of services of the fleet.
const SERVICE_COUNT: usize = 4;
/// Number of targets of each service.
const TARGET_COUNT: usize = 4;
/// Number of slots of each target.
const SLOT_COUNT: u32 = 12;
/// Mean time for which a backend server runs a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Duration of the load in each case.
const CASE_DURATION: Duration = Duration::from_secs(2);
/// Timeout of a call.
const CALL_TIMEOUT: &str = "500ms";
/// Load offered without overload, as a share of the capacity for each rank.
const BASELINE_LOAD_SHARES: [f64; 3] = [0.15, 0.25, 0.2];

/// Load case, given by factors on the baseline rates of each rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FloodCase {
    /// Name in the printed results.
    pub(crate) name: &'static str,
    /// Factor for each rank, the most urgent first.
    pub(crate) factors: [f64; 3],
}

const CASES: &[FloodCase] = &[
    FloodCase {
        name: "calm",
        factors: [1.0, 1.0, 1.0],
    },
    FloodCase {
        name: "bulk 3x",
        factors: [1.0, 1.0, 3.0],
    },
    FloodCase {
        name: "bulk 10x",
        factors: [1.0, 1.0, 10.0],
    },
    FloodCase {
        name: "urgent 3x",
        factors: [3.0, 1.0, 1.0],
    },
    FloodCase {
        name: "urgent 10x",
        factors: [10.0, 1.0, 1.0],
    },
    FloodCase {
        name: "both 10x",
        factors: [10.0, 1.0, 10.0],
    },
];

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Goodput and latency by rank under overload, compared with naive queues")
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let seed = u64_arg(matches, "seed");
    println!(
        "real nodes in one process on the paused clock; {} s a case",
        CASE_DURATION.as_secs()
    );
    let mut results = Vec::with_capacity(CASES.len());
    for case in CASES {
        let result = run_on_paused_clock(measure(*case, seed))??;
        print_case(case, "ranked", &result);
        for order in [NaiveOrder::Fifo, NaiveOrder::StrictPriority] {
            let naive = run_on_paused_clock(simulate_naive_queue(
                order,
                call_rates(case),
                &naive_queue_config(seed),
            ))?;
            print_case(
                case,
                order.name(),
                &CaseResult {
                    stats: naive,
                    slot_use: f64::NAN,
                },
            );
        }
        results.push(result);
    }
    report(&mut results);
    Ok(())
}

/// Results of one case.
struct CaseResult {
    stats: LoadStats,
    slot_use: f64,
}

/// Calls a second that all targets together can serve.
fn capacity() -> f64 {
    let slots = (SERVICE_COUNT * TARGET_COUNT) as f64 * f64::from(SLOT_COUNT);
    slots / SERVICE_TIME.as_secs_f64()
}

fn call_rates(case: &FloodCase) -> [f64; 3] {
    let mut rates = BASELINE_LOAD_SHARES;
    for (rate, factor) in rates.iter_mut().zip(case.factors) {
        *rate *= factor * capacity();
    }
    rates
}

fn naive_queue_config(seed: u64) -> crate::naive_queue::NaiveQueueConfig {
    crate::naive_queue::NaiveQueueConfig {
        targets: SERVICE_COUNT * TARGET_COUNT,
        slots: SLOT_COUNT as usize,
        queue_limit: 64,
        service_time: SERVICE_TIME,
        timeout: Duration::from_millis(500),
        duration: CASE_DURATION,
        seed,
    }
}

async fn measure(case: FloodCase, seed: u64) -> eyre::Result<CaseResult> {
    let services = service_names(SERVICE_COUNT);
    let plan = FleetPlan {
        data_centres: 4,
        nodes: SERVICE_COUNT * TARGET_COUNT,
        services: services.clone(),
        backend: BackendPlan {
            slots: SLOT_COUNT,
            service_time: SERVICE_TIME,
            ..BackendPlan::default()
        },
        network: NetworkPlan {
            remote_delay: Duration::from_millis(3),
            ..NetworkPlan::default()
        },
        seed,
    };
    let fleet = start_ready_fleet(plan, mesh_config(&services, CALL_TIMEOUT, "")?).await?;
    let entries = running_entries(&fleet);
    let warmup_driver = LoadDriver::new(entries.clone(), fleet.log.clone(), seed + 1);
    let baseline_streams = rank_streams(&services, call_rates(&CASES[0]), false);
    warmup_driver
        .drive(&baseline_streams, Duration::from_secs(1))
        .await;
    let total_busy_time = |fleet: &sequoiagw_standin::InProcessFleet| -> Duration {
        fleet.nodes.iter().map(|node| node.model.busy_time()).sum()
    };
    let busy_before = total_busy_time(&fleet);
    let driver = LoadDriver::new(entries, fleet.log.clone(), seed);
    let streams = rank_streams(&services, call_rates(&case), false);
    let stats = driver.drive(&streams, CASE_DURATION).await;
    let busy_seconds = total_busy_time(&fleet)
        .saturating_sub(busy_before)
        .as_secs_f64();
    let slots = (SERVICE_COUNT * TARGET_COUNT) as f64 * f64::from(SLOT_COUNT);
    Ok(CaseResult {
        stats,
        slot_use: busy_seconds / (slots * CASE_DURATION.as_secs_f64()),
    })
}

fn print_case(case: &FloodCase, order: &str, result: &CaseResult) {
    for (rank, stream) in &result.stats.streams {
        let refused: Vec<String> = stream
            .refused
            .iter()
            .map(|(kind, count)| format!("{kind} {count}"))
            .collect();
        println!(
            "{:<10} {:<8} {:<7} sent {:>6} served {:>6} share {:.3} p50 {:>6.1} ms p99 {:>6.1} ms {}",
            case.name,
            order,
            rank,
            stream.sent,
            stream.served,
            stream.served as f64 / stream.sent.max(1) as f64,
            stream.latency(0.5).as_secs_f64() * 1e3,
            stream.latency(0.99).as_secs_f64() * 1e3,
            refused.join(", ")
        );
    }
    if result.slot_use.is_finite() {
        println!(
            "{:<10} {:<8} slot use {:.3}",
            case.name, order, result.slot_use
        );
    }
}

/// Prints the report line. Urgent calls are compared between the baseline and an overload of bulk
/// calls; the lower ranks' shares of all served calls are taken from an overload of urgent calls.
fn report(results: &mut [CaseResult]) {
    let goodput = |result: &mut CaseResult, rank: &str| {
        let stream = result.stats.stream(rank);
        stream.served as f64 / stream.sent.max(1) as f64
    };
    let baseline_goodput = goodput(&mut results[0], "urgent");
    let overload_goodput = goodput(&mut results[2], "urgent");
    let baseline_p99 = results[0]
        .stats
        .stream("urgent")
        .latency(0.99)
        .as_secs_f64()
        * 1e3;
    let overload_p99 = results[2]
        .stats
        .stream("urgent")
        .latency(0.99)
        .as_secs_f64()
        * 1e3;
    let urgent_overload = &mut results[4];
    let total: u64 = urgent_overload
        .stats
        .streams
        .values()
        .map(|stream| stream.served)
        .sum();
    let lowest_share = urgent_overload.stats.stream("bulk").served as f64 / total.max(1) as f64;
    let normal_share = urgent_overload.stats.stream("normal").served as f64 / total.max(1) as f64;
    let slot_use = results[2].slot_use;
    ReportLine::default()
        .number("urgent_goodput_ratio", overload_goodput / baseline_goodput)
        .number("urgent_p99_ms", overload_p99)
        .number("urgent_calm_p99_ms", baseline_p99)
        .number("lowest_share", lowest_share)
        .number("normal_share", normal_share)
        .number("slot_use", slot_use)
        .with("levels", RankLevel::COUNT)
        .print();
}
