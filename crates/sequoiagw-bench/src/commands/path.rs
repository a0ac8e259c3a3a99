//! `path`: latency that the nodes on its path add to a call, with nodes as separate processes.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Stdio;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use eyre::WrapErr;
use sequoiagw_standin::BackendHttp;
use sequoiagw_standin::BackendModel;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::MemoryStore;
use sequoiagw_standin::RunLog;
use sequoiagw_standin::StoreServer;
use tokio::task::LocalSet;

use crate::bench_mesh::mesh_config;
use crate::commands::seed_arg;
use crate::commands::u64_arg;
use crate::commands::BenchCommand;
use crate::path_caller::call_alternately;
use crate::path_caller::CallEndpoint;
use crate::path_caller::LatencyStats;
use crate::process_usage::ProcessUsage;
use crate::report_line::ReportLine;

pub(crate) const COMMAND: BenchCommand = BenchCommand {
    name: "path",
    build,
    run,
};

/// Number of concurrent callers, each with a connection to both endpoints.
const CONNECTION_COUNT: u64 = 16;
/// Mean time for which the backend server runs a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Duration of the warm-up, whose calls aren't counted.
const WARMUP_DURATION: Duration = Duration::from_secs(2);
/// Limit for the nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Target for the latency that the path adds to 99 in 100 calls, in milliseconds.
const ADDED_LATENCY_TARGET_MS: f64 = 0.51;

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Latency added by two node processes, compared with direct calls in the same run")
        .arg(seed_arg())
        .arg(
            Arg::new("through-owner")
                .long("through-owner")
                .action(clap::ArgAction::SetTrue)
                .help("Call the target's own node, which saves the hop between nodes"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .default_value("800")
                .value_parser(clap::value_parser!(u64))
                .help("Calls a second, half of them direct"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("12")
                .value_parser(clap::value_parser!(u64)),
        )
}

/// Node processes, which are killed when the value is dropped.
#[derive(Default)]
pub(crate) struct NodeProcesses {
    /// Handles of the processes.
    pub(crate) children: Vec<Child>,
}

impl Drop for NodeProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let rate = u64_arg(matches, "rate") as f64;
    let duration = Duration::from_secs(u64_arg(matches, "seconds"));
    let through_owner = matches.get_flag("through-owner");
    LocalSet::new().block_on(
        &runtime,
        measure(u64_arg(matches, "seed"), rate, duration, through_owner),
    )
}

async fn measure(
    seed: u64,
    rate: f64,
    duration: Duration,
    through_owner: bool,
) -> eyre::Result<()> {
    let store = MemoryStore::new(seed);
    let server = StoreServer::open(SocketAddr::from(([127, 0, 0, 1], 0)), &store)?;
    let store_address = server.address();
    let backend = spawn_backend(seed)?;
    let addresses = free_addresses(6)?;
    let entry = addresses[if through_owner { 3 } else { 0 }];
    let processes = start_nodes(store_address, backend, &addresses)?;
    write_mesh_config(&store).await?;
    wait_until_ready(entry).await?;
    let endpoints = [
        CallEndpoint {
            address: backend,
            path: "/s0/urgent".to_owned(),
        },
        CallEndpoint {
            address: entry,
            path: "/s0/urgent".to_owned(),
        },
    ];
    call_on_all_connections(&endpoints, rate, WARMUP_DURATION, seed + 1000).await?;
    // Both endpoints are the backend server itself: the difference is the noise of the machine.
    let both_direct = [endpoints[0].clone(), endpoints[0].clone()];
    let [first_direct, second_direct] =
        call_on_all_connections(&both_direct, rate, duration, seed + 2000).await?;
    let before = cpu_times(&processes);
    let [direct, through_nodes] = call_on_all_connections(&endpoints, rate, duration, seed).await?;
    let cpu_us_per_call: Vec<f64> = cpu_times(&processes)
        .iter()
        .zip(&before)
        .map(|(after, before)| after.saturating_sub(*before).as_secs_f64())
        .map(|cpu_seconds| cpu_seconds * 1e6 / through_nodes.latencies.len().max(1) as f64)
        .collect();
    let latency_ms =
        |stats: &LatencyStats, quantile| stats.latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "direct: p50 {:.3} ms, p99 {:.3} ms; through two nodes: p50 {:.3} ms, p99 {:.3} ms",
        latency_ms(&direct, 0.5),
        latency_ms(&direct, 0.99),
        latency_ms(&through_nodes, 0.5),
        latency_ms(&through_nodes, 0.99)
    );
    ReportLine::default()
        .number(
            "added_p50_ms",
            latency_ms(&through_nodes, 0.5) - latency_ms(&direct, 0.5),
        )
        .number(
            "added_p99_ms",
            latency_ms(&through_nodes, 0.99) - latency_ms(&direct, 0.99),
        )
        .number(
            "noise_p50_ms",
            (latency_ms(&first_direct, 0.5) - latency_ms(&second_direct, 0.5)).abs(),
        )
        .number(
            "noise_p99_ms",
            (latency_ms(&first_direct, 0.99) - latency_ms(&second_direct, 0.99)).abs(),
        )
        .with("target_p99_ms", ADDED_LATENCY_TARGET_MS)
        .number("entry_cpu_us_per_call", cpu_us_per_call[0])
        .number("owner_cpu_us_per_call", cpu_us_per_call[1])
        .with(
            "calls",
            direct.latencies.len() + through_nodes.latencies.len(),
        )
        .with("errors", direct.errors + through_nodes.errors)
        .print();
    Ok(())
}

fn spawn_backend(seed: u64) -> eyre::Result<SocketAddr> {
    let plan = BackendPlan {
        slots: 64,
        service_time: SERVICE_TIME,
        sheds: false,
        ..BackendPlan::default()
    };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(BackendHttp::spawn(any_port, move || {
        BackendModel::new(plan, seed, RunLog::default())
    })?)
}

/// Starts an entry without a backend server and an owner with one. Each uses three of the
/// addresses: for callers, peers and administration.
///
/// Errors: a settings file can't be written or a process can't be started.
fn start_nodes(
    store: SocketAddr,
    backend: SocketAddr,
    addresses: &[SocketAddr],
) -> eyre::Result<NodeProcesses> {
    let mut processes = NodeProcesses::default();
    for (node_addresses, name) in addresses.chunks(3).zip(["entry", "owner"]) {
        let mut settings = format!(
            "name = \"{name}\"\ndata_centre = \"dc0\"\ncaller_address = \"{}\"\n\
             peer_address = \"{}\"\nadmin_address = \"{}\"\nlog_level = \"warn\"\n\
             seeds = [\"{}\", \"{}\"]\nstore_endpoints = [\"http://{store}\"]\n",
            node_addresses[0], node_addresses[1], node_addresses[2], addresses[1], addresses[4]
        );
        if name == "owner" {
            writeln!(
                settings,
                "[backend]\nservice = \"s0\"\naddress = \"{backend}\"\nslots = 64"
            )?;
        }
        processes
            .children
            .push(start_node(&write_settings(name, &settings)?)?);
    }
    Ok(processes)
}

/// Processor time used by the entry and the owner since their start.
fn cpu_times(processes: &NodeProcesses) -> Vec<Duration> {
    let children = processes.children.iter();
    children
        .map(|child| ProcessUsage::read(child.id()).unwrap_or_default().cpu)
        .collect()
}

/// Writes the settings of a node to a file in the temporary folder and returns its path.
///
/// Errors: the file can't be written.
pub(crate) fn write_settings(name: &str, settings: &str) -> eyre::Result<PathBuf> {
    let file = format!("sequoiagw-bench-{}-{name}.toml", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, settings)?;
    Ok(file)
}

/// Starts a node process with the given settings file.
///
/// Errors: the program is missing or can't be started.
pub(crate) fn start_node(settings: &Path) -> eyre::Result<Child> {
    let program = node_program()?;
    std::process::Command::new(&program)
        .arg("node")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .spawn()
        .wrap_err_with(|| {
            format!(
                "{} can't be started; run cargo build --release first",
                program.display()
            )
        })
}

/// Path of the `sequoiagw` program in the folder of the current executable.
///
/// Errors: the path of the current executable is unknown.
pub(crate) fn node_program() -> eyre::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("sequoiagw"))
}

/// Finds free loopback addresses, with ports below those that the system uses for outgoing
/// connections.
///
/// Errors: too few ports are free.
pub(crate) fn free_addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    let first = 20_000 + (std::process::id() % 5_000) as u16;
    let candidates = (first..32_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = candidates.filter(|address| std::net::TcpListener::bind(address).is_ok());
    let addresses: Vec<SocketAddr> = free.take(count).collect();
    eyre::ensure!(
        addresses.len() == count,
        "only {} free ports",
        addresses.len()
    );
    Ok(addresses)
}

async fn write_mesh_config(store: &MemoryStore) -> eyre::Result<()> {
    let mesh = mesh_config(&["s0".to_owned()], "2s", "")?;
    InProcessFleet::write_config_to(store, mesh, "bench").await?;
    Ok(())
}

/// Waits until a call through the entry succeeds.
///
/// Errors: no call succeeds before the time limit.
async fn wait_until_ready(entry: SocketAddr) -> eyre::Result<()> {
    let endpoint = CallEndpoint {
        address: entry,
        path: "/s0/urgent".to_owned(),
    };
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let probe_endpoints = [endpoint.clone(), endpoint.clone()];
        let probe_result =
            call_alternately(probe_endpoints, 20.0, Duration::from_millis(200), 1).await;
        if probe_result.is_ok_and(|[first_stats, second_stats]| {
            first_stats.latencies.len() + second_stats.latencies.len() > 0
        }) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(eyre::eyre!(
        "the nodes weren't ready within {} s",
        READY_TIMEOUT.as_secs()
    ))
}

async fn call_on_all_connections(
    endpoints: &[CallEndpoint; 2],
    rate: f64,
    duration: Duration,
    seed: u64,
) -> eyre::Result<[LatencyStats; 2]> {
    let rate_per_connection = rate / CONNECTION_COUNT as f64;
    let mut tasks = Vec::new();
    for connection in 0..CONNECTION_COUNT {
        let endpoints = endpoints.clone();
        let seed = seed * 1000 + connection;
        tasks.push(tokio::task::spawn_local(call_alternately(
            endpoints,
            rate_per_connection,
            duration,
            seed,
        )));
    }
    let mut totals = [LatencyStats::new()?, LatencyStats::new()?];
    for task in tasks {
        let endpoint_stats = task.await??;
        for (total, stats) in totals.iter_mut().zip(&endpoint_stats) {
            total.merge(stats);
        }
    }
    Ok(totals)
}
