//! Route look-ups, version deltas, traffic splitting and retry delays.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_mesh::retry_after_delay;
use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::DeltaError;
use sequoiagw_mesh::MeshRoute;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::TrafficSplitter;
use sequoiagw_mesh::WeightedService;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> MeshRoute {
    MeshRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(300),
        level: RankLevel::MOST_URGENT,
        max_attempts: 2,
        public: false,
    }
}

#[test]
fn finds_route_with_longest_prefix_of_host() {
    let routes = vec![
        route("short", "/a/", &[("x", 1)]),
        route("long", "/a/b/", &[("y", 1)]),
    ];
    let version = MeshVersion::new(1, routes, CallerLimits::default());
    let found = |host: &str, path: &str| {
        let route = version.find_route(host, path);
        route.map(|route| route.name.clone())
    };
    assert_eq!(found("shop.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(
        found("SHOP.example:80", "/a/b?x=/a/b/").as_deref(),
        Some("short")
    );
    assert_eq!(found("shop.example", "/b/"), None);
    assert_eq!(found("other.example", "/a/"), None);
}

#[test]
fn splits_traffic_by_weight_for_any_number_of_nodes() {
    let split = route("r", "/", &[("x", 90), ("y", 10)]);
    for nodes in [1, 16, 80] {
        let mut count_y = 0;
        for node in 0..nodes {
            let mut rng = ChaCha8Rng::seed_from_u64(node);
            let mut splitter = TrafficSplitter::default();
            let is_y = (0..400 / nodes).map(|_| splitter.choose(&split, &mut rng) == "y");
            count_y += is_y.filter(|is_y| *is_y).count();
        }
        let share = count_y as f64 / 400.0;
        assert!(
            (share - 0.1).abs() < 0.05,
            "share of y must be near 0.1 with {nodes} nodes: {share}"
        );
    }
}

#[test]
fn spreads_retry_delays_and_gives_urgent_levels_shorter_ones() {
    let mean = |level| {
        let delays =
            (0..400).map(|_| retry_after_delay(ErrorKind::QueueFull, Some(RankLevel::new(level))));
        delays.sum::<Duration>() / 400
    };
    assert!(mean(0) < mean(2));
    let distinct: std::collections::BTreeSet<Duration> = (0..50)
        .map(|_| retry_after_delay(ErrorKind::QueueFull, None))
        .collect();
    assert!(distinct.len() > 25);
}

fn version(number: u64, routes: &[(&str, &str)]) -> MeshVersion {
    let routes = routes
        .iter()
        .map(|(name, service)| route(name, &format!("/{name}/"), &[(service, 1)]))
        .collect();
    MeshVersion::new(number, routes, CallerLimits::default())
}

#[test]
fn delta_carries_only_changes_and_produces_same_version() {
    let old = version(3, &[("a", "x"), ("b", "x"), ("c", "x")]);
    let new = version(7, &[("a", "x"), ("b", "y"), ("d", "x")]);
    let delta = new.delta_from(Some(&old));
    let names: Vec<&str> = delta
        .routes
        .iter()
        .map(|route| route.name.as_str())
        .collect();
    assert_eq!(names, ["b", "d"]);
    assert_eq!(delta.removed, ["c"]);
    let applied = MeshVersion::apply(Some(&old), &delta).expect("delta from the old version");
    assert_eq!((applied.number, applied.digest), (7, new.digest));
    let found = applied
        .find_route("shop.example", "/b/1")
        .expect("a route for /b/1");
    assert_eq!(found.services[0].service, "y");
    assert!(applied.find_route("shop.example", "/c/1").is_none());
}

#[test]
fn whole_version_applies_to_any_base() {
    let new = version(7, &[("a", "x")]);
    let whole = new.delta_from(None);
    let old = version(3, &[("b", "x")]);
    for base in [None, Some(&old)] {
        let applied = MeshVersion::apply(base, &whole).expect("whole version");
        assert_eq!(applied.digest, new.digest);
        assert!(applied.find_route("shop.example", "/b/1").is_none());
    }
}

#[test]
fn refuses_delta_for_other_base_or_with_wrong_digest() {
    let old = version(3, &[("a", "x")]);
    let new = version(7, &[("a", "y")]);
    let mut delta = new.delta_from(Some(&old));
    let other = version(5, &[("a", "z")]);
    let refused = MeshVersion::apply(Some(&other), &delta);
    assert_eq!(
        refused.err(),
        Some(DeltaError::BaseMismatch { base: 3, active: 5 })
    );
    assert!(MeshVersion::apply(None, &delta).is_err());
    delta.routes.clear();
    let refused = MeshVersion::apply(Some(&old), &delta);
    assert_eq!(
        refused.err(),
        Some(DeltaError::DigestMismatch { number: 7 })
    );
}
