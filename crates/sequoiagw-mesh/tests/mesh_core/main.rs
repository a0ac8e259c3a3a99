//! The node state machine: restarts of nodes, distribution of versions and the retry budget.

mod departures;
#[path = "../support/mod.rs"]
mod support;

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::MeshAction;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_node::BackendNotice;
use sequoiagw_node::NodeCounters;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::PlacementRule;
use sequoiagw_protocol::CrashRecord;
use sequoiagw_protocol::CrashRecords;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::TableDigest;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRevision;
use support::address;
use support::registration;
use support::settings;
use support::version;
use support::NODES;
use tokio::time::Instant;

const BOOT: u64 = 1;

/// A registration as the store has it.
fn stored(registration: NodeRegistration) -> (NodeRegistration, StoreRevision) {
    let revision = registration.written_at(5);
    (registration, revision)
}

/// Creates the node `name` with the registrations of the nodes `registered`.
fn core_with(name: &str, registered: &[&str], now: Instant) -> MeshCore {
    let mut core = MeshCore::new(settings(name), BOOT, NodeCounters::default());
    let registrations = registered
        .iter()
        .map(|node| stored(registration(node, BOOT)))
        .collect();
    core.on_registrations(registrations, StoreEra::default(), now);
    core.take_actions();
    core
}

/// Removes and returns the frames that a node sent; its other actions are dropped.
fn take_frames(core: &mut MeshCore) -> Vec<(NodeAddress, PeerFrame)> {
    let sent = core.take_actions().into_iter().filter_map(|action| {
        let MeshAction::Send(to, frame) = action else {
            return None;
        };
        Some((to, *frame))
    });
    sent.collect()
}

/// Delivers the nodes' frames to each other until none are left; returns their number.
fn deliver_frames(cores: &mut [(&str, MeshCore)], now: Instant) -> usize {
    let mut delivered = 0;
    loop {
        let mut sent = Vec::new();
        for (_, core) in cores.iter_mut() {
            sent.extend(take_frames(core));
        }
        if sent.is_empty() {
            return delivered;
        }
        for (to, frame) in sent {
            let receiver = cores
                .iter_mut()
                .find(|(name, _)| NodeAddress::parse(&address(name)) == Some(to));
            if let Some((_, core)) = receiver {
                delivered += 1;
                core.on_frame(frame, 100, now);
            }
        }
    }
}

fn call_spec() -> CallSpec {
    CallSpec {
        service: "press".to_owned(),
        route: "order".to_owned(),
        level: RankLevel::MOST_URGENT,
        idempotent: false,
        max_retries: 1,
        retry_budget_ratio: 0.1,
        spill_load: 1.0,
        timeout: Duration::from_secs(2),
        placement_rule: PlacementRule::Fastest,
        latency_target: Duration::from_secs(1),
        waited: Duration::ZERO,
        retries_server_errors: true,
    }
}

#[tokio::test]
async fn call_waiting_for_link_survives_restart_of_its_node() {
    let now = Instant::now();
    let mut core = core_with("a", &["b"], now);
    core.begin_call(call_spec(), CallRequest::default(), now);
    let (to, unsent) = take_frames(&mut core).pop().expect("a dispatch");
    core.on_link_established(NodeId::from_name("b"), 2, now);
    let replied = core
        .take_actions()
        .iter()
        .any(|action| matches!(action, MeshAction::Reply(..)));
    assert!(!replied, "the call must stay open");
    core.on_undelivered(to, &[unsent], now);
    let (_, frame) = take_frames(&mut core).pop().expect("a second dispatch");
    let Some(FrameBody::Dispatch(dispatch)) = frame.body else {
        panic!("{frame:?}");
    };
    assert_eq!(dispatch.target_boot, 2);
}

#[tokio::test]
async fn nodes_with_fastest_links_are_watchers() {
    let now = Instant::now();
    for (name, watches) in [("a", true), ("b", true), ("c", false), ("d", false)] {
        assert_eq!(core_with(name, &NODES, now).is_watcher(), watches, "{name}");
    }
}

#[tokio::test]
async fn node_that_missed_a_version_requests_a_matching_delta() {
    let now = Instant::now();
    let mut cores: Vec<(&str, MeshCore)> = NODES
        .iter()
        .map(|name| (*name, core_with(name, &NODES, now)))
        .collect();
    cores[0].1.activate_from_store(&Rc::new(version(3)), now);
    deliver_frames(&mut cores, now);
    let active_versions = |cores: &[(&str, MeshCore)]| -> Vec<u64> {
        cores
            .iter()
            .map(|(_, core)| core.active_version_number())
            .collect()
    };
    assert_eq!(active_versions(&cores), [3, 3, 3, 3]);

    // Version 5 is delivered to no other node, so the delta to version 7 has a base that the
    // others lack.
    cores[0].1.activate_from_store(&Rc::new(version(5)), now);
    take_frames(&mut cores[0].1);
    cores[0].1.activate_from_store(&Rc::new(version(7)), now);
    deliver_frames(&mut cores, now);
    assert_eq!(active_versions(&cores), [7, 7, 7, 7]);
}

#[tokio::test]
async fn node_without_version_requests_it_after_a_digest() {
    let now = Instant::now();
    let mut cores = vec![
        ("a", core_with("a", &NODES, now)),
        ("c", core_with("c", &NODES, now)),
    ];
    cores[0].1.activate_from_store(&Rc::new(version(3)), now);
    take_frames(&mut cores[0].1);
    cores[0].1.broadcast_digest(true, now);
    deliver_frames(&mut cores, now);
    assert_eq!(cores[1].1.active_version_number(), 3);
}

/// Calls that runs of other services make to a service, for each request that callers send to it.
const CALLS_FROM_RUNS_PER_REQUEST: f64 = 1.2;

#[tokio::test]
async fn retries_stay_within_budget_when_retried_runs_repeat_their_calls() {
    let core = core_with("a", &NODES, Instant::now());
    let allowed_ratio = core.settings().retry_budget.ratio;
    let own_ratio = core.node_retry_ratio();
    let ratio_from_runs = core.node_retry_ratio() * CALLS_FROM_RUNS_PER_REQUEST;
    assert!(
        own_ratio + ratio_from_runs <= allowed_ratio,
        "{own_ratio} and {ratio_from_runs} must stay within {allowed_ratio}"
    );
}

/// Registration of a node with a wide link in the data centre `south`.
fn southern_registration(name: &str, number: u8) -> NodeRegistration {
    NodeRegistration {
        address: format!("10.0.1.{number}:7000"),
        data_centre: "south".to_owned(),
        ..registration(name, BOOT)
    }
}

/// Number of frames with a delta to nodes in the data centre `south`.
fn told_southern_nodes(frames: &[(NodeAddress, PeerFrame)]) -> usize {
    let is_delta = |frame: &PeerFrame| matches!(&frame.body, Some(FrameBody::VersionDelta(_)));
    frames
        .iter()
        .filter(|(to, frame)| is_delta(frame) && to.to_string().starts_with("10.0.1."))
        .count()
}

#[tokio::test(start_paused = true)]
async fn watcher_told_by_its_neighbour_first_still_tells_the_other_data_centres() {
    let now = Instant::now();
    let version_one = Rc::new(version(1));
    let version_two = version(2);
    let delta = version_two.delta_from(Some(&version_one));
    for (own, neighbour) in [("a", "b"), ("b", "a")] {
        let mut core = MeshCore::new(settings(own), BOOT, NodeCounters::default());
        let mut registrations: Vec<_> = NODES
            .iter()
            .map(|node| stored(registration(node, BOOT)))
            .collect();
        registrations.push(stored(southern_registration("s", 1)));
        registrations.push(stored(southern_registration("t", 2)));
        core.on_registrations(registrations, StoreEra::default(), now);
        core.activate_from_store(&version_one, now);
        core.take_actions();
        let body = FrameBody::VersionDelta(delta.clone());
        let frame = PeerFrame::new(NodeId::from_name(neighbour), BOOT, body);
        core.on_frame(frame, 50, now);
        assert_eq!(core.active_version_number(), 2);
        assert_eq!(told_southern_nodes(&take_frames(&mut core)), 1, "{own}");
    }
}

/// A heartbeat of the backend server next to node `a`.
fn heartbeat(born_ms: u64) -> Heartbeat {
    Heartbeat {
        instance: format!("i-{born_ms}"),
        born_ms: Some(born_ms),
        sequence: 1,
        service: "press".to_owned(),
        address: settings("a").backend.address.to_string(),
        slots: 12,
        phase: HeartbeatPhase::Ready,
        warmup_left: Duration::ZERO,
        version: String::new(),
    }
}

/// Number of runs that a node starts; its other actions are dropped.
fn take_runs(core: &mut MeshCore) -> usize {
    let actions = core.take_actions().into_iter();
    actions
        .filter(|action| matches!(action, MeshAction::Run(_)))
        .count()
}

#[tokio::test(start_paused = true)]
async fn calls_held_back_by_a_limit_start_at_once_when_another_process_takes_over() {
    let now = Instant::now();
    let mut core = core_with("a", &["a"], now);
    core.on_heartbeat(&heartbeat(1), now);
    let notice = BackendNotice {
        instance: "i-1".to_owned(),
        request_limit: Some(10.0),
        leaving: false,
    };
    core.on_backend_notice(&notice, now);
    for _ in 0..3 {
        core.begin_call(call_spec(), CallRequest::default(), now);
    }
    assert_eq!(take_runs(&mut core), 0, "the limit allows none yet");
    core.on_heartbeat(&heartbeat(2), now);
    assert_eq!(take_runs(&mut core), 3);
}

/// Crash of a backend server under a request that crashes each, as the node beside it reports it.
fn crash_of(server: u64) -> CrashRecord {
    CrashRecord {
        digest_high: 1,
        digest_low: 2,
        server,
        age_ms: 0,
        cleared: false,
    }
}

/// Lets a node receive crashes from another.
fn receive_crashes(core: &mut MeshCore, from: &str, records: Vec<CrashRecord>, now: Instant) {
    let message = CrashRecords {
        records,
        ..CrashRecords::default()
    };
    let frame = PeerFrame::new(NodeId::from_name(from), BOOT, FrameBody::Crashes(message));
    core.on_frame(frame, 50, now);
}

fn held_requests(core: &MeshCore, now: Instant) -> usize {
    core.held_requests(now).len()
}

#[tokio::test(start_paused = true)]
async fn node_that_missed_the_crashes_learns_them_from_a_watcher() {
    let now = Instant::now();
    let mut cores = [
        ("a", core_with("a", &NODES, now)),
        ("c", core_with("c", &NODES, now)),
    ];
    let crashes = (1..=3).map(crash_of).collect();
    receive_crashes(&mut cores[0].1, "d", crashes, now);
    cores[0].1.take_actions();
    assert_eq!(held_requests(&cores[1].1, now), 0);
    cores[0].1.broadcast_digest(true, now);
    deliver_frames(&mut cores, now);
    assert_eq!(held_requests(&cores[1].1, now), 1);
}

#[tokio::test(start_paused = true)]
async fn watcher_that_missed_a_crash_learns_it_from_the_node_that_knows() {
    let now = Instant::now();
    let mut cores = [
        ("a", core_with("a", &NODES, now)),
        ("c", core_with("c", &NODES, now)),
    ];
    receive_crashes(&mut cores[0].1, "d", vec![crash_of(1)], now);
    receive_crashes(&mut cores[1].1, "d", vec![crash_of(2), crash_of(3)], now);
    cores[0].1.broadcast_digest(true, now);
    deliver_frames(&mut cores, now);
    for (name, core) in &cores {
        assert_eq!(held_requests(core, now), 1, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn data_centre_that_was_cut_off_learns_the_crashes_when_it_is_back() {
    let now = Instant::now();
    let north = |name| stored(registration(name, BOOT));
    let south = NodeRegistration {
        data_centre: "south".to_owned(),
        ..registration("d", BOOT)
    };
    let registrations = || vec![north("a"), north("b"), north("c"), stored(south.clone())];
    let mut cores = ["a", "c", "d"].map(|name| {
        let mut settings = settings(name);
        settings.data_centre = if name == "d" { "south" } else { "north" }.to_owned();
        let mut core = MeshCore::new(settings, BOOT, NodeCounters::default());
        core.on_registrations(registrations(), StoreEra::default(), now);
        core.take_actions();
        (name, core)
    });
    receive_crashes(&mut cores[0].1, "c", vec![crash_of(1), crash_of(2)], now);
    receive_crashes(&mut cores[2].1, "d", vec![crash_of(3)], now);
    for (_, core) in &mut cores {
        core.take_actions();
    }
    cores[0].1.broadcast_digest(true, now);
    deliver_frames(&mut cores, now);
    for (name, core) in &cores {
        assert_eq!(held_requests(core, now), 1, "{name}");
    }
}

/// Number of records in the frames that a node sent.
fn sent_records(core: &mut MeshCore) -> usize {
    let frames = take_frames(core).into_iter();
    let counts = frames.map(|(_, frame)| match frame.body {
        Some(FrameBody::Crashes(message)) => message.records.len(),
        _ => 0,
    });
    counts.sum()
}

#[tokio::test(start_paused = true)]
async fn full_tables_that_stay_different_are_not_sent_all_the_time() {
    let start = Instant::now();
    let mut core = core_with("c", &NODES, start);
    let crashes = (0..3000).map(|digest| CrashRecord {
        digest_high: digest,
        ..crash_of(1)
    });
    receive_crashes(&mut core, "d", crashes.collect(), start);
    core.take_actions();
    let mut sent = 0;
    for step in 0..240 {
        let now = start + Duration::from_millis(250 * step);
        let digest = TableDigest {
            crash_hash: Some(1),
            rollout_hash: None,
            ..TableDigest::default()
        };
        let frame = PeerFrame::new(NodeId::from_name("a"), BOOT, FrameBody::Digest(digest));
        core.on_frame(frame, 50, now);
        sent += sent_records(&mut core);
    }
    // 8,192 at once, and 512 in each of 60 seconds.
    assert!((2048..=8192 + 512 * 60).contains(&sent), "{sent} records");
}
