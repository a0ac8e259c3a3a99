//! The nodes as their entries in the store tell, and news of them.

use std::time::Duration;

use sequoiagw_mesh::FleetDirectory;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::RegistrationChange;
use sequoiagw_mesh::WatcherMonitor;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

fn entry(name: &str, boot: u64) -> NodeRegistration {
    NodeRegistration {
        name: name.to_owned(),
        boot,
        address: "10.0.0.1:7000".to_owned(),
        data_centre: "north".to_owned(),
        service: "press".to_owned(),
        slots: 12,
        link_mbps: 0,
        leaving: None,
    }
}

fn silent(_: NodeId) -> Option<Instant> {
    None
}

#[test]
fn a_process_that_greets_is_known_before_its_entry_comes() {
    let mut directory = FleetDirectory::default();
    directory.put(entry("a", 1), 5);
    let node = NodeId::from_name("a");
    assert!(directory.on_restart(node, 2));
    assert!(!directory.on_restart(node, 2), "it is no news twice");
    let target = &directory.targets()["press"][0];
    assert_eq!((target.boot, target.slots), (2, 12));
    assert!(
        !directory.put(entry("a", 1), 5),
        "the old entry read again changes nothing"
    );
    assert!(!directory.on_restart(NodeId::from_name("b"), 1));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_used_until_it_could_be_back() {
    let now = Instant::now();
    let mut directory = FleetDirectory::default();
    directory.put(entry("a", 1), 5);
    directory.remove(NodeId::from_name("a"), 6, now);
    directory.expire(now + Duration::from_secs(2), silent);
    assert_eq!(directory.targets()["press"].len(), 1);
    assert!(directory.put(entry("a", 1), 7), "its return is a change");
    directory.expire(now + Duration::from_secs(9), silent);
    assert_eq!(directory.targets()["press"].len(), 1);
}

#[test]
fn an_entry_that_stays_missing_is_taken_as_gone_unless_its_node_is_heard() {
    let now = Instant::now();
    let mut directory = FleetDirectory::default();
    directory.put(entry("a", 1), 5);
    directory.put(entry("b", 1), 6);
    directory.replace(Vec::new(), now);
    let later = now + Duration::from_secs(4);
    let heard = |node| (node == NodeId::from_name("a")).then_some(later);
    assert!(directory.expire(later, heard));
    assert_eq!(directory.targets()["press"].len(), 1);
    assert!(directory.address(NodeId::from_name("a")).is_some());
}

#[test]
fn news_that_cross_each_other_leave_the_latest_entry() {
    let now = Instant::now();
    let mut directory = FleetDirectory::default();
    directory.put(entry("a", 2), 9);
    assert!(!directory.put(entry("a", 1), 8));
    directory.remove(NodeId::from_name("a"), 7, now);
    assert_eq!(directory.registration("a").map(|entry| entry.boot), Some(2));
}

#[test]
fn a_change_passed_on_is_the_change_that_was_read() {
    let written = RegistrationChange::Written(entry("a", 7), 42);
    assert_eq!(
        RegistrationChange::from_record(written.to_record()),
        written
    );
    let gone = RegistrationChange::Removed(NodeId::from_name("a"), 43);
    assert_eq!(RegistrationChange::from_record(gone.to_record()), gone);
}

#[test]
fn watchers_are_silent_when_no_digest_has_come_for_long() {
    let now = Instant::now();
    let mut watchers = WatcherMonitor::default();
    assert!(watchers.is_unresponsive(now), "nothing was heard yet");
    watchers.on_digest(1, 1, now);
    assert!(!watchers.is_unresponsive(now));
    assert!(watchers.is_unresponsive(now + Duration::from_secs(4)));
    let watchers = WatcherMonitor::with_startup_grace(now);
    assert!(
        !watchers.is_unresponsive(now),
        "a process that starts gives them time"
    );
    assert!(watchers.is_unresponsive(now + Duration::from_secs(4)));
}

#[test]
fn entries_that_stay_different_from_the_watchers_are_read_again() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut watchers = WatcherMonitor::default();
    for (millis, digest) in [(0, 2), (500, 1), (1000, 2), (3000, 2)] {
        watchers.on_digest(digest, 1, at(millis));
        assert!(
            !watchers.take_pending_registration_read(at(millis)),
            "{millis} ms"
        );
    }
    watchers.on_digest(2, 1, at(3500));
    assert!(watchers.take_pending_registration_read(at(3500)));
    assert!(
        !watchers.take_pending_registration_read(at(3500)),
        "asked once"
    );
}

#[test]
fn a_version_that_the_watchers_act_on_and_that_doesnt_come_is_read_from_the_store() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut watchers = WatcherMonitor::default();
    watchers.on_version(7, 3, at(0));
    assert!(!watchers.take_pending_version_read(at(500)));
    watchers.on_version(7, 7, at(600));
    watchers.on_version(9, 7, at(700));
    assert!(
        !watchers.take_pending_version_read(at(1500)),
        "it has only begun"
    );
    assert!(watchers.take_pending_version_read(at(1700)));
    assert!(!watchers.take_pending_version_read(at(1700)), "asked once");
    watchers.schedule_version_read(at(2000));
    assert!(watchers.take_pending_version_read(at(2000)));
}
