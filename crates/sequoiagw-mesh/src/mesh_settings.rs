//! Settings of a node, as the platform adapter reads them.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiagw_policy::QuotaLimit;
use sequoiagw_policy::RolloutSettings;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Name, unique in the fleet.
    pub name: String,
    /// Name of the node's data centre.
    pub data_centre: String,
    /// Address for links from other nodes, as registered in the store.
    pub peer_address: SocketAddr,
    /// Address to listen on for links, if it differs from `peer_address`.
    pub peer_listen: Option<SocketAddr>,
    /// Address to listen on for requests of callers and of the backend server.
    pub caller_address: SocketAddr,
    /// Address to listen on for readiness checks.
    pub readiness_address: SocketAddr,
    /// Address to listen on for the backend server's heartbeats.
    pub heartbeat_address: SocketAddr,
    /// Address to listen on for metrics requests, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Bandwidth of the host's link, in Mbit/s; 0 when unknown.
    pub link_mbps: u32,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u32,
    /// Backend server next to this node.
    pub backend: BackendSettings,
    /// Whether the whole fleet starts for the first time.
    pub first_fleet_start: bool,
    /// Time within which the process must exit after it was asked to stop.
    pub grace_period: Duration,
    /// Retries that the fleet may make.
    pub retry_budget: RetryBudgetSettings,
    /// Bounds of roll-outs; `None` where roll-outs are off.
    pub rollout: Option<RolloutSettings>,
    /// Bounds of workspaces' quotas; `None` if quotas are off.
    pub quota: Option<QuotaSettings>,
}

/// Backend server next to a node.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Service that the backend server serves.
    pub service: String,
    /// Address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
}

/// Retries that the whole fleet may make, for each service. Every attempt at a backend server
/// after the first one of a request counts as a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request to the service.
    pub ratio: f64,
    /// Additional retries allowed in each time window.
    pub extra_per_window: f64,
}

/// Bounds within which the fleet keeps the quotas of workspaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Time window over which requests are counted.
    pub window: Duration,
    /// Part of the quota by which it may be exceeded in a window.
    pub overrun: f64,
    /// Additional requests that a window may have.
    pub tolerance: f64,
}

impl QuotaSettings {
    /// Largest number of requests of a workspace in any window.
    pub fn bound(&self, limit: QuotaLimit) -> f64 {
        let quota = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        quota * (1.0 + self.overrun) + self.tolerance
    }
}
