//! Routes, splits and the time at which refused callers return.

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

fn route(name: &str, prefix: &str, parts: &[(&str, u32)]) -> MeshRoute {
    MeshRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        services: parts
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
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
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
fn a_split_keeps_to_its_weights_at_any_number_of_nodes() {
    let split = route("r", "/", &[("x", 90), ("y", 10)]);
    for nodes in [1, 16, 80] {
        let mut second = 0;
        for node in 0..nodes {
            let mut rng = ChaCha8Rng::seed_from_u64(node);
            let mut table = TrafficSplitter::default();
            let chosen = (0..400 / nodes).map(|_| table.choose(&split, &mut rng) == "y");
            second += chosen.filter(|chosen| *chosen).count();
        }
        let share = second as f64 / 400.0;
        assert!((share - 0.1).abs() < 0.05, "{nodes} nodes: {share}");
    }
}

#[test]
fn refused_callers_return_spread_out_and_the_urgent_ones_first() {
    let mean = |level| {
        let times =
            (0..400).map(|_| retry_after_delay(ErrorKind::QueueFull, Some(RankLevel::new(level))));
        times.sum::<Duration>() / 400
    };
    assert!(mean(0) < mean(2));
    let all: std::collections::BTreeSet<Duration> = (0..50)
        .map(|_| retry_after_delay(ErrorKind::QueueFull, None))
        .collect();
    assert!(all.len() > 25);
}

fn version(number: u64, routes: &[(&str, &str)]) -> MeshVersion {
    let routes = routes
        .iter()
        .map(|(name, service)| route(name, &format!("/{name}/"), &[(service, 1)]))
        .collect();
    MeshVersion::new(number, routes, CallerLimits::default())
}

#[test]
fn a_delta_holds_what_has_changed_and_leads_to_the_same_version() {
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
    let applied = MeshVersion::apply(Some(&old), &delta).expect("applies");
    assert_eq!((applied.number, applied.digest), (7, new.digest));
    let found = applied.find_route("shop.example", "/b/1").expect("a route");
    assert_eq!(found.services[0].service, "y");
    assert!(applied.find_route("shop.example", "/c/1").is_none());
}

#[test]
fn a_whole_version_needs_no_base() {
    let new = version(7, &[("a", "x")]);
    let whole = new.delta_from(None);
    let old = version(3, &[("b", "x")]);
    for base in [None, Some(&old)] {
        let applied = MeshVersion::apply(base, &whole).expect("applies");
        assert_eq!(applied.digest, new.digest);
        assert!(applied.find_route("shop.example", "/b/1").is_none());
    }
}

#[test]
fn a_delta_for_another_version_or_with_other_content_is_never_taken() {
    let old = version(3, &[("a", "x")]);
    let new = version(7, &[("a", "y")]);
    let mut delta = new.delta_from(Some(&old));
    let other = version(5, &[("a", "z")]);
    let refused = MeshVersion::apply(Some(&other), &delta);
    assert_eq!(
        refused.err(),
        Some(DeltaError::BaseMismatch { base: 3, held: 5 })
    );
    assert!(MeshVersion::apply(None, &delta).is_err());
    delta.routes.clear();
    let refused = MeshVersion::apply(Some(&old), &delta);
    assert_eq!(
        refused.err(),
        Some(DeltaError::DigestMismatch { number: 7 })
    );
}
