//! The soak's own checks: what they find, and that seeds repeat.

use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use sequoiagw_soak::run_address;
use sequoiagw_soak::CallRecord;
use sequoiagw_soak::FaultPlan;
use sequoiagw_soak::PromiseKind;
use sequoiagw_soak::PromiseLedger;
use tokio::time::Instant;

fn answer(status: u16, body: &str) -> CallerOutcome {
    CallerOutcome::Answered {
        status,
        signed: status == 200,
        retry_after: None,
        body: body.to_owned(),
    }
}

fn record(id: &str, end: CallerOutcome, disturbed: bool) -> CallRecord {
    let now = Instant::now();
    CallRecord {
        id: id.to_owned(),
        node: 0,
        idempotent: false,
        began: now,
        ended: now,
        end,
        disturbed,
        replaced: false,
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

fn kinds(ledger: &PromiseLedger) -> Vec<PromiseKind> {
    ledger.broken().iter().map(|broken| broken.kind).collect()
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
    let mut ledger = PromiseLedger::default();
    ledger.note_call(record("a", answer(200, "a"), false));
    ledger.check_runs(&runs(&["a", "b", "a"]));
    assert_eq!(kinds(&ledger), [PromiseKind::DoubleRun]);
}

#[test]
fn a_refusal_of_a_request_that_ran_is_found() {
    let mut ledger = PromiseLedger::default();
    ledger.note_call(record("a", answer(503, ""), true));
    ledger.note_call(record("b", answer(502, ""), true));
    ledger.check_runs(&runs(&["a", "b"]));
    assert_eq!(kinds(&ledger), [PromiseKind::FalseNotRun]);
}

#[test]
fn another_requests_answer_is_found() {
    let mut ledger = PromiseLedger::default();
    ledger.note_call(record("a", answer(200, "b"), true));
    assert_eq!(kinds(&ledger), [PromiseKind::WrongAnswer]);
}

#[test]
fn a_cut_request_counts_only_without_a_fault() {
    let mut ledger = PromiseLedger::default();
    ledger.note_call(record("a", CallerOutcome::ConnectionClosed, true));
    ledger.check_runs(&runs(&["a"]));
    assert!(kinds(&ledger).is_empty());
    ledger.note_call(record("b", CallerOutcome::ConnectionClosed, false));
    ledger.note_call(record("c", CallerOutcome::TimedOut, false));
    ledger.check_runs(&[]);
    assert_eq!(
        kinds(&ledger),
        [PromiseKind::Stuck, PromiseKind::CutRequest]
    );
}

#[test]
fn a_request_that_crosses_the_end_of_a_leaver_counts_as_cut_only_if_it_ran() {
    let crossing = |id| CallRecord {
        replaced: true,
        ..record(id, CallerOutcome::ConnectionClosed, false)
    };
    let mut ledger = PromiseLedger::default();
    ledger.note_call(crossing("a"));
    ledger.note_call(crossing("b"));
    ledger.check_runs(&runs(&["b"]));
    let broken: Vec<&str> = ledger
        .broken()
        .iter()
        .map(|broken| broken.subject.as_str())
        .collect();
    assert_eq!(broken, ["b"]);
}

#[test]
fn an_older_version_is_found_within_the_life_of_a_process() {
    let mut ledger = PromiseLedger::default();
    ledger.note_version(0, 5, true);
    ledger.note_version(0, 6, false);
    assert!(kinds(&ledger).is_empty(), "version 6 isn't there yet");
    ledger.forget_version(0);
    ledger.note_version(0, 5, false);
    assert!(kinds(&ledger).is_empty(), "another process");
    ledger.note_version(1, 5, true);
    ledger.note_version(1, 4, false);
    assert_eq!(kinds(&ledger), [PromiseKind::Revert]);
}
