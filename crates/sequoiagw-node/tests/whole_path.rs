//! The whole path: configuration in, calls through, answers back.

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
fn every_node_serves_every_service_and_each_caller_gets_its_own_answer() {
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
                let answer = reply.outcome.expect("served");
                assert_eq!(answer.body, format!("{id} /{route}"));
            }
        }
        assert!(fleet.log.repeated_runs().is_empty());
    });
}

#[test]
fn a_change_is_in_force_everywhere_within_seconds() {
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
            .expect("accepted");
        within(
            7,
            "in force everywhere",
            fleet.wait_version(accepted.version),
        )
        .await;
    });
}

#[test]
fn a_key_is_answered_once_through_any_node() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan {
            nodes: 8,
            ..FleetPlan::default()
        })
        .await;
        for (index, node) in fleet.nodes.iter().enumerate() {
            let reply = call(&node.handle, "pay", &format!("try-{index}"), "order-1").await;
            let answer = reply.outcome.expect("served or replayed");
            assert_eq!(answer.replayed, index > 0);
        }
        assert_eq!(fleet.log.count("order-1"), 1);
    });
}

#[test]
fn a_key_used_for_another_request_is_refused() {
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
        assert!(other.outcome.is_ok(), "another service has keys of its own");
    });
}

#[test]
fn a_service_without_a_target_is_refused_as_not_run() {
    on_paused_clock(async {
        let services = vec!["press".to_owned()];
        let fleet = ready_fleet(FleetPlan {
            services,
            ..FleetPlan::default()
        })
        .await;
        let reply = call(&fleet.nodes[0].handle, "pay", "a", "").await;
        assert_eq!(
            reply.outcome.expect_err("refused"),
            ErrorKind::TargetMissing
        );
    });
}

#[test]
fn the_first_version_is_soon_known_to_be_in_force_everywhere() {
    on_paused_clock(async {
        let fleet = InProcessFleet::start(FleetPlan {
            nodes: 6,
            ..FleetPlan::default()
        });
        within(60, "all have joined", fleet.wait_joined()).await;
        let first = fleet.write_config(mesh_with_timeout(2), "first").await;
        let version = first.expect("accepted").version;
        let known = async {
            loop {
                let status = fleet.nodes[0].handle.fleet().await;
                let nodes: usize = status
                    .data_centres
                    .values()
                    .map(|centre| centre.versions.len())
                    .sum();
                if nodes == 6 && status.behind(version).is_empty() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        within(7, "known to be in force everywhere", known).await;
    });
}
