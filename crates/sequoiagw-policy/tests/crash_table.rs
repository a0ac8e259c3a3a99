//! Which requests are held back after crashes, and which are not.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CrashTable;
use sequoiagw_policy::CrashVerdict;
use sequoiagw_policy::RequestDigest;
use sequoiagw_policy::RequestIdentity;
use sequoiagw_policy::ServerProcess;
use tokio::time::Instant;

const POISON: RequestDigest = RequestDigest(7);
const READ: RequestDigest = RequestDigest(8);
/// Time between two crashes that don't happen at once.
const GAP: Duration = Duration::from_secs(4);
/// Bound on the number of records, from the largest number of requests and of crashes of each.
const MAX_RECORDS: usize = 2048;

fn crash(table: &mut CrashTable, digest: RequestDigest, server: u64, now: Instant) {
    table.record_crash(digest, ServerProcess(server), now);
}

fn crash_thrice(table: &mut CrashTable, digest: RequestDigest, now: Instant) {
    for server in 1..=3 {
        crash(table, digest, server, now);
    }
}

#[test]
fn request_is_held_after_three_processes_and_not_retried_after_two() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    let mut verdicts = vec![table.verdict(POISON)];
    for server in 1..=3 {
        crash(&mut table, POISON, server, now + GAP * server as u32);
        verdicts.push(table.verdict(POISON));
    }
    let expected = [
        CrashVerdict::Allowed,
        CrashVerdict::Allowed,
        CrashVerdict::AllowedOnce,
        CrashVerdict::Held,
    ];
    assert_eq!(verdicts, expected);
    let held = table.take_newly_held(now + GAP * 3);
    assert_eq!(held[0].digest, POISON);
    assert_eq!(held[0].servers, [1, 2, 3].map(ServerProcess));
    assert_eq!(held[0].crash_span, GAP * 2);
}

#[test]
fn several_runs_in_one_process_count_as_one_crash() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    for _ in 0..5 {
        crash(&mut table, POISON, 1, now);
    }
    assert_eq!(table.verdict(POISON), CrashVerdict::Allowed);
}

#[test]
fn crashes_seen_in_two_data_centres_add_up_whatever_the_order() {
    let now = Instant::now();
    let (mut north, mut south) = (CrashTable::default(), CrashTable::default());
    crash(&mut north, POISON, 1, now);
    crash(&mut north, POISON, 2, now);
    crash(&mut south, POISON, 2, now);
    crash(&mut south, POISON, 3, now);
    let (to_south, to_north) = (north.records(now), south.records(now));
    assert_eq!(south.merge(&to_south, now).len(), 1);
    assert_eq!(north.merge(&to_north, now).len(), 1);
    assert_eq!(north.verdict(POISON), CrashVerdict::Held);
    assert_eq!(south.verdict(POISON), CrashVerdict::Held);
    assert_eq!(north.hash(), south.hash());
    assert!(north.merge(&to_north, now).is_empty(), "nothing is new");
}

#[test]
fn run_that_ends_well_ends_the_hold_at_all_nodes() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    crash_thrice(&mut table, READ, now);
    let mut other = CrashTable::default();
    other.merge(&table.take_changes(), now);
    assert_eq!(other.verdict(READ), CrashVerdict::Held);
    table.record_success(READ, now + GAP);
    other.merge(&table.take_changes(), now + GAP);
    for table in [&table, &other] {
        assert_eq!(table.verdict(READ), CrashVerdict::Allowed);
    }
}

#[test]
fn request_that_ran_well_is_not_blamed_when_many_processes_end_at_once() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    table.record_success(READ, now);
    crash_thrice(&mut table, READ, now + GAP);
    assert_eq!(table.verdict(READ), CrashVerdict::Allowed);
    // Another node's records are judged by what this node knows, too.
    let mut other = CrashTable::default();
    crash_thrice(&mut other, READ, now + GAP);
    table.merge(&other.records(now + GAP), now + GAP);
    assert_eq!(table.verdict(READ), CrashVerdict::Allowed);
}

#[test]
fn request_that_crashes_servers_since_it_last_ran_well_is_held() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    table.record_success(POISON, now);
    for server in 1..=4 {
        crash(&mut table, POISON, server, now + GAP * server as u32);
    }
    assert_eq!(table.verdict(POISON), CrashVerdict::Held);
}

#[test]
fn process_that_lives_after_all_does_not_count() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    crash_thrice(&mut table, POISON, now);
    table.record_alive(ServerProcess(2), now);
    assert_eq!(table.verdict(POISON), CrashVerdict::AllowedOnce);
}

#[test]
fn crashes_minutes_apart_do_not_add_up_and_a_hold_ends() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    crash(&mut table, READ, 1, now);
    crash(&mut table, READ, 2, now);
    crash_thrice(&mut table, POISON, now);
    let later = now + Duration::from_secs(130);
    table.expire(later);
    assert_eq!(table.verdict(READ), CrashVerdict::Allowed);
    assert_eq!(table.verdict(POISON), CrashVerdict::Held);
    // A node that starts now learns what is still held back.
    let mut started = CrashTable::default();
    started.merge(&table.records(later), later);
    assert_eq!(started.verdict(POISON), CrashVerdict::Held);
    table.expire(now + Duration::from_secs(310));
    assert!(table.is_empty());
}

#[test]
fn table_is_bounded_and_keeps_what_is_held() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    crash_thrice(&mut table, POISON, now);
    for digest in 0..3 * MAX_RECORDS as u128 {
        crash(&mut table, RequestDigest(1000 + digest), 9, now);
    }
    assert!(table.records(now).len() <= MAX_RECORDS + 2);
    assert_eq!(table.verdict(POISON), CrashVerdict::Held);
}

fn request(path: &str, body: &'static str, caller: u64, id: &str) -> CallRequest {
    CallRequest {
        method: "POST".to_owned(),
        path: path.to_owned(),
        body: Bytes::from_static(body.as_bytes()),
        caller_name_hash: caller,
        request_id: id.to_owned(),
        ..CallRequest::default()
    }
}

/// Digests of a request, of which those with a query have two.
fn digests(request: &CallRequest) -> Vec<RequestDigest> {
    let variants = RequestIdentity::of_request(request).variants();
    variants.map(|variant| variant.digest()).collect()
}

#[test]
fn repeats_have_the_same_digest_and_other_requests_another() {
    let first = digests(&request("/die/7", "a", 1, "x"));
    assert_eq!(first, digests(&request("/die/7", "a", 1, "y")));
    for other in [
        request("/die/8", "a", 1, "x"),
        request("/die/7", "b", 1, "x"),
        request("/die/7", "a", 2, "x"),
        request("/die/", "7a", 1, "x"),
    ] {
        assert_ne!(first, digests(&other), "{other:?}");
    }
}

#[test]
fn requests_that_differ_in_their_query_share_one_digest() {
    let [first, shared] = digests(&request("/die/7?page=1", "", 1, "x"))[..] else {
        panic!("expected two digests");
    };
    let second = digests(&request("/die/7?page=2", "", 1, "x"));
    assert_ne!(second[0], first);
    assert_eq!(second[1], shared);
    assert_eq!(digests(&request("/die/7", "", 1, "x")), [shared]);
}
