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
        retries: route.settings.retries,
        retry_budget: route.settings.retry_budget,
        spill_load: route.settings.spill_load,
        timeout: route.settings.timeout,
        placement: PlacementRule::Spill,
        aim: route.settings.timeout,
        retries_errors: false,
    }
}
