//! Tests of the balancer's choice of a canary.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_policy::CanaryTarget;
use sequoiagw_policy::PickRequest;
use sequoiagw_policy::PlacementRule;
use sequoiagw_policy::TargetBalancer;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

const CANARY: u64 = 9;

fn target(node: u64) -> TargetInfo {
    TargetInfo {
        node: NodeId::from(node),
        boot: 1,
        data_centre: "north".to_owned(),
        slots: 10,
    }
}

fn balancer(canary_share: Option<f64>) -> TargetBalancer {
    let mut balancer = TargetBalancer::new("north");
    balancer.set_canary(
        "press",
        canary_share.map(|share| CanaryTarget {
            target: target(CANARY),
            share,
        }),
    );
    let targets = (1..=4).map(target).collect();
    balancer.set_targets(BTreeMap::from([("press".to_owned(), targets)]));
    balancer
}

fn request(excluded: &[NodeId], placement_rule: PlacementRule) -> PickRequest<'_> {
    PickRequest {
        large_body: false,
        service: "press",
        route: "order",
        level: RankLevel::new(0),
        excluded,
        spill_load: 1.5,
        refuse_early: true,
        placement_rule,
        remote_penalty: Duration::ZERO,
        acceptable_local_latency: Duration::ZERO,
        remaining_latency_target: Duration::from_secs(1),
    }
}

fn picks(balancer: &TargetBalancer, excluded: &[NodeId], rule: PlacementRule) -> Vec<u64> {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let picks = (0..10_000).map(|_| {
        let target = balancer.pick(&request(excluded, rule), &mut rng, now);
        target.expect("a target is available").node.get()
    });
    picks.collect()
}

#[test]
fn a_canary_gets_its_share() {
    for rule in [PlacementRule::Spill, PlacementRule::Fastest] {
        let picks = picks(&balancer(Some(0.06)), &[], rule);
        let count = picks.iter().filter(|node| **node == CANARY).count();
        assert!(
            (500..700).contains(&count),
            "a canary with a share of 0.06 must get about 600 of 10,000 calls, got {count}"
        );
    }
}

/// Guards against a change for services without a roll-out: same choices, same random numbers.
#[test]
fn nothing_changes_without_a_canary_or_for_a_call_that_excludes_it() {
    for rule in [PlacementRule::Spill, PlacementRule::Fastest] {
        let without = picks(&balancer(None), &[], rule);
        let excluded = picks(&balancer(Some(0.5)), &[NodeId::from(CANARY)], rule);
        assert_eq!(without, excluded);
        let mut removed = balancer(Some(0.5));
        removed.set_canary("press", None);
        assert_eq!(without, picks(&removed, &[], rule));
    }
}

#[test]
fn a_canary_is_a_target_although_set_targets_leaves_it_out() {
    let mut balancer = balancer(Some(0.06));
    let canary = NodeId::from(CANARY);
    assert!(balancer.is_target(canary));
    assert_eq!(balancer.boot(canary), Some(1));
    balancer.mark_suspect(canary);
    let picks = picks(&balancer, &[], PlacementRule::Spill);
    assert!(
        !picks.contains(&CANARY),
        "a suspect canary must get no calls while other targets are left"
    );
}
