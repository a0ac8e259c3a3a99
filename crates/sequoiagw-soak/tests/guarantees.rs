//! Tests of the soak test's checks, of its fault schedule and of its addresses.

use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use sequoiagw_soak::run_address;
use sequoiagw_soak::CallRecord;
use sequoiagw_soak::FaultPlan;
use sequoiagw_soak::GuaranteeChecker;
use sequoiagw_soak::GuaranteeKind;
use sequoiagw_soak::NamedLimit;
use tokio::time::Instant;

fn answer(status: u16, body: &str) -> CallerOutcome {
    CallerOutcome::Answered {
        status,
        signed: status == 200,
        retry_after: None,
        body: body.to_owned(),
    }
}

fn record(id: &str, outcome: CallerOutcome, during_fault: bool) -> CallRecord {
    let now = Instant::now();
    CallRecord {
        id: id.to_owned(),
        node: 0,
        idempotent: false,
        started_at: now,
        ended_at: now,
        outcome,
        during_fault,
        during_replacement: false,
    }
}

fn backend_runs(ids: &[&str]) -> Vec<BackendRun> {
    let run = |id: &&str| BackendRun {
        id: (*id).to_owned(),
        at: Instant::now(),
        incarnation: 1,
        answered_at: None,
    };
    ids.iter().map(run).collect()
}

fn violation_kinds(checker: &GuaranteeChecker) -> Vec<GuaranteeKind> {
    checker
        .violations()
        .iter()
        .map(|violation| violation.kind)
        .collect()
}

#[test]
fn generates_equal_schedules_from_equal_seeds_only() {
    let run_time = Duration::from_secs(30);
    let plan = FaultPlan::generate(7, run_time, 6);
    assert_eq!(plan, FaultPlan::generate(7, run_time, 6));
    assert_ne!(plan, FaultPlan::generate(8, run_time, 6));
    assert!(plan.faults.len() > 20);
}

#[test]
fn assigns_different_addresses_to_runs_of_different_processes() {
    let mut seen = BTreeSet::new();
    for process in (1..40_000).step_by(7).chain([16_256]) {
        for run in 0..16 {
            let address = run_address(process, run);
            assert!(address.is_loopback());
            assert!(
                seen.insert(address),
                "expected a unique address for process {process} run {run}"
            );
        }
    }
}

#[test]
fn reports_non_idempotent_request_that_ran_twice() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", answer(200, "a"), false));
    checker.check_runs(&backend_runs(&["a", "b", "a"]));
    assert_eq!(violation_kinds(&checker), [GuaranteeKind::DoubleRun]);
}

#[test]
fn reports_not_run_refusal_of_request_that_ran() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", answer(503, ""), true));
    checker.record_call(record("b", answer(502, ""), true));
    checker.check_runs(&backend_runs(&["a", "b"]));
    assert_eq!(violation_kinds(&checker), [GuaranteeKind::FalseNotRun]);
}

#[test]
fn reports_answer_to_another_request() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", answer(200, "b"), true));
    assert_eq!(violation_kinds(&checker), [GuaranteeKind::WrongAnswer]);
}

#[test]
fn reports_cut_request_only_without_a_fault() {
    let mut checker = GuaranteeChecker::default();
    checker.record_call(record("a", CallerOutcome::ConnectionClosed, true));
    checker.check_runs(&backend_runs(&["a"]));
    assert!(violation_kinds(&checker).is_empty());
    checker.record_call(record("b", CallerOutcome::ConnectionClosed, false));
    checker.record_call(record("c", CallerOutcome::TimedOut, false));
    checker.check_runs(&[]);
    assert_eq!(
        violation_kinds(&checker),
        [GuaranteeKind::Stuck, GuaranteeKind::CutRequest]
    );
}

#[test]
fn reports_request_cut_during_replacement_only_if_it_ran() {
    let cut_during_replacement = |id| CallRecord {
        during_replacement: true,
        ..record(id, CallerOutcome::ConnectionClosed, false)
    };
    let mut checker = GuaranteeChecker::default();
    checker.record_call(cut_during_replacement("a"));
    checker.record_call(cut_during_replacement("b"));
    checker.check_runs(&backend_runs(&["b"]));
    let violations: Vec<&str> = checker
        .violations()
        .iter()
        .map(|violation| violation.subject.as_str())
        .collect();
    assert_eq!(violations, ["b"]);
}

#[test]
fn reports_return_to_older_version_within_one_process() {
    let mut checker = GuaranteeChecker::default();
    checker.record_version(0, 5, true);
    checker.record_version(0, 6, false);
    assert!(
        violation_kinds(&checker).is_empty(),
        "expected no violation for version 6, which was never observed"
    );
    checker.reset_version(0);
    checker.record_version(0, 5, false);
    assert!(
        violation_kinds(&checker).is_empty(),
        "expected no violation after the process was replaced"
    );
    checker.record_version(1, 5, true);
    checker.record_version(1, 4, false);
    assert_eq!(violation_kinds(&checker), [GuaranteeKind::Revert]);
}

/// Runs of one incarnation at a constant rate.
fn steady_runs(from: Instant, per_s: u64, seconds: u64, incarnation: u64) -> Vec<BackendRun> {
    let run = |index| BackendRun {
        id: format!("{incarnation}-{index}"),
        at: from + Duration::from_secs(1) / per_s as u32 * index,
        incarnation,
        answered_at: None,
    };
    (0..(per_s * seconds) as u32).map(run).collect()
}

#[test]
fn reports_a_backend_server_that_gets_more_than_its_limit_once_the_limit_binds() {
    let from = Instant::now();
    let limit = NamedLimit {
        node: 0,
        per_s: 4.0,
        from,
        until: from + Duration::from_secs(20),
    };
    let violations_of = |runs: &[BackendRun]| {
        let mut checker = GuaranteeChecker::default();
        checker.check_limit(limit, runs);
        violation_kinds(&checker)
    };
    assert!(violations_of(&steady_runs(from, 6, 15, 1)).is_empty());
    assert_eq!(
        violations_of(&steady_runs(from, 10, 15, 1)),
        [GuaranteeKind::OverLimit]
    );
    // The first three seconds are free, for each incarnation anew.
    let later = from + Duration::from_secs(10);
    let mut restarted = steady_runs(from, 10, 3, 1);
    restarted.extend(steady_runs(later, 10, 3, 2));
    assert!(violations_of(&restarted).is_empty());
}

/// Time that callers wait, in the tests of what they get.
const DEADLINE: Duration = Duration::from_secs(2);

/// Violations of a call that ends with `status` after `time_taken`, with a run that is answered
/// after `run_time`, if it is.
fn service_violations(
    status: u16,
    time_taken: Duration,
    run_time: Option<Duration>,
    during_fault: bool,
) -> Vec<GuaranteeKind> {
    let mut call = record("a", answer(status, "a"), during_fault);
    call.ended_at = call.started_at + time_taken;
    let runs = run_time.map(|run_time| BackendRun {
        id: "a".to_owned(),
        at: call.started_at,
        incarnation: 1,
        answered_at: Some(call.started_at + run_time),
    });
    let runs: Vec<BackendRun> = runs.into_iter().collect();
    let mut checker = GuaranteeChecker::default();
    checker.record_call(call);
    checker.check_service(&runs, DEADLINE);
    violation_kinds(&checker)
}

#[test]
fn reports_lost_answers_untried_failures_and_late_refusals_of_calm_times() {
    let soon = Duration::from_millis(100);
    let late = Duration::from_millis(1600);
    let lost = [GuaranteeKind::LostAnswer];
    assert_eq!(service_violations(504, DEADLINE, Some(soon), false), lost);
    assert_eq!(service_violations(502, soon, Some(soon), false), lost);
    assert_eq!(service_violations(504, DEADLINE, Some(late), false), []);
    assert_eq!(service_violations(504, DEADLINE, Some(soon), true), []);
    let untried = [GuaranteeKind::UntriedFailure];
    assert_eq!(service_violations(502, soon, None, false), untried);
    assert_eq!(service_violations(502, soon, None, true), []);
    let held = [GuaranteeKind::HeldRefusal];
    assert_eq!(service_violations(503, late, None, false), held);
    assert_eq!(service_violations(503, soon, None, false), []);
    assert_eq!(service_violations(200, soon, Some(soon), false), []);
}

#[test]
fn reports_retries_beyond_the_budget() {
    let start = Instant::now();
    let retried = |count: u32| {
        let mut checker = GuaranteeChecker::default();
        let mut runs = Vec::new();
        for index in 0..100 {
            let id = format!("call-{index}");
            checker.record_call(record(&id, answer(200, &id), false));
            for run in 0..=u32::from(index < count) {
                runs.push(BackendRun {
                    id: id.clone(),
                    at: start + Duration::from_millis(u64::from(run)),
                    incarnation: 1,
                    answered_at: None,
                });
            }
        }
        checker.check_retries(&runs);
        violation_kinds(&checker)
    };
    assert_eq!(retried(76), []);
    assert_eq!(retried(77), [GuaranteeKind::ExcessRetries]);
}
