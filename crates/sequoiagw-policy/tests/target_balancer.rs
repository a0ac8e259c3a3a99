//! Tests of the load balancer's choice of a target.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::PickRequest;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::TargetBalancer;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

fn balancer_with(targets: &[(u64, &str)]) -> TargetBalancer {
    let mut balancer = TargetBalancer::new("north");
    let infos = targets
        .iter()
        .map(|(node, data_centre)| TargetInfo {
            node: NodeId::from(*node),
            boot: 1,
            data_centre: (*data_centre).to_owned(),
            slots: 10,
        })
        .collect();
    balancer.set_targets(BTreeMap::from([("press".to_owned(), infos)]));
    balancer
}

fn request(level: u8) -> PickRequest<'static> {
    PickRequest {
        service: "press",
        route: "order",
        level: RankLevel::new(level),
        excluded: &[],
        spill_load: 1.5,
        refuse_early: true,
        placement_rule: PlacementRule::Spill,
        large_body: false,
        remote_penalty: Duration::ZERO,
        acceptable_local_latency: Duration::ZERO,
        remaining_latency_target: Duration::from_secs(1),
    }
}

fn report(running: u32, waiting: u32, open_levels: u32) -> LoadReport {
    LoadReport {
        link_wait_ms: 0,
        receive_wait_ms: 0,
        running,
        slots: 10,
        waiting,
        open_levels,
        occupancy_ms: 0,
        waits: 0,
    }
}

fn picks(balancer: &TargetBalancer, now: Instant) -> BTreeMap<u64, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        let target = balancer
            .pick(&request(0), &mut rng, now)
            .expect("a target is available");
        *counts.entry(target.node.get()).or_default() += 1;
    }
    counts
}

#[test]
fn prefers_the_local_data_centre() {
    let balancer = balancer_with(&[(1, "north"), (2, "north"), (3, "south")]);
    let counts = picks(&balancer, Instant::now());
    assert!(
        !counts.contains_key(&3),
        "no remote target must be picked: {counts:?}"
    );
}

#[test]
fn picks_a_remote_target_only_when_it_is_clearly_less_loaded() {
    let mut balancer = balancer_with(&[(1, "north"), (3, "south")]);
    let now = Instant::now();
    balancer.on_load_report(NodeId::from(1), report(10, 3, 8), now);
    assert_eq!(
        picks(&balancer, now).keys().copied().collect::<Vec<_>>(),
        [1]
    );
    balancer.on_load_report(NodeId::from(1), report(10, 30, 8), now);
    assert_eq!(
        picks(&balancer, now).keys().copied().collect::<Vec<_>>(),
        [3]
    );
}

#[test]
fn a_load_report_loses_weight_with_age() {
    let mut balancer = balancer_with(&[(1, "north"), (3, "south")]);
    let now = Instant::now();
    balancer.on_load_report(NodeId::from(1), report(10, 30, 8), now);
    let later = now + Duration::from_secs(2);
    assert_eq!(
        picks(&balancer, later).keys().copied().collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn a_full_queue_refuses_only_the_levels_without_room() {
    let mut balancer = balancer_with(&[(1, "north")]);
    let now = Instant::now();
    balancer.on_load_report(NodeId::from(1), report(10, 64, 6), now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let refused = balancer.pick(&request(6), &mut rng, now);
    assert_eq!(
        refused.expect_err("the queue is full for level 6"),
        ErrorKind::FleetOverloaded
    );
    assert!(balancer.pick(&request(0), &mut rng, now).is_ok());
    let later = now + Duration::from_millis(60);
    assert!(
        balancer.pick(&request(6), &mut rng, later).is_ok(),
        "a report older than 50 ms must not refuse calls"
    );
}

#[test]
fn ejection_never_empties_a_service() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .for_each(|failures| {
            let targets: Vec<(u64, &str)> = (0..5).map(|node| (node, "north")).collect();
            let mut balancer = balancer_with(&targets);
            let now = Instant::now();
            for node in failures {
                balancer.on_failure(NodeId::from(u64::from(node % 5)), now);
            }
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            assert!(balancer.pick(&request(0), &mut rng, now).is_ok());
        });
}

#[test]
fn excludes_an_ejected_target_until_its_ejection_ends() {
    let mut balancer = balancer_with(&[(1, "north"), (2, "north"), (3, "north")]);
    let now = Instant::now();
    for _ in 0..3 {
        balancer.on_failure(NodeId::from(1), now);
    }
    assert!(!picks(&balancer, now).contains_key(&1));
    assert!(picks(&balancer, now + Duration::from_secs(3)).contains_key(&1));
}

/// Load report of a target with `running` of 10 slots in use and the same wait at all levels.
fn waiting_report(running: u32, wait_ms: u64) -> LoadReport {
    LoadReport {
        occupancy_ms: 100,
        waits: LoadReport::pack_waits([Duration::from_millis(wait_ms); RankLevel::COUNT]),
        ..report(running, 0, 8)
    }
}

fn fastest_request(penalty_ms: u64, latency_target_ms: u64) -> PickRequest<'static> {
    PickRequest {
        placement_rule: PlacementRule::Fastest,
        remote_penalty: Duration::from_millis(penalty_ms),
        remaining_latency_target: Duration::from_millis(latency_target_ms),
        ..request(1)
    }
}

/// A local target (node 1) and a remote one (node 2).
fn local_and_remote() -> TargetBalancer {
    let info = |node: u64, data_centre: &str| TargetInfo {
        node: NodeId::from(node),
        boot: 1,
        data_centre: data_centre.to_owned(),
        slots: 10,
    };
    let mut balancer = TargetBalancer::new("north");
    let targets = vec![info(1, "north"), info(2, "south")];
    balancer.set_targets(BTreeMap::from([("press".to_owned(), targets)]));
    balancer
}

#[test]
fn accepts_a_local_wait_up_to_the_remote_penalty() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (wait_ms, chosen) in [(0, 1), (80, 1), (400, 2)] {
        let mut balancer = local_and_remote();
        balancer.on_load_report(NodeId::from(1), waiting_report(10, wait_ms), now);
        balancer.on_load_report(NodeId::from(2), waiting_report(0, 0), now);
        let target = balancer.pick(&fastest_request(200, 600), &mut rng, now);
        assert_eq!(
            target.map(|info| info.node),
            Ok(NodeId::from(chosen)),
            "expected node {chosen} at a local wait of {wait_ms} ms"
        );
    }
}

#[test]
fn refuses_a_call_that_would_miss_its_latency_target_at_every_target() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = local_and_remote();
    balancer.on_load_report(NodeId::from(1), waiting_report(10, 900), now);
    balancer.on_load_report(NodeId::from(2), waiting_report(10, 900), now);
    let request = fastest_request(200, 600);
    let refused = balancer.pick(&request, &mut rng, now);
    assert_eq!(refused, Err(ErrorKind::FleetOverloaded));
    let later = now + Duration::from_millis(200);
    assert!(
        balancer.pick(&request, &mut rng, later).is_ok(),
        "reports older than 120 ms must not refuse calls"
    );
}

#[test]
fn large_answers_go_to_the_target_whose_link_is_free() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = local_and_remote();
    let busy_link = LoadReport {
        link_wait_ms: 700,
        ..waiting_report(0, 0)
    };
    balancer.on_load_report(NodeId::from(1), busy_link, now);
    balancer.on_load_report(NodeId::from(2), waiting_report(0, 0), now);
    let request = fastest_request(200, 800);
    let small = balancer.pick(&request, &mut rng, now);
    assert_eq!(small.map(|info| info.node), Ok(NodeId::from(1)));
    balancer.record_answer_size(request.route, 90_000);
    let large = balancer.pick(&request, &mut rng, now);
    assert_eq!(large.map(|info| info.node), Ok(NodeId::from(2)));
}

/// Guards against uploads to a host that already has to receive others, and against small calls that
/// avoid such a host.
#[test]
fn large_bodies_go_to_the_target_that_has_less_to_receive() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = local_and_remote();
    let busy_link = LoadReport {
        receive_wait_ms: 700,
        ..waiting_report(0, 0)
    };
    balancer.on_load_report(NodeId::from(1), busy_link, now);
    balancer.on_load_report(NodeId::from(2), waiting_report(0, 0), now);
    let small = fastest_request(200, 800);
    let target = balancer.pick(&small, &mut rng, now);
    assert_eq!(target.map(|info| info.node), Ok(NodeId::from(1)));
    let large = PickRequest {
        large_body: true,
        ..small
    };
    let target = balancer.pick(&large, &mut rng, now);
    assert_eq!(target.map(|info| info.node), Ok(NodeId::from(2)));
}

#[test]
fn picks_a_target_with_free_slots_for_a_short_call_beside_long_calls() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = local_and_remote();
    let long_calls = LoadReport {
        occupancy_ms: 500,
        ..waiting_report(5, 0)
    };
    balancer.on_load_report(NodeId::from(1), long_calls, now);
    balancer.on_load_report(NodeId::from(2), long_calls, now);
    assert!(balancer
        .pick(&fastest_request(50, 120), &mut rng, now)
        .is_ok());
}

#[test]
fn a_suspect_node_gets_no_calls_until_contact() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = local_and_remote();
    balancer.mark_suspect(NodeId::from(1));
    let request = fastest_request(200, 600);
    let target = balancer.pick(&request, &mut rng, now);
    assert_eq!(target.map(|info| info.node), Ok(NodeId::from(2)));
    balancer.on_contact(NodeId::from(1));
    let target = balancer.pick(&request, &mut rng, now);
    assert_eq!(target.map(|info| info.node), Ok(NodeId::from(1)));
}

#[test]
fn a_failing_target_counts_as_slower() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut balancer = local_and_remote();
    for _ in 0..20 {
        balancer.on_answer(NodeId::from(1), true, now);
    }
    let target = balancer.pick(&fastest_request(200, 600), &mut rng, now);
    assert_eq!(target.map(|info| info.node), Ok(NodeId::from(2)));
}
