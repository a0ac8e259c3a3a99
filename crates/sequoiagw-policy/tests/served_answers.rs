//! Which answers of an owner an entry delivers to callers. The owner may run an earlier version.

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
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

/// Boot of both owners.
const BOOT: u64 = 1;

/// An entry with two targets of the service press.
fn entry() -> EntryMachine {
    let target = |node: u64| TargetInfo {
        node: NodeId::from(node),
        boot: BOOT,
        data_centre: "north".to_owned(),
        slots: 10,
    };
    let mut entry = EntryMachine::new("north", ChaCha8Rng::seed_from_u64(1));
    let services = BTreeMap::from([("press".to_owned(), vec![target(1), target(2)])]);
    entry.balancer_mut().set_targets(services);
    entry
}

fn spec(idempotent: bool) -> CallSpec {
    CallSpec {
        service: "press".to_owned(),
        route: "r".to_owned(),
        level: RankLevel::MOST_URGENT,
        idempotent,
        max_retries: 1,
        retry_budget_ratio: 0.0,
        spill_load: 1.0,
        timeout: Duration::from_secs(3),
        placement_rule: PlacementRule::Fastest,
        latency_target: Duration::from_secs(1),
        waited: Duration::ZERO,
        retries_server_errors: true,
    }
}

/// What the entry does next: the dispatches that it sends, and how it ends the call.
#[derive(Debug, Default)]
struct EntrySteps {
    dispatches: Vec<(NodeId, u64)>,
    ended: Option<Result<u16, ErrorKind>>,
}

fn next_steps(entry: &mut EntryMachine) -> EntrySteps {
    let mut steps = EntrySteps::default();
    for action in entry.take_actions() {
        match action {
            EntryAction::Send(node, FrameBody::Dispatch(dispatch)) => {
                steps.dispatches.push((node, dispatch.call));
            }
            EntryAction::Reply(_, reply) => {
                steps.ended = Some(reply.outcome.map(|answer| answer.status.get()));
            }
            _ => {}
        }
    }
    steps
}

/// Begins a call, lets its owner answer with this status, and returns what the entry does then.
fn steps_after_answer(status: u32, idempotent: bool) -> EntrySteps {
    let now = Instant::now();
    let mut entry = entry();
    entry.begin_call(spec(idempotent), CallRequest::default(), now);
    let (owner, dispatch) = next_steps(&mut entry).dispatches[0];
    let served = ServedAnswer {
        status,
        ..ServedAnswer::default()
    };
    let answer = CallAnswer {
        call: dispatch,
        outcome: Some(CallOutcome::Served(served)),
        ..CallAnswer::default()
    };
    entry.on_answer(owner, BOOT, answer, now);
    next_steps(&mut entry)
}

/// Statuses that no final answer may have; the last two are 200 and 0 in their low 16 bits.
const INVALID_STATUSES: [u32; 9] = [0, 1, 99, 100, 101, 600, 999, 65_736, 65_536];

/// MIXED: an owner of an earlier version passes on what its backend server sent; the entry took the
/// status over, cut to 16 bits.
#[test]
fn answer_without_a_valid_status_is_not_delivered() {
    for status in INVALID_STATUSES {
        let steps = steps_after_answer(status, false);
        assert_eq!(
            steps.ended,
            Some(Err(ErrorKind::AnswerTruncated)),
            "{status}"
        );
        assert!(steps.dispatches.is_empty(), "{status} ran again");
    }
}

#[test]
fn idempotent_call_is_sent_to_another_owner_after_such_an_answer() {
    for status in INVALID_STATUSES {
        let steps = steps_after_answer(status, true);
        assert!(steps.ended.is_none(), "{status}: {steps:?}");
        assert_eq!(steps.dispatches.len(), 1, "{status}");
    }
}

/// The check of statuses must not refuse what a backend server may send.
#[test]
fn answers_with_the_lowest_and_highest_valid_status_are_delivered() {
    for status in [200, 299, 404, 499, 500, 599] {
        let steps = steps_after_answer(u32::from(status), false);
        assert_eq!(steps.ended, Some(Ok(status)));
    }
}
