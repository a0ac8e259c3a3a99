//! A target under constant loads, as its callers observe it.

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
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::WaitLimit;
use tokio::time::Instant;

pub const SLOTS: u32 = 12;
const BOOT: u64 = 5;

/// A kind of call, offered at a constant rate.
#[derive(Clone, Copy)]
pub struct OfferedLoad {
    pub route: &'static str,
    /// Workspace of the callers, empty for none.
    pub workspace: &'static str,
    pub rank: u32,
    /// Time between two calls.
    pub interval_ms: u64,
    pub run_ms: u64,
    pub latency_target_ms: u32,
    pub deadline_ms: u32,
}

/// Outcomes of the calls of one offered load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    pub offered: u32,
    pub served_in_time: u32,
    pub served: u32,
    /// Calls refused within an eighth of the latency target.
    pub refused_early: u32,
    pub refused: u32,
}

pub fn new_owner() -> OwnerMachine {
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
pub struct Slowdown {
    pub from_ms: u64,
    pub factor: u64,
}

pub const NO_SLOWDOWN: Slowdown = Slowdown {
    from_ms: u64::MAX,
    factor: 1,
};

/// A limit on the starts at the target, in runs per second, from the first second on.
pub type StartLimit = Option<f64>;

/// Offers the loads to one target for some seconds. Calls of the first second aren't counted.
pub fn simulate(loads: &[OfferedLoad], seconds: u64) -> Vec<LoadResult> {
    simulate_target(loads, seconds, NO_SLOWDOWN, None).0
}

/// Like [`simulate`], with a target that turns slow.
pub fn simulate_slowdown(
    loads: &[OfferedLoad],
    seconds: u64,
    slowdown: Slowdown,
) -> Vec<LoadResult> {
    simulate_target(loads, seconds, slowdown, None).0
}

/// Like [`simulate`], with a target that turns slow or names a limit; also returns the times of all
/// starts.
pub fn simulate_target(
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
                status: FinalStatus::OK,
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

pub fn dispatch_of(load: &OfferedLoad, call: u64) -> CallDispatch {
    CallDispatch {
        call,
        service: "press".to_owned(),
        route: load.route.to_owned(),
        workspace: load.workspace.to_owned(),
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

pub fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Twice the capacity of the target, which is 60 such calls a second.
pub const LONG_CALL_OVERLOAD: OfferedLoad = OfferedLoad {
    route: "order",
    workspace: "",
    rank: 2,
    interval_ms: 8,
    run_ms: 200,
    latency_target_ms: 1000,
    deadline_ms: 1200,
};

/// Short calls, such as those that runs at other targets make and wait for.
pub const SHORT_CALLS: OfferedLoad = OfferedLoad {
    route: "check",
    workspace: "",
    rank: 1,
    interval_ms: 20,
    run_ms: 40,
    latency_target_ms: 150,
    deadline_ms: 250,
};
