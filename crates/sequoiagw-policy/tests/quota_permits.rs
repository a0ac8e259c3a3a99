//! Quotas at a counter and at an entry: buckets, permits that lapse, requests in advance and refusals.

use std::time::Duration;

use sequoiagw_policy::CounterMandate;
use sequoiagw_policy::CounterStanding;
use sequoiagw_policy::PermitOutcome;
use sequoiagw_policy::QuotaAction;
use sequoiagw_policy::QuotaAnswer;
use sequoiagw_policy::QuotaAsk;
use sequoiagw_policy::QuotaCache;
use sequoiagw_policy::QuotaDecision;
use sequoiagw_policy::QuotaLedger;
use sequoiagw_policy::QuotaLimit;
use tokio::time::Instant;

const WORKSPACE: &str = "mill";
const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 100.0,
    burst: 100.0,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn first_since(since: Instant) -> CounterMandate {
    CounterMandate {
        share: 1.0,
        standing: CounterStanding::First { since },
    }
}

const fn granted(granted: u32) -> QuotaAnswer {
    QuotaAnswer {
        granted,
        retry_after: Duration::ZERO,
    }
}

/// Requests that a cache sent since the last call.
fn take_asks(cache: &mut QuotaCache) -> Vec<QuotaAsk> {
    let actions = cache.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            QuotaAction::Ask(ask) => Some(ask),
            QuotaAction::Unanswered(_) | QuotaAction::Settle(..) => None,
        })
        .collect()
}

/// A cache in which a caller waits, with the caller's ticket and the request.
fn waiting_cache(now: Instant) -> (QuotaCache, u64, QuotaAsk) {
    let mut cache = QuotaCache::new(7);
    let QuotaDecision::Waiting(ticket) = cache.take(WORKSPACE, now) else {
        panic!("the first caller has to wait");
    };
    let ask = take_asks(&mut cache).pop().expect("a request");
    (cache, ticket, ask)
}

/// Guards against a full bucket at a counter that takes over from one that has just granted.
#[test]
fn a_bucket_starts_empty_and_refills_at_half_rate_for_two_seconds() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(20.0, start);
    let mandate = first_since(start);
    let mut grant = |after| {
        let now = start + ms(after);
        ledger.grant(WORKSPACE, LIMIT, 1000, mandate, now).granted
    };
    assert_eq!(grant(0), 0);
    assert_eq!(grant(200), 10);
    assert_eq!(grant(400), 10);
    assert_eq!(grant(2000), 40, "the capacity is 0.4 x burst");
    assert_eq!(grant(2200), 20);
}

/// Guards against a cut-off side that spends the whole rate.
#[test]
fn a_counter_with_a_part_of_the_fleet_refills_at_that_part_of_the_rate() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(20.0, start);
    let mandate = CounterMandate {
        share: 0.25,
        ..first_since(start)
    };
    ledger.grant(WORKSPACE, LIMIT, 1000, mandate, start + ms(3000));
    let answer = ledger.grant(WORKSPACE, LIMIT, 1000, mandate, start + ms(3400));
    assert_eq!(answer.granted, 10);
    assert!(answer.retry_after >= ms(40), "{:?}", answer.retry_after);
}

/// Guards against a node that is cut off alone and grants a part that the others count as theirs, and
/// against callers that stay away for long because of it.
#[test]
fn a_counter_without_a_part_grants_nothing_and_is_asked_again_soon() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(20.0, start);
    let mandate = CounterMandate {
        share: 0.0,
        ..first_since(start)
    };
    for after in [0, 3000, 9000] {
        let answer = ledger.grant(WORKSPACE, LIMIT, 1000, mandate, start + ms(after));
        assert_eq!(answer.granted, 0);
        assert_eq!(answer.retry_after, ms(1000));
    }
}

/// Guards against two counters that both grant the whole rate because a few entries can't reach the
/// first one.
#[test]
fn a_substitute_grants_little_while_the_first_counter_runs() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(20.0, start);
    let mandate = CounterMandate {
        share: 1.0,
        standing: CounterStanding::Substitute {
            first_is_running: true,
        },
    };
    let mut grant = |after| {
        let now = start + ms(after);
        ledger.grant(WORKSPACE, LIMIT, 1000, mandate, now).granted
    };
    let at_first: u32 = (0..=20).map(|tenth| grant(tenth * 100)).sum();
    assert_eq!(at_first, 100, "half the rate for 2 s");
    let later: u32 = (21..=40).map(|tenth| grant(tenth * 100)).sum();
    assert_eq!(later, 20, "a tenth of the rate");
}

/// Guards against grants from before a pause, during which another node has counted.
#[test]
fn a_reset_empties_all_buckets() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(20.0, start);
    ledger.grant(WORKSPACE, LIMIT, 1, first_since(start), start + ms(3000));
    ledger.reset(start + ms(6000));
    let answer = ledger.grant(WORKSPACE, LIMIT, 1, first_since(start), start + ms(6000));
    assert_eq!(answer.granted, 0);
}

/// Guards against memory that grows with the workspaces of past versions.
#[test]
fn buckets_and_caches_of_idle_workspaces_are_removed() {
    let start = Instant::now();
    let mut ledger = QuotaLedger::new(20.0, start);
    let mut cache = QuotaCache::new(0);
    for number in 0..100 {
        let name = format!("workspace-{number}");
        ledger.grant(&name, LIMIT, 1, first_since(start), start);
        cache.take(&name, start);
    }
    ledger.grant(WORKSPACE, LIMIT, 1, first_since(start), start + ms(80_000));
    assert_eq!(ledger.len(), 1);
    for tenth in 1..30 {
        cache.on_tick(start + ms(tenth * 100));
    }
    assert!(cache.is_empty());
}

/// Guards against permits that are used in a later window than the one they were granted for.
#[test]
fn permits_lapse_after_their_request() {
    let start = Instant::now();
    for (answered, used, decision_is_allowed) in [(1, 399, true), (1, 400, false), (399, 399, true)]
    {
        let (mut cache, _, ask) = waiting_cache(start);
        cache.on_grant(ask.request, granted(3), start + ms(answered));
        let decision = cache.take(WORKSPACE, start + ms(used));
        assert_eq!(decision == QuotaDecision::Allowed, decision_is_allowed);
    }
    let (mut cache, _, ask) = waiting_cache(start);
    cache.on_grant(ask.request, granted(3), start + ms(401));
    let decision = cache.take(WORKSPACE, start + ms(401));
    assert_ne!(
        decision,
        QuotaDecision::Allowed,
        "a late grant is worthless"
    );
}

/// Guards against callers that wait behind a counter that has died.
#[test]
fn an_unanswered_request_is_sent_once_more_and_then_the_caller_is_told() {
    let start = Instant::now();
    let (mut cache, ticket, first) = waiting_cache(start);
    cache.on_tick(start + ms(149));
    assert!(cache.take_actions().is_empty());
    cache.on_tick(start + ms(150));
    let actions = cache.take_actions();
    assert_eq!(actions[0], QuotaAction::Unanswered(first.request));
    assert!(matches!(&actions[1], QuotaAction::Ask(ask) if ask.request != first.request));
    cache.on_tick(start + ms(300));
    let actions = cache.take_actions();
    assert!(actions.contains(&QuotaAction::Settle(ticket, PermitOutcome::Unavailable)));
    let asks_again = actions
        .iter()
        .any(|action| matches!(action, QuotaAction::Ask(_)));
    assert!(!asks_again, "no caller waits any more");
}

/// Guards against one request to the counter for each refused caller.
#[test]
fn a_refusal_holds_for_at_most_a_fifth_of_a_second() {
    let start = Instant::now();
    let (mut cache, ticket, ask) = waiting_cache(start);
    let retry_after = ms(900);
    let used_up = QuotaAnswer {
        granted: 0,
        retry_after,
    };
    cache.on_grant(ask.request, used_up, start);
    let refused = PermitOutcome::Refused { retry_after };
    assert_eq!(cache.take_actions(), [QuotaAction::Settle(ticket, refused)]);
    let decision = cache.take(WORKSPACE, start + ms(199));
    let retry_after = ms(701);
    assert_eq!(decision, QuotaDecision::Refused { retry_after });
    assert!(cache.take_actions().is_empty());
    let decision = cache.take(WORKSPACE, start + ms(200));
    assert!(matches!(decision, QuotaDecision::Waiting(_)));
}

/// Guards against a round trip for each request of a busy workspace.
#[test]
fn a_busy_workspace_requests_permits_in_advance_and_a_quiet_one_does_not() {
    let start = Instant::now();
    let waits = |interval_ms: u64| {
        let mut cache = QuotaCache::new(0);
        let mut waits = 0;
        for number in 0..100 {
            let now = start + ms(number * interval_ms);
            cache.on_tick(now);
            waits += u32::from(matches!(
                cache.take(WORKSPACE, now),
                QuotaDecision::Waiting(_)
            ));
            for ask in take_asks(&mut cache) {
                cache.on_grant(ask.request, granted(ask.wanted), now);
            }
        }
        waits
    };
    assert!(waits(5) < 10, "{} of 100 callers wait", waits(5));
    assert_eq!(waits(500), 100);
}

/// Guards against more than one request under way for callers that the first one covers.
#[test]
fn only_callers_that_no_request_covers_cause_another_one() {
    let start = Instant::now();
    let (mut cache, ticket, first) = waiting_cache(start);
    assert_eq!(first.wanted, 1);
    let QuotaDecision::Waiting(second_ticket) = cache.take(WORKSPACE, start) else {
        panic!("there are no permits");
    };
    assert_eq!(take_asks(&mut cache).len(), 1);
    cache.leave(ticket);
    cache.on_grant(first.request, granted(1), start);
    let settled = QuotaAction::Settle(second_ticket, PermitOutcome::Allowed);
    assert_eq!(
        cache.take_actions(),
        [settled],
        "the place of a caller that left is free"
    );
}

/// A caller within its quota was refused because its counter had permits again a few milliseconds later.
#[test]
fn a_caller_waits_for_a_refill_that_comes_soon() {
    let start = Instant::now();
    let (mut cache, ticket, ask) = waiting_cache(start);
    let empty = |retry_after| QuotaAnswer {
        granted: 0,
        retry_after,
    };
    cache.on_grant(ask.request, empty(ms(10)), start + ms(2));
    assert!(cache.take_actions().is_empty(), "the caller waits");
    let QuotaDecision::Waiting(second) = cache.take(WORKSPACE, start + ms(5)) else {
        panic!("the next caller waits, too");
    };
    assert!(take_asks(&mut cache).is_empty(), "there is nothing yet");
    assert_eq!(cache.next_wake(), Some(start + ms(12)));
    cache.on_tick(start + ms(12));
    let asks = take_asks(&mut cache);
    let [ask] = &asks[..] else {
        panic!("one request for both: {asks:?}");
    };
    assert_eq!(ask.wanted, 2);
    cache.on_grant(ask.request, granted(2), start + ms(14));
    let allowed =
        [ticket, second].map(|ticket| QuotaAction::Settle(ticket, PermitOutcome::Allowed));
    assert_eq!(cache.take_actions(), allowed);
}

/// Guards against callers that wait although the refill comes too late for them.
#[test]
fn a_caller_waits_for_refills_for_at_most_a_twentieth_of_a_second() {
    let start = Instant::now();
    let (mut cache, ticket, first) = waiting_cache(start);
    let mut request = first.request;
    let retry_after = ms(20);
    for wait in [0, 20] {
        let answer = QuotaAnswer {
            granted: 0,
            retry_after,
        };
        cache.on_grant(request, answer, start + ms(wait));
        assert!(cache.take_actions().is_empty(), "the caller waits");
        cache.on_tick(start + ms(wait) + retry_after);
        request = take_asks(&mut cache).pop().expect("a request").request;
    }
    let answer = QuotaAnswer {
        granted: 0,
        retry_after,
    };
    cache.on_grant(request, answer, start + ms(40));
    let refused = PermitOutcome::Refused { retry_after };
    assert_eq!(cache.take_actions(), [QuotaAction::Settle(ticket, refused)]);
}

/// A counter that holds few permits was asked for many in advance, and told callers to return after the time that
/// all of them would have taken.
#[test]
fn no_more_is_requested_in_advance_than_a_counter_that_ran_out_has_granted() {
    let start = Instant::now();
    let mut cache = QuotaCache::new(0);
    let mut now = start;
    let mut wanted = Vec::new();
    for _ in 0..200 {
        now += ms(2);
        cache.on_tick(now);
        cache.take(WORKSPACE, now);
        for ask in take_asks(&mut cache) {
            let answer = QuotaAnswer {
                granted: ask.wanted.min(8),
                retry_after: ms(u64::from(ask.wanted > 8)),
            };
            wanted.push(ask.wanted);
            cache.on_grant(ask.request, answer, now);
        }
    }
    assert!(wanted.len() > 15, "{wanted:?}");
    assert!(wanted.iter().all(|wanted| *wanted <= 16), "{wanted:?}");
}
