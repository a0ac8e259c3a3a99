//! Routes, splits and the time at which refused callers return.

use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_mesh::return_time;
use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::MeshRoute;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::RoutePart;
use sequoiagw_mesh::SplitTable;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;

fn route(name: &str, prefix: &str, parts: &[(&str, u32)]) -> MeshRoute {
    MeshRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        parts: parts
            .iter()
            .map(|(service, weight)| RoutePart {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        aim: Duration::from_millis(300),
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
    let version = MeshVersion::new(1, routes, CallerLimits::default(), Bytes::new());
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
            let mut table = SplitTable::default();
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
            (0..400).map(|_| return_time(ErrorKind::QueueFull, Some(RankLevel::new(level))));
        times.sum::<Duration>() / 400
    };
    assert!(mean(0) < mean(2));
    let all: std::collections::BTreeSet<Duration> = (0..50)
        .map(|_| return_time(ErrorKind::QueueFull, None))
        .collect();
    assert!(all.len() > 25);
}
