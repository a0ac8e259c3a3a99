//! Calls at a backend server that names a limit.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::OwnerAction;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::target_simulation::dispatch_of;
use crate::target_simulation::new_owner;
use crate::target_simulation::share;
use crate::target_simulation::simulate_target;
use crate::target_simulation::LONG_CALL_OVERLOAD;
use crate::target_simulation::NO_SLOWDOWN;
use crate::target_simulation::SLOTS;

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
                status: FinalStatus::OK,
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
