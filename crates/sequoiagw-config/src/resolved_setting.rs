//! Resolution of a setting: the narrowest exception, else the default, else the built-in value.

use derive_more::Display;

use crate::ConfigException;
use crate::MeshConfig;
use crate::SettingName;
use crate::SettingValue;

/// The place a setting is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScopeQuery<'a> {
    /// Data centre.
    pub data_centre: Option<&'a str>,
    /// Service.
    pub service: Option<&'a str>,
    /// Route.
    pub route: Option<&'a str>,
    /// Target, by its node's name.
    pub target: Option<&'a str>,
}

/// What set a value.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingOrigin {
    /// Nothing: the built-in value.
    #[display("built in")]
    BuiltIn,
    /// The fleet default.
    #[display("default")]
    Default,
    /// An exception, by name and reason.
    #[display("exception {name}: {reason}")]
    Exception {
        /// Name.
        name: String,
        /// Reason.
        reason: String,
    },
}

/// A resolved setting and what set it.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedSetting {
    /// Value in force.
    pub value: SettingValue,
    /// What set it.
    pub origin: SettingOrigin,
}

/// Resolves one setting of a valid configuration.
///
/// The exception with the narrowest covering scope wins; validation refuses two of
/// the same scope, so the order of exceptions never matters.
pub fn resolve_setting(
    config: &MeshConfig,
    setting: SettingName,
    query: &ScopeQuery<'_>,
) -> ResolvedSetting {
    let narrowest = config
        .exceptions
        .iter()
        .filter(|(_, exception)| exception.setting == setting && exception.scope.covers(query))
        .max_by_key(|(_, exception)| exception.scope.precedence());
    if let Some((name, exception)) = narrowest {
        if let Some(value) = setting.parse_value(&exception.value) {
            return ResolvedSetting {
                value,
                origin: exception_origin(name, exception),
            };
        }
    }
    match config
        .defaults
        .get(&setting)
        .and_then(|raw| setting.parse_value(raw))
    {
        Some(value) => ResolvedSetting {
            value,
            origin: SettingOrigin::Default,
        },
        None => ResolvedSetting {
            value: setting.built_in(),
            origin: SettingOrigin::BuiltIn,
        },
    }
}

fn exception_origin(name: &str, exception: &ConfigException) -> SettingOrigin {
    SettingOrigin::Exception {
        name: name.to_owned(),
        reason: exception.reason.clone(),
    }
}
