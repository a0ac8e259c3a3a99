//! A version made ready for use: routes compiled, references closed, settings resolved.

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

/// Settings of a route, resolved for the node's data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Time a call may take.
    pub timeout: Duration,
    /// Further tries after the first.
    pub retries: u64,
    /// Share of calls that may be retries.
    pub retry_budget: f64,
    /// Load per slot above which calls go to other data centres.
    pub spill_load: f64,
    /// Largest body in bytes.
    pub max_body_bytes: u64,
    /// Time for which keys are remembered.
    pub key_window: Duration,
}

/// A compiled route.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Rank level.
    pub level: RankLevel,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Resolved settings.
    pub settings: RouteSettings,
    method: String,
    pattern: PathPattern,
}

/// An immutable, whole version as one node acts on it.
#[derive(Clone, Debug)]
pub struct CompiledConfig {
    /// Version.
    pub version: u64,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// Share each level keeps while more urgent work floods.
    pub shares: [f64; RankLevel::COUNT],
    config: MeshConfig,
    routes: Vec<CompiledRoute>,
}

impl CompiledConfig {
    /// Compiles a configuration for a data centre.
    ///
    /// Errors: whatever validation finds, so that a bad version is never taken in part.
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

    /// Finds the most specific route for a method and a path without query.
    pub fn find_route(&self, method: &str, path: &str) -> Option<&CompiledRoute> {
        self.routes
            .iter()
            .find(|route| route.method == method && route.pattern.matches(path))
    }

    /// Route by name.
    pub fn route(&self, name: &str) -> Option<&CompiledRoute> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// All routes, the most specific first.
    pub fn routes(&self) -> &[CompiledRoute] {
        &self.routes
    }

    /// The configuration this table was compiled from.
    pub fn config(&self) -> &MeshConfig {
        &self.config
    }

    /// Services that routes of this version point at.
    pub fn routed_services(&self) -> BTreeSet<&str> {
        self.routes
            .iter()
            .map(|route| route.service.as_str())
            .collect()
    }

    /// Names of the ranks by level.
    pub fn rank_names(&self) -> BTreeMap<RankLevel, &str> {
        let ranks = self.config.ranks.iter();
        ranks
            .map(|(name, rank)| (RankLevel::new(rank.level), name.as_str()))
            .collect()
    }

    /// Queue bound and reserved slots of one target.
    pub fn target_limits(&self, data_centre: &str, service: &str, target: &str) -> (u64, u64) {
        let query = ScopeQuery {
            data_centre: Some(data_centre),
            service: Some(service),
            route: None,
            target: Some(target),
        };
        let queue = resolve_setting(&self.config, SettingName::QueueLimit, &query);
        let reserved = resolve_setting(&self.config, SettingName::ReservedSlots, &query);
        (queue.value.count(), reserved.value.count())
    }
}

fn compile_route(
    config: &MeshConfig,
    name: &str,
    data_centre: &str,
) -> Result<CompiledRoute, ConfigError> {
    let route = &config.routes[name];
    let missing = |kind: &'static str, missed: &str| ConfigError::Reference {
        path: format!("routes.{name}.{kind}"),
        position: String::new(),
        kind,
        name: missed.to_owned(),
    };
    let rank = config
        .ranks
        .get(&route.rank)
        .ok_or_else(|| missing("rank", &route.rank))?;
    if !config.services.contains_key(&route.service) {
        return Err(missing("service", &route.service));
    }
    let pattern = PathPattern::parse(&route.path).ok_or_else(|| missing("path", &route.path))?;
    let query = ScopeQuery {
        data_centre: Some(data_centre),
        service: Some(&route.service),
        route: Some(name),
        target: None,
    };
    let value = |setting| resolve_setting(config, setting, &query).value;
    let settings = RouteSettings {
        timeout: value(SettingName::Timeout).duration(),
        retries: value(SettingName::Retries).count(),
        retry_budget: value(SettingName::RetryBudget).ratio(),
        spill_load: value(SettingName::SpillLoad).ratio(),
        max_body_bytes: value(SettingName::MaxBodyBytes).count(),
        key_window: value(SettingName::KeyWindow).duration(),
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
