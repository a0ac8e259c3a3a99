//! Exceptions: overrides of a setting for a scope, each with a reason.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::RawValue;
use crate::ScopeQuery;
use crate::SettingName;

/// Scope of an exception. The exception applies where every name that is set matches.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionScope {
    /// Name of the data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<String>,
    /// Name of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Name of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Name of the target's node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
}

impl ExceptionScope {
    /// Whether every name set in this scope matches the query.
    pub fn covers(&self, query: &ScopeQuery<'_>) -> bool {
        matches_name(self.data_centre.as_deref(), query.data_centre)
            && matches_name(self.service.as_deref(), query.service)
            && matches_name(self.route.as_deref(), query.route)
            && matches_name(self.target.as_deref(), query.target)
    }

    /// Precedence of the scope; the exception with the highest one wins. Scopes rank by target,
    /// then route, service and data centre.
    ///
    /// Scopes of equal precedence set the same fields, so two of them that match the same query
    /// are identical, and validation rejects identical scopes for one setting.
    pub fn precedence(&self) -> u8 {
        u8::from(self.target.is_some()) * 8
            + u8::from(self.route.is_some()) * 4
            + u8::from(self.service.is_some()) * 2
            + u8::from(self.data_centre.is_some())
    }
}

impl Display for ExceptionScope {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let names = [
            ("data_centre", &self.data_centre),
            ("service", &self.service),
            ("route", &self.route),
            ("target", &self.target),
        ];
        let mut separator = "";
        for (kind, name) in names {
            if let Some(name) = name {
                write!(formatter, "{separator}{kind}={name}")?;
                separator = " ";
            }
        }
        Ok(())
    }
}

fn matches_name(required: Option<&str>, actual: Option<&str>) -> bool {
    required.is_none_or(|required| actual == Some(required))
}

/// An override of a setting's default within a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigException {
    /// Setting that is overridden.
    pub setting: SettingName,
    /// Value of the setting within the scope.
    pub value: RawValue,
    /// Scope in which the exception applies.
    pub scope: ExceptionScope,
    /// Why the exception exists; validation rejects an empty reason.
    pub reason: String,
    /// Expiry time in RFC 3339 format. From then on the exception is listed as expired, but it
    /// still applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires: Option<String>,
}

impl ConfigException {
    /// Whether the expiry time has passed. An expired exception applies until an operator
    /// removes it.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        let expires = self.expires.as_deref();
        expires
            .and_then(|expires| humantime::parse_rfc3339_weak(expires).ok())
            .is_some_and(|expires| expires <= now)
    }
}
