//! What an entry does about nodes that fall silent.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

/// Two targets in the south, one in the east; the entry is in the north.
fn entry() -> EntryMachine {
    let info = |node: u64, data_centre: &str| TargetInfo {
        node: NodeId::from(node),
        boot: 1,
        data_centre: data_centre.to_owned(),
        slots: 10,
    };
    let mut entry = EntryMachine::new("north", ChaCha8Rng::seed_from_u64(1));
    let services = BTreeMap::from([
        ("press".to_owned(), vec![info(1, "south")]),
        ("desk".to_owned(), vec![info(2, "south"), info(3, "east")]),
    ]);
    entry.balancer_mut().set_targets(services);
    entry
}

fn spec(service: &str) -> CallSpec {
    CallSpec {
        service: service.to_owned(),
        route: "r".to_owned(),
        level: RankLevel::MOST_URGENT,
        idempotent: false,
        max_retries: 0,
        retry_budget_ratio: 0.0,
        spill_load: 1.0,
        timeout: Duration::from_secs(3),
        placement_rule: PlacementRule::Fastest,
        latency_target: Duration::from_secs(1),
        retries_server_errors: false,
    }
}

/// Lets the time pass and returns the nodes to which messages went, dispatches apart.
fn pass(entry: &mut EntryMachine, now: &mut Instant, millis: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut calls, mut others) = (Vec::new(), Vec::new());
    for _ in 0..=millis / 10 {
        entry.on_tick(*now);
        for action in entry.take_actions() {
            match action {
                EntryAction::Send(node, FrameBody::Dispatch(_)) => calls.push(node.get()),
                EntryAction::Send(node, _) => others.push(node.get()),
                _ => {}
            }
        }
        *now += Duration::from_millis(10);
    }
    (calls, others)
}

#[test]
fn a_silent_node_brings_its_data_centre_under_suspicion_and_probes_clear_it() {
    let mut now = Instant::now();
    let mut entry = entry();
    entry.begin_call(spec("press"), CallRequest::default(), now);
    let (calls, others) = pass(&mut entry, &mut now, 700);
    assert_eq!(calls, [1]);
    assert!(
        others.contains(&2),
        "the other node of the data centre is probed: {others:?}"
    );
    assert!(
        !others.contains(&3),
        "another data centre isn't: {others:?}"
    );

    for _ in 0..5 {
        entry.begin_call(spec("desk"), CallRequest::default(), now);
    }
    let (calls, _) = pass(&mut entry, &mut now, 10);
    assert_eq!(calls, [3, 3, 3, 3, 3], "suspects get no calls");

    entry.on_contact(NodeId::from(1), now);
    entry.begin_call(spec("press"), CallRequest::default(), now);
    let (calls, _) = pass(&mut entry, &mut now, 10);
    assert_eq!(calls, [1], "a node that is heard is used again");
}

#[test]
fn a_node_that_stays_silent_is_probed_until_it_is_heard() {
    let mut now = Instant::now();
    let mut entry = entry();
    entry.begin_call(spec("press"), CallRequest::default(), now);
    pass(&mut entry, &mut now, 4000);
    let (_, probes) = pass(&mut entry, &mut now, 2000);
    let count = probes.iter().filter(|node| **node == 1).count();
    assert!((3..=5).contains(&count), "{probes:?}");
    entry.on_contact(NodeId::from(1), now);
    entry.on_contact(NodeId::from(2), now);
    let (_, probes) = pass(&mut entry, &mut now, 2000);
    assert!(probes.is_empty(), "{probes:?}");
}

#[test]
fn a_call_kept_from_a_restarted_process_goes_to_its_successor_at_once() {
    let mut entry = entry();
    let mut now = Instant::now();
    entry.begin_call(spec("press"), CallRequest::default(), now);
    let Some(EntryAction::Send(node, FrameBody::Dispatch(dispatch))) =
        entry.take_actions().into_iter().next()
    else {
        panic!("no dispatch");
    };
    let successor = TargetInfo {
        node,
        boot: 2,
        data_centre: "south".to_owned(),
        slots: 10,
    };
    let services = BTreeMap::from([("press".to_owned(), vec![successor])]);
    entry.balancer_mut().set_targets(services);
    entry.on_dispatch_undelivered(dispatch.call, node, now);
    let sent = entry.take_actions().into_iter().any(|action| {
        matches!(action, EntryAction::Send(_, FrameBody::Dispatch(dispatch)) if dispatch.target_boot == 2)
    });
    assert!(sent, "without a pause");
    let (calls, _) = pass(&mut entry, &mut now, 50);
    assert!(calls.is_empty(), "{calls:?}");
}

fn first_dispatch(entry: &mut EntryMachine) -> CallDispatch {
    let dispatches = entry.take_actions().into_iter().find_map(|action| {
        let EntryAction::Send(_, FrameBody::Dispatch(dispatch)) = action else {
            return None;
        };
        Some(dispatch)
    });
    dispatches.expect("a dispatch")
}

#[test]
fn a_call_whose_first_try_was_lost_may_be_answered_late() {
    let mut entry = entry();
    let now = Instant::now();
    entry.begin_call(spec("desk"), CallRequest::default(), now);
    let dispatch = first_dispatch(&mut entry);
    assert_eq!(dispatch.latency_target_ms, 1000);
    let later = now + Duration::from_millis(1200);
    for node in [2, 3] {
        entry.on_dispatch_undelivered(dispatch.call, NodeId::from(node), later);
    }
    let dispatch = first_dispatch(&mut entry);
    assert!(
        dispatch.latency_target_ms > 1500,
        "{} ms",
        dispatch.latency_target_ms
    );
}

#[test]
fn a_call_that_must_not_run_twice_is_waited_for_while_its_owner_is_silent() {
    let mut entry = entry();
    let start = Instant::now();
    let call = entry.begin_call(spec("press"), CallRequest::default(), start);
    let dispatch = first_dispatch(&mut entry);
    let mut now = start;
    let mut answered = false;
    while now < start + Duration::from_millis(2500) {
        now += Duration::from_millis(10);
        entry.on_tick(now);
        answered |= entry
            .take_actions()
            .iter()
            .any(|action| matches!(action, EntryAction::Reply(..)));
    }
    assert!(!answered, "its answer may still come");
    let served = ServedAnswer {
        status: 200,
        ..ServedAnswer::default()
    };
    let answer = CallAnswer {
        call: dispatch.call,
        outcome: Some(CallOutcome::Served(served)),
        ..CallAnswer::default()
    };
    entry.on_answer(NodeId::from(1), 1, answer, now);
    let replied = entry.take_actions().into_iter().find_map(|action| {
        let EntryAction::Reply(number, reply) = action else {
            return None;
        };
        (number == call).then_some(reply.outcome.is_ok())
    });
    assert_eq!(replied, Some(true));
}
