//! Mesh configuration as operators write it, and its validation.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigError;
use crate::ConfigException;
use crate::PathPattern;
use crate::RankSpec;
use crate::RawValue;
use crate::RouteSpec;
use crate::ServiceSpec;
use crate::SettingName;

/// HTTP methods that a route may match.
const ROUTE_METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
/// Longest name of a service, route, rank or exception, in characters.
const MAX_NAME_CHARS: usize = 64;

/// Mesh configuration: fleet defaults, ranks, services, routes and exceptions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshConfig {
    /// Fleet-wide default of each setting.
    #[serde(default)]
    pub defaults: BTreeMap<SettingName, RawValue>,
    /// Ranks by name.
    #[serde(default)]
    pub ranks: BTreeMap<String, RankSpec>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceSpec>,
    /// Routes by name.
    #[serde(default)]
    pub routes: BTreeMap<String, RouteSpec>,
    /// Exceptions by name.
    #[serde(default)]
    pub exceptions: BTreeMap<String, ConfigException>,
}

impl MeshConfig {
    /// Parses and validates TOML text.
    ///
    /// Errors name the key, its line, the value and the allowed range.
    pub fn from_toml(source: &str) -> Result<Self, ConfigError> {
        let config: Self = toml::from_str(source).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })?;
        config
            .validate()
            .map_err(|error| error.with_position(source))?;
        Ok(config)
    }

    /// Serializes the configuration as TOML.
    pub fn to_toml(&self) -> Result<String, ConfigError> {
        toml::to_string_pretty(self).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })
    }

    /// Checks every name, value, reference and exception scope, and returns the first error.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.check_names()?;
        self.check_defaults()?;
        self.check_ranks()?;
        self.check_routes()?;
        self.check_exceptions()?;
        self.check_conflicts()
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        let groups = [
            ("ranks", self.ranks.keys().collect::<Vec<_>>()),
            ("services", self.services.keys().collect()),
            ("routes", self.routes.keys().collect()),
            ("exceptions", self.exceptions.keys().collect()),
        ];
        for (group, names) in groups {
            for name in names {
                let is_valid = !name.is_empty()
                    && name.len() <= MAX_NAME_CHARS
                    && name
                        .chars()
                        .all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
                if !is_valid {
                    let expected = "1 to 64 letters, digits, - and _";
                    return Err(invalid_value(format!("{group}.{name}"), name, expected));
                }
            }
        }
        Ok(())
    }

    fn check_defaults(&self) -> Result<(), ConfigError> {
        for (setting, raw) in &self.defaults {
            if setting.parse_value(raw).is_none() {
                return Err(invalid_value(
                    format!("defaults.{setting}"),
                    raw,
                    setting.expected(),
                ));
            }
        }
        Ok(())
    }

    fn check_ranks(&self) -> Result<(), ConfigError> {
        let mut total_share = 0.0;
        let mut rank_by_level = BTreeMap::new();
        for (name, rank) in &self.ranks {
            let path = format!("ranks.{name}");
            if rank.level > 7 {
                return Err(invalid_value(
                    path + ".level",
                    rank.level,
                    "a whole number from 0 to 7",
                ));
            }
            if let Some(other) = rank_by_level.insert(rank.level, name) {
                let expected = format!("a level other than that of ranks.{other}");
                return Err(invalid_value(path + ".level", rank.level, &expected));
            }
            if !(0.0..=1.0).contains(&rank.share) {
                return Err(invalid_value(
                    path + ".share",
                    rank.share,
                    "a ratio from 0.0 to 1.0",
                ));
            }
            total_share += rank.share;
            if total_share > 1.0 {
                let expected = "shares of all ranks that add up to at most 1.0";
                return Err(invalid_value(path + ".share", rank.share, expected));
            }
            if let Some(latency_target) = &rank.target {
                if humantime::parse_duration(latency_target).is_err() {
                    return Err(invalid_value(
                        path + ".target",
                        latency_target,
                        "a duration such as \"50ms\"",
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), ConfigError> {
        let mut seen_patterns: Vec<(&str, &str, PathPattern)> = Vec::new();
        for (name, route) in &self.routes {
            let path = format!("routes.{name}");
            if !ROUTE_METHODS.contains(&route.method.as_str()) {
                let expected = format!("one of {}", ROUTE_METHODS.join(", "));
                return Err(invalid_value(path + ".method", &route.method, &expected));
            }
            if !self.services.contains_key(&route.service) {
                return Err(missing_reference(
                    path + ".service",
                    "service",
                    &route.service,
                ));
            }
            if !self.ranks.contains_key(&route.rank) {
                return Err(missing_reference(path + ".rank", "rank", &route.rank));
            }
            let Some(pattern) = PathPattern::parse(&route.path) else {
                let expected = "a path that starts with /, with * as a whole segment and ** last";
                return Err(invalid_value(path + ".path", &route.path, expected));
            };
            let duplicate = seen_patterns.iter().find(|(_, method, other)| {
                *method == route.method && other.matches_same_paths(&pattern)
            });
            if let Some((first, _, _)) = duplicate {
                return Err(ConfigError::AmbiguousRoutes {
                    first: (*first).to_owned(),
                    second: name.clone(),
                    position: String::new(),
                });
            }
            seen_patterns.push((name, &route.method, pattern));
        }
        Ok(())
    }

    fn check_exceptions(&self) -> Result<(), ConfigError> {
        for (name, exception) in &self.exceptions {
            let path = format!("exceptions.{name}");
            if exception.reason.trim().is_empty() {
                return Err(invalid_value(
                    path + ".reason",
                    "\"\"",
                    "the reason for the exception",
                ));
            }
            if exception.scope.precedence() == 0 {
                let expected = "at least one of data_centre, service, route, target";
                return Err(invalid_value(path + ".scope", "{}", expected));
            }
            if exception.setting.parse_value(&exception.value).is_none() {
                let expected = exception.setting.expected();
                return Err(invalid_value(path + ".value", &exception.value, expected));
            }
            if let Some(expires) = &exception.expires {
                if humantime::parse_rfc3339_weak(expires).is_err() {
                    let expected = "a time such as \"2027-01-31T00:00:00Z\"";
                    return Err(invalid_value(path + ".expires", expires, expected));
                }
            }
            if let Some(service) = &exception.scope.service {
                if !self.services.contains_key(service) {
                    return Err(missing_reference(
                        path + ".scope.service",
                        "service",
                        service,
                    ));
                }
            }
            if let Some(route) = &exception.scope.route {
                if !self.routes.contains_key(route) {
                    return Err(missing_reference(path + ".scope.route", "route", route));
                }
            }
        }
        Ok(())
    }

    fn check_conflicts(&self) -> Result<(), ConfigError> {
        let mut exception_by_scope = BTreeMap::new();
        for (name, exception) in &self.exceptions {
            let scope = exception.scope.to_string();
            if let Some(first) = exception_by_scope.insert((exception.setting, scope.clone()), name)
            {
                return Err(ConfigError::ConflictingExceptions {
                    first: first.clone(),
                    second: name.clone(),
                    position: String::new(),
                    setting: exception.setting.to_string(),
                    scope,
                });
            }
        }
        Ok(())
    }
}

fn invalid_value<Value>(path: String, value: Value, expected: &str) -> ConfigError
where
    Value: std::fmt::Display,
{
    ConfigError::Value {
        path,
        position: String::new(),
        value: value.to_string(),
        expected: expected.to_owned(),
    }
}

fn missing_reference(path: String, kind: &'static str, name: &str) -> ConfigError {
    ConfigError::Reference {
        path,
        position: String::new(),
        kind,
        name: name.to_owned(),
    }
}
