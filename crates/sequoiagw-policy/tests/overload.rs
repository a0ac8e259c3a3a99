//! Tests of a target's latency and refusals under overload, as its callers observe them.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::RunId;
use sequoiagw_policy::SlotRule;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::WaitLimit;
use tokio::time::Instant;

const SLOTS: u32 = 12;
const BOOT: u64 = 5;

/// A kind of call, offered at a constant rate.
#[derive(Clone, Copy)]
struct OfferedLoad {
    route: &'static str,
    rank: u32,
    /// Time between two calls.
    interval_ms: u64,
    run_ms: u64,
    latency_target_ms: u32,
    deadline_ms: u32,
}

/// Outcomes of the calls of one offered load.
#[derive(Clone, Copy, Debug, Default)]
struct LoadResult {
    offered: u32,
    served_in_time: u32,
    served: u32,
    /// Calls refused within an eighth of the latency target.
    refused_early: u32,
    refused: u32,
}

fn new_owner() -> OwnerMachine {
    let settings = OwnerSettings {
        service: "press".to_owned(),
        slots: SLOTS,
        queue_limit: 240,
        slot_rule: SlotRule::Fixed,
        ..OwnerSettings::default()
    };
    OwnerMachine::new(NodeId::from(9), BOOT, settings)
}

struct OpenCall {
    load_index: usize,
    offered_at: Instant,
}

/// Factor on the run times of the calls that start from a time on.
#[derive(Clone, Copy)]
struct Slowdown {
    from_ms: u64,
    factor: u64,
}

const NO_SLOWDOWN: Slowdown = Slowdown {
    from_ms: u64::MAX,
    factor: 1,
};

/// A limit on the starts at the target, in runs per second, from the first second on.
type StartLimit = Option<f64>;

/// Offers the loads to one target for some seconds. Calls of the first second aren't counted.
fn simulate(loads: &[OfferedLoad], seconds: u64) -> Vec<LoadResult> {
    simulate_target(loads, seconds, NO_SLOWDOWN, None).0
}

/// Like [`simulate`], with a target that turns slow.
fn simulate_slowdown(loads: &[OfferedLoad], seconds: u64, slowdown: Slowdown) -> Vec<LoadResult> {
    simulate_target(loads, seconds, slowdown, None).0
}

/// Like [`simulate`], with a target that turns slow or names a limit; also returns the times of all
/// starts.
fn simulate_target(
    loads: &[OfferedLoad],
    seconds: u64,
    slowdown: Slowdown,
    limit: StartLimit,
) -> (Vec<LoadResult>, Vec<Duration>) {
    let mut owner = new_owner();
    let mut starts = Vec::new();
    let start = Instant::now();
    let mut results = vec![LoadResult::default(); loads.len()];
    let mut open: BTreeMap<u64, OpenCall> = BTreeMap::new();
    let mut runs: BTreeMap<RunId, Instant> = BTreeMap::new();
    let mut last_call = 0;
    for elapsed_ms in 0..seconds * 1000 {
        let now = start + Duration::from_millis(elapsed_ms);
        if elapsed_ms == 1000 {
            owner.set_start_rate(limit, now);
        }
        for (load_index, load) in loads.iter().enumerate() {
            if elapsed_ms % load.interval_ms == 0 {
                last_call += 1;
                open.insert(
                    last_call,
                    OpenCall {
                        load_index,
                        offered_at: now,
                    },
                );
                owner.on_dispatch(NodeId::from(1), 1, dispatch_of(load, last_call), now);
            }
        }
        let finished: Vec<RunId> = runs
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(run, _)| *run)
            .collect();
        for run in finished {
            runs.remove(&run);
            let answered = BackendResult::Answered {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
            };
            owner.on_result(run, answered, now);
        }
        owner.on_tick(now);
        for action in owner.take_actions() {
            match action {
                OwnerAction::Run(request) => {
                    starts.push(now - start);
                    let route = request.dispatch.route.as_str();
                    let load = loads.iter().find(|load| load.route == route);
                    let run_ms = load.expect("load of this route").run_ms;
                    let factor = if elapsed_ms < slowdown.from_ms {
                        1
                    } else {
                        slowdown.factor
                    };
                    let run_time = Duration::from_millis(run_ms * factor);
                    runs.insert(request.run, now + run_time);
                }
                OwnerAction::Abort(run) => {
                    runs.remove(&run);
                    owner.on_result(run, BackendResult::Aborted, now);
                }
                OwnerAction::Answer(_, answer) => {
                    let Some(call) = open.remove(&answer.call) else {
                        continue;
                    };
                    let latency = now - call.offered_at;
                    if call.offered_at >= start + Duration::from_secs(1) {
                        let latency_target = Duration::from_millis(u64::from(
                            loads[call.load_index].latency_target_ms,
                        ));
                        record(
                            &mut results[call.load_index],
                            answer.outcome.as_ref(),
                            latency,
                            latency_target,
                        );
                    }
                }
                OwnerAction::Claim(..) | OwnerAction::RecordRefusal(_) => {}
            }
        }
    }
    (results, starts)
}

fn dispatch_of(load: &OfferedLoad, call: u64) -> CallDispatch {
    CallDispatch {
        call,
        service: "press".to_owned(),
        route: load.route.to_owned(),
        rank: load.rank,
        remaining_ms: load.deadline_ms,
        target_boot: BOOT,
        wait_limit: WaitLimit::LatencyTarget.into(),
        latency_target_ms: load.latency_target_ms,
        ..CallDispatch::default()
    }
}

fn record(
    result: &mut LoadResult,
    outcome: Option<&CallOutcome>,
    latency: Duration,
    latency_target: Duration,
) {
    result.offered += 1;
    if matches!(outcome, Some(CallOutcome::Served(_))) {
        result.served += 1;
        result.served_in_time += u32::from(latency <= latency_target);
    } else {
        result.refused += 1;
        result.refused_early += u32::from(latency <= latency_target / 8);
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Twice the capacity of the target, which is 60 such calls a second.
const LONG_CALL_OVERLOAD: OfferedLoad = OfferedLoad {
    route: "order",
    rank: 2,
    interval_ms: 8,
    run_ms: 200,
    latency_target_ms: 1000,
    deadline_ms: 1200,
};

/// Short calls, such as those that runs at other targets make and wait for.
const SHORT_CALLS: OfferedLoad = OfferedLoad {
    route: "check",
    rank: 1,
    interval_ms: 20,
    run_ms: 40,
    latency_target_ms: 150,
    deadline_ms: 250,
};

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
        status: 200,
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

/// Most starts within any span of `window` that begins at `from` or later.
fn most_starts(starts: &[Duration], from: Duration, window: Duration) -> usize {
    let later = || starts.iter().filter(|start| **start >= from);
    later()
        .map(|first| {
            later()
                .filter(|start| **start >= *first && **start < *first + window)
                .count()
        })
        .max()
        .unwrap_or(0)
}

#[test]
fn target_that_names_a_limit_gets_no_more_calls_and_still_serves_as_many_in_time() {
    const LIMIT: f64 = 18.0;
    let (results, starts) = simulate_target(&[LONG_CALL_OVERLOAD], 12, NO_SLOWDOWN, Some(LIMIT));
    let window = Duration::from_secs(4);
    let most = most_starts(&starts, Duration::from_secs(1), window);
    let allowed = 1.5 * LIMIT * window.as_secs_f64() + 5.0;
    assert!(most as f64 <= allowed, "{most} starts of {allowed} allowed");
    let result = results[0];
    assert!(
        f64::from(result.served) > 0.9 * LIMIT * 10.0,
        "the limit must be used: {result:?}"
    );
    assert!(
        share(result.served_in_time, result.served) > 0.95,
        "served calls must meet their latency target: {result:?}"
    );
    assert!(
        share(result.refused_early, result.refused) > 0.95,
        "excess calls must be refused early: {result:?}"
    );
}

#[test]
fn restarted_owner_keeps_a_low_limit_that_it_learns_from_the_first_answer() {
    const LIMIT: f64 = 1.0;
    let mut owner = new_owner();
    let start = Instant::now();
    let mut starts = 0;
    for call in 0..u64::from(SLOTS) {
        owner.on_dispatch(
            NodeId::from(1),
            1,
            dispatch_of(&LONG_CALL_OVERLOAD, call),
            start,
        );
    }
    for elapsed_ms in 0..4000 {
        let now = start + Duration::from_millis(elapsed_ms);
        owner.on_tick(now);
        for action in owner.take_actions() {
            let OwnerAction::Run(request) = action else {
                continue;
            };
            starts += 1;
            owner.set_start_rate(Some(LIMIT), now);
            let answered = BackendResult::Answered {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
            };
            owner.on_result(request.run, answered, now);
        }
    }
    let allowed = 1.5 * LIMIT * 4.0 + 5.0;
    assert!(
        f64::from(starts) <= allowed,
        "{starts} of {allowed} allowed"
    );
}
