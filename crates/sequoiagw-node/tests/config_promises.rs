//! What must always hold of configurations, provoked by faults.

mod fleet_call;
mod support;
mod version_watch;

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
use crate::version_watch::VersionWatch;

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

/// Plays random changes and faults and checks that no node goes back and all catch up.
async fn play_changes(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = ready_fleet(FleetPlan::with_nodes(12, seed)).await;
    let mut watch = VersionWatch::default();
    let mut last = 1;
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
            last = accepted.version;
        }
        let time = Duration::from_millis(rng.random_range(100..6_000));
        watch.look_for(&fleet, time).await;
    }
    fleet
        .store
        .set_faults(|faults| *faults = sequoiagw_standin::StoreFaults::default());
    fleet.partition_data_centre("dc1", false);
    fleet.network.set_plan(NetworkPlan::default());
    (0..12).for_each(|index| fleet.pause_node(index, false));
    watch.look_for(&fleet, Duration::from_secs(60)).await;
    for (name, version) in fleet.versions() {
        assert_eq!(version, last, "{name} is behind at the end, seed {seed}");
    }
}

#[test]
fn no_node_goes_back_and_every_node_catches_up_whatever_fails() {
    for seed in 0..12 {
        on_paused_clock(play_changes(seed));
    }
}

#[test]
fn a_fresh_process_learns_from_its_peers_what_its_host_acted_on() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(FleetPlan::with_nodes(8, 1)).await;
        let version = accept(&fleet, 3).await;
        within(7, "in force everywhere", fleet.wait_version(version)).await;
        fleet.store.set_faults(|faults| faults.down = true);
        fleet.kill_node(2);
        fleet.start_node(2);
        within(
            10,
            "ready through peers",
            fleet.nodes[2].handle.wait_ready(),
        )
        .await;
        assert_eq!(fleet.versions()["node-2"], version);
    });
}

#[test]
fn a_fresh_data_centre_without_store_and_peers_is_not_ready() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(FleetPlan::with_nodes(8, 1)).await;
        fleet.partition_data_centre("dc1", true);
        for index in (0..8).filter(|index| index % 2 == 1) {
            fleet.kill_node(index);
            fleet.start_node(index);
        }
        pause(30).await;
        for index in (0..8).filter(|index| index % 2 == 1) {
            assert!(!fleet.nodes[index].handle.status().ready, "node-{index}");
        }
        fleet.partition_data_centre("dc1", false);
        within(30, "ready after the cut", fleet.wait_version(1)).await;
    });
}

#[test]
fn a_bad_version_is_refused_whole_and_seen_by_operators() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(6, 1)).await;
        let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
        let read = writer.read().await.expect("read");
        let config = mesh_with_timeout(9);
        let next = AcceptedConfig::successor_of(read.accepted.as_ref(), &config);
        let mut damaged = next.with_change_details("bad", "op", "damaged on its way", 1);
        damaged.checksum = "0".repeat(64);
        put_version(&fleet, &damaged).await;
        pause(10).await;
        assert!(fleet.versions().values().all(|version| *version == 1));
        let refusing = fleet
            .counters()
            .get("refused.config_checksum")
            .copied()
            .unwrap_or(0);
        assert!(refusing > 0, "{:?}", fleet.counters());
        let reply = call(&fleet.nodes[0].handle, "pay", "still-served", "").await;
        assert!(reply.outcome.is_ok());
    });
}

/// Writes a version past all checks, as a defect or a stray hand would.
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
                accepted.to_json().expect("fits"),
            ),
            put(&history, accepted.history_record().to_json().expect("fits")),
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
fn a_version_with_an_open_reference_is_refused_by_every_node() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(6, 1)).await;
        let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
        let read = writer.read().await.expect("read");
        let mut config = mesh_with_timeout(9);
        config.services.remove("press");
        let next = AcceptedConfig::successor_of(read.accepted.as_ref(), &config);
        put_version(
            &fleet,
            &next.with_change_details("open", "op", "a route points at nothing", 1),
        )
        .await;
        pause(10).await;
        assert!(fleet.versions().values().all(|version| *version == 1));
        let views = fleet.nodes[0].handle.status().members;
        assert!(
            views.iter().any(|view| view.refused_version == Some(2)),
            "{views:?}"
        );
    });
}

#[test]
fn a_cut_off_data_centre_goes_on_and_catches_up_by_itself() {
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
            assert!(reply.outcome.is_ok(), "{} serves from its own", node.name);
        }
        fleet.partition_data_centre("dc1", false);
        within(30, "caught up", fleet.wait_version(version)).await;
    });
}

#[test]
fn a_store_that_only_one_side_reaches_still_feeds_both_over_the_links() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        for node in fleet.nodes.iter().filter(|node| node.data_centre == "dc1") {
            node.store.set_disconnected(true);
        }
        pause(15).await;
        let version = accept(&fleet, 4).await;
        within(7, "in force on both sides", fleet.wait_version(version)).await;
    });
}

#[test]
fn in_a_store_outage_nodes_serve_and_join_and_changes_are_refused() {
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
            "joined through peers",
            fleet.nodes[5].handle.wait_ready(),
        )
        .await;
        fleet.store.set_faults(|faults| faults.down = false);
        let version = accept(&fleet, 4).await;
        within(30, "in force after the outage", fleet.wait_version(version)).await;
    });
}

#[test]
fn a_silent_watch_hides_nothing_for_long() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        fleet
            .store
            .set_faults(|faults| faults.stalled_watches = true);
        let version = accept(&fleet, 4).await;
        within(7, "in force everywhere", fleet.wait_version(version)).await;
    });
}

#[test]
fn holders_paused_past_their_lease_are_replaced_and_harmless() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(12, 1)).await;
        let holders: Vec<usize> = (0..12)
            .filter(|index| {
                fleet.nodes[*index]
                    .handle
                    .read(|core| core.seat().is_some())
            })
            .collect();
        assert!(holders.len() >= 2, "{holders:?}");
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
        within(20, "the paused ones catch up", fleet.wait_version(version)).await;
    });
}
