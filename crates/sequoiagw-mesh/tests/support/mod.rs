//! Settings, registrations and versions of a small fleet.

use std::time::Duration;

use sequoiagw_mesh::BackendSettings;
use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::MeshRoute;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::RetryBudgetSettings;
use sequoiagw_mesh::WeightedService;
use sequoiagw_protocol::RankLevel;
use sequoiagw_store::StoreEra;

/// Names of the nodes, all in one data centre; the first two have the fastest links.
pub const NODES: [&str; 4] = ["a", "b", "c", "d"];

/// Address of a node for links from other nodes.
pub fn address(name: &str) -> String {
    let number = NODES.iter().position(|node| *node == name).unwrap_or(0);
    format!("10.0.0.{}:7000", number + 1)
}

/// Settings of a node.
pub fn settings(name: &str) -> MeshSettings {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    MeshSettings {
        name: name.to_owned(),
        data_centre: "north".to_owned(),
        peer_address: address(name).parse().expect("an address"),
        peer_listen: None,
        caller_address: any_port,
        readiness_address: any_port,
        heartbeat_address: any_port,
        metrics_address: None,
        link_mbps: link_mbps(name),
        memory_mb: 256,
        backend: BackendSettings {
            service: "press".to_owned(),
            address: any_port,
            heartbeat_interval: Duration::from_secs(1),
        },
        first_fleet_start: false,
        grace_period: Duration::from_secs(6),
        retry_budget: RetryBudgetSettings {
            ratio: 0.2,
            extra_per_window: 50.0,
        },
        rollout: None,
        quota: None,
    }
}

/// Registration of a node in the store.
pub fn registration(name: &str, boot: u64) -> NodeRegistration {
    NodeRegistration {
        name: name.to_owned(),
        boot,
        address: address(name),
        data_centre: "north".to_owned(),
        service: "press".to_owned(),
        slots: 12,
        link_mbps: link_mbps(name),
        leaving: None,
        store_era: StoreEra::default(),
        backend_version: String::new(),
        departures_known: true,
        stopping: false,
    }
}

fn link_mbps(name: &str) -> u32 {
    if NODES[..2].contains(&name) {
        140
    } else {
        7
    }
}

/// The route `order`, whose content differs for each number.
pub fn route(number: u64) -> MeshRoute {
    MeshRoute {
        name: "order".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/order/".to_owned(),
        services: vec![WeightedService {
            service: "press".to_owned(),
            weight: number as u32,
        }],
        idempotent: false,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_secs(1),
        level: RankLevel::MOST_URGENT,
        max_attempts: 2,
        public: false,
    }
}

/// A version with one route; its content differs for each number.
pub fn version(number: u64) -> MeshVersion {
    MeshVersion::new(number, vec![route(number)], CallerLimits::default())
}
