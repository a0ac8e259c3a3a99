//! Runs a node as a process: binds its addresses, starts its tasks and shuts down on a signal.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use rand::Rng;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::ServerPhase;
use sequoiagw_node::NodeCounters;
use sequoiagw_node::ReceivePacer;
use sequoiagw_node::SendPacer;
use sequoiagw_node::TcpLinks;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::PollingStore;
use tokio::net::TcpListener;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::CallerServer;
use crate::LeavePlan;
use crate::LocalServer;
use crate::MeshBackend;
use crate::MeshCore;
use crate::MeshHandle;
use crate::MeshSettings;
use crate::NodeRegistrar;
use crate::PlatformFormat;
use crate::StoreFollower;
use crate::StoreHealth;

/// Shortest time for which a leaving node keeps serving: the platform routes callers to other
/// nodes after two failed readiness checks, one second apart.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(2300);
/// Part of the process's memory for bodies of messages: one in this number. The rest holds copies of
/// bodies under way, what the system has received and the process hasn't read, and the node's state.
const BODY_MEMORY_PART: u64 = 3;
const BYTES_PER_MIB: u64 = 1024 * 1024;
/// Interval between reports of dropped log lines.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a leaving node checks whether connections and calls are still open.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of dropped replies that are logged one by one.
const MAX_LOGGED_REPLIES: usize = 100;

/// What a node takes from its embedder besides its settings.
pub struct NodeDependencies {
    /// Key-value store of the platform.
    pub store: Rc<dyn PollingStore>,
    /// Header names and message formats of the platform.
    pub format: Rc<dyn PlatformFormat>,
    /// Returns the number of log lines dropped since the process started.
    pub dropped_lines: Box<dyn Fn() -> u64>,
}

/// Runs a node until SIGTERM or SIGINT, then until its open calls end or the grace period is
/// nearly over.
///
/// Errors: an address can't be bound, the runtime can't be built, or a signal handler can't be
/// installed.
pub fn run_mesh_node<Build>(settings: MeshSettings, build: Build) -> eyre::Result<()>
where
    Build: FnOnce() -> NodeDependencies,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be built")?;
    LocalSet::new().block_on(&runtime, async move { serve_node(settings, build()).await })
}

async fn serve_node(settings: MeshSettings, dependencies: NodeDependencies) -> eyre::Result<()> {
    let peer_listen = settings.peer_listen.unwrap_or(settings.peer_address);
    let peer_listener = bind("peer address", peer_listen).await?;
    let caller_listener = bind("caller address", settings.caller_address).await?;
    let readiness_listener = bind("readiness address", settings.readiness_address).await?;
    let heartbeat_listener = bind("heartbeat address", settings.heartbeat_address).await?;
    let metrics_listener = bind_metrics(settings.metrics_address).await;
    let boot = rand::rng().random_range(1..u64::MAX);
    let (events, receiver) = mpsc::unbounded_channel();
    let node = NodeId::from_name(&settings.name);
    let address = NodeAddress::from(settings.peer_address);
    let pacer = SendPacer::new(settings.link_mbps);
    let budget =
        BufferBudget::new(u64::from(settings.memory_mb) * BYTES_PER_MIB / BODY_MEMORY_PART);
    let mut links =
        TcpLinks::new(node, boot, address, events.clone(), pacer).with_budget(budget.clone());
    if settings.link_mbps > 0 {
        links = links.with_grants(ReceivePacer::new(settings.link_mbps, budget.clone()));
    }
    let header_names = *dependencies.format.headers();
    let counters = NodeCounters::default();
    let backend = MeshBackend::new(settings.backend.address, header_names, events)
        .with_budget(budget.clone())
        .with_counters(counters.clone());
    info!(
        event = "node_started", node = %settings.name, data_centre = %settings.data_centre,
        service = %settings.backend.service, boot
    );
    let grace = settings.grace_period;
    let core = MeshCore::new(settings, boot, counters);
    let handle = MeshHandle::new(
        core,
        Box::new(links.clone()),
        Box::new(backend),
        dependencies.format,
    );
    let (phase, phase_receiver) = watch::channel(ServerPhase::Open);
    let caller_server = CallerServer::new(handle.clone(), phase_receiver.clone(), budget.clone());
    let local_server = LocalServer::new(handle.clone(), phase_receiver, budget);
    let health = StoreHealth::new(handle.counters());
    let store = Rc::clone(&dependencies.store);
    let follower = StoreFollower::new(handle.clone(), store, health.clone());
    let registrar = NodeRegistrar::new(handle.clone(), dependencies.store, health);
    tokio::task::spawn_local(async move { links.accept(peer_listener).await });
    tokio::task::spawn_local(caller_server.clone().accept(caller_listener));
    tokio::task::spawn_local(local_server.clone().accept(readiness_listener));
    if let Some(listener) = metrics_listener {
        tokio::task::spawn_local(local_server.clone().accept(listener));
    }
    tokio::task::spawn_local(report_dropped_lines(
        dependencies.dropped_lines,
        handle.counters(),
    ));
    tokio::task::spawn_local(local_server.accept(heartbeat_listener));
    tokio::task::spawn_local(follower.clone().request_config_from_peers());
    tokio::task::spawn_local(follower.clone().follow_config());
    tokio::task::spawn_local(follower.clone().broadcast_digests());
    tokio::task::spawn_local(follower.clone().follow_rollouts());
    tokio::task::spawn_local(follower.follow_registrations());
    tokio::task::spawn_local(registrar.run());
    let event_handle = handle.clone();
    tokio::task::spawn_local(async move { event_handle.run(receiver).await });
    wait_for_stop_signal().await?;
    info!(event = "leave_started");
    leave(&handle, &caller_server, &phase, grace).await;
    log_dropped_replies(&caller_server, &handle.counters());
    info!(
        event = "node_stopped",
        open_calls = handle.read(MeshCore::open_calls),
        open_connections = caller_server.open_connections(),
        open_replies = caller_server.open_replies().len()
    );
    Ok(())
}

/// Logs and counts the requests whose callers lose their replies with the end of the process.
fn log_dropped_replies(caller_server: &CallerServer, counters: &NodeCounters) {
    let open_replies = caller_server.open_replies();
    counters.add("reply.dropped", open_replies.len() as u64);
    for request in open_replies.oldest(MAX_LOGGED_REPLIES) {
        warn!(event = "reply_dropped", request = request.request_id, state = %request.state);
    }
}

async fn bind(purpose: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("the {purpose} {address} can't be bound"))
}

/// Binds the metrics address. The node also starts without it: a failure is only logged.
async fn bind_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match TcpListener::bind(address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(event = "metrics_unavailable", error = %error);
            None
        }
    }
}

/// Regularly logs and counts the log lines dropped since the last report.
async fn report_dropped_lines(dropped_lines: Box<dyn Fn() -> u64>, counters: NodeCounters) {
    let mut reported = 0;
    loop {
        sleep(DROPPED_LINES_INTERVAL).await;
        let count = dropped_lines();
        if count > reported {
            counters.add("log.dropped_lines", count - reported);
            warn!(
                event = "log_lines_dropped",
                count = count - reported,
                total = count
            );
            reported = count;
        }
    }
}

/// Waits for SIGTERM or SIGINT. A SIGHUP is only logged, because a running node doesn't read its
/// settings again.
async fn wait_for_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => info!(event = "hangup_ignored"),
        }
    }
}

/// Shuts the node down: it first keeps serving while the platform routes callers to other nodes,
/// then waits for open connections and calls to end, at most until the grace period is nearly
/// over. Calls that are still open then have ended before, see [`LeavePlan`].
async fn leave(
    handle: &MeshHandle,
    caller_server: &CallerServer,
    phase: &watch::Sender<ServerPhase>,
    grace: Duration,
) {
    let plan = LeavePlan::new(Instant::now(), grace);
    handle.with_core(|core, now| core.set_leave_plan(plan, now));
    handle.with_core(MeshCore::drain);
    phase.send_replace(ServerPhase::Leaving);
    sleep(MIN_LEAVE_TIME).await;
    phase.send_replace(ServerPhase::Closing);
    let has_open_work = || {
        caller_server.open_connections() > 0
            || handle.read(MeshCore::open_calls) > 0
            || handle.has_unsent_frames()
    };
    while Instant::now() < plan.exits && has_open_work() {
        sleep(LEAVE_POLL_INTERVAL).await;
    }
    // What was handed to the links last has not been written yet.
    sleep(LEAVE_POLL_INTERVAL).await;
}
