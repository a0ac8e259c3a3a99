//! Requests that are held back while they wait, are under way or are retried.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::CallAction;
use sequoiagw_node::CallMachines;
use sequoiagw_node::NodeCounters;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CrashTable;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::RequestIdentity;
use sequoiagw_policy::RunId;
use sequoiagw_policy::ServerProcess;
use sequoiagw_policy::SlotRule;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::CrashRecords;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

const BOOT: u64 = 1;
const OTHER_NODE: u64 = 2;
const POISON: &str = "/poison";

/// A node whose backend server has one slot, and another node with the same service.
fn machines() -> CallMachines {
    let settings = OwnerSettings {
        service: "press".to_owned(),
        slots: 1,
        queue_limit: 10,
        slot_rule: SlotRule::Fixed,
        ..OwnerSettings::default()
    };
    let mut entry = EntryMachine::new("north", ChaCha8Rng::seed_from_u64(1));
    let target = |node: u64| TargetInfo {
        node: NodeId::from(node),
        boot: BOOT,
        data_centre: "north".to_owned(),
        slots: 1,
    };
    let targets = [OTHER_NODE, OTHER_NODE + 1].map(target).to_vec();
    entry
        .balancer_mut()
        .set_targets(BTreeMap::from([("press".to_owned(), targets)]));
    let owner = OwnerMachine::new(NodeId::from(9), BOOT, settings);
    CallMachines::new(entry, owner, NodeCounters::default())
}

fn dispatch(call: u64, path: &str) -> CallDispatch {
    CallDispatch {
        call,
        service: "press".to_owned(),
        path: path.to_owned(),
        remaining_ms: 5000,
        target_boot: BOOT,
        idempotent: true,
        ..CallDispatch::default()
    }
}

/// What another node reports of crashes of `servers` processes by the poison.
fn crashes(servers: u64, now: Instant) -> CrashRecords {
    let poison = dispatch(0, POISON);
    let digest = RequestIdentity::of_dispatch(&poison).digest();
    let mut table = CrashTable::default();
    for server in 1..=servers {
        table.record_crash(digest, ServerProcess(server), now);
    }
    CrashRecords {
        records: table.records(now),
        ..CrashRecords::default()
    }
}

/// Runs and refusals among the actions of a node, the latter with the number of the call.
fn runs_and_refusals(machines: &mut CallMachines, now: Instant) -> (Vec<RunId>, Vec<u64>) {
    let (mut runs, mut refusals) = (Vec::new(), Vec::new());
    for action in machines.take_actions(|_| None, now) {
        match action {
            CallAction::Run(request) => runs.push(request.run),
            CallAction::Send(_, FrameBody::Answer(answer)) => {
                assert_eq!(
                    answer.outcome,
                    Some(CallOutcome::refused(ErrorKind::RequestHeld))
                );
                refusals.push(answer.call);
            }
            _ => {}
        }
    }
    (runs, refusals)
}

#[test]
fn request_held_while_queued_or_on_its_way_never_runs() {
    let now = Instant::now();
    let mut machines = machines();
    let entry = NodeId::from(OTHER_NODE);
    let owner = &mut machines.owner;
    owner.on_dispatch(entry, 1, dispatch(1, "/sound"), now);
    owner.on_dispatch(entry, 1, dispatch(2, POISON), now);
    let (runs, refusals) = runs_and_refusals(&mut machines, now);
    assert_eq!((runs.len(), refusals), (1, vec![]));
    machines.on_crash_records(&crashes(3, now), now);
    let (_, refusals) = runs_and_refusals(&mut machines, now);
    assert_eq!(refusals, [2], "the queued call");
    machines
        .owner
        .on_result(runs[0], BackendResult::Aborted, now);
    machines.take_actions(|_| None, now);
    machines
        .owner
        .on_dispatch(entry, 1, dispatch(3, POISON), now);
    let (runs, refusals) = runs_and_refusals(&mut machines, now);
    assert_eq!((runs, refusals), (vec![], vec![3]));
}

fn spec() -> CallSpec {
    CallSpec {
        service: "press".to_owned(),
        route: "look".to_owned(),
        level: RankLevel::MOST_URGENT,
        idempotent: true,
        max_retries: 1,
        retry_budget_ratio: 1.0,
        spill_load: 1.0,
        timeout: Duration::from_secs(3),
        placement_rule: PlacementRule::Fastest,
        latency_target: Duration::from_secs(1),
        waited: Duration::ZERO,
        retries_server_errors: true,
    }
}

/// Nodes that got a dispatch, and the errors that callers got.
fn dispatches_and_errors(
    machines: &mut CallMachines,
    now: Instant,
) -> (Vec<(NodeId, u64)>, Vec<ErrorKind>) {
    let (mut dispatches, mut errors) = (Vec::new(), Vec::new());
    for action in machines.take_actions(|_| None, now) {
        match action {
            CallAction::Send(node, FrameBody::Dispatch(dispatch)) => {
                dispatches.push((node, dispatch.call));
            }
            CallAction::Reply(_, reply) => errors.extend(reply.outcome.err()),
            _ => {}
        }
    }
    (dispatches, errors)
}

#[test]
fn request_one_crash_short_of_being_held_is_not_retried_and_not_called_unrun() {
    let now = Instant::now();
    for (known_crashes, retried) in [(1, true), (2, false), (3, false)] {
        let mut machines = machines();
        let request = CallRequest {
            path: POISON.to_owned(),
            ..CallRequest::default()
        };
        machines.begin_call(spec(), request, now);
        let (dispatches, _) = dispatches_and_errors(&mut machines, now);
        let (node, call) = dispatches[0];
        machines.on_crash_records(&crashes(known_crashes, now), now);
        let answer = CallAnswer {
            call,
            entry_boot: BOOT,
            outcome: Some(CallOutcome::refused(ErrorKind::BackendBroken)),
            ..CallAnswer::default()
        };
        machines.entry.on_answer(node, BOOT, answer, now);
        let (dispatches, errors) = dispatches_and_errors(&mut machines, now);
        assert_eq!(!dispatches.is_empty(), retried, "{known_crashes} crashes");
        if !retried {
            assert_eq!(errors, [ErrorKind::BackendBroken]);
        }
    }
}

#[test]
fn process_that_answers_a_later_run_has_not_crashed() {
    let now = Instant::now();
    let mut machines = machines();
    machines.crashes.set_server(Some(ServerProcess(1)));
    let entry = NodeId::from(OTHER_NODE);
    for (call, result) in [
        (1, BackendResult::Crashed),
        (
            2,
            BackendResult::Answered {
                status: FinalStatus::OK,
                headers: Vec::new(),
                body: bytes::Bytes::new(),
            },
        ),
    ] {
        let path = ["", POISON, "/sound"][call as usize];
        machines
            .owner
            .on_dispatch(entry, 1, dispatch(call, path), now);
        let (runs, _) = runs_and_refusals(&mut machines, now);
        machines.on_run_finished(runs[0], result, now);
        machines.take_actions(|_| None, now);
    }
    machines.on_crash_records(&crashes(4, now), now);
    let held = &machines.crashes.held(now)[0];
    assert!(!held.servers.contains(&ServerProcess(1)), "{held:?}");
}

#[test]
fn end_of_a_leaving_backend_server_is_no_crash() {
    let now = Instant::now();
    let mut machines = machines();
    machines.crashes.set_server(None);
    machines
        .owner
        .on_dispatch(NodeId::from(OTHER_NODE), 1, dispatch(1, POISON), now);
    machines.take_actions(|_| None, now);
    machines.on_run_finished(RunId(0), BackendResult::Crashed, now);
    assert!(machines.crashes.is_empty());
}
