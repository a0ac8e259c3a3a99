//! Versions that few nodes hold, and what spreading them costs.

mod support;
mod version_watch;

use std::time::Duration;

use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::NetworkPlan;

use crate::support::mesh::mesh_with_timeout;
use crate::support::on_paused_clock;
use crate::support::ready_fleet;
use crate::version_watch::VersionWatch;

/// Accepts the configuration with another timeout and returns its version.
async fn accept(fleet: &InProcessFleet, seconds: u64) -> u64 {
    let change_id = format!("timeout-{seconds}");
    let accepted = fleet
        .write_config(mesh_with_timeout(seconds), &change_id)
        .await;
    accepted.expect("accepted").version
}

async fn pause(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

#[test]
fn the_load_on_the_store_does_not_grow_with_the_fleet() {
    let rate = |nodes: usize| {
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
    let (small, large) = (rate(6), rate(48));
    assert!(
        large <= small + small / 5,
        "{small} to {large} calls in 30 s"
    );
}

/// A version that reaches only the holders before everything else fails.
async fn play_early_holders(seed: u64) {
    let mut fleet = ready_fleet(FleetPlan {
        data_centres: 1,
        ..FleetPlan::with_nodes(8, seed)
    })
    .await;
    let mut watch = VersionWatch::default();
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
    watch.look_for(&fleet, Duration::from_secs(1)).await;
    let held = |index: usize| {
        fleet.nodes[index]
            .handle
            .read(sequoiagw_node::NodeCore::held_version)
    };
    assert!(
        holders.iter().any(|index| held(*index) == 2),
        "a holder has read it"
    );
    fleet.store.set_faults(|faults| faults.down = true);
    for index in holders {
        fleet.kill_node(index);
        fleet.start_node(index);
    }
    fleet.network.set_plan(NetworkPlan::default());
    watch.look_for(&fleet, Duration::from_secs(20)).await;
    assert!(fleet.versions().values().all(|version| *version == 1));
}

#[test]
fn a_version_that_few_hold_is_not_acted_on_and_may_be_forgotten() {
    for seed in 0..10 {
        on_paused_clock(play_early_holders(seed));
    }
}

/// A process restarts while some of its peers are behind and the store is down.
async fn play_peers_behind(seed: u64) {
    let mut fleet = ready_fleet(FleetPlan {
        data_centres: 1,
        ..FleetPlan::with_nodes(9, seed)
    })
    .await;
    let mut watch = VersionWatch::default();
    pause(15).await;
    let behind = keep_behind(&fleet);
    let version = accept(&fleet, 9).await;
    // Long enough for other members to count when the first ones are behind.
    watch.look_for(&fleet, Duration::from_millis(2_500)).await;
    let versions = fleet.versions();
    let ahead = versions.values().filter(|active| **active == version);
    assert_eq!(ahead.count(), 6, "the majority acts on it: {versions:?}");
    fleet.store.set_faults(|faults| faults.down = true);
    fleet.kill_node(0);
    fleet.start_node(0);
    fleet.network.restore_links(fleet.nodes[0].address);
    // An old version in force for a few milliseconds is one too many.
    for _ in 0..2_000 {
        tokio::time::sleep(Duration::from_millis(1)).await;
        watch.look(&fleet);
    }
    for index in behind {
        fleet.network.restore_links(fleet.nodes[index].address);
    }
    watch.look_for(&fleet, Duration::from_secs(20)).await;
    let versions = fleet.versions();
    assert!(
        versions.values().all(|active| *active == version),
        "{versions:?}"
    );
}

/// Silences three nodes towards all others. Holders read the store themselves, so they
/// can't be kept behind.
fn keep_behind(fleet: &InProcessFleet) -> Vec<usize> {
    let sits = |index: usize| fleet.nodes[index].handle.read(|core| core.seat().is_some());
    let behind: Vec<usize> = (1..9).filter(|index| !sits(*index)).take(3).collect();
    for other in (0..9).filter(|other| !behind.contains(other)) {
        for index in &behind {
            fleet
                .network
                .blackhole_link(fleet.nodes[*index].address, fleet.nodes[other].address);
        }
    }
    behind
}

#[test]
fn a_fresh_process_asks_enough_peers_to_meet_one_that_knows() {
    for seed in 0..20 {
        on_paused_clock(play_peers_behind(seed));
    }
}
