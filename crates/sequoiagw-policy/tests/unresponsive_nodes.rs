//! Tests of an entry with unresponsive, restarted and unreachable nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryEvent;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

/// An entry in the north with two targets in the south and one in the east.
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
        waited: Duration::ZERO,
        retries_server_errors: false,
    }
}

/// Advances the time and returns the nodes that were sent dispatches and the nodes that were
/// sent other messages.
fn advance(entry: &mut EntryMachine, now: &mut Instant, millis: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut dispatches, mut queries) = (Vec::new(), Vec::new());
    for _ in 0..=millis / 10 {
        entry.on_tick(*now);
        for action in entry.take_actions() {
            match action {
                EntryAction::Send(node, FrameBody::Dispatch(_)) => dispatches.push(node.get()),
                EntryAction::Send(node, _) => queries.push(node.get()),
                _ => {}
            }
        }
        *now += Duration::from_millis(10);
    }
    (dispatches, queries)
}

#[test]
fn suspects_the_remote_data_centre_of_an_unresponsive_node_until_contact() {
    let mut now = Instant::now();
    let mut entry = entry();
    entry.begin_call(spec("press"), CallRequest::default(), now);
    let (dispatches, queries) = advance(&mut entry, &mut now, 700);
    assert_eq!(dispatches, [1]);
    assert!(
        queries.contains(&2),
        "the other node of the data centre must be probed: {queries:?}"
    );
    assert!(
        !queries.contains(&3),
        "a node of another data centre must not be probed: {queries:?}"
    );

    for _ in 0..5 {
        entry.begin_call(spec("desk"), CallRequest::default(), now);
    }
    let (dispatches, _) = advance(&mut entry, &mut now, 10);
    assert_eq!(
        dispatches,
        [3, 3, 3, 3, 3],
        "suspect nodes must get no calls"
    );

    entry.on_contact(NodeId::from(1), now);
    entry.begin_call(spec("press"), CallRequest::default(), now);
    let (dispatches, _) = advance(&mut entry, &mut now, 10);
    assert_eq!(
        dispatches,
        [1],
        "a node must get calls again after a message from it"
    );
}

#[test]
fn probes_an_unresponsive_node_until_contact() {
    let mut now = Instant::now();
    let mut entry = entry();
    entry.begin_call(spec("press"), CallRequest::default(), now);
    advance(&mut entry, &mut now, 4000);
    let (_, probes) = advance(&mut entry, &mut now, 2000);
    let count = probes.iter().filter(|node| **node == 1).count();
    assert!(
        (3..=5).contains(&count),
        "expected a probe every 500 ms: {probes:?}"
    );
    entry.on_contact(NodeId::from(1), now);
    entry.on_contact(NodeId::from(2), now);
    let (_, probes) = advance(&mut entry, &mut now, 2000);
    assert!(
        probes.is_empty(),
        "responsive nodes must not be probed: {probes:?}"
    );
}

#[test]
fn redispatches_to_the_new_boot_at_once_when_the_target_has_restarted() {
    let mut entry = entry();
    let mut now = Instant::now();
    entry.begin_call(spec("press"), CallRequest::default(), now);
    let Some(EntryAction::Send(node, FrameBody::Dispatch(dispatch))) =
        entry.take_actions().into_iter().next()
    else {
        panic!("the call must be dispatched");
    };
    let restarted = TargetInfo {
        node,
        boot: 2,
        data_centre: "south".to_owned(),
        slots: 10,
    };
    let services = BTreeMap::from([("press".to_owned(), vec![restarted])]);
    entry.balancer_mut().set_targets(services);
    entry.on_dispatch_undelivered(dispatch.call, node, now);
    let sent_to_new_boot = entry.take_actions().into_iter().any(|action| {
        matches!(action, EntryAction::Send(_, FrameBody::Dispatch(dispatch)) if dispatch.target_boot == 2)
    });
    assert!(
        sent_to_new_boot,
        "the call must be dispatched to the new boot at once"
    );
    let (dispatches, _) = advance(&mut entry, &mut now, 50);
    assert!(
        dispatches.is_empty(),
        "the call is dispatched once: {dispatches:?}"
    );
}

fn first_dispatch(entry: &mut EntryMachine) -> CallDispatch {
    let dispatch = entry.take_actions().into_iter().find_map(|action| {
        let EntryAction::Send(_, FrameBody::Dispatch(dispatch)) = action else {
            return None;
        };
        Some(dispatch)
    });
    dispatch.expect("the call must be dispatched")
}

#[test]
fn allows_a_late_answer_after_a_lost_attempt() {
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
fn waits_for_a_non_idempotent_call_while_its_owner_is_unresponsive() {
    let mut entry = entry();
    let start = Instant::now();
    let call = entry.begin_call(spec("press"), CallRequest::default(), start);
    let dispatch = first_dispatch(&mut entry);
    let mut now = start;
    let mut replied = false;
    while now < start + Duration::from_millis(2500) {
        now += Duration::from_millis(10);
        entry.on_tick(now);
        replied |= entry
            .take_actions()
            .iter()
            .any(|action| matches!(action, EntryAction::Reply(..)));
    }
    assert!(!replied, "the call must wait for its answer");
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
    let is_success = entry.take_actions().into_iter().find_map(|action| {
        let EntryAction::Reply(number, reply) = action else {
            return None;
        };
        (number == call).then_some(reply.outcome.is_ok())
    });
    assert_eq!(is_success, Some(true));
}

#[test]
fn record_of_an_abandoned_call_names_its_target_and_the_last_contact() {
    let mut entry = entry();
    let mut now = Instant::now();
    let call = entry.begin_call(spec("press"), CallRequest::default(), now);
    entry.take_actions();
    advance(&mut entry, &mut now, 400);
    entry.on_caller_gone(call, now);
    let record = entry
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            EntryAction::Record(EntryEvent::Abandoned(record)) => Some(record),
            _ => None,
        });
    let record = record.expect("the abandoned call should be recorded");
    assert_eq!(record.phase, "querying");
    assert_eq!(record.attempts, 1);
    assert_eq!(record.age, Duration::from_millis(410));
    assert!(record.placement.is_some());
    assert_eq!(record.last_contact_age, None);
}

/// A call with the error that its caller got, and when.
type CallEnd = (u64, Option<ErrorKind>, Instant);

/// Ticks an entry every 10 ms until `end`; returns the replies' error kinds with their times, and the
/// nodes that got cancellations.
fn run_until(entry: &mut EntryMachine, start: Instant, end: Instant) -> (Vec<CallEnd>, Vec<u64>) {
    let (mut replies, mut cancelled) = (Vec::new(), Vec::new());
    let mut now = start;
    while now < end {
        entry.on_tick(now);
        for action in entry.take_actions() {
            match action {
                EntryAction::Reply(call, reply) => replies.push((call, reply.outcome.err(), now)),
                EntryAction::Send(node, FrameBody::Cancel(_)) => cancelled.push(node.get()),
                _ => {}
            }
        }
        now += Duration::from_millis(10);
    }
    (replies, cancelled)
}

/// LOST: a call that outlasts its process kept the replies behind it from being sent.
#[test]
fn calls_that_outlast_the_process_end_before_it_and_are_cancelled_at_their_owners() {
    let now = Instant::now();
    let mut entry = entry();
    let long = CallSpec {
        timeout: Duration::from_secs(10),
        ..spec("press")
    };
    let short = CallSpec {
        timeout: Duration::from_secs(1),
        ..spec("press")
    };
    let long_call = entry.begin_call(long, CallRequest::default(), now);
    let short_call = entry.begin_call(short, CallRequest::default(), now);
    let latest = now + Duration::from_secs(5);
    entry.limit_deadlines(latest, now);
    let (replies, cancelled) = run_until(&mut entry, now, now + Duration::from_secs(12));
    let kinds: Vec<_> = replies
        .iter()
        .map(|(call, kind, _)| (*call, *kind))
        .collect();
    // Both may have run.
    let expected = [short_call, long_call].map(|call| (call, Some(ErrorKind::DeadlineRunning)));
    assert_eq!(kinds, expected);
    let ended = replies[1].2;
    assert!(ended >= latest, "the backend server may answer until then");
    assert!(ended <= latest + Duration::from_millis(50));
    assert_eq!(
        cancelled,
        [1],
        "the owner of the long call knows a later deadline"
    );
    assert_eq!(entry.open_calls(), 0);
}
