//! Messages of quotas per second and node, for docs/CAPACITY.md.

use std::time::Duration;

use crate::fleet_parts::demand;
use crate::fleet_parts::limit;
use crate::fleet_parts::Demand;
use crate::quota_fleet::QuotaFleet;

/// Workspaces of the customer.
const WORKSPACES: usize = 78;
/// Requests per second and node at the customer: 1,840 at 71 nodes.
const REQUESTS_PER_NODE: f64 = 26.0;
/// Largest number of bytes that control may send and receive at a node in a second.
const MAX_BYTES_PER_NODE: f64 = 10_000.0;

/// Guards the limit of 10 KB/s of control traffic per node.
#[test]
fn messages_per_node_stay_within_the_limit_of_control_traffic() {
    for size in [71, 300, 660] {
        let names: Vec<String> = (0..WORKSPACES).map(|number| format!("w{number}")).collect();
        let weights = (0..WORKSPACES).map(|number| 1.0 / (number + 1) as f64);
        let weight_sum: f64 = weights.clone().sum();
        let total = size as f64 * REQUESTS_PER_NODE;
        let rates: Vec<f64> = weights.map(|weight| total * weight / weight_sum).collect();
        let pairs = names.iter().zip(&rates);
        let limits: Vec<_> = pairs
            .map(|(name, rate)| (name.as_str(), limit(rate * 1.6)))
            .collect();
        let mut fleet = QuotaFleet::start(size, 1, &limits);
        fleet.run(Duration::from_secs(3), &[]);
        for (load, factor) in [
            ("usual demand", 1.0),
            ("the largest workspace at 7 times", 7.0),
        ] {
            let pairs = names.iter().zip(&rates);
            let mut demands: Vec<Demand> = pairs
                .map(|(name, rate)| demand(name, *rate, fleet.all()))
                .collect();
            demands[0].rate_per_s *= factor;
            let (frames, bytes) = (fleet.frames, fleet.bytes);
            fleet.run(Duration::from_secs(1), &demands);
            let frames = (fleet.frames - frames) as f64;
            // Each frame is sent by one node and received by another.
            let node_frames = 2.0 * frames / size as f64;
            let node_bytes = 2.0 * (fleet.bytes - bytes) as f64 / size as f64;
            println!(
                "{size} nodes, {load}: {frames:.0} messages/s in the fleet; per node \
                 {node_frames:.0} messages/s and {:.1} KB/s, both directions",
                node_bytes / 1000.0
            );
            assert!(
                node_bytes <= MAX_BYTES_PER_NODE,
                "{node_bytes} bytes/s per node"
            );
        }
    }
}
