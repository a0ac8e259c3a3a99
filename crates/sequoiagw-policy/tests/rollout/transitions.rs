//! Tests of a controller's proposals and of what it admits.

use std::time::Duration;

use sequoiagw_policy::RolloutAction;
use sequoiagw_policy::RolloutController;
use sequoiagw_policy::RolloutMember;
use sequoiagw_policy::RolloutMembers;
use sequoiagw_policy::RolloutSettings;
use sequoiagw_policy::RunSample;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutObjection;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_protocol::RunStatsReply;
use tokio::time::Instant;

const DURATION_MS: u64 = 12_000;

fn member(id: u64, name: &str) -> RolloutMember {
    RolloutMember {
        node: NodeId::from(id),
        name: name.to_owned(),
        slots: 4,
    }
}

fn members(new: &[&str]) -> RolloutMembers {
    let new = (10..).zip(new).map(|(id, name)| member(id, name));
    RolloutMembers {
        new: new.collect(),
        old: vec![member(1, "old-1")],
    }
}

fn canary(driver: &str) -> RolloutRecord {
    RolloutRecord {
        service: "press".to_owned(),
        order_revision: 1,
        revision: 2,
        duration_ms: DURATION_MS,
        driver: driver.to_owned(),
        ..RolloutRecord::default()
    }
}

fn controller(name: &str, record: RolloutRecord, now: Instant) -> RolloutController {
    let settings = RolloutSettings::default();
    let mut controller = RolloutController::new(settings, name, record, Duration::ZERO, now);
    controller.set_ready(true, None, now);
    controller.set_members(members(&["a", "b", "c"]), now);
    controller
}

/// Lets time pass in steps of 50 ms and returns the proposals with the time of each.
fn proposals(
    controller: &mut RolloutController,
    start: Instant,
    time_ms: u64,
) -> Vec<(u64, RolloutRecord, u64)> {
    let mut proposals = Vec::new();
    for ms in (0..=time_ms).step_by(50) {
        controller.on_tick(start + Duration::from_millis(ms));
        for action in controller.take_actions() {
            if let RolloutAction::Propose {
                record,
                expected_revision,
            } = action
            {
                proposals.push((ms, record, expected_revision));
            }
        }
    }
    proposals
}

/// Makes a controller the driver, as if its claim had been written.
fn driver(now: Instant) -> (RolloutController, RolloutRecord) {
    let mut controller = controller("a", canary(""), now);
    let (_, mut record, expected) = proposals(&mut controller, now, 0).remove(0);
    record.revision = expected + 1;
    controller.on_record(&record, now);
    (controller, record)
}

fn fail_runs(controller: &mut RolloutController, runs: u32, now: Instant) {
    let run = RunSample {
        route: "order",
        run_time: Duration::from_millis(20),
        failed: true,
    };
    (0..runs).for_each(|_| controller.on_run_finished(&run, now));
}

/// Guards against simultaneous claims of all nodes, and against claims that end with a lost
/// response.
#[test]
fn nodes_claim_the_role_in_the_order_of_their_names_and_repeat_it() {
    let now = Instant::now();
    for (name, first) in [("a", 0), ("b", 300), ("c", 600)] {
        let mut controller = controller(name, canary(""), now);
        let claims = proposals(&mut controller, now, 1_700);
        let times: Vec<u64> = claims.iter().take(3).map(|(time, ..)| *time).collect();
        assert_eq!(times, [first, first + 500, first + 1_000], "node {name}");
        let (_, record, expected) = &claims[0];
        assert_eq!((record.driver.as_str(), *expected), (name, 2));
        assert_eq!(
            (record.driver_claims, record.stage()),
            (1, RolloutStage::Canary)
        );
    }
}

#[test]
fn a_driver_that_is_registered_keeps_the_role() {
    let now = Instant::now();
    let mut controller = controller("b", canary("a"), now);
    assert!(proposals(&mut controller, now, 5_000).is_empty());
    let later = now + Duration::from_secs(5);
    controller.set_members(members(&["b", "c"]), later);
    let claims = proposals(&mut controller, later, 1_000);
    assert_eq!(claims.first().map(|(time, ..)| *time), Some(1_000));
}

/// A process that has restarted does not know how many runs its predecessor started.
#[test]
fn a_restarted_driver_admits_nothing_before_it_has_claimed_the_role_again() {
    let now = Instant::now();
    let mut controller = controller("a", canary("a"), now);
    assert!(!controller.admits(now));
    let mut later = canary("a");
    later.revision += 1;
    controller.on_record(&later, now);
    assert!(!controller.admits(now), "the record is not from this claim");
    let (_, mut record, expected) = proposals(&mut controller, now, 0).remove(1);
    record.revision = expected + 1;
    controller.on_record(&record, now);
    assert!(controller.admits(now));
}

#[test]
fn only_the_driver_admits_in_the_canary_stage() {
    let now = Instant::now();
    assert!(!controller("b", canary("a"), now).admits(now));
    let (mut driver, record) = driver(now);
    assert!(driver.admits(now));
    let other = RolloutRecord {
        driver: "b".to_owned(),
        revision: record.revision + 1,
        ..record
    };
    driver.on_record(&other, now);
    assert!(!driver.admits(now), "a replaced driver must admit nothing");
}

/// Guards against requests to a bad backend server while the store does not answer.
#[test]
fn a_driver_that_judges_its_backend_server_bad_stops_at_once() {
    let now = Instant::now();
    let (mut controller, _) = driver(now);
    fail_runs(&mut controller, 10, now);
    let later = now + Duration::from_millis(2_500);
    let proposals = proposals(&mut controller, now, 2_500);
    let (_, record, _) = proposals.last().expect("an objection is proposed");
    assert!(!controller.admits(later));
    assert_eq!(record.stage(), RolloutStage::Canary);
    assert_eq!((record.driver.as_str(), record.objections.len()), ("", 1));
}

#[test]
fn the_second_objection_and_that_of_the_last_node_roll_back() {
    let now = Instant::now();
    let other = RolloutObjection {
        node: "b".to_owned(),
        reason: "bad".to_owned(),
    };
    for (objections, new) in [(vec![other], ["a", "c"].as_slice()), (vec![], &["a"])] {
        let (mut controller, mut record) = driver(now);
        record.objections = objections;
        record.revision += 1;
        controller.on_record(&record, now);
        controller.set_members(members(new), now);
        fail_runs(&mut controller, 10, now);
        let proposals = proposals(&mut controller, now, 2_500);
        let (_, record, _) = proposals.last().expect("a rollback is proposed");
        assert_eq!(record.stage(), RolloutStage::RolledBack);
    }
}

#[test]
fn a_driver_without_a_verdict_rolls_back_after_0_85_of_the_duration() {
    let now = Instant::now();
    let (mut controller, _) = driver(now);
    let proposals = proposals(&mut controller, now, 10_400);
    let (time, record, _) = &proposals[0];
    assert_eq!((*time, record.stage()), (10_200, RolloutStage::RolledBack));
}

/// The order's age counts: a node that learns of it late has less time.
#[test]
fn the_age_of_the_order_counts_towards_the_duration() {
    let now = Instant::now();
    let age = Duration::from_secs(11);
    let settings = RolloutSettings::default();
    let mut controller = RolloutController::new(settings, "a", canary(""), age, now);
    controller.set_ready(true, None, now);
    controller.set_members(members(&["a"]), now);
    let (_, mut record, expected) = proposals(&mut controller, now, 0).remove(0);
    record.revision = expected + 1;
    controller.on_record(&record, now);
    assert!(!controller.admits(now));
    let proposals = proposals(&mut controller, now, 0);
    assert_eq!(proposals[0].1.stage(), RolloutStage::RolledBack);
}

/// An old backend server stops at `Completed`, so calls may not be open there.
#[test]
fn completion_waits_until_old_nodes_accept_no_calls() {
    let now = Instant::now();
    let (mut controller, mut record) = driver(now);
    record.set_stage(RolloutStage::Shifting);
    record.revision += 1;
    controller.on_record(&record, now);
    let mut reply = RunStatsReply {
        service: "press".to_owned(),
        order_revision: 1,
        stage: record.stage,
        ..RunStatsReply::default()
    };
    let old = NodeId::from(1);
    let at = |ms| now + Duration::from_millis(ms);
    controller.on_stats(old, &reply, at(100));
    assert!(proposals(&mut controller, at(100), 900).is_empty());
    reply.open_calls = 1;
    controller.on_stats(old, &reply, at(1_400));
    assert!(proposals(&mut controller, at(1_400), 50).is_empty());
    reply.open_calls = 0;
    controller.on_stats(old, &reply, at(1_500));
    let proposals = proposals(&mut controller, at(1_500), 0);
    assert_eq!(proposals[0].1.stage(), RolloutStage::Completed);
}

#[test]
fn a_final_stage_is_never_left_and_written_again_in_a_later_era() {
    let now = Instant::now();
    for stage in [RolloutStage::Completed, RolloutStage::RolledBack] {
        let (mut controller, record) = driver(now);
        let mut end = record.clone();
        end.set_stage(stage);
        end.revision += 1;
        controller.on_record(&end, now);
        assert!(proposals(&mut controller, now, 20_000).is_empty());
        assert_eq!(controller.next_wake(), None);
        let older = RolloutRecord {
            store_era: 1,
            ..record
        };
        controller.on_record(&older, now);
        assert_eq!(controller.admits(now), stage == RolloutStage::Completed);
        let proposals = proposals(&mut controller, now, 0);
        let (_, again, expected) = &proposals[0];
        assert_eq!((again.stage(), *expected), (stage, older.revision));
    }
}

/// Run times that contain a pause of the process say nothing about the backend server.
#[test]
fn runs_during_a_pause_of_the_process_are_not_slow() {
    let now = Instant::now();
    let (mut controller, _) = driver(now);
    proposals(&mut controller, now, 1_000);
    let resumed = now + Duration::from_secs(6);
    let run = RunSample {
        route: "order",
        run_time: Duration::from_secs(5),
        failed: false,
    };
    (0..20).for_each(|_| controller.on_run_finished(&run, resumed));
    assert!(proposals(&mut controller, resumed, 2_500).is_empty());
    assert!(controller.admits(resumed));
}
