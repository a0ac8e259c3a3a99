//! Call parameters of a route.

use std::time::Duration;

use sequoiagw_config::CompiledRoute;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::PlacementRule;

/// Returns the call parameters that a route sets. A caller's request can only tighten them.
pub fn call_spec(route: &CompiledRoute) -> CallSpec {
    CallSpec {
        service: route.service.clone(),
        route: route.name.clone(),
        level: route.level,
        idempotent: route.idempotent,
        max_retries: route.settings.retries,
        retry_budget_ratio: route.settings.retry_budget,
        spill_load: route.settings.spill_load,
        timeout: route.settings.timeout,
        placement_rule: PlacementRule::Spill,
        latency_target: route.settings.timeout,
        waited: Duration::ZERO,
        retries_server_errors: false,
    }
}
