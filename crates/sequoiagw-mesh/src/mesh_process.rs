//! A node as a process: edges opened, signals heeded.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use rand::Rng;
use sequoiagw_http::ServerPhase;
use sequoiagw_node::CounterBoard;
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
use crate::LocalServer;
use crate::MeshBackend;
use crate::MeshCore;
use crate::MeshHandle;
use crate::MeshSettings;
use crate::NodeRegistrar;
use crate::PlatformFormat;
use crate::StoreFollower;
use crate::StoreHealth;

/// Time for which a leaver serves on at least: callers are sent elsewhere after two
/// readiness questions without success, a second apart.
const LEAVE_TIME: Duration = Duration::from_millis(2300);
/// Time before the end of the process from which no new request is begun.
const LAST_CALL_TIME: Duration = Duration::from_millis(1600);
/// Time kept back at the end of the grace period.
const GRACE_RESERVE: Duration = Duration::from_millis(700);
/// Time between two reports of dropped log lines.
const DROPPED_PERIOD: Duration = Duration::from_secs(5);
/// Time between two looks whether all work is done.
const LEAVE_PERIOD: Duration = Duration::from_millis(50);

/// What a node needs from outside besides its settings.
pub struct NodeDependencies {
    /// The platform's store.
    pub store: Rc<dyn PollingStore>,
    /// The platform's names and formats.
    pub format: Rc<dyn PlatformFormat>,
    /// Number of log lines dropped so far.
    pub dropped_lines: Box<dyn Fn() -> u64>,
}

/// Runs a node until SIGTERM or SIGINT and the end of its work.
///
/// Errors: an address can't be bound, or the runtime can't be built.
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

async fn serve_node(settings: MeshSettings, edges: NodeDependencies) -> eyre::Result<()> {
    let peer_listen = settings.peer_listen.unwrap_or(settings.peer_address);
    let peer_listener = bind("peer address", peer_listen).await?;
    let caller_listener = bind("caller address", settings.caller_address).await?;
    let ready_listener = bind("readiness address", settings.readiness_address).await?;
    let beat_listener = bind("heartbeat address", settings.heartbeat_address).await?;
    let metrics_listener = bind_metrics(settings.metrics_address).await;
    let boot = rand::rng().random_range(1..u64::MAX);
    let (events, receiver) = mpsc::unbounded_channel();
    let node = NodeId::from_name(&settings.name);
    let address = NodeAddress::from(settings.peer_address);
    let links = TcpLinks::new(node, boot, address, events.clone());
    let names = *edges.format.headers();
    let backend = MeshBackend::new(settings.backend.address, names, events);
    info!(
        event = "node_started", node = %settings.name, data_centre = %settings.data_centre,
        service = %settings.backend.service, boot
    );
    let grace = settings.grace_period;
    let core = MeshCore::new(settings, boot, CounterBoard::default());
    let handle = MeshHandle::new(core, Box::new(links.clone()), backend, edges.format);
    let (phase, phase_receiver) = watch::channel(ServerPhase::Open);
    let callers = CallerServer::new(handle.clone(), phase_receiver.clone());
    let local = LocalServer::new(handle.clone(), phase_receiver);
    let health = StoreHealth::new(handle.counters());
    let store = Rc::clone(&edges.store);
    let follower = StoreFollower::new(handle.clone(), store, health.clone());
    let keeper = NodeRegistrar::new(handle.clone(), edges.store, health);
    tokio::task::spawn_local(async move { links.accept(peer_listener).await });
    tokio::task::spawn_local(callers.clone().accept(caller_listener));
    tokio::task::spawn_local(local.clone().accept(ready_listener));
    if let Some(listener) = metrics_listener {
        tokio::task::spawn_local(local.clone().accept(listener));
    }
    tokio::task::spawn_local(report_dropped_lines(edges.dropped_lines, handle.counters()));
    tokio::task::spawn_local(local.accept(beat_listener));
    tokio::task::spawn_local(follower.clone().request_config_from_peers());
    tokio::task::spawn_local(follower.clone().follow_config());
    tokio::task::spawn_local(follower.clone().broadcast_digests());
    tokio::task::spawn_local(follower.follow_registrations());
    tokio::task::spawn_local(keeper.run());
    let driven = handle.clone();
    tokio::task::spawn_local(async move { driven.run(receiver).await });
    wait_for_end().await?;
    info!(event = "leave_started");
    leave(&handle, &callers, &phase, grace).await;
    info!(
        event = "node_stopped",
        open_calls = handle.read(MeshCore::open_calls)
    );
    Ok(())
}

async fn bind(what: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("the {what} {address} can't be bound"))
}

/// Binds the metrics address. A node without metrics serves all the same.
async fn bind_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match TcpListener::bind(address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(event = "metrics_unavailable", error = %error);
            None
        }
    }
}

/// Logs and counts at intervals how many lines were dropped since the last time.
async fn report_dropped_lines(dropped: Box<dyn Fn() -> u64>, counters: CounterBoard) {
    let mut known = 0;
    loop {
        sleep(DROPPED_PERIOD).await;
        let count = dropped();
        if count > known {
            counters.add("log.dropped_lines", count - known);
            warn!(
                event = "log_lines_dropped",
                count = count - known,
                total = count
            );
            known = count;
        }
    }
}

/// Waits for SIGTERM or SIGINT; a SIGHUP is logged and changes nothing, since nothing that
/// a running node uses is read from the settings again.
async fn wait_for_end() -> eyre::Result<()> {
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

/// Serves on until callers have been sent elsewhere and all work is done.
async fn leave(
    handle: &MeshHandle,
    callers: &CallerServer,
    phase: &watch::Sender<ServerPhase>,
    grace: Duration,
) {
    let started = Instant::now();
    let last = started + grace.saturating_sub(GRACE_RESERVE);
    handle.with_core(MeshCore::drain);
    phase.send_replace(ServerPhase::Leaving);
    sleep(LEAVE_TIME).await;
    phase.send_replace(ServerPhase::Closing);
    let refuse_from = last.checked_sub(LAST_CALL_TIME).unwrap_or(started);
    let busy = || callers.open_connections() > 0 || handle.read(MeshCore::open_calls) > 0;
    while Instant::now() < last && busy() {
        if Instant::now() >= refuse_from {
            handle.with_core(|core, _| core.refuse_callers());
        }
        sleep(LEAVE_PERIOD).await;
    }
}
