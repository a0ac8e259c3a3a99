//! Tests of the pace at which a node grants the parts of large dispatches.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::BufferBudget;
use sequoiagw_node::ReceivePacer;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::TransferGrant;
use sequoiagw_protocol::TransferOffer;
use sequoiagw_protocol::LARGE_FRAME_BYTES;
use tokio::time::Instant;

/// Bandwidth of the receiving host, in megabits per second.
const LINK_MBPS: u32 = 10;
/// Bytes per second of the parts at this bandwidth.
const BYTES_PER_S: f64 = 10.0 * 125_000.0 * 0.85;

fn pacer() -> ReceivePacer {
    ReceivePacer::new(LINK_MBPS, BufferBudget::unlimited())
}

fn offer(transfer: u64, parts: usize) -> TransferOffer {
    TransferOffer {
        transfer,
        bytes: (parts * LARGE_FRAME_BYTES) as u64,
        due_ms: 10_000,
    }
}

fn part(transfer: u64) -> FramePart {
    FramePart {
        transfer,
        bytes: Bytes::from(vec![0; LARGE_FRAME_BYTES]),
        last: false,
    }
}

/// Takes all grants for a time, whose parts arrive at once except on `silent_link`.
fn run(
    pacer: &mut ReceivePacer,
    start: Instant,
    time: Duration,
    silent_link: Option<u64>,
) -> Vec<(u64, TransferGrant)> {
    let mut grants = Vec::new();
    let mut now = start;
    while now < start + time {
        for (link, grant) in pacer.take_grants(now) {
            grants.push((link, grant));
            if Some(link) != silent_link && !grant.refused {
                let joined = pacer.on_part(link, &part(grant.transfer));
                assert!(matches!(joined, Some(Ok(None))), "{joined:?}");
            }
        }
        now += Duration::from_millis(1);
    }
    grants
}

/// Guards against senders that fill the receiver's link together, each within its own bandwidth.
#[test]
fn grants_of_all_links_together_stay_within_the_bandwidth() {
    let mut pacer = pacer();
    for link in 0..20 {
        assert_eq!(pacer.on_offer(link, &offer(1, 20), Instant::now()), None);
    }
    let grants = run(&mut pacer, Instant::now(), Duration::from_secs(2), None);
    let bytes: u64 = grants.iter().map(|(_, grant)| grant.bytes).sum();
    let share = bytes as f64 / (2.0 * BYTES_PER_S);
    assert!((0.9..1.05).contains(&share), "{share}");
    let links: Vec<u64> = grants.iter().map(|(link, _)| *link).collect();
    assert!(links.is_sorted(), "offers are granted in their order");
}

/// Guards against parts that pile up on the way to the receiver.
#[test]
fn at_most_four_parts_are_granted_and_not_received() {
    let mut pacer = ReceivePacer::new(0, BufferBudget::unlimited());
    let now = Instant::now();
    pacer.on_offer(1, &offer(1, 20), Instant::now());
    pacer.on_offer(2, &offer(1, 20), Instant::now());
    assert_eq!(pacer.take_grants(now).len(), 4);
    assert_eq!(pacer.take_grants(now).len(), 0);
    pacer.on_part(1, &part(1));
    assert_eq!(pacer.take_grants(now).len(), 1);
}

/// Guards against a paused sender that keeps the grants of all others.
#[test]
fn sender_that_does_not_use_its_grants_delays_others_for_a_moment_only() {
    let mut pacer = pacer();
    pacer.on_offer(1, &offer(1, 100), Instant::now());
    pacer.on_offer(2, &offer(1, 10), Instant::now());
    let grants = run(&mut pacer, Instant::now(), Duration::from_secs(1), Some(1));
    let count = |link: u64| grants.iter().filter(|(other, _)| *other == link).count();
    assert_eq!(count(2), 10);
    assert!(count(1) <= 8, "{}", count(1));
}

/// Guards against uploads that arrive after they were due.
#[test]
fn offer_behind_a_longer_backlog_than_its_due_time_is_refused_at_once() {
    let mut pacer = pacer();
    assert_eq!(pacer.on_offer(1, &offer(1, 200), Instant::now()), None);
    let refused = pacer.on_offer(
        2,
        &TransferOffer {
            due_ms: 1000,
            ..offer(7, 2)
        },
        Instant::now(),
    );
    let expected = TransferGrant {
        transfer: 7,
        bytes: 0,
        refused: true,
    };
    assert_eq!(refused, Some(expected));
    pacer.on_link_ended(1);
    assert_eq!(pacer.backlog_wait(Instant::now()), Duration::ZERO);
    assert_eq!(pacer.on_offer(2, &offer(8, 2), Instant::now()), None);
}

/// Guards against refusals, and against load reports, because of a paused sender whose link stays
/// open.
#[test]
fn offer_of_a_paused_sender_does_not_count_as_backlog() {
    let mut pacer = pacer();
    let start = Instant::now();
    assert_eq!(pacer.on_offer(1, &offer(1, 200), start), None);
    run(&mut pacer, start, Duration::from_secs(1), Some(1));
    let now = start + Duration::from_secs(1);
    assert_eq!(pacer.backlog_wait(now), Duration::ZERO);
    let short = TransferOffer {
        due_ms: 1000,
        ..offer(7, 2)
    };
    assert_eq!(pacer.on_offer(2, &short, now), None);
    let joined = pacer.on_part(1, &part(1));
    assert!(matches!(joined, Some(Ok(None))), "{joined:?}");
    let resumed = (0..3).all(|_| matches!(pacer.on_part(1, &part(1)), Some(Ok(None))));
    assert!(resumed);
    assert!(pacer.backlog_wait(now) > Duration::from_secs(2));
}

/// Guards against parts that are sent and then find no memory.
#[test]
fn offer_without_room_in_memory_is_refused_and_a_withdrawn_one_returns_its_room() {
    let budget = BufferBudget::new(80 * LARGE_FRAME_BYTES as u64);
    let mut pacer = ReceivePacer::new(0, budget.clone());
    let now = Instant::now();
    pacer.on_offer(1, &offer(1, 60), Instant::now());
    pacer.take_grants(now);
    assert_eq!(budget.used(), 60 * LARGE_FRAME_BYTES as u64);
    pacer.on_offer(2, &offer(1, 60), Instant::now());
    for _ in 0..60 {
        pacer.on_part(1, &part(1));
        let grants = pacer.take_grants(now);
        if grants.iter().any(|(_, grant)| grant.refused) {
            assert_eq!(grants.last().map(|(link, _)| *link), Some(2));
            let withdrawal = TransferOffer {
                bytes: 0,
                ..offer(1, 0)
            };
            pacer.on_offer(1, &withdrawal, Instant::now());
            assert_eq!(budget.used(), 0);
            return;
        }
    }
    panic!("the second offer should be refused");
}

/// Guards against a sender that sends more than it offered.
#[test]
fn parts_beyond_the_grants_are_an_error() {
    let mut pacer = pacer();
    pacer.on_offer(1, &offer(1, 2), Instant::now());
    assert!(matches!(pacer.on_part(1, &part(1)), Some(Err(_))));
    assert!(pacer.on_part(1, &part(2)).is_none());
}
