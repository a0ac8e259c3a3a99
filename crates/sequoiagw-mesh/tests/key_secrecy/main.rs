//! Keys of callers appear neither in log lines nor in metrics, and log lines name the workspace.
//!
//! The test has a process of its own, because threads without a log subscriber disable log lines
//! for all threads when they reach them first.

#[path = "../number_format/mod.rs"]
mod number_format;
#[path = "../workspaces/served_node.rs"]
mod served_node;
#[path = "../support/mod.rs"]
mod support;
#[path = "../workspaces/workspace_version.rs"]
mod workspace_version;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing_subscriber::filter::LevelFilter;

use crate::served_node::ServedNode;
use crate::served_node::BROKEN_PATH;
use crate::served_node::SILENT_PATH;
use crate::workspace_version::version;
use crate::workspace_version::workspace;

/// Part of all keys in this test.
const SECRET: &str = "s3cr3t";
const KEY: &str = "s3cr3t-of-mill";
/// Time after which a caller closes its connection.
const TIME_TO_ABANDON: Duration = Duration::from_millis(100);
/// Checks before a log line counts as missing.
const MAX_CHECKS: u32 = 20;

/// Log lines of the current thread.
#[derive(Clone, Default)]
struct LogCapture(Arc<Mutex<Vec<u8>>>);

impl Write for LogCapture {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogCapture {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("the lock");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Sends a request, closes its connection before the answer, and waits until the node logs that.
async fn abandon_request(node: &ServedNode, capture: &LogCapture) {
    let path = format!("/order{SILENT_PATH}");
    let headers = [("Key", KEY)];
    let abandoned = timeout(TIME_TO_ABANDON, node.status(&path, &headers)).await;
    assert!(abandoned.is_err(), "the request must not be answered");
    for _ in 0..MAX_CHECKS {
        if capture.text().contains("call_abandoned") {
            return;
        }
        sleep(TIME_TO_ABANDON).await;
    }
    panic!("the node must log that the caller left");
}

/// Sends requests that are served, refused and broken, all with a key in their header or query.
async fn send_requests(node: &ServedNode) {
    let shared = [workspace("forge", &[KEY]), workspace("mill", &[KEY])];
    node.activate(version(2, shared.to_vec()));
    node.activate(version(3, vec![workspace("mill", &[KEY])]));
    let broken = format!("/order{BROKEN_PATH}?key={KEY}");
    for path in ["/order/1", "/open/1", "/none/1", &broken] {
        for key in [KEY, "s3cr3t-of-nobody"] {
            node.status(path, &[("Key", key)]).await;
        }
    }
}

#[tokio::test]
async fn logs_and_metrics_show_no_key_and_call_lines_name_the_workspace() {
    let capture = LogCapture::default();
    let writer = capture.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(LevelFilter::TRACE)
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .finish();
    let _default = tracing::subscriber::set_default(subscriber);
    let check = async {
        let node = ServedNode::start().await;
        send_requests(&node).await;
        abandon_request(&node, &capture).await;
        assert_eq!(node.unknown_keys(), 2);
        for head in node.take_heads() {
            assert!(!head.contains("Key:"), "{head}");
        }
        let page = node.handle.counters().metrics_text();
        assert!(!page.contains(SECRET), "{page}");
        let state = node
            .handle
            .read(|core| format!("{:?}", core.active_version()));
        assert!(!state.contains(SECRET), "{state}");
    };
    LocalSet::new().run_until(check).await;
    let text = capture.text();
    assert!(!text.contains(SECRET), "{text}");
    let has_line = |parts: &[&str]| {
        let mut lines = text.lines();
        lines.any(|line| parts.iter().all(|part| line.contains(part)))
    };
    for parts in [
        &["workspace_key_shared", "mill", "forge"][..],
        &["run_failed", BROKEN_PATH],
        &["call_refused", "api_key_unknown"],
        &["call_refused", "backend_broken", "workspace=\"mill\""],
        &["call_abandoned", "workspace=\"mill\""],
    ] {
        assert!(has_line(parts), "{parts:?} in {text}");
    }
}
