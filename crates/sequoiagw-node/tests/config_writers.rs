//! Concurrent configuration changes, also with a store whose replies get lost.

mod support;

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_config::ServiceSpec;
use sequoiagw_distribution::ConfigChange;
use sequoiagw_distribution::ConfigWriter;
use sequoiagw_distribution::WriteError;
use sequoiagw_standin::FleetPlan;

use crate::support::mesh::mesh_with_timeout;
use crate::support::on_paused_clock;
use crate::support::ready_fleet;
use crate::support::within;

fn change(seconds: u64, base: u64, change_id: &str) -> ConfigChange {
    ConfigChange {
        config: mesh_with_timeout(seconds),
        base,
        change_id: change_id.to_owned(),
        author: change_id.to_owned(),
        message: "test".to_owned(),
        now_ms: 1,
    }
}

#[test]
fn concurrent_change_of_same_setting_fails_with_conflict_naming_first_change() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(4, 1)).await;
        let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
        writer
            .apply(&change(3, 1, "anna"))
            .await
            .expect("the first change should be accepted");
        let error = writer
            .apply(&change(4, 1, "berta"))
            .await
            .expect_err("the second change should conflict");
        let WriteError::Conflict {
            version: 2,
            author,
            paths,
            ..
        } = error
        else {
            panic!("{error}");
        };
        assert_eq!(
            (author.as_str(), paths.as_str()),
            ("anna", "defaults.timeout")
        );
    });
}

#[test]
fn concurrent_changes_of_different_settings_are_both_accepted() {
    on_paused_clock(async {
        let fleet = ready_fleet(FleetPlan::with_nodes(4, 1)).await;
        let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
        writer
            .apply(&change(3, 1, "anna"))
            .await
            .expect("the first change should be accepted");
        let mut other = change(2, 1, "berta");
        other
            .config
            .services
            .insert("oven".to_owned(), ServiceSpec::default());
        let accepted = writer
            .apply(&other)
            .await
            .expect("the rebased change should be accepted");
        let config = accepted
            .tree
            .to_config()
            .expect("the configuration should be valid");
        assert_eq!(accepted.version, 3);
        assert!(config.services.contains_key("oven"));
        assert_eq!(config.defaults, mesh_with_timeout(3).defaults);
        within(7, "active at all nodes", fleet.wait_version(3)).await;
    });
}

#[test]
fn write_with_lost_reply_is_recognised_and_never_applied_twice() {
    for seed in 0..10 {
        on_paused_clock(async move {
            let fleet = ready_fleet(FleetPlan::with_nodes(4, seed)).await;
            fleet
                .store
                .set_faults(|faults| faults.lost_answer_rate = 0.6);
            let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
            for number in 0..8 {
                let base = writer
                    .read()
                    .await
                    .expect("the configuration should be readable")
                    .version();
                let made = change(3 + number, base, &format!("change-{number}"));
                match writer.apply(&made).await {
                    Ok(accepted) => assert_eq!(accepted.version, base + 1),
                    Err(WriteError::Unconfirmed { .. }) => {}
                    Err(error) => panic!("{error}"),
                }
            }
            let history = writer
                .history()
                .await
                .expect("the history should be readable");
            let mut ids: Vec<&str> = history
                .iter()
                .map(|entry| entry.change_id.as_str())
                .collect();
            let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
            assert_eq!(versions, (1..=versions.len() as u64).collect::<Vec<_>>());
            ids.sort_unstable();
            ids.dedup();
            assert_eq!(
                ids.len(),
                history.len(),
                "each change must be accepted at most once"
            );
        });
    }
}

#[test]
fn accepted_concurrent_changes_survive_lost_replies() {
    for seed in 0..10 {
        on_paused_clock(async move {
            let fleet = ready_fleet(FleetPlan::with_nodes(2, seed)).await;
            fleet.store.set_faults(|faults| {
                faults.lost_answer_rate = 0.3;
                faults.delay = Duration::from_millis(20);
            });
            let mut tasks = Vec::new();
            for operator in 0..5u64 {
                let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
                tasks.push(tokio::task::spawn_local(async move {
                    let mut made = change(2, 1, &format!("operator-{operator}"));
                    let service = format!("service-{operator}");
                    made.config.services.insert(service, ServiceSpec::default());
                    writer.apply(&made).await
                }));
            }
            let mut accepted = 0;
            for task in tasks {
                if task
                    .await
                    .expect("the writer's task should not panic")
                    .is_ok()
                {
                    accepted += 1;
                }
            }
            fleet
                .store
                .set_faults(|faults| faults.lost_answer_rate = 0.0);
            let writer = ConfigWriter::new(Rc::new(fleet.store.client()));
            let read = writer
                .read()
                .await
                .expect("the configuration should be readable");
            let config = read
                .accepted
                .expect("a version should be accepted")
                .tree
                .to_config()
                .expect("the configuration should be valid");
            let added = config
                .services
                .keys()
                .filter(|name| name.starts_with("service-"))
                .count();
            assert!(
                added >= accepted,
                "all {accepted} accepted changes must be in the newest version, which has {added}"
            );
        });
    }
}
