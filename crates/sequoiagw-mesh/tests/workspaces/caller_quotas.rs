//! Quotas at a node's callers' address.

use std::future::Future;
use std::time::Duration;

use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::QuotaSettings;
use sequoiagw_policy::QuotaLimit;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::number_format::HEADERS;
use crate::served_node::ServedNode;
use crate::support::settings;
use crate::workspace_version::version;
use crate::workspace_version::workspace;

const SLOW_KEY: (&str, &str) = ("Key", "key-of-slow");
const BUSY_KEY: (&str, &str) = ("Key", "key-of-busy");
const FREE_KEY: (&str, &str) = ("Key", "key-of-free");

/// Runs a test with a node and three workspaces: `slow` gets a request in 50 s, `busy` many, and `free`
/// has no limit.
async fn run_with_node<Test, Run>(quota: Option<QuotaSettings>, test: Test)
where
    Test: FnOnce(ServedNode) -> Run,
    Run: Future<Output = ()>,
{
    let settings = MeshSettings {
        quota,
        ..settings("a")
    };
    let with_node = async {
        let node = ServedNode::start_with(settings).await;
        let mut slow = workspace("slow", &[SLOW_KEY.1]);
        slow.workspace.quota = QuotaLimit::new(0.02, 1.0);
        let mut busy = workspace("busy", &[BUSY_KEY.1]);
        busy.workspace.quota = QuotaLimit::new(10_000.0, 10_000.0);
        let free = workspace("free", &[FREE_KEY.1]);
        node.activate(version(1, vec![slow, busy, free]));
        sleep(Duration::from_millis(50)).await;
        test(node).await;
    };
    LocalSet::new().run_until(with_node).await;
}

const QUOTAS_ON: Option<QuotaSettings> = Some(QuotaSettings {
    window: Duration::from_secs(5),
    overrun: 0.1,
    tolerance: 20.0,
});

#[tokio::test]
async fn request_beyond_the_quota_gets_429_with_a_delay_and_is_not_run() {
    run_with_node(QUOTAS_ON, |node| async move {
        for _ in 0..2 {
            let mut connection = node.connect().await;
            let (status, delay) = connection.status_and_delay("/order/1", &[SLOW_KEY]).await;
            assert_eq!(status, 429);
            let delay: f64 = delay.and_then(|text| text.parse().ok()).expect("a delay");
            assert!(delay > 30.0, "{delay}");
        }
        assert!(node.take_heads().is_empty(), "neither request may run");
        let counters = node.handle.counters();
        assert_eq!(counters.total("refused.quota_exceeded"), 2);
        assert_eq!(counters.total("quota.refused"), 2);
        assert_eq!(
            counters.total("quota.requests_sent"),
            1,
            "a refusal is remembered"
        );
        assert_eq!(node.status("/order/1", &[BUSY_KEY]).await, 200);
    })
    .await;
}

#[tokio::test]
async fn requests_without_a_limit_or_a_workspace_need_no_permit() {
    run_with_node(QUOTAS_ON, |node| async move {
        assert_eq!(node.status("/order/1", &[FREE_KEY]).await, 200);
        assert_eq!(node.status("/order/1", &[]).await, 200);
        assert_eq!(node.status("/order/1", &[("Key", "of nobody")]).await, 401);
        let counters = node.handle.counters();
        assert_eq!(counters.total("quota.requests_sent"), 0);
    })
    .await;
}

#[tokio::test]
async fn without_quotas_all_requests_of_workspaces_are_served() {
    run_with_node(None, |node| async move {
        assert_eq!(node.status("/order/1", &[SLOW_KEY]).await, 200);
        let counters = node.handle.counters();
        assert_eq!(counters.total("quota.requests_sent"), 0);
    })
    .await;
}

/// Guards against a timeout that is shortened by rounding: at 200 ms the entry would no longer keep a
/// margin for the answer.
#[tokio::test]
async fn timeout_of_a_request_that_does_not_wait_for_a_permit_is_kept() {
    run_with_node(None, |node| async move {
        let headers = [SLOW_KEY, (HEADERS.deadline, "200")];
        assert_eq!(node.status("/order/1", &headers).await, 200);
        let heads = node.take_heads().concat().to_lowercase();
        let name = format!("{}:", HEADERS.deadline.to_lowercase());
        let line = heads.lines().find_map(|line| line.strip_prefix(&name));
        let time_left: u64 = line
            .and_then(|text| text.trim().parse().ok())
            .expect("a time");
        assert!(time_left <= 180, "{time_left} ms");
    })
    .await;
}
