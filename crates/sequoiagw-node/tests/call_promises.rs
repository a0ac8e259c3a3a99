//! Guarantees for calls, checked under injected faults in a simulated fleet.

mod fleet_call;
mod support;

use std::time::Duration;

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::FleetPlan;

use crate::fleet_call::call;
use crate::support::on_paused_clock;
use crate::support::ready_fleet;
use crate::support::within;

fn plan_with_service_time(service_ms: u64) -> FleetPlan {
    FleetPlan {
        nodes: 8,
        backend: BackendPlan {
            service_time: Duration::from_millis(service_ms),
            ..BackendPlan::default()
        },
        ..FleetPlan::default()
    }
}

#[test]
fn unresponsive_link_is_replaced_and_call_is_answered() {
    on_paused_clock(async {
        let fleet = ready_fleet(plan_with_service_time(20)).await;
        fleet.network.blackhole_random_links(1.0);
        for index in 0..8 {
            let handle = &fleet.nodes[index].handle;
            let reply = call(handle, "change-die", &format!("silent-{index}"), "").await;
            assert!(reply.outcome.is_ok(), "{:?}", reply.outcome);
        }
        assert!(fleet.counters()["link.reset"] > 0);
        assert!(fleet.log.repeated_runs().is_empty());
    });
}

#[test]
fn call_is_unknown_and_its_key_never_runs_again_after_owner_dies() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(plan_with_service_time(800)).await;
        // The entry serves the other service, so it is never the owner and survives the kill.
        let entry = fleet.nodes[2].handle.clone();
        let first =
            tokio::task::spawn_local(
                async move { call(&entry, "change-die", "try-1", "die-7").await },
            );
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(
            fleet.log.count("die-7"),
            1,
            "the call should be running at one owner"
        );
        let owners: Vec<usize> = (0..8)
            .filter(|index| fleet.nodes[*index].handle.status().load[0] > 0)
            .collect();
        for owner in &owners {
            fleet.kill_node(*owner);
        }
        let reply = within(10, "the first call has a reply", first)
            .await
            .expect("the call task should not panic");
        if !owners.contains(&0) {
            let kind = reply
                .outcome
                .expect_err("the call should fail because its owner died");
            assert_eq!(kind.rule().ran, RunState::Unknown, "{kind}");
        }
        let other = (0..8)
            .find(|index| !owners.contains(index))
            .expect("at least one node should be alive");
        let retry = call(&fleet.nodes[other].handle, "change-die", "try-2", "die-7").await;
        assert_eq!(
            retry.outcome.expect_err("the retry should be refused"),
            ErrorKind::KeyUnknown
        );
        assert_eq!(fleet.log.count("die-7"), 1);
    });
}

#[test]
fn store_outage_refuses_keyed_calls_as_not_run_and_serves_others() {
    on_paused_clock(async {
        let fleet = ready_fleet(plan_with_service_time(20)).await;
        fleet.store.set_faults(|faults| faults.down = true);
        let keyed = call(&fleet.nodes[0].handle, "pay", "try", "order-9").await;
        assert_eq!(
            keyed.outcome.expect_err("the keyed call should be refused"),
            ErrorKind::ClaimUnavailable
        );
        assert_eq!(fleet.log.count("order-9"), 0);
        let unkeyed = call(&fleet.nodes[0].handle, "pay", "plain", "").await;
        assert!(unkeyed.outcome.is_ok());
        fleet.store.set_faults(|faults| faults.down = false);
        tokio::time::sleep(Duration::from_secs(20)).await;
        let again = call(&fleet.nodes[1].handle, "pay", "again", "order-9").await;
        assert!(again.outcome.is_ok());
        assert_eq!(fleet.log.count("order-9"), 1);
    });
}

#[test]
fn call_runs_at_most_once_when_store_answers_to_claims_are_lost() {
    on_paused_clock(async {
        let fleet = ready_fleet(plan_with_service_time(5)).await;
        fleet
            .store
            .set_faults(|faults| faults.lost_answer_rate = 0.5);
        for number in 0..60 {
            let key = format!("order-{number}");
            for attempt in 0..3 {
                let handle = &fleet.nodes[(number + attempt * 3) % 8].handle;
                let _ = call(handle, "pay", &format!("{key}-{attempt}"), &key).await;
            }
            assert!(
                fleet.log.count(&key) <= 1,
                "{key} ran {} times",
                fleet.log.count(&key)
            );
        }
    });
}

#[test]
fn waiting_calls_are_dropped_when_their_caller_disconnects() {
    on_paused_clock(async {
        let plan = FleetPlan {
            nodes: 2,
            services: vec!["press".to_owned()],
            backend: BackendPlan {
                slots: 1,
                service_time: Duration::from_millis(500),
                ..BackendPlan::default()
            },
            ..FleetPlan::default()
        };
        let fleet = ready_fleet(plan).await;
        let mut tasks = Vec::new();
        for number in 0..6 {
            let handle = fleet.nodes[0].handle.clone();
            let id = format!("gone-{number}");
            tasks.push(tokio::task::spawn_local(async move {
                call(&handle, "change-die", &id, "").await
            }));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        tokio::time::sleep(Duration::from_secs(5)).await;
        let runs = fleet.log.total();
        assert!(
            runs <= 2,
            "{runs} calls ran although their callers had disconnected"
        );
    });
}

#[test]
fn drain_fails_no_call_even_when_links_to_some_peers_are_unresponsive() {
    on_paused_clock(async {
        let mut fleet = ready_fleet(plan_with_service_time(200)).await;
        let mut calls = Vec::new();
        for number in 0..40 {
            let handle = fleet.nodes[number % 7].handle.clone();
            let id = format!("leave-{number}");
            calls.push(tokio::task::spawn_local(async move {
                call(&handle, "pay", &id, "").await
            }));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let draining_address = fleet.nodes[7].address;
        for other in [0, 2, 4] {
            fleet
                .network
                .blackhole_link(draining_address, fleet.nodes[other].address);
        }
        within(10, "the drained node has left", fleet.drain_node(7)).await;
        let started = fleet.nodes[7].model.started_runs();
        for number in 0..40 {
            let handle = fleet.nodes[number % 7].handle.clone();
            let reply = call(&handle, "pay", &format!("after-{number}"), "").await;
            assert!(reply.outcome.is_ok(), "{:?}", reply.outcome);
        }
        for task in calls {
            let reply = task.await.expect("the call task should not panic");
            assert!(reply.outcome.is_ok(), "{:?}", reply.outcome);
        }
        assert_eq!(fleet.nodes[7].model.started_runs(), started);
        assert!(fleet.log.repeated_runs().is_empty());
    });
}

#[test]
fn draining_owner_still_replays_stored_answer_for_its_key() {
    on_paused_clock(async {
        let fleet = ready_fleet(plan_with_service_time(300)).await;
        // After its last call a draining node stays for a time, in which the second call arrives.
        let first_entry = fleet.nodes[0].handle.clone();
        let first = call(&first_entry, "change-die", "first", "die-1").await;
        assert!(first.outcome.is_ok());
        let owner_index = (0..8)
            .find(|index| fleet.nodes[*index].model.started_runs() > 0)
            .expect("one node should have run the call");
        fleet.nodes[owner_index].handle.withdraw();
        fleet.nodes[owner_index].handle.drain();
        tokio::time::sleep(Duration::from_millis(200)).await;
        let entry = &fleet.nodes[(owner_index + 1) % 8].handle;
        let again = call(entry, "change-die", "again", "die-1").await;
        assert!(
            again
                .outcome
                .expect("the stored answer should be returned")
                .replayed
        );
        assert_eq!(fleet.log.count("die-1"), 1);
    });
}
