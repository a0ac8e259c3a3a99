//! Tests of the detection of a backend server that turns slow.

use std::time::Duration;

use sequoiagw_policy::RunId;
use sequoiagw_policy::RunSlowdown;
use tokio::time::Instant;

const EXPECTED: Duration = Duration::from_millis(100);

/// Runs in `slots` slots, one after the other, and returns the factor at the end.
fn factor_after(slots: u32, run_time: Duration, rounds: u32) -> f64 {
    let mut slowdown = RunSlowdown::default();
    let mut now = Instant::now();
    for round in 0..rounds {
        let runs = (0..slots).map(|slot| RunId(u64::from(round * slots + slot)));
        for run in runs.clone() {
            slowdown.record_start(run, EXPECTED, now);
        }
        now += run_time;
        for run in runs {
            slowdown.record_end(run, now);
        }
    }
    slowdown.factor(now)
}

#[test]
fn usual_variation_is_no_slowdown() {
    assert!((factor_after(12, EXPECTED, 4) - 1.0).abs() < f64::EPSILON);
    assert!((factor_after(12, EXPECTED.mul_f64(1.8), 4) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn slow_runs_show_with_their_factor() {
    let factor = factor_after(12, EXPECTED * 5, 4);
    assert!((4.5..=5.5).contains(&factor), "{factor}");
}

#[test]
fn runs_that_have_not_ended_show_a_slowdown_before_their_end() {
    let mut slowdown = RunSlowdown::default();
    let mut now = Instant::now();
    for run in 0..24 {
        slowdown.record_start(RunId(run), EXPECTED, now);
        now += EXPECTED;
        slowdown.record_end(RunId(run), now);
    }
    for run in 24..36 {
        slowdown.record_start(RunId(run), EXPECTED, now);
    }
    assert!((slowdown.factor(now) - 1.0).abs() < f64::EPSILON);
    let factor = slowdown.factor(now + EXPECTED * 3);
    assert!(factor > 2.0, "{factor}");
}
