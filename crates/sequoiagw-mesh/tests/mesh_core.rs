//! The node's decisions, joined: processes that restart, and versions told among nodes.

mod support;

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_mesh::MeshAction;
use sequoiagw_mesh::MeshCore;
use sequoiagw_node::CounterBoard;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::PlacementRule;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::RankLevel;
use support::address;
use support::entry;
use support::settings;
use support::version;
use support::NODES;
use tokio::time::Instant;

const BOOT: u64 = 1;

/// A node that knows the entries of `listed`.
fn core_of(name: &str, listed: &[&str], now: Instant) -> MeshCore {
    let mut core = MeshCore::new(settings(name), BOOT, CounterBoard::default());
    let entries = listed.iter().map(|node| (entry(node, BOOT), 5)).collect();
    core.on_registrations(entries, now);
    core.take_actions();
    core
}

fn frames(core: &mut MeshCore) -> Vec<(NodeAddress, PeerFrame)> {
    let sent = core.take_actions().into_iter().filter_map(|action| {
        let MeshAction::Send(to, frame) = action else {
            return None;
        };
        Some((to, *frame))
    });
    sent.collect()
}

/// Carries the frames of one core to the others until nothing is under way.
fn carry(cores: &mut [(&str, MeshCore)], now: Instant) -> usize {
    let mut bytes = 0;
    loop {
        let mut sent = Vec::new();
        for (_, core) in cores.iter_mut() {
            sent.extend(frames(core));
        }
        if sent.is_empty() {
            return bytes;
        }
        for (to, frame) in sent {
            let target = cores
                .iter_mut()
                .find(|(name, _)| NodeAddress::parse(&address(name)) == Some(to));
            if let Some((_, core)) = target {
                bytes += 1;
                core.on_frame(frame, 100, now);
            }
        }
    }
}

fn spec() -> CallSpec {
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
        retries_server_errors: true,
    }
}

#[tokio::test]
async fn a_call_that_waits_for_a_link_survives_the_news_that_its_node_has_restarted() {
    let now = Instant::now();
    let mut core = core_of("a", &["b"], now);
    core.begin_call(spec(), CallRequest::default(), now);
    let (to, kept) = frames(&mut core).pop().expect("a dispatch");
    core.on_link_established(NodeId::from_name("b"), 2, now);
    let replied = core
        .take_actions()
        .iter()
        .any(|action| matches!(action, MeshAction::Reply(..)));
    assert!(!replied, "it isn't lost");
    core.on_undelivered(to, &[kept], now);
    let (_, frame) = frames(&mut core).pop().expect("another dispatch");
    let Some(FrameBody::Dispatch(dispatch)) = frame.body else {
        panic!("{frame:?}");
    };
    assert_eq!(dispatch.target_boot, 2);
}

#[tokio::test]
async fn the_nodes_with_the_widest_links_watch_for_their_data_centre() {
    let now = Instant::now();
    for (name, watches) in [("a", true), ("b", true), ("c", false), ("d", false)] {
        assert_eq!(core_of(name, &NODES, now).is_watcher(), watches, "{name}");
    }
}

#[tokio::test]
async fn a_watcher_passes_a_version_on_and_one_that_missed_some_asks_for_what_it_lacks() {
    let now = Instant::now();
    let mut cores: Vec<(&str, MeshCore)> = NODES
        .iter()
        .map(|name| (*name, core_of(name, &NODES, now)))
        .collect();
    cores[0].1.activate_from_store(&Rc::new(version(3)), now);
    carry(&mut cores, now);
    let held = |cores: &[(&str, MeshCore)]| -> Vec<u64> {
        cores
            .iter()
            .map(|(_, core)| core.active_version_number())
            .collect()
    };
    assert_eq!(held(&cores), [3, 3, 3, 3]);

    // Version 5 reaches nobody, so version 7 applies to one that the others don't hold.
    cores[0].1.activate_from_store(&Rc::new(version(5)), now);
    frames(&mut cores[0].1);
    cores[0].1.activate_from_store(&Rc::new(version(7)), now);
    carry(&mut cores, now);
    assert_eq!(held(&cores), [7, 7, 7, 7]);
}

#[tokio::test]
async fn a_digest_shows_a_process_that_knows_nothing_where_to_ask() {
    let now = Instant::now();
    let mut cores = vec![
        ("a", core_of("a", &NODES, now)),
        ("c", core_of("c", &NODES, now)),
    ];
    cores[0].1.activate_from_store(&Rc::new(version(3)), now);
    frames(&mut cores[0].1);
    cores[0].1.broadcast_digest(true, now);
    carry(&mut cores, now);
    assert_eq!(cores[1].1.active_version_number(), 3);
}

/// Calls that the runs of other services make to a service, for each request of its own.
const CALLS_A_REQUEST: f64 = 1.2;

#[tokio::test]
async fn repeats_stay_within_the_allowance_though_repeated_runs_make_their_calls_again() {
    let core = core_of("a", &NODES, Instant::now());
    let allowed = core.settings().retry_budget.ratio;
    let own = core.node_retry_ratio();
    let of_calling_runs = core.node_retry_ratio() * CALLS_A_REQUEST;
    assert!(
        own + of_calling_runs <= allowed,
        "{own} and {of_calling_runs}"
    );
}
