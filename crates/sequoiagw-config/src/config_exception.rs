//! Exceptions: a setting overridden for a scope, with a reason.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::RawValue;
use crate::ScopeQuery;
use crate::SettingName;

/// Scope of an exception; it applies where every name given matches.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionScope {
    /// Data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<String>,
    /// Service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Target, by its node's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
}

impl ExceptionScope {
    /// Whether the scope covers a query.
    pub fn covers(&self, query: &ScopeQuery<'_>) -> bool {
        covers_name(self.data_centre.as_deref(), query.data_centre)
            && covers_name(self.service.as_deref(), query.service)
            && covers_name(self.route.as_deref(), query.route)
            && covers_name(self.target.as_deref(), query.target)
    }

    /// Weight by which the narrower scope wins: target, route, service, then data centre.
    ///
    /// Two scopes of equal precedence name the same kinds of things, so they either cover
    /// different ground or contradict each other.
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

fn covers_name(wanted: Option<&str>, actual: Option<&str>) -> bool {
    wanted.is_none_or(|wanted| actual == Some(wanted))
}

/// An exception from a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigException {
    /// The setting overridden.
    pub setting: SettingName,
    /// Its value within the scope.
    pub value: RawValue,
    /// Where it applies.
    pub scope: ExceptionScope,
    /// Why; never empty.
    pub reason: String,
    /// Time after which it should be removed, RFC 3339; it is listed as expired from then on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires: Option<String>,
}

impl ConfigException {
    /// Whether its time has passed. It stays in force until an operator removes it.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        let expires = self.expires.as_deref();
        expires
            .and_then(|expires| humantime::parse_rfc3339_weak(expires).ok())
            .is_some_and(|expires| expires <= now)
    }
}
