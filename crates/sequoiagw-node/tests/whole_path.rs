//! End-to-end tests in a simulated fleet, from the accepted configuration to the callers' answers.

mod fleet_call;
mod support;

use std::time::Duration;

use sequoiagw_protocol::ErrorKind;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::InProcessFleet;

use crate::fleet_call::call;
use crate::support::mesh::mesh_with_timeout;
use crate::support::on_paused_clock;
use crate::support::ready_fleet;
use crate::support::within;

#[test]
fn every_node_serves_every_service_and_returns_the_matching_answer() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan {
            nodes: 8,
            ..FleetPlan::default()
        })
        .await;
        for (index, node) in fleet.nodes.iter().enumerate() {
            for route in ["change-die", "pay", "list-dies"] {
                let id = format!("{route}-{index}");
                let reply = call(&node.handle, route, &id, "").await;
                let answer = reply.outcome.expect("the call should be served");
                assert_eq!(answer.body, format!("{id} /{route}"));
            }
        }
        assert!(fleet.log.repeated_runs().is_empty());
    });
}

#[test]
fn accepted_change_is_in_force_at_every_node_within_seconds() {
    on_paused_clock(async {
        let plan = FleetPlan {
            data_centres: 3,
            nodes: 24,
            ..FleetPlan::default()
        };
        let fleet = ready_fleet(plan).await;
        let changed = mesh_with_timeout(3);
        let accepted = fleet
            .write_config(changed, "second")
            .await
            .expect("the change should be accepted");
        within(
            7,
            "the change is active at every node",
            fleet.wait_version(accepted.version),
        )
        .await;
    });
}

#[test]
fn key_runs_once_and_is_replayed_through_any_node() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan {
            nodes: 8,
            ..FleetPlan::default()
        })
        .await;
        for (index, node) in fleet.nodes.iter().enumerate() {
            let reply = call(&node.handle, "pay", &format!("try-{index}"), "order-1").await;
            let answer = reply
                .outcome
                .expect("the call should be served or replayed");
            assert_eq!(answer.replayed, index > 0);
        }
        assert_eq!(fleet.log.count("order-1"), 1);
    });
}

#[test]
fn same_key_in_another_service_is_a_separate_call() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan {
            nodes: 8,
            ..FleetPlan::default()
        })
        .await;
        let first = call(&fleet.nodes[0].handle, "pay", "a", "key").await;
        assert!(first.outcome.is_ok());
        let mesh = mesh_with_timeout(2);
        assert!(mesh.services.contains_key("press"));
        let other = call(&fleet.nodes[1].handle, "change-die", "b", "key").await;
        assert!(
            other.outcome.is_ok(),
            "the same key at another service should be a separate call"
        );
    });
}

#[test]
fn refuses_call_to_service_without_target() {
    on_paused_clock(async {
        let services = vec!["press".to_owned()];
        let fleet = ready_fleet(FleetPlan {
            services,
            ..FleetPlan::default()
        })
        .await;
        let reply = call(&fleet.nodes[0].handle, "pay", "a", "").await;
        assert_eq!(
            reply.outcome.expect_err("the call should be refused"),
            ErrorKind::TargetMissing
        );
    });
}

#[test]
fn fleet_status_soon_shows_first_version_in_force_at_every_node() {
    on_paused_clock(async {
        let fleet = InProcessFleet::start(FleetPlan {
            nodes: 6,
            ..FleetPlan::default()
        });
        within(60, "all nodes have joined", fleet.wait_joined()).await;
        let first = fleet.write_config(mesh_with_timeout(2), "first").await;
        let version = first.expect("the first version should be accepted").version;
        let shown_everywhere = async {
            loop {
                let status = fleet.nodes[0].handle.fleet_status().await;
                let nodes: usize = status
                    .data_centres
                    .values()
                    .map(|data_centre| data_centre.versions.len())
                    .sum();
                if nodes == 6 && status.nodes_behind(version).is_empty() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        within(
            7,
            "the fleet status shows the version as active at every node",
            shown_everywhere,
        )
        .await;
    });
}
