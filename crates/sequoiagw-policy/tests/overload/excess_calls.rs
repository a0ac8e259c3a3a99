//! Latency of served calls and refusals of excess ones.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::target_simulation::dispatch_of;
use crate::target_simulation::new_owner;
use crate::target_simulation::share;
use crate::target_simulation::simulate;
use crate::target_simulation::simulate_slowdown;
use crate::target_simulation::OfferedLoad;
use crate::target_simulation::Slowdown;
use crate::target_simulation::LONG_CALL_OVERLOAD;
use crate::target_simulation::SHORT_CALLS;
use crate::target_simulation::SLOTS;

#[test]
fn keeps_slots_busy_and_refuses_excess_calls_early_under_overload() {
    let results = simulate(&[LONG_CALL_OVERLOAD], 12);
    let overload = results[0];
    let capacity = f64::from(SLOTS) / 0.2 * 10.0;
    assert!(
        f64::from(overload.served) > 0.9 * capacity,
        "slots must stay busy: {overload:?}"
    );
    assert!(
        share(overload.served_in_time, overload.served) > 0.95,
        "served calls must meet their latency target: {overload:?}"
    );
    assert!(
        share(overload.refused_early, overload.refused) > 0.95,
        "excess calls must be refused early: {overload:?}"
    );
}

#[test]
fn short_urgent_calls_meet_their_latency_target_while_long_calls_overload_the_target() {
    let results = simulate(&[LONG_CALL_OVERLOAD, SHORT_CALLS], 12);
    let (overload, short) = (results[0], results[1]);
    assert!(
        share(short.served_in_time, short.offered) > 0.97,
        "short calls must meet their latency target: {short:?}"
    );
    assert!(
        share(overload.served_in_time, overload.served) > 0.9,
        "served calls must meet their latency target: {overload:?}"
    );
    assert!(
        share(overload.refused_early, overload.refused) > 0.9,
        "excess calls must be refused early: {overload:?}"
    );
}

#[test]
fn serves_short_calls_late_instead_of_refusing_them_under_overload_at_the_same_rank() {
    let long = OfferedLoad {
        rank: 1,
        latency_target_ms: 400,
        ..LONG_CALL_OVERLOAD
    };
    let short = OfferedLoad {
        latency_target_ms: 60,
        ..SHORT_CALLS
    };
    let results = simulate(&[long, short], 12);
    assert!(
        share(results[1].served, results[1].offered) > 0.97,
        "short calls must be served: {results:?}"
    );
}

#[test]
fn a_target_that_turns_slow_refuses_early_what_it_will_not_serve() {
    let load = OfferedLoad {
        interval_ms: 12,
        run_ms: 100,
        latency_target_ms: 800,
        deadline_ms: 3000,
        ..LONG_CALL_OVERLOAD
    };
    let slowdown = Slowdown {
        from_ms: 3000,
        factor: 5,
    };
    let before = simulate(&[load], 3)[0];
    assert_eq!(before.refused, 0, "{before:?}");
    let result = simulate_slowdown(&[load], 7, slowdown)[0];
    let late_refusals = result.refused - result.refused_early;
    assert!(
        share(late_refusals, result.refused) < 0.02,
        "excess calls must be refused early: {result:?}"
    );
    assert!(
        share(result.served_in_time, result.served) > 0.85,
        "most served calls must meet their latency target: {result:?}"
    );
}

#[test]
fn a_rare_long_route_does_not_let_the_others_wait_beyond_their_latency_target() {
    let overload = OfferedLoad {
        interval_ms: 5,
        run_ms: 100,
        latency_target_ms: 300,
        deadline_ms: 1200,
        rank: 0,
        ..LONG_CALL_OVERLOAD
    };
    let rare = OfferedLoad {
        route: "report",
        workspace: "",
        rank: 0,
        interval_ms: 2900,
        run_ms: 1000,
        latency_target_ms: 3000,
        deadline_ms: 4000,
    };
    let result = simulate(&[overload, rare], 12)[0];
    assert!(
        share(result.served_in_time, result.served) > 0.95,
        "served calls must meet their latency target: {result:?}"
    );
}

/// An owner that has sent a large answer on the route of downloads.
fn owner_with_download() -> OwnerMachine {
    let mut owner = new_owner();
    let now = Instant::now();
    owner.on_dispatch(NodeId::from(1), 1, dispatch_of(&LONG_CALL_OVERLOAD, 1), now);
    let runs = owner.take_actions();
    let Some(OwnerAction::Run(request)) = runs.into_iter().next() else {
        panic!("the call should start at once");
    };
    let answered = BackendResult::Answered {
        status: FinalStatus::OK,
        headers: Vec::new(),
        body: Bytes::from(vec![0; 90_000]),
    };
    owner.on_result(request.run, answered, now);
    owner.take_actions();
    owner
}

#[test]
fn refuses_a_large_answer_that_the_link_would_make_late() {
    let now = Instant::now();
    let mut owner = owner_with_download();
    owner.set_link_wait(Duration::from_millis(1500));
    owner.on_dispatch(NodeId::from(1), 1, dispatch_of(&LONG_CALL_OVERLOAD, 2), now);
    owner.on_dispatch(NodeId::from(1), 1, dispatch_of(&SHORT_CALLS, 3), now);
    let started: Vec<u64> = owner
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            OwnerAction::Run(request) => Some(request.dispatch.call),
            _ => None,
        })
        .collect();
    assert_eq!(started, [3], "only the call with a small answer starts");
}

#[test]
fn refuses_no_call_below_capacity() {
    let below_capacity = OfferedLoad {
        interval_ms: 25,
        ..LONG_CALL_OVERLOAD
    };
    let results = simulate(&[below_capacity, SHORT_CALLS], 8);
    assert!(
        results.iter().all(|result| result.refused == 0),
        "no call must be refused: {results:?}"
    );
}
