//! Workspaces that share a target with one that sends seven times its usual load.

use crate::target_simulation::share;
use crate::target_simulation::simulate;
use crate::target_simulation::LoadResult;
use crate::target_simulation::OfferedLoad;
use crate::target_simulation::LONG_CALL_OVERLOAD;
use crate::target_simulation::SHORT_CALLS;

const SECONDS: u64 = 20;
/// Time between two calls of a workspace at its usual load, about an eighth of the target's capacity.
const USUAL_INTERVAL_MS: u64 = 126;
/// Latency target with which the workspaces' queue is longer than what nested calls may wait.
const LONG_TARGET_MS: u32 = 1000;
/// Latency target that lets nested calls find room in the queue.
const SHORT_TARGET_MS: u32 = 400;
/// Factor on the usual load of the hot workspace.
const HOT_FACTOR: u64 = 7;

/// Loads of a hot workspace, nested calls and four quiet workspaces, all of one rank.
fn loads(latency_target_ms: u32) -> Vec<OfferedLoad> {
    let of_workspace = |workspace, interval_ms| OfferedLoad {
        workspace,
        interval_ms,
        latency_target_ms,
        ..LONG_CALL_OVERLOAD
    };
    let quiet = ["mill", "forge", "yard", "port"];
    let quiet_loads = (0..)
        .zip(quiet)
        .map(|(index, name)| of_workspace(name, USUAL_INTERVAL_MS + index));
    let nested = OfferedLoad {
        rank: LONG_CALL_OVERLOAD.rank,
        ..SHORT_CALLS
    };
    let hot = of_workspace("hot", USUAL_INTERVAL_MS / HOT_FACTOR);
    [hot, nested].into_iter().chain(quiet_loads).collect()
}

/// Results of the same loads without workspaces and with them.
fn before_and_after(latency_target_ms: u32) -> (Vec<LoadResult>, Vec<LoadResult>) {
    let loads = loads(latency_target_ms);
    let without_workspaces: Vec<OfferedLoad> = loads
        .iter()
        .map(|load| OfferedLoad {
            workspace: "",
            ..*load
        })
        .collect();
    let before = simulate(&without_workspaces, SECONDS);
    (before, simulate(&loads, SECONDS))
}

#[test]
fn quiet_workspaces_are_served_whole_beside_a_hot_one() {
    let (before, after) = before_and_after(LONG_TARGET_MS);
    for (quiet_before, quiet) in before.iter().zip(&after).skip(2) {
        let served = share(quiet.served_in_time, quiet.offered);
        let served_before = share(quiet_before.served_in_time, quiet_before.offered);
        assert!(
            served_before < 0.8,
            "the target must be overloaded: {before:?}"
        );
        assert!(served > 0.97, "{quiet:?}, before {quiet_before:?}");
    }
}

/// Time for which the served calls occupied slots, in milliseconds.
fn slot_time_ms(results: &[LoadResult]) -> u64 {
    let loads = loads(LONG_TARGET_MS);
    let times = results.iter().zip(&loads);
    times
        .map(|(result, load)| u64::from(result.served) * load.run_ms)
        .sum()
}

#[test]
fn hot_workspace_gets_the_slots_that_the_others_leave() {
    let (before, after) = before_and_after(LONG_TARGET_MS);
    assert!(
        slot_time_ms(&after) * 100 > slot_time_ms(&before) * 97,
        "slots must stay busy: {after:?}, before {before:?}"
    );
    let hot = after[0];
    let sum = |count: fn(&LoadResult) -> u32| after.iter().map(count).sum::<u32>();
    let mean_share = share(sum(|result| result.served), sum(|result| result.offered));
    assert!(
        share(hot.served, hot.offered) > mean_share / 4.0,
        "no workspace may be served a quarter as often as all: {after:?}"
    );
    assert!(
        share(hot.served_in_time, hot.served) > 0.85,
        "served calls must meet their latency target: {after:?}"
    );
    assert!(
        share(hot.refused_early, hot.refused) > 0.95,
        "excess calls must be refused early: {after:?}"
    );
}

#[test]
fn nested_calls_are_served_in_time_as_often_as_without_workspaces() {
    let (before, after) = before_and_after(SHORT_TARGET_MS);
    assert!(
        before[1].served > 0,
        "nested calls must find room: {before:?}"
    );
    let in_time = |results: &[LoadResult]| share(results[1].served_in_time, results[1].offered);
    assert!(
        in_time(&after) >= in_time(&before) - 0.005,
        "{:?}, before {:?}",
        after[1],
        before[1]
    );
    assert!(
        after[1].served >= before[1].served,
        "{after:?}, before {before:?}"
    );
}
