//! Faults during a roll-out: nodes that end or start, a store that is lost or forgets, and a data centre
//! that is cut off.

use std::time::Duration;

use sequoiagw_protocol::RolloutStage;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::fleet_store::WaitingPolls;
use crate::rollout_backend::Quality;
use crate::rollout_fleet::RolloutFleet;
use crate::rollout_fleet::NEW_NODES;
use crate::rollout_fleet::OLD_NODES;

/// Duration that the orders allow, in seconds. A driver's registration lapses after 10 s.
const DURATION_S: u64 = 40;
/// Time within which a roll-out must have ended.
const END_LIMIT: Duration = Duration::from_secs(39);
/// Time within which a step of a roll-out without faults follows.
const STEP_LIMIT: Duration = Duration::from_secs(12);

/// Guards against a roll-out that stands still because only its driver, which has ended, knows of the
/// write that the store has applied.
#[tokio::test(start_paused = true)]
async fn driver_that_ends_between_its_write_and_the_answer_is_replaced() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Good).await;
            let has_driver = |record: &sequoiagw_protocol::RolloutRecord| !record.driver.is_empty();
            let (record, _) = fleet.wait_for("a driver", STEP_LIMIT, has_driver).await;
            let driver = record.driver;
            fleet.member(&driver).node().store.set_loses_answers(true);
            fleet
                .wait_for_stage(RolloutStage::Shifting, STEP_LIMIT)
                .await;
            let member = fleet.member_mut(&driver);
            member.node = None;
            member.backend.stop();
            fleet
                .wait_for_stage(RolloutStage::Completed, END_LIMIT)
                .await;
            let record = fleet.stored().expect("a record");
            assert_ne!(record.driver, driver);
            assert_eq!(fleet.open_runs("v1"), 0);
        })
        .await;
}

/// Guards against transitions that are lost in an outage of the store, and against calls that are
/// refused meanwhile.
#[tokio::test(start_paused = true)]
async fn outage_of_the_store_delays_the_rollout_only() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Good).await;
            sleep(Duration::from_secs(3)).await;
            let failed = fleet.results.failed();
            fleet.set_store_down(true);
            sleep(Duration::from_secs(5)).await;
            assert_eq!(fleet.results.failed(), failed, "calls are served meanwhile");
            fleet.set_store_down(false);
            fleet
                .wait_for_stage(RolloutStage::Completed, END_LIMIT)
                .await;
            assert_eq!(fleet.open_runs("v1"), 0);
        })
        .await;
}

/// Guards against a final stage that is taken back when the store comes back from an older copy: the
/// old backend servers have stopped by then.
#[tokio::test(start_paused = true)]
async fn final_stage_that_the_store_forgets_is_written_again() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Good).await;
            fleet
                .wait_for_stage(RolloutStage::Shifting, STEP_LIMIT)
                .await;
            let copy = fleet.store.copy();
            fleet
                .wait_for_stage(RolloutStage::Completed, STEP_LIMIT)
                .await;
            sleep(Duration::from_secs(1)).await;
            let restored_at = Instant::now();
            fleet.store.restore(copy, WaitingPolls::Cut);
            fleet
                .wait_for_stage(RolloutStage::Completed, Duration::from_secs(5))
                .await;
            assert_eq!(fleet.runs_since("v1", restored_at), 0);
        })
        .await;
}

/// Guards against an order of which the store has no record any more, and which nobody takes up.
#[tokio::test(start_paused = true)]
async fn record_that_the_store_forgets_is_written_anew() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.write_order(&format!("v2 {DURATION_S}"));
            let copy = fleet.store.copy();
            fleet.order("v2", DURATION_S, Quality::Good).await;
            sleep(Duration::from_secs(2)).await;
            fleet.store.restore(copy, WaitingPolls::Cut);
            fleet
                .wait_for_stage(RolloutStage::Completed, END_LIMIT)
                .await;
        })
        .await;
}

/// Guards against a data centre that never learns the end, and against callers there that find no
/// target although new ones are in reach.
#[tokio::test(start_paused = true)]
async fn data_centre_that_is_cut_off_while_requests_shift_catches_up() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Good).await;
            fleet
                .wait_for_stage(RolloutStage::Shifting, STEP_LIMIT)
                .await;
            sleep(Duration::from_millis(300)).await;
            fleet.cut_south_off(true);
            fleet
                .wait_for_stage(RolloutStage::Completed, END_LIMIT)
                .await;
            let failed = fleet.results.failed();
            let served = fleet.results.served();
            sleep(Duration::from_secs(3)).await;
            assert_eq!(fleet.results.failed(), failed, "both sides serve calls");
            assert!(fleet.results.served() > served + 500);
            fleet.cut_south_off(false);
            sleep(Duration::from_secs(12)).await;
            for name in OLD_NODES.iter().chain(&NEW_NODES) {
                let known = fleet.member(name).known_stage();
                assert_eq!(known, Some(RolloutStage::Completed), "{name}");
            }
        })
        .await;
}

/// Guards against a node that admits calls to the new version before it knows of the roll-out.
#[tokio::test(start_paused = true)]
async fn nodes_that_restart_in_the_middle_admit_nothing_that_the_stage_forbids() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Failing).await;
            fleet
                .wait_for_stage(RolloutStage::RolledBack, END_LIMIT)
                .await;
            sleep(Duration::from_millis(200)).await;
            let rolled_back_at = Instant::now();
            fleet.start_process("spare-1", Duration::ZERO);
            fleet.start_process("old-2", Duration::ZERO);
            sleep(Duration::from_secs(4)).await;
            assert_eq!(fleet.runs_since("v2", rolled_back_at), 0);
            for name in ["spare-1", "old-2"] {
                let known = fleet.member(name).known_stage();
                assert_eq!(known, Some(RolloutStage::RolledBack), "{name}");
            }
        })
        .await;
}

/// Guards against a service without targets: if all nodes of the new version end while requests shift
/// to them, none of them is left to write the end of the roll-out.
#[tokio::test(start_paused = true)]
async fn shift_whose_new_nodes_have_all_ended_is_rolled_back() {
    LocalSet::new()
        .run_until(async {
            let mut fleet = RolloutFleet::start().await;
            fleet.order("v2", DURATION_S, Quality::Good).await;
            fleet
                .wait_for_stage(RolloutStage::Shifting, STEP_LIMIT)
                .await;
            for name in NEW_NODES {
                let member = fleet.member_mut(name);
                member.node = None;
                member.backend.stop();
            }
            fleet
                .wait_for_stage(RolloutStage::RolledBack, END_LIMIT)
                .await;
            sleep(Duration::from_secs(1)).await;
            let failed = fleet.results.failed();
            let served = fleet.results.served();
            sleep(Duration::from_secs(3)).await;
            assert_eq!(
                fleet.results.failed(),
                failed,
                "the old version serves calls"
            );
            assert!(fleet.results.served() > served + 500);
        })
        .await;
}
