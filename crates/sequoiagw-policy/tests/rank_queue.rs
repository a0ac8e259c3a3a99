//! The rank queue against a naive version and under floods.

use std::time::Duration;

use sequoiagw_policy::CallId;
use sequoiagw_policy::PushOutcome;
use sequoiagw_policy::QueuedCall;
use sequoiagw_policy::RankQueue;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

fn call(number: u64, level: u8, flow: u64, deadline: Instant) -> QueuedCall {
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

/// One queue in arrival order, searched from end to end.
struct NaiveQueue {
    calls: Vec<QueuedCall>,
    limit: usize,
}

impl NaiveQueue {
    /// Most urgent level, then earliest deadline, then arrival.
    fn pop(&mut self) -> Option<CallId> {
        let keys = self.calls.iter().enumerate();
        let (index, _) = keys.min_by_key(|(index, call)| (call.level, call.deadline, *index))?;
        Some(self.calls.remove(index).id)
    }

    /// Drops the least urgent, newest call when full.
    fn push(&mut self, call: QueuedCall) -> PushOutcome {
        if self.calls.len() < self.limit {
            self.calls.push(call);
            return PushOutcome::Accepted;
        }
        let keys = self.calls.iter().enumerate();
        let worst = keys.max_by_key(|(index, other)| (other.level, *index));
        let Some((index, other)) = worst.map(|(index, other)| (index, *other)) else {
            return PushOutcome::Full;
        };
        if other.level <= call.level {
            return PushOutcome::Full;
        }
        self.calls.remove(index);
        self.calls.push(call);
        PushOutcome::Evicted(other.id)
    }
}

#[test]
fn without_shares_and_with_one_flow_it_agrees_with_the_naive_queue() {
    bolero::check!()
        .with_type::<(u8, Vec<(bool, u8, u8)>)>()
        .for_each(|(limit, steps)| {
            let limit = usize::from(limit % 12);
            let start = Instant::now();
            let mut queue = RankQueue::new(limit, [0.0; RankLevel::COUNT]);
            let mut naive = NaiveQueue {
                calls: Vec::new(),
                limit,
            };
            for (number, (push, level, wait)) in steps.iter().enumerate() {
                if *push {
                    let deadline = start + Duration::from_millis(u64::from(*wait));
                    let call = call(number as u64, level % 8, 0, deadline);
                    assert_eq!(queue.push(call), naive.push(call));
                } else {
                    assert_eq!(queue.pop(RankLevel::LEAST_URGENT), naive.pop());
                }
                assert_eq!(queue.len(), naive.calls.len());
            }
        });
}

#[test]
fn no_call_is_lost_or_doubled_whatever_the_order_of_steps() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|steps| {
            let start = Instant::now();
            let mut queue = RankQueue::new(9, [0.1; RankLevel::COUNT]);
            let mut inside = std::collections::BTreeSet::new();
            for (number, (step, level, flow, wait)) in steps.iter().enumerate() {
                let now = start + Duration::from_millis(u64::from(*wait));
                match step % 4 {
                    0 | 1 => {
                        let call = call(number as u64, level % 8, u64::from(flow % 4), now);
                        match queue.push(call) {
                            PushOutcome::Accepted => assert!(inside.insert(call.id)),
                            PushOutcome::Evicted(victim) => {
                                assert!(inside.remove(&victim));
                                assert!(inside.insert(call.id));
                            }
                            PushOutcome::Full => {}
                        }
                    }
                    2 => {
                        let least = RankLevel::new(level % 8);
                        if let Some(id) = queue.pop(least) {
                            assert!(inside.remove(&id));
                        }
                    }
                    _ => {
                        for id in queue.take_expired(now) {
                            assert!(inside.remove(&id));
                        }
                    }
                }
                assert_eq!(queue.len(), inside.len());
                assert!(queue.len() <= 9);
            }
            while let Some(id) = queue.pop(RankLevel::LEAST_URGENT) {
                assert!(inside.remove(&id));
            }
            assert!(inside.is_empty(), "work was left while slots were free");
        });
}

/// Calls served per level while the levels given are always full.
fn served_in_flood(shares: [f64; RankLevel::COUNT], flooded: &[u8], rounds: u64) -> [u64; 8] {
    let deadline = Instant::now() + Duration::from_secs(3600);
    let mut queue = RankQueue::new(64, shares);
    let mut served = [0; 8];
    let mut number = 0;
    for _ in 0..rounds {
        for level in flooded {
            for _ in 0..3 {
                number += 1;
                queue.push(call(number * 8 + u64::from(*level), *level, 0, deadline));
            }
        }
        let id = queue.pop(RankLevel::LEAST_URGENT).expect("flooded");
        served[(id.call % 8) as usize] += 1;
    }
    served
}

#[test]
fn a_flood_of_the_most_urgent_leaves_each_rank_its_share() {
    let mut shares = [0.0; RankLevel::COUNT];
    shares[3] = 0.2;
    shares[6] = 0.05;
    let served = served_in_flood(shares, &[0, 3, 6], 10_000);
    assert!(served[3] >= 1_950, "{served:?}");
    assert!(served[6] >= 480, "{served:?}");
    assert!(served[0] >= 7_400, "{served:?}");
}

#[test]
fn an_unused_share_goes_to_the_urgent() {
    let mut shares = [0.0; RankLevel::COUNT];
    shares[3] = 0.5;
    let served = served_in_flood(shares, &[0], 1_000);
    assert_eq!(served[0], 1_000);
}

#[test]
fn a_flooding_flow_does_not_starve_another_of_its_rank() {
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut queue = RankQueue::new(16, [0.0; RankLevel::COUNT]);
    for number in 0..100 {
        queue.push(call(number, 2, 1, deadline));
    }
    let quiet = call(1_000, 2, 2, deadline + Duration::from_secs(1));
    assert!(matches!(queue.push(quiet), PushOutcome::Evicted(_)));
    let first = queue.pop(RankLevel::LEAST_URGENT);
    let second = queue.pop(RankLevel::LEAST_URGENT);
    assert!([first, second].contains(&Some(quiet.id)));
}

#[test]
fn a_reserved_slot_takes_only_the_levels_it_is_kept_for() {
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut queue = RankQueue::new(16, [0.0; RankLevel::COUNT]);
    queue.push(call(1, 4, 0, deadline));
    assert_eq!(queue.pop(RankLevel::MOST_URGENT), None);
    assert!(queue.pop(RankLevel::LEAST_URGENT).is_some());
}
