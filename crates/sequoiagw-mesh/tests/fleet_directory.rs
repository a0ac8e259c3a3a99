//! Fleet directory, changes of registrations and the watcher monitor.

use std::time::Duration;

use sequoiagw_mesh::FleetDirectory;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::RegistrationChange;
use sequoiagw_mesh::WatcherMonitor;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRevision;
use tokio::time::Instant;

fn registration(name: &str, boot: u64) -> NodeRegistration {
    NodeRegistration {
        name: name.to_owned(),
        boot,
        address: "10.0.0.1:7000".to_owned(),
        data_centre: "north".to_owned(),
        service: "press".to_owned(),
        slots: 12,
        link_mbps: 0,
        leaving: None,
        store_era: StoreEra::default(),
        backend_version: String::new(),
        departures_known: true,
        stopping: false,
    }
}

fn at_revision(number: u64) -> StoreRevision {
    let era = StoreEra::default();
    StoreRevision { era, number }
}

fn no_contact(_: NodeId) -> Option<Instant> {
    None
}

#[test]
fn uses_boot_from_link_before_new_registration_arrives() {
    let mut directory = FleetDirectory::default();
    directory.put(registration("a", 1), at_revision(5));
    let node = NodeId::from_name("a");
    assert!(directory.on_restart(node, 2));
    assert!(
        !directory.on_restart(node, 2),
        "the same boot must be reported as a restart only once"
    );
    let target = &directory.targets()["press"][0];
    assert_eq!((target.boot, target.slots), (2, 12));
    assert!(
        !directory.put(registration("a", 1), at_revision(5)),
        "reading the previous registration again must change nothing"
    );
    assert!(!directory.on_restart(NodeId::from_name("b"), 1));
}

#[test]
fn keeps_node_during_grace_time_after_its_registration_lapsed() {
    let now = Instant::now();
    let mut directory = FleetDirectory::default();
    directory.put(registration("a", 1), at_revision(5));
    directory.remove(NodeId::from_name("a"), at_revision(6), now);
    directory.expire(now + Duration::from_secs(2), no_contact);
    assert_eq!(directory.targets()["press"].len(), 1);
    assert!(
        directory.put(registration("a", 1), at_revision(7)),
        "a lapsed registration written again must count as a change"
    );
    directory.expire(now + Duration::from_secs(9), no_contact);
    assert_eq!(directory.targets()["press"].len(), 1);
}

#[test]
fn removes_lapsed_node_unless_there_was_recent_contact() {
    let now = Instant::now();
    let mut directory = FleetDirectory::default();
    directory.put(registration("a", 1), at_revision(5));
    directory.put(registration("b", 1), at_revision(6));
    directory.replace(Vec::new(), StoreEra::default(), now);
    let later = now + Duration::from_secs(4);
    let last_contact = |node| (node == NodeId::from_name("a")).then_some(later);
    assert!(directory.expire(later, last_contact));
    assert_eq!(directory.targets()["press"].len(), 1);
    assert!(directory.address(NodeId::from_name("a")).is_some());
}

#[test]
fn keeps_newest_registration_when_changes_arrive_out_of_order() {
    let now = Instant::now();
    let mut directory = FleetDirectory::default();
    directory.put(registration("a", 2), at_revision(9));
    assert!(!directory.put(registration("a", 1), at_revision(8)));
    directory.remove(NodeId::from_name("a"), at_revision(7), now);
    assert_eq!(
        directory
            .registration("a")
            .map(|registration| registration.boot),
        Some(2)
    );
}

#[test]
fn registration_change_survives_conversion_to_record() {
    let written = RegistrationChange::Written(registration("a", 7), at_revision(42));
    assert_eq!(
        RegistrationChange::from_record(written.to_record()),
        written
    );
    let removed = RegistrationChange::Removed(NodeId::from_name("a"), at_revision(43));
    assert_eq!(
        RegistrationChange::from_record(removed.to_record()),
        removed
    );
}

#[test]
fn watchers_are_unresponsive_without_recent_digest() {
    let now = Instant::now();
    let mut watchers = WatcherMonitor::default();
    assert!(watchers.is_unresponsive(now), "no digest has arrived yet");
    watchers.on_digest(NodeId::from_name("a"), 1, 1, now);
    assert!(!watchers.is_unresponsive(now));
    assert!(watchers.is_unresponsive(now + Duration::from_secs(4)));
    let watchers = WatcherMonitor::with_startup_grace(now);
    assert!(
        !watchers.is_unresponsive(now),
        "a starting process must allow extra time"
    );
    assert!(watchers.is_unresponsive(now + Duration::from_secs(4)));
}

#[test]
fn reads_registrations_again_when_digest_stays_different() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut watchers = WatcherMonitor::default();
    for (millis, digest) in [(0, 2), (500, 1), (1000, 2), (3000, 2)] {
        watchers.on_digest(NodeId::from_name("a"), digest, 1, at(millis));
        assert!(
            !watchers.take_pending_registration_read(at(millis)),
            "no read must be pending after {millis} ms"
        );
    }
    watchers.on_digest(NodeId::from_name("a"), 2, 1, at(3500));
    assert!(watchers.take_pending_registration_read(at(3500)));
    assert!(
        !watchers.take_pending_registration_read(at(3500)),
        "the read must be pending only once"
    );
}

#[test]
fn watchers_of_a_fleet_that_starts_do_not_count_as_lost_before_their_first_digests() {
    let start = Instant::now();
    let watchers = WatcherMonitor::with_startup_grace(start);
    // All nodes have registered after 3.5 s, and the watchers send a digest each 0.5 s.
    let first_digests = start + Duration::from_secs(4);
    assert!(!watchers.is_unresponsive(first_digests - Duration::from_millis(1)));
    assert!(watchers.is_unresponsive(first_digests));
}

#[test]
fn reads_version_from_store_when_watchers_stay_ahead() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut watchers = WatcherMonitor::default();
    watchers.on_version(7, 3, at(0));
    assert!(!watchers.take_pending_version_read(at(500)));
    watchers.on_version(7, 7, at(600));
    watchers.on_version(9, 7, at(700));
    assert!(
        !watchers.take_pending_version_read(at(1500)),
        "version 9 hasn't been missing for long enough"
    );
    assert!(watchers.take_pending_version_read(at(1700)));
    assert!(
        !watchers.take_pending_version_read(at(1700)),
        "the read must be pending only once"
    );
    watchers.schedule_version_read(at(2000));
    assert!(watchers.take_pending_version_read(at(2000)));
}

#[tokio::test(start_paused = true)]
async fn watcher_that_lost_the_store_no_longer_counts_and_its_silence_is_still_told() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let [first, second] = ["a", "b"].map(NodeId::from_name);
    let mut watchers = WatcherMonitor::with_startup_grace(start);
    assert_eq!(watchers.silent_time(at(50)), None);
    assert!(watchers.on_digest(first, 1, 1, at(100)));
    assert!(watchers.on_digest(second, 1, 1, at(200)));
    assert!(!watchers.on_digest(second, 1, 1, at(200)), "heard before");
    assert!(watchers.on_store_lost(first));
    assert!(!watchers.on_store_lost(first), "said before");
    assert!(!watchers.is_unresponsive(at(600)), "the second one is left");
    watchers.on_watcher_ended(second);
    assert!(watchers.is_unresponsive(at(600)));
    let silent_time = watchers.silent_time(at(600));
    assert_eq!(silent_time, Some(Duration::from_millis(400)));
}
