//! A target under more work than it can take, as its callers see it.

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

/// A kind of call, offered at an even rate.
#[derive(Clone, Copy)]
struct OfferedLoad {
    route: &'static str,
    rank: u32,
    /// Milliseconds between two calls.
    gap_ms: u64,
    work_ms: u64,
    aim_ms: u32,
    deadline_ms: u32,
}

/// What became of one kind's calls.
#[derive(Clone, Copy, Debug, Default)]
struct KindResult {
    offered: u32,
    in_aim: u32,
    served: u32,
    /// Refused within an eighth of the aim.
    refused_at_once: u32,
    refused: u32,
}

struct OpenCall {
    kind: usize,
    began: Instant,
}

/// Offers loads to one target for some seconds; counts from the second second on.
fn play(loads: &[OfferedLoad], seconds: u64) -> Vec<KindResult> {
    let settings = OwnerSettings {
        service: "press".to_owned(),
        slots: SLOTS,
        queue_limit: 240,
        slot_rule: SlotRule::Fixed,
        ..OwnerSettings::default()
    };
    let mut owner = OwnerMachine::new(NodeId::from(9), BOOT, settings);
    let start = Instant::now();
    let mut results = vec![KindResult::default(); loads.len()];
    let mut open: BTreeMap<u64, OpenCall> = BTreeMap::new();
    let mut runs: BTreeMap<RunId, Instant> = BTreeMap::new();
    let mut next = 0;
    for millis in 0..seconds * 1000 {
        let now = start + Duration::from_millis(millis);
        for (kind, load) in loads.iter().enumerate() {
            if millis % load.gap_ms == 0 {
                next += 1;
                open.insert(next, OpenCall { kind, began: now });
                owner.on_dispatch(NodeId::from(1), 1, dispatch_of(load, next), now);
            }
        }
        let ended: Vec<RunId> = runs
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(run, _)| *run)
            .collect();
        for run in ended {
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
                    let route = request.dispatch.route.as_str();
                    let load = loads.iter().find(|load| load.route == route);
                    let work = load.expect("a kind").work_ms;
                    runs.insert(request.run, now + Duration::from_millis(work));
                }
                OwnerAction::Abort(run) => {
                    runs.remove(&run);
                    owner.on_result(run, BackendResult::Aborted, now);
                }
                OwnerAction::Answer(_, answer) => {
                    let Some(call) = open.remove(&answer.call) else {
                        continue;
                    };
                    let held = now - call.began;
                    if call.began >= start + Duration::from_secs(1) {
                        let aim = Duration::from_millis(u64::from(loads[call.kind].aim_ms));
                        note(&mut results[call.kind], answer.outcome.as_ref(), held, aim);
                    }
                }
                OwnerAction::Claim(..) | OwnerAction::RecordRefusal(_) => {}
            }
        }
    }
    results
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
        latency_target_ms: load.aim_ms,
        ..CallDispatch::default()
    }
}

fn note(result: &mut KindResult, outcome: Option<&CallOutcome>, held: Duration, aim: Duration) {
    result.offered += 1;
    if matches!(outcome, Some(CallOutcome::Served(_))) {
        result.served += 1;
        result.in_aim += u32::from(held <= aim);
    } else {
        result.refused += 1;
        result.refused_at_once += u32::from(held <= aim / 8);
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// 60 calls a second fill the slots; this is twice as many.
const PATIENT_FLOOD: OfferedLoad = OfferedLoad {
    route: "order",
    rank: 2,
    gap_ms: 8,
    work_ms: 200,
    aim_ms: 1000,
    deadline_ms: 1200,
};

/// Short calls that runs elsewhere wait for.
const SHORT_CALLS: OfferedLoad = OfferedLoad {
    route: "check",
    rank: 1,
    gap_ms: 20,
    work_ms: 40,
    aim_ms: 150,
    deadline_ms: 250,
};

#[test]
fn in_a_flood_the_slots_stay_busy_and_what_cant_be_served_is_refused_at_once() {
    let results = play(&[PATIENT_FLOOD], 12);
    let flood = results[0];
    let capacity = f64::from(SLOTS) / 0.2 * 10.0;
    assert!(f64::from(flood.served) > 0.9 * capacity, "{flood:?}");
    assert!(share(flood.in_aim, flood.served) > 0.95, "{flood:?}");
    assert!(
        share(flood.refused_at_once, flood.refused) > 0.95,
        "{flood:?}"
    );
}

#[test]
fn short_urgent_calls_keep_their_aim_while_patient_ones_flood() {
    let results = play(&[PATIENT_FLOOD, SHORT_CALLS], 12);
    let (flood, short) = (results[0], results[1]);
    assert!(share(short.in_aim, short.offered) > 0.97, "{short:?}");
    assert!(share(flood.in_aim, flood.served) > 0.9, "{flood:?}");
    assert!(
        share(flood.refused_at_once, flood.refused) > 0.9,
        "{flood:?}"
    );
}

#[test]
fn short_calls_are_served_late_rather_than_refused_while_long_ones_are_as_urgent() {
    let long = OfferedLoad {
        rank: 1,
        aim_ms: 400,
        ..PATIENT_FLOOD
    };
    let short = OfferedLoad {
        aim_ms: 60,
        ..SHORT_CALLS
    };
    let results = play(&[long, short], 12);
    assert!(
        share(results[1].served, results[1].offered) > 0.97,
        "{results:?}"
    );
}

#[test]
fn below_capacity_nothing_is_refused() {
    let calm = OfferedLoad {
        gap_ms: 25,
        ..PATIENT_FLOOD
    };
    let results = play(&[calm, SHORT_CALLS], 8);
    assert!(results.iter().all(|kind| kind.refused == 0), "{results:?}");
}
