//! Configuration version compiled for one data centre: path patterns parsed, references checked
//! and settings resolved.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_protocol::RankLevel;

use crate::resolve_setting;
use crate::ConfigError;
use crate::MeshConfig;
use crate::PathPattern;
use crate::ScopeQuery;
use crate::SettingName;

/// Settings of a route, resolved for one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Deadline of a call, relative to its arrival, when the caller sets none.
    pub timeout: Duration,
    /// Maximum retries of one call after the first attempt.
    pub retries: u64,
    /// Maximum share of the service's calls that may be retries.
    pub retry_budget: f64,
    /// Load per slot above which calls spill over to other data centres.
    pub spill_load: f64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time for which an idempotency key is retained.
    pub key_window: Duration,
}

/// A route with its path pattern parsed and its settings resolved.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: String,
    /// Service that the route's requests go to.
    pub service: String,
    /// Level of the route's rank.
    pub level: RankLevel,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Settings resolved for this route.
    pub settings: RouteSettings,
    method: String,
    pattern: PathPattern,
}

/// Immutable compiled form of a complete configuration version.
#[derive(Clone, Debug)]
pub struct CompiledConfig {
    /// Version number.
    pub version: u64,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// Share of a target's slots that each level keeps while more urgent levels are overloaded,
    /// from 0.0 to 1.0.
    pub shares: [f64; RankLevel::COUNT],
    config: MeshConfig,
    routes: Vec<CompiledRoute>,
}

impl CompiledConfig {
    /// Compiles a configuration for a data centre.
    ///
    /// Returns the first validation error, so that an invalid version is never applied in part.
    pub fn compile(
        version: u64,
        accepted_ms: u64,
        config: MeshConfig,
        data_centre: &str,
    ) -> Result<Self, ConfigError> {
        config.validate()?;
        let mut routes = Vec::with_capacity(config.routes.len());
        for name in config.routes.keys() {
            routes.push(compile_route(&config, name, data_centre)?);
        }
        routes.sort_by_cached_key(|route| (route.pattern.specificity(), route.name.clone()));
        let mut shares = [0.0; RankLevel::COUNT];
        for rank in config.ranks.values() {
            shares[RankLevel::new(rank.level).index()] = rank.share;
        }
        Ok(Self {
            version,
            accepted_ms,
            shares,
            config,
            routes,
        })
    }

    /// Finds the most specific route that matches a method and a path without its query.
    pub fn find_route(&self, method: &str, path: &str) -> Option<&CompiledRoute> {
        self.routes
            .iter()
            .find(|route| route.method == method && route.pattern.matches(path))
    }

    /// Returns the route with the given name.
    pub fn route(&self, name: &str) -> Option<&CompiledRoute> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// All routes, the most specific first.
    pub fn routes(&self) -> &[CompiledRoute] {
        &self.routes
    }

    /// The configuration from which this version was compiled.
    pub fn config(&self) -> &MeshConfig {
        &self.config
    }

    /// Services that receive the requests of at least one route.
    pub fn routed_services(&self) -> BTreeSet<&str> {
        self.routes
            .iter()
            .map(|route| route.service.as_str())
            .collect()
    }

    /// Name of the rank at each level.
    pub fn rank_names(&self) -> BTreeMap<RankLevel, &str> {
        let ranks = self.config.ranks.iter();
        ranks
            .map(|(name, rank)| (RankLevel::new(rank.level), name.as_str()))
            .collect()
    }

    /// Queue limit and number of reserved slots of one target, in this order.
    pub fn target_limits(&self, data_centre: &str, service: &str, target: &str) -> (u64, u64) {
        let query = ScopeQuery {
            data_centre: Some(data_centre),
            service: Some(service),
            route: None,
            target: Some(target),
        };
        let queue_limit = resolve_setting(&self.config, SettingName::QueueLimit, &query);
        let reserved_slots = resolve_setting(&self.config, SettingName::ReservedSlots, &query);
        (queue_limit.value.count(), reserved_slots.value.count())
    }
}

fn compile_route(
    config: &MeshConfig,
    name: &str,
    data_centre: &str,
) -> Result<CompiledRoute, ConfigError> {
    let route = &config.routes[name];
    let missing_reference = |kind: &'static str, reference: &str| ConfigError::Reference {
        path: format!("routes.{name}.{kind}"),
        position: String::new(),
        kind,
        name: reference.to_owned(),
    };
    let rank = config
        .ranks
        .get(&route.rank)
        .ok_or_else(|| missing_reference("rank", &route.rank))?;
    if !config.services.contains_key(&route.service) {
        return Err(missing_reference("service", &route.service));
    }
    let pattern =
        PathPattern::parse(&route.path).ok_or_else(|| missing_reference("path", &route.path))?;
    let query = ScopeQuery {
        data_centre: Some(data_centre),
        service: Some(&route.service),
        route: Some(name),
        target: None,
    };
    let resolve = |setting| resolve_setting(config, setting, &query).value;
    let settings = RouteSettings {
        timeout: resolve(SettingName::Timeout).duration(),
        retries: resolve(SettingName::Retries).count(),
        retry_budget: resolve(SettingName::RetryBudget).ratio(),
        spill_load: resolve(SettingName::SpillLoad).ratio(),
        max_body_bytes: resolve(SettingName::MaxBodyBytes).count(),
        key_window: resolve(SettingName::KeyWindow).duration(),
    };
    Ok(CompiledRoute {
        name: name.to_owned(),
        service: route.service.clone(),
        level: RankLevel::new(rank.level),
        idempotent: route.idempotent,
        settings,
        method: route.method.clone(),
        pattern,
    })
}
