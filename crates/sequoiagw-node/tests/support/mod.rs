//! Helpers that make a fleet case one readable line.
#![allow(dead_code)]

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_config::MeshConfig;
use sequoiagw_node::NodeHandle;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_standin::FleetPlan;
use sequoiagw_standin::SmallFleet;
use tokio::task::LocalSet;

/// Configuration of the fleets in these tests.
pub const MESH: &str = r#"
[defaults]
timeout = "2s"

[ranks.urgent]
level = 0

[ranks.normal]
level = 3
share = 0.2

[ranks.bulk]
level = 6
share = 0.05

[services.press]
[services.payments]

[routes.change-die]
method = "POST"
path = "/press/dies"
service = "press"
rank = "urgent"

[routes.list-dies]
method = "GET"
path = "/press/dies"
service = "press"
rank = "bulk"
idempotent = true

[routes.pay]
method = "POST"
path = "/payments"
service = "payments"
rank = "urgent"
"#;

/// The configuration with another timeout, so that it makes a new version.
pub fn mesh_with_timeout(seconds: u64) -> MeshConfig {
    let source = MESH.replace("timeout = \"2s\"", &format!("timeout = \"{seconds}s\""));
    MeshConfig::from_toml(&source).expect("valid")
}

/// Runs a test on the paused clock of a single-threaded runtime.
pub fn on_paused_clock<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A fleet in which the first version is in force everywhere and all targets are known.
pub async fn ready_fleet(plan: FleetPlan) -> SmallFleet {
    let fleet = SmallFleet::start(plan);
    let accepted = fleet
        .accept(mesh_with_timeout(2), "first")
        .await
        .expect("accepted");
    within(
        60,
        "the first version is in force",
        fleet.wait_version(accepted.version),
    )
    .await;
    within(60, "all targets are known", fleet.wait_members()).await;
    fleet
}

/// Awaits something that has to happen within some seconds of the paused clock.
pub async fn within<Awaited>(seconds: u64, what: &str, awaited: Awaited) -> Awaited::Output
where
    Awaited: Future,
{
    let limit = Duration::from_secs(seconds);
    tokio::time::timeout(limit, awaited)
        .await
        .unwrap_or_else(|_| panic!("not within {seconds} s: {what}"))
}

/// Calls a route of the node's version in force.
pub async fn call(handle: &NodeHandle, route: &str, id: &str, key: &str) -> CallerReply {
    let snapshot = handle
        .read(|core| core.snapshot().cloned())
        .expect("a version is in force");
    let found = snapshot.route(route).expect("route");
    let spec = CallSpec {
        service: found.service.clone(),
        route: found.name.clone(),
        level: found.level,
        idempotent: found.idempotent,
        retries: found.limits.retries,
        retry_budget: found.limits.retry_budget,
        spill_load: found.limits.spill_load,
        timeout: found.limits.timeout,
    };
    let request = CallRequest {
        method: "POST".to_owned(),
        path: format!("/{route}"),
        body: Bytes::from_static(b"body"),
        key: key.to_owned(),
        request_id: id.to_owned(),
        ..CallRequest::default()
    };
    handle.call(spec, request).await
}
