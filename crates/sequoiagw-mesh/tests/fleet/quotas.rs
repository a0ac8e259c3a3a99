//! Permits of a workspace in a fleet of nodes with all their tasks.

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_mesh::first_counter;
use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::KeyedWorkspace;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::QuotaSettings;
use sequoiagw_mesh::Workspace;
use sequoiagw_policy::QuotaLimit;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::direct_links::DirectLinks;
use crate::fleet_node::start_store;
use crate::fleet_node::FleetNode;
use crate::fleet_node::FIRST_BOOT;
use crate::fleet_store::NodeStore;
use crate::support::settings;
use crate::support::NODES;

/// Time after which a fleet has registered, and its buckets are full.
const SETTLING_TIME: Duration = Duration::from_secs(8);

fn workspace() -> Workspace {
    Workspace {
        name: "mill".to_owned(),
        level: None,
        quota: QuotaLimit::new(50.0, 50.0),
    }
}

/// Starts a fleet with quotas in which the workspace is known.
async fn start_fleet() -> Vec<FleetNode> {
    let store = start_store(3, &NODES);
    let links = DirectLinks::default();
    let nodes: Vec<FleetNode> = NODES
        .iter()
        .map(|name| {
            let settings = MeshSettings {
                quota: Some(QuotaSettings {
                    window: Duration::from_secs(5),
                    overrun: 0.1,
                    tolerance: 20.0,
                }),
                ..settings(name)
            };
            let links = links.for_another_node();
            FleetNode::start(settings, FIRST_BOOT, NodeStore::new(&store), links)
        })
        .collect();
    sleep(SETTLING_TIME).await;
    let keyed = KeyedWorkspace {
        workspace: workspace(),
        keys: Vec::new(),
    };
    let version = MeshVersion::new(100, Vec::new(), CallerLimits::default());
    let version = Rc::new(version.with_workspaces(vec![keyed]));
    for node in &nodes {
        node.handle
            .with_core(|core, now| core.activate_from_store(&version, now));
    }
    nodes
}

/// Position of the workspace's counter among the nodes.
fn counter() -> usize {
    let ids = || NODES.iter().map(|name| NodeId::from_name(name));
    let first = first_counter("mill", ids(), |_| false);
    let position = ids().position(|node| Some(node) == first);
    position.expect("a counter")
}

/// Guards against nodes that each grant the whole quota.
#[tokio::test(start_paused = true)]
async fn all_nodes_together_grant_one_quota() {
    let check = async {
        let nodes = start_fleet().await;
        let (mut allowed, mut refused) = (0, 0);
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            for node in &nodes {
                match node.handle.acquire_permit(&workspace()).await {
                    Ok(()) => allowed += 1,
                    Err(refusal) => {
                        assert_eq!(refusal.kind, ErrorKind::QuotaExceeded);
                        refused += 1;
                    }
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert!((240..=275).contains(&allowed), "{allowed} allowed");
        assert!(refused > 1000, "{refused} refused");
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against refusals because of a counter that has died.
#[tokio::test(start_paused = true)]
async fn a_silent_counter_delays_the_first_caller_by_one_timeout() {
    let check = async {
        let nodes = start_fleet().await;
        let counter = counter();
        nodes[counter].links.set_silent(true);
        let entry = &nodes[(counter + 1) % NODES.len()].handle;
        let start = Instant::now();
        // The next counter starts with an empty bucket.
        let first = entry.acquire_permit(&workspace()).await;
        assert!(start.elapsed() >= Duration::from_millis(150));
        assert!(start.elapsed() < Duration::from_millis(160));
        assert_eq!(
            first.map_err(|refusal| refusal.kind),
            Err(ErrorKind::QuotaExceeded)
        );
        sleep(Duration::from_millis(500)).await;
        let start = Instant::now();
        assert_eq!(entry.acquire_permit(&workspace()).await, Ok(()));
        assert!(start.elapsed() < Duration::from_millis(10));
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against places of callers that disconnected while they waited.
#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_frees_its_place() {
    let check = async {
        let nodes = start_fleet().await;
        let counter = counter();
        nodes[counter].links.set_silent(true);
        let entry = &nodes[(counter + 1) % NODES.len()].handle;
        let gone = timeout(
            Duration::from_millis(50),
            entry.acquire_permit(&workspace()),
        )
        .await;
        assert!(gone.is_err(), "the caller is gone before the answer");
        sleep(Duration::from_secs(1)).await;
        let counters = entry.counters();
        let outcomes = ["quota.waited", "quota.refused", "quota.unavailable"];
        let settled: u64 = outcomes.iter().map(|name| counters.total(name)).sum();
        assert_eq!(settled, 0);
        assert_eq!(
            counters.total("quota.requests_sent"),
            1,
            "nobody waits any more"
        );
    };
    LocalSet::new().run_until(check).await;
}
