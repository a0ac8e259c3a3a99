//! How calls of a route are to be treated.

use sequoiagw_config::RouteMatch;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::PlacementRule;

/// Builds what a route says, before a caller asks for less.
pub fn call_spec(route: &RouteMatch) -> CallSpec {
    CallSpec {
        service: route.service.clone(),
        route: route.name.clone(),
        level: route.level,
        idempotent: route.idempotent,
        max_retries: route.limits.retries,
        retry_budget_ratio: route.limits.retry_budget,
        spill_load: route.limits.spill_load,
        timeout: route.limits.timeout,
        placement_rule: PlacementRule::Spill,
        latency_target: route.limits.timeout,
        retries_server_errors: false,
    }
}
