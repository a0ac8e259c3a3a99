//! Helper that makes a call through a node of a simulated fleet.

use bytes::Bytes;
use sequoiagw_node::call_spec;
use sequoiagw_node::NodeHandle;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallerReply;

/// Calls a route of the version that is in force at the node; an empty `key` sends no idempotency
/// key.
pub async fn call(handle: &NodeHandle, route: &str, request_id: &str, key: &str) -> CallerReply {
    let snapshot = handle
        .read(|core| core.snapshot().cloned())
        .expect("a version should be in force");
    let compiled_route = snapshot.route(route).expect("the route should exist");
    let spec = call_spec(compiled_route);
    let request = CallRequest {
        method: "POST".to_owned(),
        path: format!("/{route}"),
        body: Bytes::from_static(b"body"),
        idempotency_key: key.to_owned(),
        request_id: request_id.to_owned(),
        ..CallRequest::default()
    };
    handle.call(spec, request).await
}
