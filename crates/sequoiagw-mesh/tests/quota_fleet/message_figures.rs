//! Messages of quotas per second and node, for docs/CAPACITY.md.

use std::time::Duration;

use crate::quota_fleet::demand;
use crate::quota_fleet::limit;
use crate::quota_fleet::Demand;
use crate::quota_fleet::QuotaFleet;

/// Workspaces of the customer.
const WORKSPACES: usize = 78;
/// Requests per second and node at the customer: 1,840 at 71 nodes.
const REQUESTS_PER_NODE: f64 = 26.0;
/// Bytes of a request or grant on the link, with the frame around it.
const FRAME_BYTES: f64 = 60.0;
/// Largest number of frames that a node may send and receive in a second.
const MAX_FRAMES_PER_NODE: f64 = 160.0;

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
        let loads = |fleet: &QuotaFleet, factor: f64| -> Vec<Demand> {
            let pairs = names.iter().zip(&rates);
            pairs
                .map(|(name, rate)| demand(name, rate * factor, fleet.all()))
                .collect()
        };
        fleet.run(Duration::from_secs(3), &[]);
        for (load, factor) in [("usual", 1.0), ("seven times", 7.0)] {
            let demands = loads(&fleet, factor);
            let before = fleet.frames;
            fleet.run(Duration::from_secs(2), &demands);
            let sent = (fleet.frames - before) as f64 / 2.0 / size as f64;
            println!(
                "{size} nodes, {load} demand: {:.0} frames/s sent by the fleet, {sent:.1} per node, {:.1} KB/s sent and received per node",
                sent * size as f64,
                2.0 * sent * FRAME_BYTES / 1000.0
            );
            if factor < 2.0 {
                assert!(
                    2.0 * sent <= MAX_FRAMES_PER_NODE,
                    "{sent} frames/s sent per node"
                );
            }
        }
    }
}
