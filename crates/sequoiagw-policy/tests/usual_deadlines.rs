//! Tests of how callers that return after a refusal are recognised.

use std::time::Duration;

use sequoiagw_policy::UsualDeadlines;

const USUAL: Duration = Duration::from_millis(1200);

/// Deadlines of a route on which most callers state [`USUAL`].
fn known_route() -> UsualDeadlines {
    let mut deadlines = UsualDeadlines::default();
    for _ in 0..10 {
        assert_eq!(deadlines.record("lookup", USUAL), Duration::ZERO);
    }
    deadlines
}

#[test]
fn caller_that_returns_has_waited_for_what_its_deadline_lacks() {
    let mut deadlines = known_route();
    let waited = deadlines.record("lookup", Duration::from_millis(980));
    assert_eq!(waited, Duration::from_millis(220));
    assert_eq!(deadlines.record("lookup", USUAL), Duration::ZERO);
}

#[test]
fn callers_that_return_do_not_change_the_usual_deadline() {
    let mut deadlines = known_route();
    for round in 0..500 {
        deadlines.record("lookup", USUAL);
        let left = Duration::from_millis(900 + round % 200);
        assert_eq!(deadlines.record("lookup", left), USUAL.saturating_sub(left));
    }
}

#[test]
fn calls_with_much_less_time_and_other_routes_have_not_waited() {
    let mut deadlines = known_route();
    let short = Duration::from_millis(300);
    assert_eq!(deadlines.record("lookup", short), Duration::ZERO);
    let other = Duration::from_millis(980);
    assert_eq!(deadlines.record("confirm", other), Duration::ZERO);
}

#[test]
fn one_caller_with_a_long_deadline_does_not_make_the_others_late() {
    let mut deadlines = known_route();
    deadlines.record("lookup", Duration::from_secs(60));
    assert_eq!(deadlines.record("lookup", USUAL), Duration::ZERO);
}

#[test]
fn a_changed_deadline_becomes_the_usual_one() {
    let mut deadlines = known_route();
    let longer = Duration::from_millis(1500);
    for _ in 0..100 {
        deadlines.record("lookup", longer);
    }
    let waited = deadlines.record("lookup", USUAL);
    assert_eq!(waited, Duration::from_millis(300));
}
