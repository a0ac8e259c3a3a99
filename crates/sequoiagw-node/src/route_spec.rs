//! How calls of a route are to be treated.

use sequoiagw_config::CompiledRoute;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::PlacementRule;

/// Builds what a route says, before a caller asks for less.
pub fn call_spec(route: &CompiledRoute) -> CallSpec {
    CallSpec {
        service: route.service.clone(),
        route: route.name.clone(),
        level: route.level,
        idempotent: route.idempotent,
        retries: route.limits.retries,
        retry_budget: route.limits.retry_budget,
        spill_load: route.limits.spill_load,
        timeout: route.limits.timeout,
        placement: PlacementRule::Spill,
        aim: route.limits.timeout,
        retries_errors: false,
    }
}
