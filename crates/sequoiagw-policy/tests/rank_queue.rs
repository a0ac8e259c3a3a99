//! Tests of the rank queue, under overload and against a naive implementation.

use std::time::Duration;

use sequoiagw_policy::CallId;
use sequoiagw_policy::PushOutcome;
use sequoiagw_policy::QueuedCall;
use sequoiagw_policy::RankQueue;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

fn queued_call(number: u64, level: u8, flow: u64, deadline: Instant) -> QueuedCall {
    let id = CallId {
        entry: NodeId::from(1),
        boot: 1,
        call: number,
    };
    QueuedCall {
        id,
        level: RankLevel::new(level),
        flow,
        due: deadline,
        deadline,
    }
}

/// Naive queue: a list in arrival order with linear search.
struct NaiveQueue {
    calls: Vec<QueuedCall>,
    limit: usize,
}

impl NaiveQueue {
    /// Takes the call with the most urgent level, then the earliest deadline, then the earliest
    /// arrival.
    fn pop(&mut self) -> Option<CallId> {
        let calls = self.calls.iter().enumerate();
        let (index, _) = calls.min_by_key(|(index, call)| (call.level, call.deadline, *index))?;
        Some(self.calls.remove(index).id)
    }

    /// Adds a call; a full queue evicts the newest call of the least urgent level, unless the
    /// new call isn't more urgent.
    fn push(&mut self, call: QueuedCall) -> PushOutcome {
        if self.calls.len() < self.limit {
            self.calls.push(call);
            return PushOutcome::Accepted;
        }
        let calls = self.calls.iter().enumerate();
        let newest = calls.max_by_key(|(index, other)| (other.level, *index));
        let Some((index, victim)) = newest.map(|(index, other)| (index, *other)) else {
            return PushOutcome::Full;
        };
        if victim.level <= call.level {
            return PushOutcome::Full;
        }
        self.calls.remove(index);
        self.calls.push(call);
        PushOutcome::Evicted(victim.id)
    }
}

#[test]
fn matches_the_naive_queue_without_shares_and_with_one_flow() {
    bolero::check!()
        .with_type::<(u8, Vec<(bool, u8, u8)>)>()
        .for_each(|(limit, operations)| {
            let limit = usize::from(limit % 12);
            let start = Instant::now();
            let mut queue = RankQueue::new(limit, [0.0; RankLevel::COUNT]);
            let mut naive = NaiveQueue {
                calls: Vec::new(),
                limit,
            };
            for (number, (push, level, wait)) in operations.iter().enumerate() {
                if *push {
                    let deadline = start + Duration::from_millis(u64::from(*wait));
                    let call = queued_call(number as u64, level % 8, 0, deadline);
                    assert_eq!(queue.push(call), naive.push(call));
                } else {
                    assert_eq!(queue.pop(RankLevel::LEAST_URGENT), naive.pop());
                }
                assert_eq!(queue.len(), naive.calls.len());
            }
        });
}

#[test]
fn never_loses_or_duplicates_a_call_in_any_sequence_of_operations() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|operations| {
            let start = Instant::now();
            let mut queue = RankQueue::new(9, [0.1; RankLevel::COUNT]);
            let mut queued = std::collections::BTreeSet::new();
            for (number, (operation, level, flow, wait)) in operations.iter().enumerate() {
                let now = start + Duration::from_millis(u64::from(*wait));
                match operation % 4 {
                    0 | 1 => {
                        let call = queued_call(number as u64, level % 8, u64::from(flow % 4), now);
                        match queue.push(call) {
                            PushOutcome::Accepted => assert!(queued.insert(call.id)),
                            PushOutcome::Evicted(victim) => {
                                assert!(queued.remove(&victim));
                                assert!(queued.insert(call.id));
                            }
                            PushOutcome::Full => {}
                        }
                    }
                    2 => {
                        let least_urgent = RankLevel::new(level % 8);
                        if let Some(id) = queue.pop(least_urgent) {
                            assert!(queued.remove(&id));
                        }
                    }
                    _ => {
                        for id in queue.take_expired(now) {
                            assert!(queued.remove(&id));
                        }
                    }
                }
                assert_eq!(queue.len(), queued.len());
                assert!(queue.len() <= 9);
            }
            while let Some(id) = queue.pop(RankLevel::LEAST_URGENT) {
                assert!(queued.remove(&id));
            }
            assert!(
                queued.is_empty(),
                "every call must be returned when all levels may be served"
            );
        });
}

/// Number of calls served by level while the given levels always have queued calls.
fn served_under_overload(
    shares: [f64; RankLevel::COUNT],
    overloaded: &[u8],
    rounds: u64,
) -> [u64; 8] {
    let deadline = Instant::now() + Duration::from_secs(3600);
    let mut queue = RankQueue::new(64, shares);
    let mut served = [0; 8];
    let mut number = 0;
    for _ in 0..rounds {
        for level in overloaded {
            for _ in 0..3 {
                number += 1;
                queue.push(queued_call(
                    number * 8 + u64::from(*level),
                    *level,
                    0,
                    deadline,
                ));
            }
        }
        let id = queue.pop(RankLevel::LEAST_URGENT).expect("queue has calls");
        served[(id.call % 8) as usize] += 1;
    }
    served
}

#[test]
fn overload_of_the_most_urgent_rank_leaves_each_rank_its_share() {
    let mut shares = [0.0; RankLevel::COUNT];
    shares[3] = 0.2;
    shares[6] = 0.05;
    let served = served_under_overload(shares, &[0, 3, 6], 10_000);
    assert!(served[3] >= 1_950, "{served:?}");
    assert!(served[6] >= 480, "{served:?}");
    assert!(served[0] >= 7_400, "{served:?}");
}

#[test]
fn gives_an_unused_share_to_the_most_urgent_rank() {
    let mut shares = [0.0; RankLevel::COUNT];
    shares[3] = 0.5;
    let served = served_under_overload(shares, &[0], 1_000);
    assert_eq!(served[0], 1_000);
}

#[test]
fn an_overloaded_flow_does_not_starve_another_flow_of_its_rank() {
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut queue = RankQueue::new(16, [0.0; RankLevel::COUNT]);
    for number in 0..100 {
        queue.push(queued_call(number, 2, 1, deadline));
    }
    let single = queued_call(1_000, 2, 2, deadline + Duration::from_secs(1));
    assert!(matches!(queue.push(single), PushOutcome::Evicted(_)));
    let first = queue.pop(RankLevel::LEAST_URGENT);
    let second = queue.pop(RankLevel::LEAST_URGENT);
    assert!([first, second].contains(&Some(single.id)));
}

#[test]
fn pop_returns_only_calls_of_the_permitted_levels() {
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut queue = RankQueue::new(16, [0.0; RankLevel::COUNT]);
    queue.push(queued_call(1, 4, 0, deadline));
    assert_eq!(queue.pop(RankLevel::MOST_URGENT), None);
    assert!(queue.pop(RankLevel::LEAST_URGENT).is_some());
}

/// Numbers of the calls in the order in which the queue serves them.
fn served_order(queue: &mut RankQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(RankLevel::LEAST_URGENT))
        .map(|id| id.call)
        .collect()
}

#[test]
fn calls_of_the_shared_flow_are_served_no_later_than_by_due_times_alone() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|calls| {
            let start = Instant::now();
            let mut queue = RankQueue::new(usize::MAX, [0.0; RankLevel::COUNT]);
            let mut by_due = RankQueue::new(usize::MAX, [0.0; RankLevel::COUNT]);
            let mut shared = Vec::new();
            for (number, (flow, wait)) in (0..).zip(calls) {
                let due = start + Duration::from_millis(u64::from(*wait));
                let flow = u64::from(flow % 4);
                queue.push(queued_call(number, 3, flow, due));
                by_due.push(queued_call(number, 3, 0, due));
                if flow == 0 {
                    shared.push(number);
                }
            }
            let (order, order_by_due) = (served_order(&mut queue), served_order(&mut by_due));
            assert_eq!(order.len(), order_by_due.len());
            for call in shared {
                let place = |order: &[u64]| order.iter().position(|other| *other == call);
                assert!(place(&order) <= place(&order_by_due), "{call}: {order:?}");
            }
        });
}

#[test]
fn flows_take_turns_and_the_shared_flow_goes_by_its_due_times() {
    let start = Instant::now();
    let mut queue = RankQueue::new(20, [0.0; RankLevel::COUNT]);
    let due = |ms| start + Duration::from_millis(ms);
    for number in 0..4 {
        queue.push(queued_call(number, 3, 1, due(100 + number)));
    }
    queue.push(queued_call(4, 3, 2, due(200)));
    queue.push(queued_call(5, 3, 0, due(50)));
    queue.push(queued_call(6, 3, 0, due(150)));
    let level = RankLevel::new(3);
    assert_eq!(
        queue.queued_ahead(level, 3, due(300)),
        4,
        "one turn of each flow and two"
    );
    assert_eq!(queue.queued_ahead(level, 2, due(300)), 5);
    assert_eq!(
        queue.queued_ahead(level, 0, due(120)),
        6,
        "the call 4 is due later"
    );
    assert_eq!(served_order(&mut queue), [5, 0, 6, 4, 1, 2, 3]);
}

#[test]
fn full_queue_evicts_no_call_of_the_shared_flow_for_one_of_another_flow() {
    let start = Instant::now();
    let mut queue = RankQueue::new(5, [0.0; RankLevel::COUNT]);
    for number in 0..4 {
        queue.push(queued_call(number, 3, 0, start));
    }
    let of_flow = queued_call(4, 3, 1, start);
    queue.push(of_flow);
    assert_eq!(queue.push(queued_call(5, 3, 2, start)), PushOutcome::Full);
    let urgent = queued_call(6, 1, 0, start);
    assert_eq!(queue.push(urgent), PushOutcome::Evicted(of_flow.id));
}
