//! Roll-outs of a service under load, from the order to the end.

use std::time::Duration;

use sequoiagw_protocol::RolloutStage;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::rollout_backend::Quality;
use crate::rollout_fleet::RolloutFleet;
use crate::rollout_fleet::NEW_NODES;
use crate::rollout_fleet::OLD_NODES;
use crate::rollout_fleet::SERVICE;

/// Duration that the orders allow, in seconds.
const DURATION_S: u64 = 14;
/// Time within which the roll-out must have ended after the new nodes have started.
const END_LIMIT: Duration = Duration::from_secs(13);
/// Share of all requests that a bad version may get, and the number beyond that.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_TOLERANCE: f64 = 50.0;

/// Guards against old backend servers that stop with requests in flight, and callers that notice.
#[tokio::test(start_paused = true)]
async fn good_version_is_completed_and_the_old_one_gets_nothing_after() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Good).await;
            fleet
                .wait_for_stage(RolloutStage::Completed, END_LIMIT)
                .await;
            let completed_at = Instant::now();
            assert_eq!(fleet.open_runs("v1"), 0, "no request is in flight");
            fleet.stop_old();
            sleep(Duration::from_secs(9)).await;
            assert_eq!(fleet.runs_since("v1", completed_at), 0);
            assert!(fleet.runs_since("v2", completed_at) > 1000);
            assert_eq!(fleet.results.failed(), 0, "no caller notices");
        })
        .await;
}

/// Guards against a bad version that gets more requests than allowed, or requests after its end.
#[tokio::test(start_paused = true)]
async fn failing_version_is_rolled_back_within_its_exposure() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            let ordered_at = Instant::now();
            fleet.order("v2", DURATION_S, Quality::Failing).await;
            fleet
                .wait_for_stage(RolloutStage::RolledBack, END_LIMIT)
                .await;
            sleep(Duration::from_millis(200)).await;
            let rolled_back_at = Instant::now();
            sleep(Duration::from_secs(4)).await;
            let bad_runs = fleet.runs_since("v2", ordered_at) as f64;
            let all_runs = bad_runs + fleet.runs_since("v1", ordered_at) as f64;
            assert!(
                bad_runs <= EXPOSURE_SHARE * all_runs + EXPOSURE_TOLERANCE,
                "{bad_runs} of {all_runs} requests"
            );
            assert_eq!(fleet.runs_since("v2", rolled_back_at), 0);
            for name in OLD_NODES.iter().chain(&NEW_NODES) {
                let known = fleet.member(name).known_stage();
                assert_eq!(known, Some(RolloutStage::RolledBack), "{name}");
            }
        })
        .await;
}

/// Guards against a new order that is taken for the one before it, whose stage is final.
#[tokio::test(start_paused = true)]
async fn second_order_starts_anew_after_a_rollback() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Failing).await;
            fleet
                .wait_for_stage(RolloutStage::RolledBack, END_LIMIT)
                .await;
            let first = fleet.stored().expect("a record");
            for name in NEW_NODES {
                fleet.member(name).backend.stop();
            }
            fleet
                .members
                .retain(|member| !NEW_NODES.contains(&member.name));
            sleep(Duration::from_secs(12)).await;
            fleet.order("v3", DURATION_S, Quality::Good).await;
            fleet
                .wait_for_stage(RolloutStage::Completed, END_LIMIT)
                .await;
            let second = fleet.stored().expect("a record");
            assert!(second.order_revision > first.order_revision);
            assert_eq!(second.new_version, "v3");
        })
        .await;
}

/// Guards against an order that hangs because there is nothing to move, and against one that can't be
/// read and keeps others from being read.
#[tokio::test(start_paused = true)]
async fn order_of_the_present_version_completes_at_once_and_an_unreadable_one_is_ignored() {
    LocalSet::new()
        .run_until(async {
            let fleet = RolloutFleet::start().await;
            fleet.write_order("no order");
            sleep(Duration::from_secs(3)).await;
            assert_eq!(fleet.stored(), None);
            fleet.write_order("v1 14");
            fleet
                .wait_for_stage(RolloutStage::Completed, Duration::from_secs(1))
                .await;
            sleep(Duration::from_secs(2)).await;
            assert_eq!(fleet.results.failed(), 0, "the service stays available");
        })
        .await;
}

/// Guards against a new version that gets requests before anything is known of it, and against an
/// order that never ends since no backend server of its version starts.
#[tokio::test(start_paused = true)]
async fn order_without_new_targets_is_rolled_back_in_time_and_calls_are_served_meanwhile() {
    LocalSet::new()
        .run_until(async {
            let fleet = RolloutFleet::start().await;
            fleet.write_order("v2 14");
            let waited = fleet
                .wait_for_stage(RolloutStage::RolledBack, Duration::from_secs(14))
                .await;
            assert!(waited >= Duration::from_secs(12), "{waited:?}");
            assert_eq!(fleet.results.failed(), 0);
            let driver = fleet.stored().map(|record| record.driver);
            assert_eq!(driver, Some(String::new()), "{SERVICE}");
        })
        .await;
}
