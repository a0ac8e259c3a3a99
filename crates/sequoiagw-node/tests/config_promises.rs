//! Guarantees for configuration versions under faults of nodes, links and the store.

mod fleet_call;
mod support;
mod version_monitor;

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_distribution::ConfigWriter;
use sequoiagw_distribution::WriteError;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::NetworkPlan;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;

use crate::fleet_call::call;
use crate::support::mesh::mesh_with_timeout;
use crate::support::on_paused_clock;
use crate::support::ready_fleet;
use crate::support::within;
use crate::version_monitor::VersionMonitor;

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

/// Applies random changes and faults, and checks that no node goes back to an older version and that
/// all nodes activate the newest version after the faults end.
async fn check_random_changes_and_faults(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = ready_fleet(FleetPlan::with_nodes(12, seed)).await;
    let mut monitor = VersionMonitor::default();
    let mut last_accepted = 1;
    for step in 0..12 {
        let index = rng.random_range(0..12);
        match rng.random_range(0..7) {
            0 => {
                for index in (0..12).filter(|index| index % 3 == step % 3) {
                    fleet.kill_node(index);
                    fleet.start_node(index);
                }
            }
            1 => {
                fleet.kill_node(index);
                fleet.start_node(index);
            }
            2 => fleet.store.set_faults(|faults| faults.down = !faults.down),
            3 => fleet.partition_data_centre("dc1", rng.random()),
            4 => {
                let loss = rng.random_range(0.0..0.1);
                fleet.network.set_plan(NetworkPlan {
                    loss,
                    ..NetworkPlan::default()
                });
            }
            5 => fleet.pause_node(index, rng.random()),
            _ => fleet
                .store
                .set_faults(|faults| faults.stalled_watches = !faults.stalled_watches),
        }
        let seconds = 2 + (step as u64 + seed) % 50;
        if let Ok(accepted) = fleet
            .write_config(mesh_with_timeout(seconds), &format!("s{step}"))
            .await
        {
            last_accepted = accepted.version;
        }
        let interval = Duration::from_millis(rng.random_range(100..6_000));
        monitor.check_for(&fleet, interval).await;
    }
    fleet
        .store
        .set_faults(|faults| *faults = sequoiagw_standin::StoreFaults::default());
    fleet.partition_data_centre("dc1", false);
    fleet.network.set_plan(NetworkPlan::default());
    (0..12).for_each(|index| fleet.pause_node(index, false));
    monitor.check_for(&fleet, Duration::from_secs(60)).await;
    for (name, version) in fleet.versions() {
        assert_eq!(
            version, last_accepted,
            "{name} must activate the newest version, seed {seed}"
        );
    }
}

#[test]
fn nodes_never_go_back_and_all_catch_up_after_random_faults() {
    for seed in 0..12 {
        on_paused_clock(check_random_changes_and_faults(seed));
    }
}

#[test]
fn restarted_node_gets_active_version_from_peers_during_store_outage() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(FleetPlan::with_nodes(8, 1)).await;
        let version = accept(&fleet, 3).await;
        within(7, "active at all nodes", fleet.wait_version(version)).await;
        fleet.store.set_faults(|faults| faults.down = true);
        fleet.kill_node(2);
        fleet.start_node(2);
        within(
            10,
            "restarted node ready with the version from its peers",
            fleet.nodes[2].handle.wait_ready(),
        )
        .await;
        assert_eq!(fleet.versions()["node-2"], version);
    });
}

#[test]
fn restarted_data_centre_is_not_ready_without_store_and_remote_peers() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(FleetPlan::with_nodes(8, 1)).await;
        fleet.partition_data_centre("dc1", true);
        for index in (0..8).filter(|index| index % 2 == 1) {
            fleet.kill_node(index);
            fleet.start_node(index);
        }
        pause(30).await;
        for index in (0..8).filter(|index| index % 2 == 1) {
            assert!(
                !fleet.nodes[index].handle.status().ready,
                "node-{index} must not be ready"
            );
        }
        fleet.partition_data_centre("dc1", false);
        within(
            30,
            "all nodes ready after reconnecting the data centre",
            fleet.wait_version(1),
        )
        .await;
    });
}

#[test]
fn version_with_wrong_checksum_is_refused_and_counted() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(6, 1)).await;
        let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
        let read = writer
            .read()
            .await
            .expect("the configuration should be readable");
        let config = mesh_with_timeout(9);
        let next = AcceptedConfig::successor_of(read.accepted.as_ref(), &config);
        let mut damaged = next.with_change_details("bad", "op", "checksum replaced", 1);
        damaged.checksum = "0".repeat(64);
        put_version(&fleet, &damaged).await;
        pause(10).await;
        assert!(fleet.versions().values().all(|version| *version == 1));
        let refusals = fleet
            .counters()
            .get("refused.config_checksum")
            .copied()
            .unwrap_or(0);
        assert!(
            refusals > 0,
            "a checksum refusal must be counted: {:?}",
            fleet.counters()
        );
        let reply = call(&fleet.nodes[0].handle, "pay", "still-served", "").await;
        assert!(reply.outcome.is_ok());
    });
}

/// Writes a version to the store without any check, as a faulty writer or a manual edit would.
async fn put_version(fleet: &InProcessFleet, accepted: &AcceptedConfig) {
    let put = |key: &str, value: String| PutEntry {
        key: key.to_owned(),
        value,
        lease: None,
    };
    let head = format!(
        "{{\"version\":{},\"change_id\":\"{}\"}}",
        accepted.version, accepted.change_id
    );
    let history = format!("sequoiagw/config/history/{:012}", accepted.version);
    let request = StoreRequest::Commit {
        conditions: Vec::new(),
        puts: vec![
            put(
                "sequoiagw/config/current",
                accepted
                    .to_json()
                    .expect("the version should serialize to JSON"),
            ),
            put(
                &history,
                accepted
                    .history_record()
                    .to_json()
                    .expect("the version should serialize to JSON"),
            ),
            put("sequoiagw/config/head", head),
        ],
        deletes: Vec::new(),
    };
    let reply = fleet.store.client().call(request).await;
    assert!(matches!(
        reply,
        Ok(StoreReply::Committed { applied: true, .. })
    ));
}

#[test]
fn version_with_unresolved_reference_is_refused_by_every_node() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(6, 1)).await;
        let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
        let read = writer
            .read()
            .await
            .expect("the configuration should be readable");
        let mut config = mesh_with_timeout(9);
        config.services.remove("press");
        let next = AcceptedConfig::successor_of(read.accepted.as_ref(), &config);
        put_version(
            &fleet,
            &next.with_change_details("open", "op", "route refers to a removed service", 1),
        )
        .await;
        pause(10).await;
        assert!(fleet.versions().values().all(|version| *version == 1));
        let members = fleet.nodes[0].handle.status().members;
        assert!(
            members
                .iter()
                .any(|member| member.refused_version == Some(2)),
            "a member must report the refused version: {members:?}"
        );
    });
}

#[test]
fn isolated_data_centre_keeps_serving_and_catches_up_after_reconnecting() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        fleet.partition_data_centre("dc1", true);
        let version = accept(&fleet, 4).await;
        pause(20).await;
        for node in &fleet.nodes {
            let expected = if node.data_centre == "dc1" {
                1
            } else {
                version
            };
            assert_eq!(fleet.versions()[&node.name], expected, "{}", node.name);
            let reply = call(&node.handle, "pay", &format!("cut-{}", node.name), "").await;
            assert!(
                reply.outcome.is_ok(),
                "{} must serve calls with its active version",
                node.name
            );
        }
        fleet.partition_data_centre("dc1", false);
        within(
            30,
            "active at all nodes after reconnecting",
            fleet.wait_version(version),
        )
        .await;
    });
}

#[test]
fn data_centre_without_store_access_gets_versions_over_links() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        for node in fleet.nodes.iter().filter(|node| node.data_centre == "dc1") {
            node.store.set_disconnected(true);
        }
        pause(15).await;
        let version = accept(&fleet, 4).await;
        within(
            7,
            "active in both data centres",
            fleet.wait_version(version),
        )
        .await;
    });
}

#[test]
fn nodes_serve_and_join_and_changes_fail_during_store_outage() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(FleetPlan::with_nodes(8, 1)).await;
        fleet.store.set_faults(|faults| faults.down = true);
        pause(120).await;
        let reply = call(&fleet.nodes[0].handle, "pay", "a", "").await;
        assert!(reply.outcome.is_ok());
        let refused = fleet.write_config(mesh_with_timeout(4), "refused").await;
        assert!(matches!(refused, Err(WriteError::ReadFailed(_))));
        fleet.kill_node(5);
        fleet.start_node(5);
        within(
            10,
            "restarted node ready through its peers",
            fleet.nodes[5].handle.wait_ready(),
        )
        .await;
        fleet.store.set_faults(|faults| faults.down = false);
        let version = accept(&fleet, 4).await;
        within(
            30,
            "active at all nodes after the outage",
            fleet.wait_version(version),
        )
        .await;
    });
}

#[test]
fn new_version_is_activated_within_seconds_when_watches_deliver_nothing() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        fleet
            .store
            .set_faults(|faults| faults.stalled_watches = true);
        let version = accept(&fleet, 4).await;
        within(7, "active at all nodes", fleet.wait_version(version)).await;
    });
}

#[test]
fn holders_paused_past_their_lease_are_replaced_and_catch_up() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        let holders: Vec<usize> = (0..12)
            .filter(|index| {
                fleet.nodes[*index]
                    .handle
                    .read(|core| core.seat().is_some())
            })
            .collect();
        assert!(
            holders.len() >= 2,
            "at least two nodes must hold a seat: {holders:?}"
        );
        for index in &holders {
            fleet.pause_node(*index, true);
        }
        pause(25).await;
        let version = accept(&fleet, 4).await;
        pause(7).await;
        let versions = fleet.versions();
        let running = fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| !holders.contains(index));
        for (_, node) in running {
            assert_eq!(versions[&node.name], version, "{}", node.name);
        }
        for index in &holders {
            fleet.pause_node(*index, false);
        }
        within(
            20,
            "active at all nodes, including the resumed holders",
            fleet.wait_version(version),
        )
        .await;
    });
}
