//! Handling of a backend server's heartbeats and leave notices.

use std::time::Duration;

use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatOutcome;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::TargetIncarnation;
use sequoiagw_mesh::TargetMonitor;
use tokio::time::Instant;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

fn new_monitor() -> TargetMonitor {
    TargetMonitor::new("press", "10.0.0.1:80", HEARTBEAT_INTERVAL)
}

fn heartbeat(instance: &str, born_ms: u64, sequence: u64, phase: HeartbeatPhase) -> Heartbeat {
    Heartbeat {
        instance: instance.to_owned(),
        born_ms: Some(born_ms),
        sequence,
        service: "press".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        slots: 12,
        phase,
        warmup_left: Duration::ZERO,
        version: String::new(),
    }
}

#[test]
fn late_heartbeat_does_not_revive_leaving_backend() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 4, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_some());
    monitor.on_heartbeat(&heartbeat("a", 10, 6, HeartbeatPhase::Draining), now);
    assert!(monitor.serving(now).is_none());
    let outcome = monitor.on_heartbeat(&heartbeat("a", 10, 5, HeartbeatPhase::Ready), now);
    assert_eq!(outcome, HeartbeatOutcome::Stale);
    monitor.on_heartbeat(&heartbeat("a", 10, 7, HeartbeatPhase::Ready), now);
    assert!(
        monitor.serving(now).is_none(),
        "a leaving incarnation must not become ready again"
    );
}

#[test]
fn heartbeat_of_earlier_incarnation_does_not_replace_later_one() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("b", 20, 1, HeartbeatPhase::Ready), now);
    let outcome = monitor.on_heartbeat(&heartbeat("a", 10, 99, HeartbeatPhase::Draining), now);
    assert_eq!(outcome, HeartbeatOutcome::Stale);
    let (incarnation, _) = monitor.serving(now).expect("the later incarnation serves");
    assert_eq!(incarnation.instance, "b");
}

#[test]
fn restarted_process_of_same_instance_is_new_incarnation() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 50, HeartbeatPhase::Draining), now);
    monitor.on_heartbeat(&heartbeat("a", 11, 1, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_some());
}

#[test]
fn incarnation_that_left_before_node_restart_stays_unused() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.restore_departed(TargetIncarnation {
        instance: "a".to_owned(),
        born_ms: 10,
    });
    monitor.on_heartbeat(&heartbeat("a", 10, 5, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_none());
}

#[test]
fn heartbeat_with_more_slots_than_any_backend_server_has_is_not_used() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    let mut odd = heartbeat("a", 10, 1, HeartbeatPhase::Ready);
    odd.slots = u32::MAX;
    assert_eq!(monitor.on_heartbeat(&odd, now), HeartbeatOutcome::Foreign);
    assert!(monitor.serving(now).is_none());
}

#[test]
fn ignores_heartbeat_for_other_service_or_address() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    let mut other_service = heartbeat("a", 10, 1, HeartbeatPhase::Ready);
    other_service.service = "payments".to_owned();
    assert_eq!(
        monitor.on_heartbeat(&other_service, now),
        HeartbeatOutcome::Foreign
    );
    let mut other_address = heartbeat("a", 10, 1, HeartbeatPhase::Ready);
    other_address.address = "10.0.0.2:80".to_owned();
    assert_eq!(
        monitor.on_heartbeat(&other_address, now),
        HeartbeatOutcome::Foreign
    );
    assert!(monitor.serving(now).is_none());
}

#[test]
fn leave_notice_without_draining_heartbeat_stops_requests() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 1, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice("another", 20);
    assert!(monitor.serving(now).is_some());
    monitor.on_leave_notice("a", 20);
    assert!(monitor.serving(now).is_none());
}

#[test]
fn leave_notice_before_first_heartbeat_applies_to_late_heartbeats() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_leave_notice("a", 1000);
    monitor.on_heartbeat(&heartbeat("a", 10, 5, HeartbeatPhase::Ready), now);
    assert!(
        monitor.serving(now).is_none(),
        "the incarnation started before its leave notice"
    );
    monitor.on_heartbeat(&heartbeat("a", 1001, 1, HeartbeatPhase::Ready), now);
    assert!(
        monitor.serving(now).is_some(),
        "the incarnation started after the leave notice"
    );
}

#[test]
fn backend_without_heartbeats_is_gone_unless_it_answers() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 1, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now + HEARTBEAT_INTERVAL * 3).is_some());
    assert!(monitor.serving(now + HEARTBEAT_INTERVAL * 4).is_none());
    monitor.on_answer(now + HEARTBEAT_INTERVAL * 3);
    assert!(monitor.serving(now + HEARTBEAT_INTERVAL * 4).is_some());
}

/// DRAIN: answers kept a backend server in use that had left and sent no heartbeats.
#[test]
fn answers_alone_keep_a_backend_server_for_a_limited_time() {
    let start = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 1, HeartbeatPhase::Ready), start);
    let mut now = start;
    while now < start + HEARTBEAT_INTERVAL * 30 {
        now += HEARTBEAT_INTERVAL / 2;
        monitor.on_answer(now);
        if now < start + HEARTBEAT_INTERVAL * 5 {
            assert!(monitor.serving(now).is_some());
        }
    }
    assert!(monitor.serving(now).is_none());
}

/// DRAIN: a notice was acknowledged and forgotten if another instance was thought to be running.
#[test]
fn leave_notice_of_an_instance_that_sent_no_heartbeat_yet_is_kept() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 3, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice("b", 50);
    assert!(monitor.serving(now).is_some(), "the other instance stays");
    monitor.on_heartbeat(&heartbeat("b", 20, 7, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_none());
}

#[test]
fn departure_learnt_from_others_binds_all_earlier_incarnations() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 3, HeartbeatPhase::Ready), now);
    monitor.restore_departed(TargetIncarnation {
        instance: "a".to_owned(),
        born_ms: 50,
    });
    assert!(monitor.serving(now).is_none());
    monitor.on_heartbeat(&heartbeat("a", 60, 1, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_some(), "a later start is in use");
}
