//! Tests of an entry whose dispatches take long to send.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RunState;
use tokio::time::Instant;

/// An entry with one target, and the links that it sends on.
struct EntryFixture {
    entry: EntryMachine,
    now: Instant,
    /// Whether the links still have a part of each dispatch.
    sending: bool,
    queries: usize,
    resets: usize,
    errors: Vec<ErrorKind>,
    dispatches: Vec<(NodeId, u64)>,
}

impl EntryFixture {
    fn begin_call(timeout: Duration) -> Self {
        Self::begin_call_at(&[1], timeout)
    }

    /// Starts a call to a service with these targets.
    fn begin_call_at(nodes: &[u64], timeout: Duration) -> Self {
        let target = |node: u64| TargetInfo {
            node: NodeId::from(node),
            boot: 1,
            data_centre: "south".to_owned(),
            slots: 10,
        };
        let mut entry = EntryMachine::new("north", ChaCha8Rng::seed_from_u64(1));
        let services = BTreeMap::from([(
            "press".to_owned(),
            nodes.iter().copied().map(target).collect(),
        )]);
        entry.balancer_mut().set_targets(services);
        let spec = CallSpec {
            service: "press".to_owned(),
            route: "upload".to_owned(),
            level: RankLevel::MOST_URGENT,
            idempotent: false,
            max_retries: 0,
            retry_budget_ratio: 0.0,
            spill_load: 1.0,
            timeout,
            placement_rule: PlacementRule::Fastest,
            latency_target: timeout,
            waited: Duration::ZERO,
            retries_server_errors: false,
        };
        let request = CallRequest {
            body: Bytes::from(vec![1; 2 * 1024 * 1024]),
            ..CallRequest::default()
        };
        let now = Instant::now();
        entry.begin_call(spec, request, now);
        Self {
            entry,
            now,
            sending: true,
            queries: 0,
            resets: 0,
            errors: Vec::new(),
            dispatches: Vec::new(),
        }
    }

    /// Advances the time, during which the target sends nothing.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.now += Duration::from_millis(5);
            self.entry.on_tick(self.now);
            for action in self.entry.take_actions() {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send(_, FrameBody::Query(query)) if self.sending && query.call > 0 => {
                self.queries += 1;
                self.entry.on_dispatch_unsent(query.call, self.now);
            }
            EntryAction::Send(node, FrameBody::Dispatch(dispatch)) => {
                self.dispatches.push((node, dispatch.call));
            }
            EntryAction::Withdraw(dispatch) if self.sending => {
                self.entry.on_dispatch_withdrawn(dispatch);
                for action in self.entry.take_actions() {
                    self.carry_out(action);
                }
            }
            EntryAction::ResetLink(_) => self.resets += 1,
            EntryAction::Reply(_, reply) => self.errors.extend(reply.outcome.err()),
            _ => {}
        }
    }
}

/// Guards against a reset of the link that is sending the dispatch, and against a statement that
/// the call may have run although its owner never got it.
#[test]
fn call_whose_dispatch_is_not_sent_by_the_deadline_is_refused_as_not_run() {
    let mut fixture = EntryFixture::begin_call(Duration::from_secs(3));
    fixture.advance(2990);
    assert_eq!((fixture.queries, fixture.resets), (9, 0));
    assert_eq!(fixture.errors, []);
    fixture.advance(30);
    assert_eq!(fixture.errors, [ErrorKind::BodyUnsent]);
    let rule = ErrorKind::BodyUnsent.rule();
    assert_eq!((rule.status, rule.ran), (503, RunState::No));
}

/// Guards against a deadline that passes before the first query: its dispatch may be unsent too.
#[test]
fn short_deadline_during_the_transfer_is_refused_as_not_run() {
    let mut fixture = EntryFixture::begin_call(Duration::from_millis(200));
    fixture.advance(230);
    assert_eq!(fixture.errors, [ErrorKind::BodyUnsent]);
}

/// Guards against a refusal as not run of a call that may run.
#[test]
fn call_whose_dispatch_was_sent_whole_may_have_run_at_its_deadline() {
    let mut fixture = EntryFixture::begin_call(Duration::from_secs(2));
    fixture.advance(1990);
    fixture.sending = false;
    fixture.advance(40);
    assert_eq!(fixture.errors, [ErrorKind::DeadlineRunning]);
}

/// Guards against a silent owner that isn't noticed after the dispatch has been sent whole.
#[test]
fn owner_that_is_silent_after_the_transfer_is_queried_and_its_link_reset() {
    let mut fixture = EntryFixture::begin_call(Duration::from_secs(3));
    fixture.advance(1000);
    assert_eq!(fixture.resets, 0);
    fixture.sending = false;
    fixture.advance(1000);
    assert!(fixture.resets > 0);
}

/// Guards against a call that waits at a target whose link is occupied, and against targets that
/// count as failed because of an occupied link.
#[test]
fn refused_dispatch_goes_to_each_other_target_once_and_then_the_call_is_refused() {
    let mut fixture = EntryFixture::begin_call_at(&[1, 2, 3], Duration::from_secs(3));
    for attempt in 0..3 {
        fixture.advance(5);
        assert_eq!(fixture.errors, []);
        assert_eq!(fixture.dispatches.len(), attempt + 1);
        let (_, dispatch) = fixture.dispatches[attempt];
        fixture.entry.on_dispatch_refused(dispatch, fixture.now);
    }
    fixture.advance(5);
    assert_eq!(fixture.errors, [ErrorKind::BodyUnsent]);
    let mut nodes: Vec<NodeId> = fixture.dispatches.iter().map(|(node, _)| *node).collect();
    nodes.sort_unstable();
    assert_eq!(nodes, [1, 2, 3].map(NodeId::from));
}
