//! What a process that has just started knows of its backend server's departures.

use std::time::Duration;

use sequoiagw_mesh::DepartureHistory;
use sequoiagw_mesh::DepartureRecovery;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Time after which nobody answers any more.
const LONG_TIME: Duration = Duration::from_secs(10);

fn nodes() -> [NodeId; 2] {
    ["b", "c"].map(NodeId::from_name)
}

#[test]
fn no_heartbeat_is_believed_until_all_nodes_have_replied() {
    let now = Instant::now();
    let mut recovery = DepartureRecovery::new(false, now);
    assert!(recovery.must_ask());
    assert_eq!(recovery.history(), DepartureHistory::Pending);
    let [first, second] = nodes();
    recovery.on_asked(&[first, second], now);
    recovery.on_reply(first, true, now);
    assert_eq!(recovery.history(), DepartureHistory::Pending);
    recovery.on_unreachable(second, now);
    assert_eq!(recovery.history(), DepartureHistory::Known);
    assert!(!recovery.must_ask());
}

#[test]
fn reply_of_a_node_that_remembers_is_enough_once_the_others_are_late() {
    let now = Instant::now();
    let mut recovery = DepartureRecovery::new(false, now);
    let [first, second] = nodes();
    recovery.on_asked(&[first, second], now);
    recovery.on_reply(second, true, now);
    let wake = recovery.next_wake().expect("the replies have a limit");
    recovery.on_tick(wake);
    assert_eq!(recovery.history(), DepartureHistory::Known);
}

/// DRAIN: the replies of nodes that had just started themselves counted as proof that there was no
/// departure.
#[test]
fn replies_of_nodes_that_have_just_started_show_nothing() {
    let now = Instant::now();
    let mut recovery = DepartureRecovery::new(false, now);
    let [first, second] = nodes();
    recovery.on_asked(&[first, second], now);
    recovery.on_reply(first, false, now);
    recovery.on_reply(second, false, now);
    assert_eq!(recovery.history(), DepartureHistory::Unknown);
}

#[test]
fn registration_of_a_process_that_knew_the_departures_is_enough() {
    let now = Instant::now();
    let mut recovery = DepartureRecovery::new(false, now);
    recovery.on_registration();
    assert_eq!(recovery.history(), DepartureHistory::Pending);
    let [first, second] = nodes();
    recovery.on_asked(&[first, second], now);
    recovery.on_reply(first, false, now);
    assert_eq!(recovery.history(), DepartureHistory::Pending);
    recovery.on_reply(second, false, now);
    assert_eq!(recovery.history(), DepartureHistory::Known);
}

#[test]
fn a_single_heartbeat_is_not_believed_if_nobody_replies() {
    let now = Instant::now();
    let mut recovery = DepartureRecovery::new(false, now);
    recovery.on_tick(now + LONG_TIME);
    assert_eq!(recovery.history(), DepartureHistory::Unknown);
    assert!(recovery.must_ask(), "nodes may become known later");
    recovery.on_asked(&nodes(), now + LONG_TIME);
    assert_eq!(recovery.history(), DepartureHistory::Unknown);
    assert!(!recovery.must_ask());
    recovery.on_reply(nodes()[0], true, now + LONG_TIME);
    assert_eq!(recovery.history(), DepartureHistory::Known);

    let mut unanswered = DepartureRecovery::new(false, now);
    unanswered.on_asked(&nodes(), now);
    unanswered.on_tick(now + LONG_TIME);
    assert_eq!(unanswered.history(), DepartureHistory::Unknown);
}

#[test]
fn nothing_is_recovered_when_the_fleet_starts() {
    let recovery = DepartureRecovery::new(true, Instant::now());
    assert_eq!(recovery.history(), DepartureHistory::Known);
    assert!(!recovery.must_ask());
}

/// DRAIN: that no other node is there counted as proof that there was no departure.
#[test]
fn without_other_nodes_only_the_registration_shows_the_departures() {
    let now = Instant::now();
    let mut recovery = DepartureRecovery::new(false, now);
    recovery.on_asked(&[], now);
    assert_eq!(recovery.history(), DepartureHistory::Unknown);
    recovery.on_registration();
    assert_eq!(recovery.history(), DepartureHistory::Known);
}
