//! Keys of callers at a node's callers' address.

use std::future::Future;

use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_protocol::RankLevel;
use tokio::task::LocalSet;

use crate::number_format::HEADERS;
use crate::served_node::ServedNode;
use crate::support::route;
use crate::workspace_version::version;
use crate::workspace_version::workspace;

const KEY: (&str, &str) = ("Key", "key-of-mill");
const UNKNOWN_KEY: (&str, &str) = ("Key", "key-of-nobody");

/// Values of a header in the only request that reached the backend server.
fn take_values(node: &ServedNode, header: &str) -> Vec<String> {
    let heads = node.take_heads();
    assert_eq!(heads.len(), 1, "{heads:?}");
    let fields = heads[0].lines().filter_map(|line| line.split_once(": "));
    let matching = fields.filter(|(name, _)| name.eq_ignore_ascii_case(header));
    matching.map(|(_, value)| value.to_owned()).collect()
}

/// Runs a test with a node in which a version with the workspace `mill` is in force.
async fn run_with_mill<Test, Run>(test: Test)
where
    Test: FnOnce(ServedNode) -> Run,
    Run: Future<Output = ()>,
{
    let with_node = async {
        let node = ServedNode::start().await;
        node.activate(version(1, vec![workspace("mill", &[KEY.1])]));
        test(node).await;
    };
    LocalSet::new().run_until(with_node).await;
}

#[tokio::test]
async fn unknown_key_is_refused_with_401_counted_and_not_run() {
    run_with_mill(|node| async move {
        assert_eq!(node.status("/order/1", &[UNKNOWN_KEY]).await, 401);
        assert_eq!(node.status("/order/1", &[("Key", "")]).await, 401);
        assert_eq!(node.unknown_keys(), 2);
        assert!(node.take_heads().is_empty(), "neither request may run");
        assert_eq!(node.status("/order/1", &[KEY]).await, 200);
        assert_eq!(node.unknown_keys(), 2);
    })
    .await;
}

#[tokio::test]
async fn request_with_two_keys_is_refused() {
    run_with_mill(|node| async move {
        for headers in [[KEY, UNKNOWN_KEY], [UNKNOWN_KEY, KEY]] {
            assert_eq!(node.status("/order/1", &headers).await, 401, "{headers:?}");
        }
    })
    .await;
}

#[tokio::test]
async fn open_connection_follows_the_keys_of_the_version_in_force() {
    run_with_mill(|node| async move {
        let new_key = ("Key", "new-key-of-mill");
        let mut connection = node.connect().await;
        assert_eq!(connection.status("/order/1", &[KEY]).await, 200);
        assert_eq!(connection.status("/order/1", &[new_key]).await, 401);
        node.activate(version(2, vec![workspace("mill", &[KEY.1, new_key.1])]));
        assert_eq!(connection.status("/order/1", &[KEY]).await, 200);
        assert_eq!(connection.status("/order/1", &[new_key]).await, 200);
        node.activate(version(3, vec![workspace("mill", &[new_key.1])]));
        assert_eq!(connection.status("/order/1", &[KEY]).await, 401);
        assert_eq!(connection.status("/order/1", &[new_key]).await, 200);
        node.activate(version(4, vec![workspace("forge", &[new_key.1])]));
        node.take_heads();
        assert_eq!(connection.status("/order/1", &[new_key]).await, 200);
        assert_eq!(take_values(&node, HEADERS.workspace), ["forge"]);
    })
    .await;
}

#[tokio::test]
async fn key_is_never_forwarded_and_the_workspace_is_set_whatever_the_caller_sent() {
    run_with_mill(|node| async move {
        let claims = [
            ("workspace", "forge"),
            ("Workspace", "mill"),
            ("WORKSPACE", ""),
        ];
        for key in [KEY, ("kEY", KEY.1)] {
            let headers = [&claims[..], &[key]].concat();
            assert_eq!(node.status("/order/1", &headers).await, 200);
            let heads = node.take_heads();
            let text = heads.concat().to_ascii_lowercase();
            assert!(!text.contains("key"), "{text}");
            assert_eq!(text.matches("workspace:").count(), 1, "{text}");
            assert!(text.contains("\r\nworkspace: mill\r\n"), "{text}");
        }
    })
    .await;
}

#[tokio::test]
async fn request_without_a_key_runs_without_a_workspace() {
    run_with_mill(|node| async move {
        let claim = (HEADERS.workspace, "mill");
        for path in ["/order/1", "/open/1"] {
            assert_eq!(node.status(path, &[claim]).await, 200, "{path}");
            assert!(take_values(&node, HEADERS.workspace).is_empty(), "{path}");
        }
    })
    .await;
}

#[tokio::test]
async fn public_route_ignores_an_unknown_key_and_names_the_workspace_of_a_known_one() {
    run_with_mill(|node| async move {
        let claim = (HEADERS.workspace, "forge");
        assert_eq!(node.status("/open/1", &[UNKNOWN_KEY, claim]).await, 200);
        let heads = node.take_heads().concat();
        assert!(!heads.contains(UNKNOWN_KEY.1), "{heads}");
        assert!(!heads.contains("Workspace:"), "{heads}");
        assert_eq!(node.status("/open/1", &[KEY, claim]).await, 200);
        assert_eq!(take_values(&node, HEADERS.workspace), ["mill"]);
        assert_eq!(node.unknown_keys(), 0);
    })
    .await;
}

#[tokio::test]
async fn missing_version_and_missing_route_come_before_the_key() {
    let check = async {
        let node = ServedNode::start().await;
        for headers in [&[][..], &[UNKNOWN_KEY], &[KEY]] {
            assert_eq!(node.status("/order/1", headers).await, 503, "{headers:?}");
        }
        node.activate(version(1, vec![workspace("mill", &[KEY.1])]));
        assert_eq!(node.status("/none/1", &[UNKNOWN_KEY]).await, 404);
        assert_eq!(node.status("/order/1", &[UNKNOWN_KEY]).await, 401);
    };
    LocalSet::new().run_until(check).await;
}

/// ROUTE, UNASKED: after the last workspace was removed, requests with any key ran, and the key was passed
/// on to the backend server.
#[tokio::test]
async fn keys_stay_checked_when_a_version_removes_the_last_workspace() {
    run_with_mill(|node| async move {
        node.activate(version(2, Vec::new()));
        for key in [KEY, UNKNOWN_KEY] {
            assert_eq!(node.status("/order/1", &[key]).await, 401, "{key:?}");
        }
        assert!(node.take_heads().is_empty(), "neither request may run");
        let claim = (HEADERS.workspace, "forge");
        assert_eq!(node.status("/open/1", &[UNKNOWN_KEY, claim]).await, 200);
        let heads = node.take_heads().concat();
        assert!(!heads.contains("key-of-nobody"), "{heads}");
        assert!(!heads.contains("forge"), "{heads}");
        node.activate(version(3, vec![workspace("mill", &[KEY.1])]));
        assert_eq!(node.status("/order/1", &[KEY]).await, 200);
    })
    .await;
}

#[tokio::test]
async fn version_without_a_list_of_workspaces_forwards_headers_unchanged() {
    run_with_mill(|node| async move {
        let plain = MeshVersion::new(2, vec![route(1)], CallerLimits::default());
        node.activate(plain);
        let claim = (HEADERS.workspace, "forge");
        assert_eq!(node.status("/order/1", &[UNKNOWN_KEY, claim]).await, 200);
        let heads = node.take_heads().concat();
        assert!(heads.contains("Key: key-of-nobody"), "{heads}");
        assert!(heads.contains("Workspace: forge"), "{heads}");
    })
    .await;
}

#[tokio::test]
async fn level_of_the_workspace_replaces_the_one_of_the_route() {
    run_with_mill(|node| async move {
        let mut late = workspace("late", &["key-of-late"]);
        late.workspace.level = Some(RankLevel::new(5));
        node.activate(version(2, vec![workspace("mill", &[KEY.1]), late]));
        let page = || node.handle.counters().metrics_text();
        assert_eq!(node.status("/order/1", &[KEY]).await, 200);
        assert!(!page().contains("level=\"5\""), "{}", page());
        assert_eq!(
            node.status("/order/1", &[("Key", "key-of-late")]).await,
            200
        );
        assert!(page().contains("level=\"5\""), "{}", page());
    })
    .await;
}
