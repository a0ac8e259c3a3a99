//! Tests of the comparison of a new version's runs with the old one's.

use std::time::Duration;

use sequoiagw_policy::JudgedRuns;
use sequoiagw_policy::RolloutJudge;
use sequoiagw_policy::RolloutVerdict;
use sequoiagw_policy::RunSample;
use sequoiagw_policy::RunStatistics;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

const USUAL: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(160);

fn sample(route: &'static str, run_time: Duration, failed: bool) -> RunSample<'static> {
    RunSample {
        route,
        run_time,
        failed,
    }
}

/// Plays rounds in which both versions run 20 requests, of which some fail, on each of two routes.
fn judge_after(rounds: u32, old_failures: u32, new_failures: u32) -> (RolloutJudge, Instant) {
    let mut now = Instant::now();
    let mut judge = RolloutJudge::default();
    let mut old = RunStatistics::default();
    for _ in 0..rounds {
        for route in ["order", "lookup"] {
            for run in 0..20 {
                old.record(&sample(route, USUAL, run < old_failures), now);
                judge.record(&sample(route, USUAL, run < new_failures), false);
            }
        }
        now += Duration::from_secs(1);
        judge.end_round(now);
        judge.on_stats(NodeId::from(1), &old.reply(now));
    }
    (judge, now + Duration::from_millis(300))
}

fn is_bad(judge: &RolloutJudge, now: Instant) -> bool {
    let verdict = judge.verdict(JudgedRuns::Compared, now);
    matches!(verdict, RolloutVerdict::Bad { .. })
}

#[test]
fn equal_versions_are_good() {
    let (judge, now) = judge_after(4, 0, 0);
    assert_eq!(
        judge.verdict(JudgedRuns::Compared, now),
        RolloutVerdict::Good
    );
}

/// Failures that both versions have must not roll the new one back, nor let it pass while they
/// last.
#[test]
fn failures_of_both_versions_leave_the_verdict_open() {
    let (judge, now) = judge_after(6, 8, 8);
    assert_eq!(
        judge.verdict(JudgedRuns::Compared, now),
        RolloutVerdict::Undecided
    );
    assert_eq!(
        judge.verdict(JudgedRuns::ComparedLate, now),
        RolloutVerdict::Good
    );
}

#[test]
fn more_failures_than_the_old_version_are_bad() {
    let (judge, now) = judge_after(3, 1, 8);
    assert!(is_bad(&judge, now));
}

#[test]
fn a_few_failures_are_not_bad() {
    let (judge, now) = judge_after(6, 0, 1);
    assert!(!is_bad(&judge, now));
}

#[test]
fn slow_runs_are_bad_unless_they_are_excused() {
    for (excused, bad) in [(false, true), (true, false)] {
        let (mut judge, mut now) = judge_after(1, 0, 0);
        for run in 0..40 {
            let run_time = if run % 2 == 0 { SLOW } else { USUAL };
            judge.record(&sample("order", run_time, false), excused);
        }
        judge.end_round(now);
        now += Duration::from_millis(300);
        assert_eq!(is_bad(&judge, now), bad, "excused {excused}");
    }
}

/// A version that has just turned bad must not pass on the runs before.
#[test]
fn recent_failures_defer_a_good_verdict() {
    let (mut judge, now) = judge_after(6, 0, 0);
    judge.record(&sample("order", USUAL, true), false);
    judge.record(&sample("order", USUAL, true), false);
    judge.record(&sample("order", USUAL, true), false);
    for _ in 0..4 {
        judge.record(&sample("order", USUAL, false), false);
    }
    judge.end_round(now);
    judge.end_round(now + Duration::from_secs(1));
    judge.record(&sample("order", USUAL, true), false);
    judge.record(&sample("order", USUAL, true), false);
    judge.record(&sample("order", USUAL, true), false);
    let now = now + Duration::from_millis(1_300);
    assert_eq!(
        judge.verdict(JudgedRuns::Compared, now),
        RolloutVerdict::Undecided
    );
}

/// A route that has too few runs may hide a fault.
#[test]
fn a_good_version_needs_runs_on_each_usual_route() {
    let mut judge = RolloutJudge::default();
    let mut old = RunStatistics::default();
    let now = Instant::now();
    for _ in 0..50 {
        old.record(&sample("order", USUAL, false), now);
        old.record(&sample("lookup", USUAL, false), now);
        judge.record(&sample("order", USUAL, false), false);
    }
    judge.end_round(now);
    judge.on_stats(NodeId::from(1), &old.reply(now));
    let later = now + Duration::from_secs(1);
    let verdict = judge.verdict(JudgedRuns::Compared, later);
    assert_eq!(verdict, RolloutVerdict::Undecided);
    let verdict = judge.verdict(JudgedRuns::ComparedLate, later);
    assert_eq!(verdict, RolloutVerdict::Good);
}
