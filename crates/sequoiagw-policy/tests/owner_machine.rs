//! Tests of the owner's state machine: slots by rank, fencing, expiry, cancellation and draining.

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
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

const BOOT: u64 = 5;

/// An owner with a simulated backend server whose runs take 20 ms.
struct OwnerFixture {
    owner: OwnerMachine,
    now: Instant,
    last_call: u64,
    /// End time and rank of each run.
    runs: BTreeMap<RunId, (Instant, u32)>,
    /// Number of served calls by rank.
    served: [u64; 8],
    outcomes: BTreeMap<u64, CallOutcome>,
}

fn entry_id() -> NodeId {
    NodeId::from(1)
}

fn answered_result() -> BackendResult {
    BackendResult::Answered {
        status: FinalStatus::OK,
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

impl OwnerFixture {
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
        let mut fixture = Self {
            owner: OwnerMachine::new(NodeId::from(9), BOOT, settings),
            now: Instant::now(),
            last_call: 0,
            runs: BTreeMap::new(),
            served: [0; 8],
            outcomes: BTreeMap::new(),
        };
        // A cold server gets all its slots only after enough answered calls.
        for _ in 0..slots * slots {
            fixture.dispatch(0, 60_000);
            fixture.advance(20);
        }
        fixture.served = [0; 8];
        fixture
    }

    /// Dispatches a call and returns its number.
    fn dispatch(&mut self, rank: u32, remaining_ms: u32) -> u64 {
        self.last_call += 1;
        let dispatch = CallDispatch {
            call: self.last_call,
            service: "press".to_owned(),
            rank,
            remaining_ms,
            target_boot: BOOT,
            idempotent: true,
            ..CallDispatch::default()
        };
        self.owner.on_dispatch(entry_id(), 1, dispatch, self.now);
        self.apply_actions();
        self.last_call
    }

    /// Carries out the actions of the owner.
    fn apply_actions(&mut self) {
        for action in self.owner.take_actions() {
            match action {
                OwnerAction::Run(request) => {
                    let end = self.now + Duration::from_millis(20);
                    self.runs.insert(request.run, (end, request.dispatch.rank));
                }
                OwnerAction::Answer(_, answer) => {
                    self.outcomes
                        .insert(answer.call, answer.outcome.expect("answer has an outcome"));
                }
                OwnerAction::Abort(run) => {
                    self.runs.remove(&run);
                    self.owner.on_result(run, BackendResult::Aborted, self.now);
                }
                OwnerAction::Claim(..) | OwnerAction::RecordRefusal(_) => {}
            }
        }
    }

    /// Advances the time in steps of 1 ms.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += Duration::from_millis(1);
            let finished: Vec<RunId> = self
                .runs
                .iter()
                .filter(|(_, (end, _))| *end <= self.now)
                .map(|(run, _)| *run)
                .collect();
            for run in finished {
                let (_, rank) = self.runs.remove(&run).expect("finished run");
                self.served[rank as usize] += 1;
                self.owner.on_result(run, answered_result(), self.now);
                self.apply_actions();
            }
            self.owner.on_tick(self.now);
            self.apply_actions();
        }
    }

    /// Error kind with which a call was refused, if it was.
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
fn overload_of_the_most_urgent_rank_leaves_lower_ranks_their_shares_of_slots() {
    let mut fixture = OwnerFixture::new(12, 64, shares());
    for _ in 0..4_000 {
        for rank in [0, 0, 0, 3, 6] {
            fixture.dispatch(rank, 500);
        }
        fixture.advance(1);
    }
    let total: u64 = fixture.served.iter().sum();
    let share = |rank: usize| fixture.served[rank] as f64 / total as f64;
    assert!(
        share(3) > 0.19,
        "rank 3 must get its share: {:?}",
        fixture.served
    );
    assert!(
        share(6) > 0.045,
        "rank 6 must get its share: {:?}",
        fixture.served
    );
    assert!(
        share(0) > 0.70,
        "rank 0 must get the rest: {:?}",
        fixture.served
    );
}

#[test]
fn overload_of_a_low_rank_does_not_delay_the_most_urgent_rank() {
    let mut fixture = OwnerFixture::new(12, 64, shares());
    for step in 0..1_000 {
        for _ in 0..3 {
            fixture.dispatch(6, 500);
        }
        if step % 20 == 0 {
            let before = fixture.runs.values().filter(|(_, rank)| *rank == 0).count();
            fixture.dispatch(0, 500);
            let after = fixture.runs.values().filter(|(_, rank)| *rank == 0).count();
            assert_eq!(
                after,
                before + 1,
                "the urgent call must start at once at step {step}"
            );
        }
        fixture.advance(1);
    }
}

#[test]
fn refuses_a_call_that_was_queried_before_its_dispatch_arrived() {
    let mut fixture = OwnerFixture::new(4, 4, shares());
    let call = fixture.last_call + 1;
    let query = CallQuery {
        call,
        target_boot: BOOT,
    };
    fixture.owner.on_query(entry_id(), 1, query, fixture.now);
    fixture.apply_actions();
    assert_eq!(fixture.refusal(call), Some(ErrorKind::CallBarred));
    fixture.advance(5_000);
    fixture.dispatch(0, 1_000);
    assert_eq!(fixture.refusal(call), Some(ErrorKind::CallBarred));
    assert!(fixture.runs.is_empty());
}

#[test]
fn reports_a_long_finished_call_as_unknown_instead_of_not_run() {
    let mut fixture = OwnerFixture::new(4, 4, shares());
    let call = fixture.dispatch(0, 1_000);
    fixture.advance(20_000);
    fixture.outcomes.clear();
    fixture.owner.on_query(
        entry_id(),
        1,
        CallQuery {
            call,
            target_boot: BOOT,
        },
        fixture.now,
    );
    fixture.apply_actions();
    assert_eq!(fixture.refusal(call), Some(ErrorKind::TargetLost));
}

#[test]
fn reports_a_call_of_an_earlier_boot_as_unknown() {
    let mut fixture = OwnerFixture::new(4, 4, shares());
    fixture.owner.on_query(
        entry_id(),
        1,
        CallQuery {
            call: 99_999,
            target_boot: BOOT - 1,
        },
        fixture.now,
    );
    fixture.apply_actions();
    assert_eq!(fixture.refusal(99_999), Some(ErrorKind::TargetLost));
}

#[test]
fn refuses_a_queued_call_at_its_deadline_as_not_run() {
    let mut fixture = OwnerFixture::new(1, 4, shares());
    fixture.dispatch(0, 1_000);
    let expired = fixture.dispatch(0, 10);
    fixture.advance(15);
    assert_eq!(fixture.refusal(expired), Some(ErrorKind::DeadlineQueued));
}

#[test]
fn aborts_a_run_at_its_deadline_and_does_not_call_it_not_run() {
    let mut fixture = OwnerFixture::new(1, 4, shares());
    let endless = fixture.dispatch(0, 10);
    fixture.advance(15);
    assert!(fixture.runs.is_empty(), "the run must be aborted");
    let kind = fixture.refusal(endless).expect("one outcome");
    assert!(!kind.rule().retry_safe, "{kind:?}");
    let next = fixture.dispatch(0, 1_000);
    fixture.advance(30);
    assert!(matches!(fixture.outcomes[&next], CallOutcome::Served(_)));
}

#[test]
fn does_not_run_a_queued_call_after_its_cancellation() {
    let mut fixture = OwnerFixture::new(1, 4, shares());
    fixture.dispatch(0, 1_000);
    let cancelled = fixture.dispatch(0, 1_000);
    fixture
        .owner
        .on_cancel(entry_id(), 1, cancelled, fixture.now);
    fixture.apply_actions();
    let served_before = fixture.served[0];
    fixture.advance(100);
    assert_eq!(fixture.refusal(cancelled), Some(ErrorKind::CallerGone));
    assert_eq!(fixture.served[0], served_before + 1);
}

#[test]
fn drain_refuses_queued_calls_and_finishes_running_ones() {
    let mut fixture = OwnerFixture::new(1, 4, shares());
    let running = fixture.dispatch(0, 1_000);
    let queued = fixture.dispatch(0, 1_000);
    fixture.owner.drain(fixture.now);
    fixture.apply_actions();
    let late = fixture.dispatch(0, 1_000);
    fixture.advance(50);
    assert!(matches!(fixture.outcomes[&running], CallOutcome::Served(_)));
    assert_eq!(fixture.refusal(queued), Some(ErrorKind::TargetDraining));
    assert_eq!(fixture.refusal(late), Some(ErrorKind::TargetDraining));
    assert_eq!(fixture.owner.open_calls(), 0);
}

#[test]
fn a_shed_call_reduces_the_slots_and_answered_calls_restore_them() {
    let mut fixture = OwnerFixture::new(10, 4, shares());
    assert_eq!(fixture.owner.load(Instant::now()).slots, 10);
    fixture.dispatch(0, 1_000);
    let run = *fixture.runs.keys().next().expect("one run");
    fixture.runs.clear();
    fixture
        .owner
        .on_result(run, BackendResult::Shed, fixture.now);
    fixture.apply_actions();
    assert_eq!(fixture.owner.load(Instant::now()).slots, 8);
    for _ in 0..40 {
        fixture.dispatch(0, 1_000);
        fixture.advance(21);
    }
    assert_eq!(fixture.owner.load(Instant::now()).slots, 10);
}
