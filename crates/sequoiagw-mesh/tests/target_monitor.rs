//! What counts of a backend server's heartbeats.

use std::time::Duration;

use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatOutcome;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::TargetIncarnation;
use sequoiagw_mesh::TargetMonitor;
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(1500);

fn record() -> TargetMonitor {
    TargetMonitor::new("press", "10.0.0.1:80", INTERVAL)
}

fn beat(instance: &str, born_ms: u64, sequence: u64, phase: HeartbeatPhase) -> Heartbeat {
    Heartbeat {
        instance: instance.to_owned(),
        born_ms: Some(born_ms),
        sequence,
        service: "press".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        slots: 12,
        phase,
        warmup_left: Duration::ZERO,
    }
}

#[test]
fn a_late_heartbeat_doesnt_bring_a_leaver_back() {
    let now = Instant::now();
    let mut record = record();
    record.on_heartbeat(&beat("a", 10, 4, HeartbeatPhase::Ready), now);
    assert!(record.serving(now).is_some());
    record.on_heartbeat(&beat("a", 10, 6, HeartbeatPhase::Draining), now);
    assert!(record.serving(now).is_none());
    let late = record.on_heartbeat(&beat("a", 10, 5, HeartbeatPhase::Ready), now);
    assert_eq!(late, HeartbeatOutcome::Stale);
    record.on_heartbeat(&beat("a", 10, 7, HeartbeatPhase::Ready), now);
    assert!(record.serving(now).is_none(), "a leaver stays one");
}

#[test]
fn a_heartbeat_of_a_dead_life_doesnt_replace_a_later_one() {
    let now = Instant::now();
    let mut record = record();
    record.on_heartbeat(&beat("b", 20, 1, HeartbeatPhase::Ready), now);
    let late = record.on_heartbeat(&beat("a", 10, 99, HeartbeatPhase::Draining), now);
    assert_eq!(late, HeartbeatOutcome::Stale);
    let (life, _) = record.serving(now).expect("the later life serves");
    assert_eq!(life.instance, "b");
}

#[test]
fn a_process_started_again_under_its_name_is_a_new_life() {
    let now = Instant::now();
    let mut record = record();
    record.on_heartbeat(&beat("a", 10, 50, HeartbeatPhase::Draining), now);
    record.on_heartbeat(&beat("a", 11, 1, HeartbeatPhase::Ready), now);
    assert!(record.serving(now).is_some());
}

#[test]
fn a_life_that_left_before_the_nodes_restart_stays_away() {
    let now = Instant::now();
    let mut record = record();
    record.restore_departed(TargetIncarnation {
        instance: "a".to_owned(),
        born_ms: 10,
    });
    record.on_heartbeat(&beat("a", 10, 5, HeartbeatPhase::Ready), now);
    assert!(record.serving(now).is_none());
}

#[test]
fn foreign_heartbeats_name_no_target() {
    let now = Instant::now();
    let mut record = record();
    let mut other = beat("a", 10, 1, HeartbeatPhase::Ready);
    other.service = "payments".to_owned();
    assert_eq!(record.on_heartbeat(&other, now), HeartbeatOutcome::Foreign);
    let mut elsewhere = beat("a", 10, 1, HeartbeatPhase::Ready);
    elsewhere.address = "10.0.0.2:80".to_owned();
    assert_eq!(
        record.on_heartbeat(&elsewhere, now),
        HeartbeatOutcome::Foreign
    );
    assert!(record.serving(now).is_none());
}

#[test]
fn a_goodbye_without_a_word_before_ends_the_service() {
    let now = Instant::now();
    let mut record = record();
    record.on_heartbeat(&beat("a", 10, 1, HeartbeatPhase::Ready), now);
    record.on_leave_notice("another", 20);
    assert!(record.serving(now).is_some());
    record.on_leave_notice("a", 20);
    assert!(record.serving(now).is_none());
}

#[test]
fn a_goodbye_heard_by_a_node_that_knew_nothing_holds_against_late_heartbeats() {
    let now = Instant::now();
    let mut record = record();
    record.on_leave_notice("a", 1000);
    record.on_heartbeat(&beat("a", 10, 5, HeartbeatPhase::Ready), now);
    assert!(record.serving(now).is_none(), "it began before its goodbye");
    record.on_heartbeat(&beat("a", 1001, 1, HeartbeatPhase::Ready), now);
    assert!(
        record.serving(now).is_some(),
        "started again under its name"
    );
}

#[test]
fn a_silent_backend_server_counts_as_gone_unless_it_answers() {
    let now = Instant::now();
    let mut record = record();
    record.on_heartbeat(&beat("a", 10, 1, HeartbeatPhase::Ready), now);
    assert!(record.serving(now + INTERVAL * 3).is_some());
    assert!(record.serving(now + INTERVAL * 4).is_none());
    record.on_answer(now + INTERVAL * 3);
    assert!(record.serving(now + INTERVAL * 4).is_some());
}
