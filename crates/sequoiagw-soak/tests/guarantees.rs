//! The soak's own checks: what they find, and that seeds repeat.

use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use sequoiagw_soak::run_address;
use sequoiagw_soak::CallRecord;
use sequoiagw_soak::FaultPlan;
use sequoiagw_soak::GuaranteeChecker;
use sequoiagw_soak::GuaranteeKind;
use tokio::time::Instant;

fn answer(status: u16, body: &str) -> CallerOutcome {
    CallerOutcome::Answered {
        status,
        signed: status == 200,
        retry_after: None,
        body: body.to_owned(),
    }
}

fn record(id: &str, end: CallerOutcome, during_fault: bool) -> CallRecord {
    let now = Instant::now();
    CallRecord {
        id: id.to_owned(),
        node: 0,
        idempotent: false,
        began: now,
        ended: now,
        end,
        during_fault,
        during_replacement: false,
    }
}

fn runs(ids: &[&str]) -> Vec<BackendRun> {
    let run = |id: &&str| BackendRun {
        id: (*id).to_owned(),
        at: Instant::now(),
        incarnation: 1,
    };
    ids.iter().map(run).collect()
}

fn kinds(checker: &GuaranteeChecker) -> Vec<GuaranteeKind> {
    checker
        .violations()
        .iter()
        .map(|violation| violation.kind)
        .collect()
}

#[test]
fn equal_seeds_draw_equal_timelines_and_others_differ() {
    let time = Duration::from_secs(30);
    let plan = FaultPlan::draw(7, time, 6);
    assert_eq!(plan, FaultPlan::draw(7, time, 6));
    assert_ne!(plan, FaultPlan::draw(8, time, 6));
    assert!(plan.faults.len() > 20);
}

#[test]
fn runs_never_share_an_address_though_their_process_has_any_number() {
    let mut seen = BTreeSet::new();
    for process in (1..40_000).step_by(7).chain([16_256]) {
        for run in 0..16 {
            let address = run_address(process, run);
            assert!(address.is_loopback());
            assert!(seen.insert(address), "process {process} run {run}");
        }
    }
}

#[test]
fn a_request_that_ran_twice_is_found() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", answer(200, "a"), false));
    checker.check_runs(&runs(&["a", "b", "a"]));
    assert_eq!(kinds(&checker), [GuaranteeKind::DoubleRun]);
}

#[test]
fn a_refusal_of_a_request_that_ran_is_found() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", answer(503, ""), true));
    checker.record_call(record("b", answer(502, ""), true));
    checker.check_runs(&runs(&["a", "b"]));
    assert_eq!(kinds(&checker), [GuaranteeKind::FalseNotRun]);
}

#[test]
fn another_requests_answer_is_found() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", answer(200, "b"), true));
    assert_eq!(kinds(&checker), [GuaranteeKind::WrongAnswer]);
}

#[test]
fn a_cut_request_counts_only_without_a_fault() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", CallerOutcome::ConnectionClosed, true));
    checker.check_runs(&runs(&["a"]));
    assert!(kinds(&checker).is_empty());
    checker.record_call(record("b", CallerOutcome::ConnectionClosed, false));
    checker.record_call(record("c", CallerOutcome::TimedOut, false));
    checker.check_runs(&[]);
    assert_eq!(
        kinds(&checker),
        [GuaranteeKind::Stuck, GuaranteeKind::CutRequest]
    );
}

#[test]
fn a_request_that_crosses_the_end_of_a_leaver_counts_as_cut_only_if_it_ran() {
    let crossing = |id| CallRecord {
        during_replacement: true,
        ..record(id, CallerOutcome::ConnectionClosed, false)
    };
    let mut checker = GuaranteeChecker::default();
    checker.record_call(crossing("a"));
    checker.record_call(crossing("b"));
    checker.check_runs(&runs(&["b"]));
    let violations: Vec<&str> = checker
        .violations()
        .iter()
        .map(|violation| violation.subject.as_str())
        .collect();
    assert_eq!(violations, ["b"]);
}

#[test]
fn an_older_version_is_found_within_the_life_of_a_process() {
    let mut checker = GuaranteeChecker::default();
    checker.record_version(0, 5, true);
    checker.record_version(0, 6, false);
    assert!(kinds(&checker).is_empty(), "version 6 isn't there yet");
    checker.reset_version(0);
    checker.record_version(0, 5, false);
    assert!(kinds(&checker).is_empty(), "another process");
    checker.record_version(1, 5, true);
    checker.record_version(1, 4, false);
    assert_eq!(kinds(&checker), [GuaranteeKind::Revert]);
}
