//! The owner: slots by rank, barring, expiry, cancellation and draining.

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
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

const BOOT: u64 = 5;

struct OwnerCase {
    owner: OwnerMachine,
    now: Instant,
    next: u64,
    /// Runs under way with their ends and ranks.
    runs: BTreeMap<RunId, (Instant, u32)>,
    served: [u64; 8],
    outcomes: BTreeMap<u64, CallOutcome>,
}

fn entry() -> NodeId {
    NodeId::from(1)
}

fn answered() -> BackendResult {
    BackendResult::Answered {
        status: 200,
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

impl OwnerCase {
    fn new(slots: u32, queue_limit: usize, shares: [f64; RankLevel::COUNT]) -> Self {
        let settings = OwnerSettings {
            service: "press".to_owned(),
            slots,
            queue_limit,
            reserved_slots: 1,
            shares,
            most_urgent: RankLevel::MOST_URGENT,
            key_window: Duration::from_secs(900),
            slot_rule: SlotRule::Adaptive,
        };
        let mut case = Self {
            owner: OwnerMachine::new(NodeId::from(9), BOOT, settings),
            now: Instant::now(),
            next: 0,
            runs: BTreeMap::new(),
            served: [0; 8],
            outcomes: BTreeMap::new(),
        };
        // Answers open all slots of a cold server.
        for _ in 0..slots * slots {
            case.dispatch(0, 60_000);
            case.pass(20);
        }
        case.served = [0; 8];
        case
    }

    fn dispatch(&mut self, rank: u32, remaining_ms: u32) -> u64 {
        self.next += 1;
        let dispatch = CallDispatch {
            call: self.next,
            service: "press".to_owned(),
            rank,
            remaining_ms,
            target_boot: BOOT,
            idempotent: true,
            ..CallDispatch::default()
        };
        self.owner.on_dispatch(entry(), 1, dispatch, self.now);
        self.collect();
        self.next
    }

    fn collect(&mut self) {
        for action in self.owner.take_actions() {
            match action {
                OwnerAction::Run(request) => {
                    let end = self.now + Duration::from_millis(20);
                    self.runs.insert(request.run, (end, request.dispatch.rank));
                }
                OwnerAction::Answer(_, answer) => {
                    self.outcomes
                        .insert(answer.call, answer.outcome.expect("outcome"));
                }
                OwnerAction::Abort(run) => {
                    self.runs.remove(&run);
                    self.owner.on_result(run, BackendResult::Aborted, self.now);
                }
                OwnerAction::Claim(..) | OwnerAction::RecordRefusal(_) => {}
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += Duration::from_millis(1);
            let ended: Vec<RunId> = self
                .runs
                .iter()
                .filter(|(_, (end, _))| *end <= self.now)
                .map(|(run, _)| *run)
                .collect();
            for run in ended {
                let (_, rank) = self.runs.remove(&run).expect("runs");
                self.served[rank as usize] += 1;
                self.owner.on_result(run, answered(), self.now);
                self.collect();
            }
            self.owner.on_tick(self.now);
            self.collect();
        }
    }

    fn refusal(&self, call: u64) -> Option<ErrorKind> {
        match self.outcomes.get(&call) {
            Some(CallOutcome::Refused(refused)) => ErrorKind::from_code(refused.kind),
            _ => None,
        }
    }
}

fn shares() -> [f64; RankLevel::COUNT] {
    let mut shares = [0.0; RankLevel::COUNT];
    shares[3] = 0.2;
    shares[6] = 0.05;
    shares
}

#[test]
fn a_flood_of_the_most_urgent_leaves_lower_ranks_their_shares_of_slots() {
    let mut case = OwnerCase::new(12, 64, shares());
    for _ in 0..4_000 {
        for rank in [0, 0, 0, 3, 6] {
            case.dispatch(rank, 500);
        }
        case.pass(1);
    }
    let total: u64 = case.served.iter().sum();
    let share = |rank: usize| case.served[rank] as f64 / total as f64;
    assert!(share(3) > 0.19, "{:?}", case.served);
    assert!(share(6) > 0.045, "{:?}", case.served);
    assert!(share(0) > 0.70, "{:?}", case.served);
}

#[test]
fn a_flood_of_the_least_urgent_never_makes_the_urgent_wait() {
    let mut case = OwnerCase::new(12, 64, shares());
    for step in 0..1_000 {
        for _ in 0..3 {
            case.dispatch(6, 500);
        }
        if step % 20 == 0 {
            let before = case.runs.values().filter(|(_, rank)| *rank == 0).count();
            case.dispatch(0, 500);
            let after = case.runs.values().filter(|(_, rank)| *rank == 0).count();
            assert_eq!(
                after,
                before + 1,
                "the urgent call had to wait at step {step}"
            );
        }
        case.pass(1);
    }
}

#[test]
fn a_call_asked_about_before_it_comes_is_barred_for_good() {
    let mut case = OwnerCase::new(4, 4, shares());
    let call = case.next + 1;
    let query = CallQuery {
        call,
        target_boot: BOOT,
    };
    case.owner.on_query(entry(), 1, query, case.now);
    case.collect();
    assert_eq!(case.refusal(call), Some(ErrorKind::CallBarred));
    case.pass(5_000);
    case.dispatch(0, 1_000);
    assert_eq!(case.refusal(call), Some(ErrorKind::CallBarred));
    assert!(case.runs.is_empty());
}

#[test]
fn an_answered_call_asked_about_much_later_is_unknown_and_never_not_run() {
    let mut case = OwnerCase::new(4, 4, shares());
    let call = case.dispatch(0, 1_000);
    case.pass(20_000);
    case.outcomes.clear();
    case.owner.on_query(
        entry(),
        1,
        CallQuery {
            call,
            target_boot: BOOT,
        },
        case.now,
    );
    case.collect();
    assert_eq!(case.refusal(call), Some(ErrorKind::TargetLost));
}

#[test]
fn a_query_for_an_earlier_boot_is_unknown() {
    let mut case = OwnerCase::new(4, 4, shares());
    case.owner.on_query(
        entry(),
        1,
        CallQuery {
            call: 99_999,
            target_boot: BOOT - 1,
        },
        case.now,
    );
    case.collect();
    assert_eq!(case.refusal(99_999), Some(ErrorKind::TargetLost));
}

#[test]
fn a_call_that_waits_past_its_deadline_is_refused_as_not_run() {
    let mut case = OwnerCase::new(1, 4, shares());
    case.dispatch(0, 1_000);
    let late = case.dispatch(0, 10);
    case.pass(15);
    assert_eq!(case.refusal(late), Some(ErrorKind::DeadlineQueued));
}

#[test]
fn a_cancelled_call_that_waits_never_runs() {
    let mut case = OwnerCase::new(1, 4, shares());
    case.dispatch(0, 1_000);
    let gone = case.dispatch(0, 1_000);
    case.owner.on_cancel(entry(), 1, gone, case.now);
    case.collect();
    let served = case.served[0];
    case.pass(100);
    assert_eq!(case.refusal(gone), Some(ErrorKind::CallerGone));
    assert_eq!(case.served[0], served + 1);
}

#[test]
fn a_drain_refuses_what_waits_and_finishes_what_runs() {
    let mut case = OwnerCase::new(1, 4, shares());
    let running = case.dispatch(0, 1_000);
    let waiting = case.dispatch(0, 1_000);
    case.owner.drain(case.now);
    case.collect();
    let new = case.dispatch(0, 1_000);
    case.pass(50);
    assert!(matches!(case.outcomes[&running], CallOutcome::Served(_)));
    assert_eq!(case.refusal(waiting), Some(ErrorKind::TargetDraining));
    assert_eq!(case.refusal(new), Some(ErrorKind::TargetDraining));
    assert_eq!(case.owner.open_calls(), 0);
}

#[test]
fn shedding_cuts_the_slots_and_answers_open_them_again() {
    let mut case = OwnerCase::new(10, 4, shares());
    assert_eq!(case.owner.load(Instant::now()).slots, 10);
    case.dispatch(0, 1_000);
    let run = *case.runs.keys().next().expect("runs");
    case.runs.clear();
    case.owner.on_result(run, BackendResult::Shed, case.now);
    case.collect();
    assert_eq!(case.owner.load(Instant::now()).slots, 8);
    for _ in 0..40 {
        case.dispatch(0, 1_000);
        case.pass(21);
    }
    assert_eq!(case.owner.load(Instant::now()).slots, 10);
}
