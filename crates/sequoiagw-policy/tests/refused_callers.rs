//! Tests of how callers that return after a refusal are recognised.

use std::time::Duration;

use sequoiagw_policy::CallerAttempt;
use sequoiagw_policy::RefusedCallers;
use tokio::time::Instant;

fn after_ms(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// First attempt of a caller with this time left.
fn first_attempt(arrival: Instant, time_left_ms: u64) -> CallerAttempt {
    CallerAttempt {
        arrival,
        time_left: Duration::from_millis(time_left_ms),
        first_arrival: arrival,
    }
}

/// Callers of "lookup" that arrived at `start` with 1,200 and 1,100 ms left and were refused 5 ms
/// later.
fn two_refused_callers(start: Instant) -> RefusedCallers {
    let mut callers = RefusedCallers::default();
    for time_left_ms in [1200, 1100] {
        let attempt = first_attempt(start, time_left_ms);
        callers.record("lookup", attempt, after_ms(start, 5));
    }
    callers
}

/// Time that the caller of "lookup" has waited whose attempt arrives `after` ms after the start with
/// `time_left_ms` left, in milliseconds.
fn waited_ms(callers: &mut RefusedCallers, start: Instant, after: u64, time_left_ms: u64) -> u128 {
    let time_left = Duration::from_millis(time_left_ms);
    let waited = callers.take_waited("lookup", time_left, after_ms(start, after));
    waited.as_millis()
}

#[test]
fn caller_that_returns_has_waited_since_its_first_attempt() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    assert_eq!(waited_ms(&mut callers, start, 230, 972), 230);
    assert_eq!(
        waited_ms(&mut callers, start, 230, 972),
        0,
        "a refused caller returns once"
    );
}

#[test]
fn first_attempts_with_other_deadlines_and_routes_have_not_waited() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    assert_eq!(waited_ms(&mut callers, start, 230, 920), 0);
    let time_left = Duration::from_millis(970);
    let waited = callers.take_waited("confirm", time_left, after_ms(start, 230));
    assert_eq!(waited, Duration::ZERO);
}

#[test]
fn caller_that_arrives_beside_a_refused_one_has_not_waited() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    assert_eq!(waited_ms(&mut callers, start, 7, 1195), 0);
    assert_eq!(waited_ms(&mut callers, start, 240, 962), 240);
}

#[test]
fn waits_of_several_refusals_add_up() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    assert_eq!(waited_ms(&mut callers, start, 230, 970), 230);
    let second_attempt = CallerAttempt {
        first_arrival: start,
        ..first_attempt(after_ms(start, 230), 970)
    };
    callers.record("lookup", second_attempt, after_ms(start, 231));
    assert_eq!(waited_ms(&mut callers, start, 500, 700), 500);
}

#[test]
fn many_refused_callers_do_not_hide_the_latest() {
    let start = Instant::now();
    let mut callers = RefusedCallers::default();
    for number in 0..100_000 {
        let now = start + Duration::from_micros(number * 10);
        callers.record("lookup", first_attempt(now, 1200), now);
    }
    let waited = waited_ms(&mut callers, start, 1200, 995);
    assert!(waited > 190, "{waited}");
}

#[test]
fn time_beyond_any_clock_is_no_deadline() {
    let start = Instant::now();
    let mut callers = two_refused_callers(start);
    let endless = CallerAttempt {
        time_left: Duration::MAX,
        ..first_attempt(start, 0)
    };
    callers.record("lookup", endless, start);
    let waited = callers.take_waited("lookup", Duration::MAX, after_ms(start, 230));
    assert_eq!(waited, Duration::ZERO);
}
