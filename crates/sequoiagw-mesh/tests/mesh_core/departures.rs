//! Departures of backend servers, and what a process that has just started knows of them.

use std::time::Duration;

use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::TargetIncarnation;
use sequoiagw_node::NodeCounters;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;

use crate::core_with;
use crate::deliver_frames;
use crate::stored;
use crate::support::registration;
use crate::support::settings;
use crate::BOOT;

/// Time after which no heartbeat is on its way any more.
const LONG_TIME: Duration = Duration::from_secs(60);
/// Interval of the heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

#[tokio::test(start_paused = true)]
async fn backend_server_that_left_stays_named_over_a_second_restart_of_its_node() {
    let now = Instant::now();
    let left = incarnation("press-1", 1);
    let mut registered = NodeRegistration {
        leaving: Some(left.clone()),
        ..registration("a", BOOT)
    };
    for boot in 2..4 {
        let mut core = MeshCore::new(settings("a"), boot, NodeCounters::default());
        core.on_registrations(vec![stored(registered)], StoreEra::default(), now);
        registered = core.own_registration();
        assert_eq!(registered.leaving, Some(left.clone()), "process {boot}");
    }
}

fn incarnation(instance: &str, born_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        instance: instance.to_owned(),
        born_ms,
    }
}

fn own_heartbeat(core: &MeshCore, instance: &str, born_ms: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.to_owned(),
        born_ms: Some(born_ms),
        sequence: 1,
        service: core.settings().backend.service.clone(),
        address: core.settings().backend.address.to_string(),
        slots: 12,
        phase: HeartbeatPhase::Ready,
        warmup_left: Duration::ZERO,
        version: String::new(),
    }
}

/// Creates a node that has the registrations of the nodes `registered` and whose requests for what the
/// others remember haven't been sent.
fn starting_core(name: &str, boot: u64, registered: &[&str], now: Instant) -> MeshCore {
    let mut core = MeshCore::new(settings(name), boot, NodeCounters::default());
    let registrations = registered
        .iter()
        .map(|node| stored(registration(node, BOOT)))
        .collect();
    core.on_registrations(registrations, StoreEra::default(), now);
    core
}

/// DRAIN: a process that had just started believed a late heartbeat, although another node knew that the
/// backend server had left.
#[tokio::test]
async fn process_learns_from_another_node_that_its_backend_server_had_left() {
    let now = Instant::now();
    let mut first = starting_core("a", BOOT, &["a", "b"], now);
    let heartbeat = own_heartbeat(&first, "press-1", 10);
    first.on_heartbeat(&heartbeat, now);
    first.on_leave_notice(incarnation("press-1", 10), now);
    let mut cores = [("a", first), ("b", core_with("b", &["a", "b"], now))];
    deliver_frames(&mut cores, now);
    let [_, (_, holder)] = cores;
    let mut second = starting_core("a", BOOT + 1, &["a", "b"], now);
    second.on_heartbeat(&heartbeat, now);
    assert_eq!(second.own_registration().slots, 0, "nobody has replied yet");
    let mut cores = [("a", second), ("b", holder)];
    deliver_frames(&mut cores, now);
    let own = cores[0].1.own_registration();
    assert_eq!(own.slots, 0);
    assert_eq!(own.leaving.expect("a departure").instance, "press-1");
    let restarted = own_heartbeat(&cores[0].1, "press-1", 60);
    cores[0].1.on_heartbeat(&restarted, now);
    assert_eq!(cores[0].1.own_registration().slots, 12);
}

#[tokio::test]
async fn node_that_the_others_do_not_know_yet_gets_replies_and_offers_slots_at_once() {
    let started = Instant::now();
    let known = ["a", "b"].map(|name| (name, core_with(name, &["a", "b"], started)));
    let now = started + LONG_TIME;
    let mut added = starting_core("c", BOOT, &["a", "b"], now);
    let heartbeat = own_heartbeat(&added, "press-3", 10);
    added.on_heartbeat(&heartbeat, now);
    let [first, second] = known;
    let mut cores = vec![("c", added), first, second];
    deliver_frames(&mut cores, now);
    assert_eq!(cores[0].1.own_registration().slots, 12);
}

/// DRAIN: a process that had just started told the others of an earlier departure, which took the place of
/// the later one that they remembered (soak seed 9425).
#[tokio::test]
async fn earlier_departure_does_not_replace_a_later_one_at_other_nodes() {
    let now = Instant::now();
    let mut first = starting_core("a", BOOT, &["a", "b"], now);
    let heartbeat = own_heartbeat(&first, "press-2", 20);
    first.on_heartbeat(&heartbeat, now);
    first.on_leave_notice(incarnation("press-2", 20), now);
    let mut cores = [("a", first), ("b", core_with("b", &["a", "b"], now))];
    deliver_frames(&mut cores, now);
    let [_, (_, holder)] = cores;
    // The store came back from a copy that names the departure before.
    let mut own = registration("a", BOOT);
    own.leaving = Some(incarnation("press-1", 10));
    let mut second = MeshCore::new(settings("a"), BOOT + 1, NodeCounters::default());
    let registrations = vec![stored(own), stored(registration("b", BOOT))];
    second.on_registrations(registrations, StoreEra::default(), now);
    second.on_heartbeat(&heartbeat, now);
    let mut cores = [("a", second), ("b", holder)];
    deliver_frames(&mut cores, now);
    assert_eq!(cores[0].1.own_registration().slots, 0);
    let earlier = own_heartbeat(&cores[0].1, "press-1", 10);
    cores[0].1.on_heartbeat(&earlier, now);
    assert_eq!(cores[0].1.own_registration().slots, 0);
}

/// Starts the nodes `a` and `b` after all processes were lost. The store has these registrations.
fn restart_all(
    registered: &[NodeRegistration],
    era: StoreEra,
    now: Instant,
) -> [(&'static str, MeshCore); 2] {
    let mut cores = ["a", "b"].map(|name| {
        let mut core = MeshCore::new(settings(name), BOOT + 1, NodeCounters::default());
        let registered = registered.iter().cloned().map(stored).collect();
        core.on_registrations(registered, era, now);
        (name, core)
    });
    deliver_frames(&mut cores, now);
    cores
}

/// Lets a heartbeat of the backend server beside the first node arrive; returns the slots that the node
/// offers then.
fn slots_after_heartbeat(
    cores: &mut [(&str, MeshCore); 2],
    instance: &str,
    sequence: u64,
    now: Instant,
) -> u32 {
    let (_, core) = &mut cores[0];
    let heartbeat = Heartbeat {
        sequence,
        ..own_heartbeat(core, instance, 10)
    };
    core.on_heartbeat(&heartbeat, now);
    core.own_registration().slots
}

/// Registrations of both nodes; that of `a` was written by a process that did or didn't know the departures
/// before its start.
fn registrations(departures_known: bool) -> [NodeRegistration; 2] {
    let own = NodeRegistration {
        departures_known,
        ..registration("a", BOOT)
    };
    [own, registration("b", BOOT)]
}

/// DRAIN: after the loss of all processes nobody remembered a departure, and the replies of processes that
/// had just started counted as proof that there was none: a late heartbeat was believed.
#[tokio::test(start_paused = true)]
async fn single_heartbeat_is_not_believed_if_nobody_is_left_who_would_remember() {
    let now = Instant::now();
    let registered = [registration("b", BOOT)];
    let mut cores = restart_all(&registered, StoreEra::default(), now);
    assert_eq!(slots_after_heartbeat(&mut cores, "press-1", 5, now), 0);
    assert_eq!(slots_after_heartbeat(&mut cores, "press-1", 6, now), 0);
    let later = now + HEARTBEAT_INTERVAL;
    let slots = slots_after_heartbeat(&mut cores, "press-1", 7, later);
    assert_eq!(slots, 12, "the backend server is running");
}

/// A backend server that hasn't left is in use with its first heartbeat after the loss of all processes.
#[tokio::test(start_paused = true)]
async fn single_heartbeat_is_believed_if_the_store_has_the_registration() {
    let now = Instant::now();
    let mut cores = restart_all(&registrations(true), StoreEra::default(), now);
    assert_eq!(slots_after_heartbeat(&mut cores, "press-1", 5, now), 12);
}

/// DRAIN: two losses in a row. The process between them knew nothing either.
#[tokio::test(start_paused = true)]
async fn registration_of_a_process_that_did_not_know_the_departures_shows_nothing() {
    let now = Instant::now();
    let mut cores = restart_all(&registrations(false), StoreEra::default(), now);
    assert!(!cores[0].1.own_registration().departures_known);
    assert_eq!(slots_after_heartbeat(&mut cores, "press-1", 5, now), 0);
    let later = now + HEARTBEAT_INTERVAL;
    slots_after_heartbeat(&mut cores, "press-1", 6, later);
    assert!(cores[0].1.own_registration().departures_known);
}

/// DRAIN: the store came back from an older copy, which doesn't name the latest departure.
#[tokio::test(start_paused = true)]
async fn registration_from_an_earlier_era_shows_nothing() {
    let now = Instant::now();
    let era = StoreEra(StoreEra::default().0 + 1);
    let mut cores = restart_all(&registrations(true), era, now);
    assert_eq!(slots_after_heartbeat(&mut cores, "press-1", 5, now), 0);
}

/// DRAIN: a departure was acknowledged that only the memory of nodes held, all of which may be lost at once.
#[tokio::test(start_paused = true)]
async fn departure_counts_as_stored_once_the_store_has_that_very_one() {
    let now = Instant::now();
    let mut cores = [
        ("a", core_with("a", &["a", "b"], now)),
        ("b", core_with("b", &["a", "b"], now)),
    ];
    let departing = incarnation("press-1", 10);
    cores[0].1.on_leave_notice(departing.clone(), now);
    deliver_frames(&mut cores, now);
    let core = &mut cores[0].1;
    assert!(!core.is_departure_stored(&departing), "only nodes have it");
    core.on_departure_stored(Some(incarnation("press-0", 5)));
    assert!(!core.is_departure_stored(&departing));
    core.on_departure_stored(Some(departing.clone()));
    assert!(core.is_departure_stored(&departing));
    core.on_departure_stored(None);
    assert!(!core.is_departure_stored(&departing), "the lease has ended");
}

/// DRAIN: a notice without a start was acknowledged since the store had the departure of an earlier start of
/// the instance.
#[tokio::test(start_paused = true)]
async fn earlier_departure_in_the_store_is_not_that_of_the_present_start() {
    let now = Instant::now();
    let mut core = core_with("a", &["a", "b"], now);
    core.on_leave_notice(incarnation("press-1", 10), now);
    core.on_departure_stored(Some(incarnation("press-1", 10)));
    let restarted = own_heartbeat(&core, "press-1", 20);
    core.on_heartbeat(&restarted, now);
    let notice = incarnation("press-1", 0);
    core.on_leave_notice(notice.clone(), now);
    assert!(!core.is_departure_stored(&notice));
    core.on_departure_stored(Some(incarnation("press-1", 20)));
    assert!(core.is_departure_stored(&notice));
}
