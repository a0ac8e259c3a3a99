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

fn incarnation(instance: &str, born_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        instance: instance.to_owned(),
        born_ms,
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
    monitor.restore_departed(incarnation("a", 10));
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
    monitor.on_leave_notice(incarnation("another", 20), now);
    assert!(monitor.serving(now).is_some());
    monitor.on_leave_notice(incarnation("a", 10), now);
    assert!(monitor.serving(now).is_none());
}

/// DRAIN: the notice of a start that was told first by its leave notice was applied to the start before,
/// and a late heartbeat put the backend server in use again.
#[test]
fn leave_notice_concerns_the_start_that_it_names() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 4, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice(incarnation("a", 20), now);
    assert!(monitor.serving(now).is_none(), "the start before has ended");
    assert_eq!(monitor.latest_departure(), Some(&incarnation("a", 20)));
    monitor.on_heartbeat(&heartbeat("a", 20, 1, HeartbeatPhase::Ready), now);
    monitor.on_heartbeat(&heartbeat("a", 20, 2, HeartbeatPhase::Ready), now);
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", 20, 3, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_none());
    monitor.on_heartbeat(&heartbeat("a", 30, 1, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_some(), "a later start is in use");
}

/// A notice of an earlier start that was delayed must not take the present one out of use.
#[test]
fn late_leave_notice_of_an_earlier_start_leaves_the_present_one_in_use() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 4, HeartbeatPhase::Ready), now);
    monitor.on_heartbeat(&heartbeat("a", 20, 1, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice(incarnation("a", 10), now);
    assert!(monitor.serving(now).is_some());
}

/// The start that a notice names may be later by a clock that has been set back since. The present one
/// must come back.
#[test]
fn start_that_goes_on_sending_heartbeats_is_in_use_again() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 4, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice(incarnation("a", 20), now);
    monitor.on_heartbeat(&heartbeat("a", 10, 5, HeartbeatPhase::Ready), now);
    monitor.on_heartbeat(&heartbeat("a", 10, 6, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_none(), "they were held up together");
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", 10, 7, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_some());
}

/// DRAIN: a notice that names no start was compared with starts by this host's clock, which may be set back.
#[test]
fn after_a_leave_notice_without_a_start_a_single_heartbeat_is_not_believed() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_leave_notice(incarnation("a", 0), now);
    for born_ms in [10, u64::MAX] {
        monitor.on_heartbeat(&heartbeat("a", born_ms, 5, HeartbeatPhase::Ready), now);
        monitor.on_heartbeat(&heartbeat("a", born_ms, 6, HeartbeatPhase::Ready), now);
        assert!(
            monitor.serving(now).is_none(),
            "the incarnation may be the one that left"
        );
    }
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", u64::MAX, 7, HeartbeatPhase::Ready), later);
    assert!(
        monitor.serving(later).is_some(),
        "an incarnation that goes on sending heartbeats has started after the notice"
    );
}

/// DRAIN: a notice without a start was applied to the start that was known, and not to the next one, from
/// which it may have been.
#[test]
fn leave_notice_without_a_start_concerns_the_known_start_and_doubts_the_next() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 1, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice(incarnation("a", 0), now);
    monitor.on_heartbeat(&heartbeat("a", 10, 2, HeartbeatPhase::Ready), now);
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", 10, 3, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_none(), "the known start has left");
    monitor.on_heartbeat(&heartbeat("a", 20, 1, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_none());
    let last = later + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", 20, 2, HeartbeatPhase::Ready), last);
    assert!(monitor.serving(last).is_some());
}

/// DRAIN: as above, where another node remembers the notice.
#[test]
fn departure_without_a_start_learnt_from_others_doubts_a_single_heartbeat() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 3, HeartbeatPhase::Ready), now);
    monitor.restore_departed(incarnation("a", 0));
    assert!(monitor.serving(now).is_none());
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", 10, 4, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_some());
}

/// Departures that others remember are older than those that this process was told.
#[test]
fn departure_that_was_told_last_is_the_latest() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_leave_notice(incarnation("b", 20), now);
    monitor.restore_departed(incarnation("a", 50));
    assert_eq!(monitor.latest_departure(), Some(&incarnation("b", 20)));
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
    monitor.on_leave_notice(incarnation("b", 20), now);
    assert!(monitor.serving(now).is_some(), "the other instance stays");
    monitor.on_heartbeat(&heartbeat("b", 20, 7, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_none());
}

#[test]
fn departure_learnt_from_others_binds_all_earlier_incarnations() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 10, 3, HeartbeatPhase::Ready), now);
    monitor.restore_departed(incarnation("a", 50));
    assert!(monitor.serving(now).is_none());
    monitor.on_heartbeat(&heartbeat("a", 60, 1, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_some(), "a later start is in use");
}

/// DRAIN: after the clock was set back, the heartbeats of a new start counted as old ones: that it drains was
/// acknowledged and had no effect.
#[test]
fn start_that_is_earlier_by_a_clock_that_was_set_back_replaces_the_one_before() {
    for instance in ["a", "b"] {
        let start = Instant::now();
        let mut monitor = new_monitor();
        monitor.on_heartbeat(&heartbeat("a", 50, 9, HeartbeatPhase::Ready), start);
        let mut now = start;
        for sequence in 1..=2 {
            now += HEARTBEAT_INTERVAL;
            let ready = heartbeat(instance, 30, sequence, HeartbeatPhase::Ready);
            monitor.on_heartbeat(&ready, now);
        }
        let (serving, _) = monitor.serving(now).expect("the new start is in use");
        assert_eq!(serving, &incarnation(instance, 30));
        let draining = heartbeat(instance, 30, 3, HeartbeatPhase::Draining);
        let outcome = monitor.on_heartbeat(&draining, now);
        assert_eq!(outcome, HeartbeatOutcome::Accepted);
        assert!(monitor.serving(now).is_none());
        assert_eq!(monitor.leaving(), Some(&incarnation(instance, 30)));
    }
}

/// DRAIN: late heartbeats of an earlier start must not replace the present one, nor may those of the start
/// that was replaced.
#[test]
fn late_heartbeats_do_not_replace_the_present_start() {
    let start = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 50, 1, HeartbeatPhase::Ready), start);
    // Held up together.
    for sequence in 7..=9 {
        let late = heartbeat("a", 30, sequence, HeartbeatPhase::Ready);
        assert_eq!(monitor.on_heartbeat(&late, start), HeartbeatOutcome::Stale);
    }
    // The present start sends heartbeats meanwhile.
    let mut now = start;
    for sequence in 2..=5 {
        now += HEARTBEAT_INTERVAL;
        let present = heartbeat("a", 50, sequence, HeartbeatPhase::Ready);
        monitor.on_heartbeat(&present, now);
        let late = heartbeat("a", 30, 10 + sequence, HeartbeatPhase::Ready);
        assert_eq!(monitor.on_heartbeat(&late, now), HeartbeatOutcome::Stale);
    }
    assert_eq!(monitor.incarnation(), Some(&incarnation("a", 50)));
    for sequence in 16..=17 {
        now += HEARTBEAT_INTERVAL;
        let ready = heartbeat("a", 30, sequence, HeartbeatPhase::Ready);
        monitor.on_heartbeat(&ready, now);
    }
    assert_eq!(monitor.incarnation(), Some(&incarnation("a", 30)));
    let replaced = heartbeat("a", 50, 6, HeartbeatPhase::Ready);
    assert_eq!(
        monitor.on_heartbeat(&replaced, now),
        HeartbeatOutcome::Stale
    );
    assert_eq!(monitor.incarnation(), Some(&incarnation("a", 30)));
}

/// DRAIN: a leave notice of a start that seems earlier binds as soon as it shows that this start is running, and
/// isn't acknowledged before.
#[test]
fn leave_notice_that_is_repeated_shows_that_its_start_is_running() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.on_heartbeat(&heartbeat("a", 50, 9, HeartbeatPhase::Ready), now);
    monitor.on_leave_notice(incarnation("a", 30), now);
    assert!(
        monitor.serving(now).is_some(),
        "a late notice changes nothing"
    );
    assert_eq!(monitor.latest_departure(), None, "it isn't acknowledged");
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_leave_notice(incarnation("a", 30), later);
    assert!(monitor.serving(later).is_none());
    assert_eq!(monitor.latest_departure(), Some(&incarnation("a", 30)));
}

/// An instance that starts again after it left isn't barred by a clock that was set back meanwhile.
#[test]
fn instance_that_left_is_in_use_again_although_its_start_is_earlier() {
    let now = Instant::now();
    let mut monitor = new_monitor();
    monitor.restore_departed(incarnation("a", 50));
    monitor.on_heartbeat(&heartbeat("a", 30, 1, HeartbeatPhase::Ready), now);
    assert!(monitor.serving(now).is_none(), "it may be from before");
    let later = now + HEARTBEAT_INTERVAL;
    monitor.on_heartbeat(&heartbeat("a", 30, 2, HeartbeatPhase::Ready), later);
    assert!(monitor.serving(later).is_some());
}
