//! Versions that only some nodes hold, and the store load of distributing versions.

mod support;
mod version_monitor;

use std::time::Duration;

use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::NetworkPlan;

use crate::support::mesh::mesh_with_timeout;
use crate::support::on_paused_clock;
use crate::support::ready_fleet;
use crate::version_monitor::VersionMonitor;

/// Accepts a configuration with a new timeout and returns its version.
async fn accept(fleet: &InProcessFleet, seconds: u64) -> u64 {
    let change_id = format!("timeout-{seconds}");
    let accepted = fleet
        .write_config(mesh_with_timeout(seconds), &change_id)
        .await;
    accepted.expect("the change should be accepted").version
}

async fn pause(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

#[test]
fn store_load_does_not_grow_with_fleet_size() {
    let store_calls = |nodes: usize| {
        let mut calls = 0;
        on_paused_clock(async {
            let fleet = ready_fleet(FleetPlan::with_nodes(nodes, 1)).await;
            pause(20).await;
            let total = |fleet: &InProcessFleet| fleet.store.counts().values().sum::<u64>();
            let before = total(&fleet);
            pause(30).await;
            calls = total(&fleet) - before;
        });
        calls
    };
    let (small, large) = (store_calls(6), store_calls(48));
    assert!(
        large <= small + small / 5,
        "store calls in 30 s must not grow by more than a fifth: {small} with 6 nodes, {large} with 48"
    );
}

/// All frames are lost when a version is accepted, so that only holders read it. Then the store fails
/// and the holders restart, which loses the version.
async fn check_version_held_by_holders_only(seed: u64) {
    let mut fleet = ready_fleet(FleetPlan {
        data_centres: 1,
        ..FleetPlan::with_nodes(8, seed)
    })
    .await;
    let mut monitor = VersionMonitor::default();
    pause(15).await;
    pause(15).await;
    let holders: Vec<usize> = (0..8)
        .filter(|index| {
            fleet.nodes[*index]
                .handle
                .read(|core| core.seat().is_some())
        })
        .collect();
    fleet.network.set_plan(NetworkPlan {
        loss: 1.0,
        ..NetworkPlan::default()
    });
    accept(&fleet, 9).await;
    monitor.check_for(&fleet, Duration::from_secs(1)).await;
    let held = |index: usize| {
        fleet.nodes[index]
            .handle
            .read(sequoiagw_node::NodeCore::held_version)
    };
    assert!(
        holders.iter().any(|index| held(*index) == 2),
        "a holder must have read the version"
    );
    fleet.store.set_faults(|faults| faults.down = true);
    for index in holders {
        fleet.kill_node(index);
        fleet.start_node(index);
    }
    fleet.network.set_plan(NetworkPlan::default());
    monitor.check_for(&fleet, Duration::from_secs(20)).await;
    assert!(fleet.versions().values().all(|version| *version == 1));
}

#[test]
fn version_held_by_holders_only_is_never_activated() {
    for seed in 0..10 {
        on_paused_clock(check_version_held_by_holders_only(seed));
    }
}

/// A node restarts during a store outage while three of its peers hold an older version.
async fn check_restart_beside_outdated_peers(seed: u64) {
    let mut fleet = ready_fleet(FleetPlan {
        data_centres: 1,
        ..FleetPlan::with_nodes(9, seed)
    })
    .await;
    let mut monitor = VersionMonitor::default();
    pause(15).await;
    let outdated = isolate_non_holders(&fleet);
    let version = accept(&fleet, 9).await;
    // Long enough for nodes to switch to other collectors if the first collectors are outdated nodes.
    monitor
        .check_for(&fleet, Duration::from_millis(2_500))
        .await;
    let versions = fleet.versions();
    let up_to_date = versions.values().filter(|active| **active == version);
    assert_eq!(
        up_to_date.count(),
        6,
        "six nodes must have activated the version: {versions:?}"
    );
    fleet.store.set_faults(|faults| faults.down = true);
    fleet.kill_node(0);
    fleet.start_node(0);
    fleet.network.restore_links(fleet.nodes[0].address);
    // Checks every millisecond, because the older version mustn't be active even for a short time.
    for _ in 0..2_000 {
        tokio::time::sleep(Duration::from_millis(1)).await;
        monitor.check(&fleet);
    }
    for index in outdated {
        fleet.network.restore_links(fleet.nodes[index].address);
    }
    monitor.check_for(&fleet, Duration::from_secs(20)).await;
    let versions = fleet.versions();
    assert!(
        versions.values().all(|active| *active == version),
        "all nodes must activate version {version}: {versions:?}"
    );
}

/// Makes the links between three nodes and the others drop all frames, so that the three get no new
/// version. Excludes holders, because they read the store themselves.
fn isolate_non_holders(fleet: &InProcessFleet) -> Vec<usize> {
    let holds_seat = |index: usize| fleet.nodes[index].handle.read(|core| core.seat().is_some());
    let outdated: Vec<usize> = (1..9).filter(|index| !holds_seat(*index)).take(3).collect();
    for other in (0..9).filter(|other| !outdated.contains(other)) {
        for index in &outdated {
            fleet
                .network
                .blackhole_link(fleet.nodes[*index].address, fleet.nodes[other].address);
        }
    }
    outdated
}

#[test]
fn restarted_node_never_activates_older_version_of_outdated_peers() {
    for seed in 0..20 {
        on_paused_clock(check_restart_beside_outdated_peers(seed));
    }
}
