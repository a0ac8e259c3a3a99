//! Settings of a node, as the platform's adapter reads them.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Name, unique in the fleet.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for links from other nodes.
    pub peer_address: SocketAddr,
    /// Address at which links are taken, where it isn't the one told to other nodes.
    pub peer_listen: Option<SocketAddr>,
    /// Address for callers and for the calls of the backend server.
    pub caller_address: SocketAddr,
    /// Address at which readiness is asked.
    pub readiness_address: SocketAddr,
    /// Address for the backend server's heartbeats.
    pub heartbeat_address: SocketAddr,
    /// Address at which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Width of the host's link, in Mbit/s; 0 when it isn't known.
    pub link_mbps: u32,
    /// Backend server beside this node.
    pub backend: BackendSettings,
    /// Whether the whole fleet starts for the first time.
    pub first_fleet_start: bool,
    /// Time in which a process has to end after it was told to.
    pub grace_period: Duration,
    /// The fleet's allowance of repeats.
    pub retry_budget: RetryBudgetSettings,
}

/// Backend server beside a node.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Service it serves.
    pub service: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Time between its heartbeats.
    pub heartbeat_interval: Duration,
}

/// What the fleet may send to backend servers beyond the first of each request.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Share of a service's requests.
    pub ratio: f64,
    /// Further repeats in each window, for each service.
    pub extra_per_window: f64,
}
