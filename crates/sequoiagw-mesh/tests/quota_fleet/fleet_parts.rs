//! Nodes, workspaces and demand of simulated fleets.

use std::time::Duration;

use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::QuotaSettings;
use sequoiagw_node::NodeCounters;
use sequoiagw_policy::QuotaLimit;
use sequoiagw_protocol::NodeId;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;

use crate::support;

/// Data centres, to which nodes belong in turn.
pub const CENTRES: [&str; 3] = ["north", "east", "west"];
/// Boot of the first process of each node.
pub const FIRST_BOOT: u64 = 1;

/// Bounds of the quotas.
pub const BOUNDS: QuotaSettings = QuotaSettings {
    window: Duration::from_secs(5),
    overrun: 0.1,
    tolerance: 20.0,
};

/// Requests of a workspace's callers, spread over some nodes.
#[derive(Clone, Debug)]
pub struct Demand {
    pub workspace: String,
    pub rate_per_s: f64,
    pub nodes: Vec<usize>,
}

/// Limit with a burst of as many requests as the rate has in a second.
pub fn limit(rate_per_s: f64) -> QuotaLimit {
    QuotaLimit {
        rate_per_s,
        burst: rate_per_s,
    }
}

/// Requests of a workspace at some nodes.
pub fn demand(workspace: &str, rate_per_s: f64, nodes: Vec<usize>) -> Demand {
    Demand {
        workspace: workspace.to_owned(),
        rate_per_s,
        nodes,
    }
}

pub fn node_name(index: usize) -> String {
    format!("node-{index}")
}

pub fn node_id(index: usize) -> NodeId {
    NodeId::from_name(&node_name(index))
}

pub fn registration(index: usize) -> NodeRegistration {
    NodeRegistration {
        name: node_name(index),
        address: format!("10.0.{}.{}:7000", index / 250, index % 250 + 1),
        data_centre: CENTRES[index % CENTRES.len()].to_owned(),
        ..support::registration("a", FIRST_BOOT)
    }
}

pub fn start_core(index: usize, boot: u64) -> MeshCore {
    let peer_address = registration(index).address.parse();
    let settings = MeshSettings {
        name: node_name(index),
        data_centre: CENTRES[index % CENTRES.len()].to_owned(),
        peer_address: peer_address.expect("an address"),
        quota: Some(BOUNDS),
        ..support::settings("a")
    };
    MeshCore::new(settings, boot, NodeCounters::default())
}

/// The runtime's clock, paused, for what reads it beside the times that it is given.
pub struct SimulatedClock {
    runtime: Runtime,
}

impl SimulatedClock {
    /// Starts a clock.
    pub fn start() -> Self {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        Self {
            runtime: runtime.expect("a runtime"),
        }
    }

    /// Current time.
    pub fn now(&self) -> Instant {
        self.runtime.block_on(async { Instant::now() })
    }

    /// Does something at a time that isn't over yet.
    pub fn do_at<Step, Output>(&self, time: Instant, step: Step) -> Output
    where
        Step: FnOnce() -> Output,
    {
        self.runtime.block_on(async {
            tokio::time::advance(time - Instant::now()).await;
            step()
        })
    }
}
