//! A node as a process: opens its listeners and clients from the settings and drains on a
//! termination signal.

use std::rc::Rc;

use eyre::WrapErr;
use rand::Rng;
use sequoiagw_http::BufferBudget;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::EtcdStore;
use tokio::net::TcpListener;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tracing::info;

use crate::admin_service::unix_ms;
use crate::AdminApi;
use crate::CallerServer;
use crate::HttpBackend;
use crate::NodeCounters;
use crate::NodeDependencies;
use crate::NodeHandle;
use crate::NodeIdentity;
use crate::NodeSettings;
use crate::SendPacer;
use crate::TcpLinks;

/// Memory for bodies of messages over all connections, a third of what a node may use.
const BODY_MEMORY_BYTES: u64 = 256 * 1024 * 1024 / 3;
/// Interval between announcements of a backend server that is named in the settings.
const ANNOUNCE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
/// Time limit for closing callers' connections after the node has stopped.
const CONNECTION_CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Runs a node until it has left the fleet after SIGTERM, SIGINT or a drain request to the
/// administration API.
///
/// Errors: an address can't be bound or used, or the runtime can't be built.
pub fn run_node(settings: NodeSettings) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be built")?;
    LocalSet::new().block_on(&runtime, serve_node(settings))
}

async fn serve_node(settings: NodeSettings) -> eyre::Result<()> {
    let peer_listener = bind("peer_address", settings.peer_address).await?;
    let caller_listener = bind("caller_address", settings.caller_address).await?;
    let admin = AdminApi::open(settings.admin_address, settings.admin_token.clone())?;
    let counters = match settings.statsd_address {
        Some(address) => NodeCounters::with_statsd(address)
            .wrap_err_with(|| format!("statsd_address {address} can't be used"))?,
        None => NodeCounters::default(),
    };
    let identity = identity_of(&settings);
    let (events, receiver) = mpsc::unbounded_channel();
    let node = NodeId::from_name(&identity.name);
    let budget = BufferBudget::new(BODY_MEMORY_BYTES);
    let caller_budget = budget.clone();
    let links = TcpLinks::new(
        node,
        identity.boot,
        identity.address,
        events.clone(),
        SendPacer::new(0),
    )
    .with_budget(budget.clone());
    let dependencies = NodeDependencies {
        store: Rc::new(EtcdStore::new(
            settings.store_endpoints.clone(),
            settings.store_call_timeout(),
        )),
        links: Box::new(links.clone()),
        backend: Box::new(
            HttpBackend::new(events.clone())
                .with_budget(budget)
                .with_counters(counters.clone()),
        ),
    };
    let handle = NodeHandle::new(identity, dependencies, events, counters);
    let caller_server = CallerServer::new(handle.clone()).with_budget(caller_budget);
    info!(
        event = "node_started", node = %settings.name, data_centre = %settings.data_centre,
        peer_address = %settings.peer_address, caller_address = %settings.caller_address
    );
    tokio::task::spawn_local(async move { links.accept(peer_listener).await });
    tokio::task::spawn_local(admin.serve(handle.clone()));
    tokio::task::spawn_local(announce_backend(handle.clone(), settings.clone()));
    tokio::task::spawn_local(drain_on_signal(handle.clone()));
    let accepting_server = caller_server.clone();
    tokio::task::spawn_local(async move { accepting_server.accept(caller_listener).await });
    handle.run(receiver).await;
    caller_server.close();
    let _ = tokio::time::timeout(CONNECTION_CLOSE_TIMEOUT, caller_server.wait_closed()).await;
    info!(event = "node_stopped", node = %settings.name);
    Ok(())
}

async fn bind(key: &str, address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("{key} {address} can't be bound; is it in use on this host?"))
}

fn identity_of(settings: &NodeSettings) -> NodeIdentity {
    NodeIdentity {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        address: NodeAddress::from(settings.peer_address),
        seeds: settings
            .seeds
            .iter()
            .copied()
            .map(NodeAddress::from)
            .collect(),
        boot: unix_ms(),
        seed: rand::rng().random(),
    }
}

/// Periodically announces the backend server that the settings name, if any.
async fn announce_backend(handle: NodeHandle, settings: NodeSettings) {
    let Some(announcement) = settings.backend else {
        return;
    };
    loop {
        handle.announce(announcement.clone());
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn drain_on_signal(handle: NodeHandle) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.drain();
}
