//! Makes one call through a node.

use bytes::Bytes;
use sequoiagw_node::call_spec;
use sequoiagw_node::NodeHandle;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallerReply;

/// Calls a route of the node's version in force.
pub async fn call(handle: &NodeHandle, route: &str, id: &str, key: &str) -> CallerReply {
    let snapshot = handle
        .read(|core| core.snapshot().cloned())
        .expect("a version is in force");
    let found = snapshot.route(route).expect("route");
    let spec = call_spec(found);
    let request = CallRequest {
        method: "POST".to_owned(),
        path: format!("/{route}"),
        body: Bytes::from_static(b"body"),
        idempotency_key: key.to_owned(),
        request_id: id.to_owned(),
        ..CallRequest::default()
    };
    handle.call(spec, request).await
}
