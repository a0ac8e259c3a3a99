//! Helper that makes a call through a node of a simulated fleet.

use bytes::Bytes;
use sequoiagw_node::call_spec;
use sequoiagw_node::NodeHandle;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallerReply;

/// Calls a route of the active version of the node; an empty `key` sends no idempotency key.
pub async fn call(handle: &NodeHandle, route: &str, request_id: &str, key: &str) -> CallerReply {
    let config = handle
        .read(|core| core.active_config().cloned())
        .expect("a version should be active");
    let compiled_route = config.route(route).expect("the route should exist");
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
