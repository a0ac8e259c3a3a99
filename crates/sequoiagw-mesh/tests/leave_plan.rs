//! Requests that arrive while a node leaves.

use std::time::Duration;

use sequoiagw_mesh::LeavePlan;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(2);
const LATENCY_TARGET: Duration = Duration::from_millis(600);
const GRACE_PERIOD: Duration = Duration::from_secs(6);

fn plan(started: Instant) -> LeavePlan {
    LeavePlan::new(started, GRACE_PERIOD)
}

/// LOST: an answer of the node's own before the last sixth of the grace period cuts a backend server short
/// that is at work, and one at the end of the process leaves no time to send it.
#[test]
fn running_requests_end_in_the_last_sixth_of_the_grace_period_and_before_the_process() {
    let started = Instant::now();
    for grace_ms in [1000, 2500, 6000, 30_000] {
        let grace_period = Duration::from_millis(grace_ms);
        let plan = LeavePlan::new(started, grace_period);
        assert!(
            plan.answers_due > started + grace_period * 5 / 6,
            "{grace_ms}"
        );
        let time_to_send = plan.exits - plan.answers_due;
        assert!(time_to_send >= grace_period / 12, "{grace_ms}");
        assert!(plan.exits < started + grace_period, "{grace_ms}");
    }
}

#[test]
fn request_taken_while_leaving_ends_before_the_process_does() {
    let started = Instant::now();
    let plan = plan(started);
    for after_ms in (0..6000).step_by(10) {
        let now = started + Duration::from_millis(after_ms);
        if let Some(timeout) = plan.admitted_timeout(TIMEOUT, LATENCY_TARGET, now) {
            assert!(timeout > Duration::ZERO, "{after_ms} ms");
            assert!(now + timeout <= plan.answers_due, "{after_ms} ms");
        }
    }
}

#[test]
fn request_is_taken_as_long_as_it_is_expected_to_end() {
    let started = Instant::now();
    let plan = plan(started);
    let admitted_at = |after_ms| {
        let now = started + Duration::from_millis(after_ms);
        plan.admitted_timeout(TIMEOUT, LATENCY_TARGET, now)
    };
    assert_eq!(admitted_at(0), Some(TIMEOUT));
    assert_eq!(admitted_at(3000), Some(TIMEOUT));
    assert!(admitted_at(3800).is_some_and(|timeout| timeout < TIMEOUT));
    assert_eq!(admitted_at(4200), None);
}

#[test]
fn request_with_a_timeout_beyond_the_leave_is_taken_at_its_start_only() {
    let started = Instant::now();
    let plan = plan(started);
    let long = Duration::from_secs(6);
    assert!(plan.admitted_timeout(long, long, started).is_some());
    let later = started + Duration::from_millis(1500);
    assert_eq!(plan.admitted_timeout(long, long, later), None);
}
