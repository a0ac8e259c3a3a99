//! Demonstration fleet: real nodes in one process, connected by in-memory links and using an
//! in-memory store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_config::ConfigException;
use sequoiagw_config::ExceptionScope;
use sequoiagw_config::MeshConfig;
use sequoiagw_config::RawValue;
use sequoiagw_config::SettingName;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::EntryList;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::LoadDriver;
use sequoiagw_standin::LoadStats;
use sequoiagw_standin::LoadStream;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::cli_error::CliError;
use crate::output_format::new_table;

/// Mesh configuration of the demonstration.
const DEMO_MESH: &str = include_str!("../../../samples/mesh.toml");
/// Limit for a change to be in force at every node.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(7);
/// Limit for the first version to be in force and all members to be known.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);
/// Duration of the steady load, during which the changes and the drain take place.
const STEADY_LOAD_DURATION: Duration = Duration::from_secs(8);
/// Duration of the overload.
const OVERLOAD_DURATION: Duration = Duration::from_secs(4);

/// Runs the demonstration and prints its results.
///
/// Errors: a guarantee was violated, or a step failed or exceeded its time limit.
pub(crate) async fn run_demo() -> Result<(), CliError> {
    let mesh = MeshConfig::from_toml(DEMO_MESH).map_err(|error| demo_failed(&error.to_string()))?;
    let mut fleet = start_fleet(&mesh).await?;
    let entries: EntryList = Rc::new(RefCell::new(
        fleet.nodes.iter().map(|node| node.handle.clone()).collect(),
    ));
    let driver = LoadDriver::new(Rc::clone(&entries), fleet.log.clone(), 1);
    let streams = steady_streams();
    let load = driver.drive(&streams, STEADY_LOAD_DURATION);
    let operations = change_and_drain(&mut fleet, &entries, &mesh);
    let (steady_stats, operations_result) = tokio::join!(load, operations);
    operations_result?;
    println!(
        "overloading the lowest rank of the press service for {} s",
        OVERLOAD_DURATION.as_secs()
    );
    let overload_driver = LoadDriver::new(entries, fleet.log.clone(), 2);
    let overload_stats = overload_driver
        .drive(&overload_streams(), OVERLOAD_DURATION)
        .await;
    print_stats("steady load, with two changes and a drain", &steady_stats);
    print_stats("overload of the lowest rank", &overload_stats);
    check_guarantees(&fleet, &steady_stats, &overload_stats)
}

async fn start_fleet(mesh: &MeshConfig) -> Result<InProcessFleet, CliError> {
    let plan = FleetPlan {
        data_centres: 2,
        nodes: 8,
        backend: BackendPlan {
            slots: 4,
            ..BackendPlan::default()
        },
        ..FleetPlan::default()
    };
    let started = Instant::now();
    let fleet = InProcessFleet::start(plan);
    let accepted = fleet
        .write_config(mesh.clone(), "demo-1")
        .await
        .map_err(|error| demo_failed(&error.to_string()))?;
    let ready = async {
        fleet.wait_version(accepted.version).await;
        fleet.wait_targets_ready().await;
    };
    timeout(STARTUP_TIMEOUT, ready)
        .await
        .map_err(|_| demo_failed("the fleet wasn't ready in time"))?;
    println!(
        "8 nodes of 2 services in 2 data centres are ready after {:.1} s",
        started.elapsed().as_secs_f64()
    );
    Ok(fleet)
}

fn load_stream(name: &str, route: &str, rate: f64, keyed: bool) -> LoadStream {
    LoadStream {
        name: name.to_owned(),
        route: route.to_owned(),
        rate,
        keyed,
        callers: 20,
    }
}

fn steady_streams() -> Vec<LoadStream> {
    vec![
        load_stream("urgent", "change-die", 60.0, true),
        load_stream("normal", "place-payment", 60.0, true),
        load_stream("bulk", "list-dies", 150.0, false),
    ]
}

fn overload_streams() -> Vec<LoadStream> {
    vec![
        load_stream("urgent", "change-die", 60.0, true),
        load_stream("normal", "place-payment", 60.0, true),
        load_stream("bulk", "list-dies", 2000.0, false),
    ]
}

/// Applies a change of a default and an exception, then drains a node, all under load.
async fn change_and_drain(
    fleet: &mut InProcessFleet,
    entries: &EntryList,
    mesh: &MeshConfig,
) -> Result<(), CliError> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut changed = mesh.clone();
    changed
        .defaults
        .insert(SettingName::Timeout, RawValue::Text("1500ms".to_owned()));
    apply_change(fleet, changed.clone(), "a default changed").await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let exception = ConfigException {
        setting: SettingName::Timeout,
        value: RawValue::Text("3s".to_owned()),
        scope: ExceptionScope {
            service: Some("press".to_owned()),
            ..ExceptionScope::default()
        },
        reason: "the demonstration shows an exception".to_owned(),
        expires: None,
    };
    changed
        .exceptions
        .insert("slow-press".to_owned(), exception);
    apply_change(fleet, changed, "an exception was added").await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = Instant::now();
    let drained_index = fleet.nodes.len() - 1;
    entries.borrow_mut().remove(drained_index);
    fleet.drain_node(drained_index).await;
    println!(
        "node-{drained_index} left under load after {:.1} s",
        started.elapsed().as_secs_f64()
    );
    Ok(())
}

async fn apply_change(
    fleet: &InProcessFleet,
    mesh: MeshConfig,
    label: &str,
) -> Result<(), CliError> {
    let started = Instant::now();
    let accepted = fleet
        .write_config(mesh, label)
        .await
        .map_err(|error| demo_failed(&error.to_string()))?;
    timeout(ACTIVATION_TIMEOUT, fleet.wait_version(accepted.version))
        .await
        .map_err(|_| demo_failed("a change wasn't in force everywhere within 7 s"))?;
    println!(
        "{label}: version {} in force everywhere after {:.3} s",
        accepted.version,
        started.elapsed().as_secs_f64()
    );
    Ok(())
}

fn print_stats(title: &str, stats: &LoadStats) {
    println!("\n{title}");
    let mut table = new_table(&["rank", "sent", "served", "p50 ms", "p99 ms", "refused"]);
    for (name, stream) in &stats.streams {
        let refused: Vec<String> = stream
            .refused
            .iter()
            .map(|(kind, count)| format!("{kind} {count}"))
            .collect();
        let latency_ms = |quantile| format!("{:.1}", stream.latency(quantile).as_secs_f64() * 1e3);
        table.add_row([
            name.clone(),
            stream.sent.to_string(),
            stream.served.to_string(),
            latency_ms(0.5),
            latency_ms(0.99),
            refused.join(", "),
        ]);
    }
    println!("{table}");
}

fn check_guarantees(
    fleet: &InProcessFleet,
    steady_stats: &LoadStats,
    overload_stats: &LoadStats,
) -> Result<(), CliError> {
    let repeated_ids = fleet.log.repeated_runs();
    let double_runs = repeated_ids
        .iter()
        .filter(|id| !id.starts_with("bulk"))
        .count();
    let totals = [steady_stats.total(), overload_stats.total()];
    // Every request of the steady load has to be served; one that wasn't counts as cut.
    let cut_requests = totals[0].sent - totals[0].served;
    let wrong_answers: u64 = totals.iter().map(|total| total.wrong).sum();
    let false_not_run: u64 = totals.iter().map(|total| total.false_not_run).sum();
    println!("\ndouble_runs={double_runs} cut_requests={cut_requests} wrong_answers={wrong_answers} false_not_run={false_not_run}");
    if double_runs > 0 || cut_requests > 0 || wrong_answers > 0 || false_not_run > 0 {
        return Err(demo_failed("see the line above"));
    }
    println!("all guarantees held");
    Ok(())
}

fn demo_failed(detail: &str) -> CliError {
    CliError::DemoFailed(detail.to_owned())
}
