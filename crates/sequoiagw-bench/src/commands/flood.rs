//! `flood`: service by rank when one kind of work floods in. Real nodes in one process on
//! the paused clock.

use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use sequoiagw_protocol::RankLevel;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::LoadDriver;
use sequoiagw_standin::LoadStats;
use sequoiagw_standin::NetworkPlan;

use crate::bench_mesh::mesh_of;
use crate::bench_mesh::service_names;
use crate::commands::number;
use crate::commands::seed_arg;
use crate::commands::BenchEntry;
use crate::fleet_setup::entries_of;
use crate::fleet_setup::rank_streams;
use crate::fleet_setup::ready_fleet;
use crate::naive_queue::run_naive;
use crate::naive_queue::NaiveOrder;
use crate::paused_run::on_paused_clock;
use crate::report_line::ReportLine;

pub(crate) const ENTRY: BenchEntry = BenchEntry {
    name: "flood",
    build,
    run,
};

/// Services of Bisagra Austral.
const SERVICE_COUNT: usize = 4;
/// Targets of each service.
const TARGET_COUNT: usize = 4;
/// Slots of each target.
const SLOT_COUNT: u32 = 12;
/// Mean service time.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time of each case.
const CASE_TIME: Duration = Duration::from_secs(2);
/// Time a call may take.
const CALL_TIMEOUT: &str = "500ms";
/// Share of the capacity offered without a flood, by rank.
const CALM_SHARES: [f64; 3] = [0.15, 0.25, 0.2];

/// What floods, as factors on the calm rates of each rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FloodCase {
    /// Name.
    pub(crate) name: &'static str,
    /// Factor for each rank.
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
    Command::new(ENTRY.name)
        .about("Goodput and latency by rank in floods, beside naive queues")
        .arg(seed_arg())
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let seed = number(matches, "seed");
    println!(
        "real nodes in one process on the paused clock; {} s a case",
        CASE_TIME.as_secs()
    );
    let mut results = Vec::with_capacity(CASES.len());
    for case in CASES {
        let result = on_paused_clock(measure(*case, seed))??;
        print_case(case, "ranked", &result);
        for order in [NaiveOrder::Fifo, NaiveOrder::StrictPriority] {
            let naive = on_paused_clock(run_naive(order, rates_of(case), &naive_shape(seed)))?;
            print_case(
                case,
                order.name(),
                &CaseResult {
                    tally: naive,
                    slot_use: f64::NAN,
                },
            );
        }
        results.push(result);
    }
    report(&mut results);
    Ok(())
}

/// Outcome of one case.
struct CaseResult {
    tally: LoadStats,
    slot_use: f64,
}

/// Calls a second that all targets together can serve.
fn capacity() -> f64 {
    let slots = (SERVICE_COUNT * TARGET_COUNT) as f64 * f64::from(SLOT_COUNT);
    slots / SERVICE_TIME.as_secs_f64()
}

fn rates_of(case: &FloodCase) -> [f64; 3] {
    let mut rates = CALM_SHARES;
    for (rate, factor) in rates.iter_mut().zip(case.factors) {
        *rate *= factor * capacity();
    }
    rates
}

fn naive_shape(seed: u64) -> crate::naive_queue::NaiveShape {
    crate::naive_queue::NaiveShape {
        targets: SERVICE_COUNT * TARGET_COUNT,
        slots: SLOT_COUNT as usize,
        queue_limit: 64,
        service_time: SERVICE_TIME,
        timeout: Duration::from_millis(500),
        time: CASE_TIME,
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
    let fleet = ready_fleet(plan, mesh_of(&services, CALL_TIMEOUT, "")?).await?;
    let entries = entries_of(&fleet);
    let warm = LoadDriver::new(entries.clone(), fleet.log.clone(), seed + 1);
    let calm = rank_streams(&services, rates_of(&CASES[0]), false);
    warm.drive(&calm, Duration::from_secs(1)).await;
    let busy = |fleet: &sequoiagw_standin::InProcessFleet| -> Duration {
        fleet.nodes.iter().map(|node| node.model.busy_time()).sum()
    };
    let before = busy(&fleet);
    let driver = LoadDriver::new(entries, fleet.log.clone(), seed);
    let streams = rank_streams(&services, rates_of(&case), false);
    let tally = driver.drive(&streams, CASE_TIME).await;
    let used = busy(&fleet).saturating_sub(before).as_secs_f64();
    let slots = (SERVICE_COUNT * TARGET_COUNT) as f64 * f64::from(SLOT_COUNT);
    Ok(CaseResult {
        tally,
        slot_use: used / (slots * CASE_TIME.as_secs_f64()),
    })
}

fn print_case(case: &FloodCase, order: &str, result: &CaseResult) {
    for (rank, stream) in &result.tally.streams {
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

/// The urgent are compared with the calm case in the bulk flood; the lowest rank's share
/// of all that was served is taken in the flood of the most urgent.
fn report(results: &mut [CaseResult]) {
    let served = |result: &mut CaseResult, rank: &str| {
        let stream = result.tally.stream(rank);
        stream.served as f64 / stream.sent.max(1) as f64
    };
    let calm = served(&mut results[0], "urgent");
    let flooded = served(&mut results[2], "urgent");
    let calm_p99 = results[0]
        .tally
        .stream("urgent")
        .latency(0.99)
        .as_secs_f64()
        * 1e3;
    let flood_p99 = results[2]
        .tally
        .stream("urgent")
        .latency(0.99)
        .as_secs_f64()
        * 1e3;
    let urgent_flood = &mut results[4];
    let total: u64 = urgent_flood
        .tally
        .streams
        .values()
        .map(|stream| stream.served)
        .sum();
    let lowest = urgent_flood.tally.stream("bulk").served as f64 / total.max(1) as f64;
    let normal = urgent_flood.tally.stream("normal").served as f64 / total.max(1) as f64;
    let slot_use = results[2].slot_use;
    ReportLine::default()
        .number("urgent_goodput_ratio", flooded / calm)
        .number("urgent_p99_ms", flood_p99)
        .number("urgent_calm_p99_ms", calm_p99)
        .number("lowest_share", lowest)
        .number("normal_share", normal)
        .number("slot_use", slot_use)
        .with("levels", RankLevel::COUNT)
        .print();
}
