//! Tests of how callers that return after a refusal are recognised.

use std::time::Duration;

use sequoiagw_policy::RefusedCallers;
use tokio::time::Instant;

fn after_ms(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Callers of "lookup" that arrived at `start` and were refused 5 ms later, one with a deadline
/// after 1,200 ms and one after 1,100 ms.
fn two_refused_callers(start: Instant) -> RefusedCallers {
    let mut callers = RefusedCallers::default();
    for deadline_ms in [1200, 1100] {
        let deadline = after_ms(start, deadline_ms);
        callers.record("lookup", deadline, start, after_ms(start, 5));
    }
    callers
}

#[test]
fn caller_that_returns_has_waited_since_its_first_attempt() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    let now = after_ms(start, 230);
    let deadline = after_ms(start, 1202);
    assert_eq!(
        callers.take_waited("lookup", deadline, now),
        Duration::from_millis(230)
    );
    assert_eq!(
        callers.take_waited("lookup", deadline, now),
        Duration::ZERO,
        "a refused caller returns once"
    );
}

#[test]
fn first_attempts_with_other_deadlines_and_routes_have_not_waited() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    let now = after_ms(start, 230);
    let deadline = after_ms(start, 1150);
    assert_eq!(callers.take_waited("lookup", deadline, now), Duration::ZERO);
    let deadline = after_ms(start, 1200);
    assert_eq!(
        callers.take_waited("confirm", deadline, now),
        Duration::ZERO
    );
}

#[test]
fn caller_that_arrives_beside_a_refused_one_has_not_waited() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    let deadline = after_ms(start, 1202);
    let now = after_ms(start, 7);
    assert_eq!(callers.take_waited("lookup", deadline, now), Duration::ZERO);
    let now = after_ms(start, 240);
    assert_eq!(
        callers.take_waited("lookup", deadline, now),
        Duration::from_millis(240)
    );
}

#[test]
fn waits_of_several_refusals_add_up() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    let deadline = after_ms(start, 1200);
    let now = after_ms(start, 230);
    let waited = callers.take_waited("lookup", deadline, now);
    let first_arrival = now.checked_sub(waited).expect("the caller has arrived");
    callers.record("lookup", deadline, first_arrival, now);
    let now = after_ms(start, 500);
    assert_eq!(
        callers.take_waited("lookup", deadline, now),
        Duration::from_millis(500)
    );
}

#[test]
fn many_refused_callers_do_not_hide_the_latest() {
    let start = Instant::now();
    let mut callers = RefusedCallers::default();
    for number in 0..100_000 {
        let now = start + Duration::from_micros(number * 10);
        callers.record("lookup", now + Duration::from_millis(1200), now, now);
    }
    let now = after_ms(start, 1200);
    let waited = callers.take_waited("lookup", after_ms(start, 2195), now);
    assert!(waited > Duration::from_millis(190), "{waited:?}");
}
