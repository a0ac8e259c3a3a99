//! Resolution of a setting: the narrowest matching exception, else the fleet default, else the
//! built-in value.

use derive_more::Display;

use crate::ConfigException;
use crate::MeshConfig;
use crate::SettingName;
use crate::SettingValue;

/// Context for which a setting is resolved. A scope that sets a name doesn't match a query
/// that leaves this name out.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScopeQuery<'a> {
    /// Name of the data centre.
    pub data_centre: Option<&'a str>,
    /// Name of the service.
    pub service: Option<&'a str>,
    /// Name of the route.
    pub route: Option<&'a str>,
    /// Name of the target's node.
    pub target: Option<&'a str>,
}

/// Where a resolved value comes from.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingOrigin {
    /// The built-in value; the configuration doesn't set the setting for this context.
    #[display("built in")]
    BuiltIn,
    /// The fleet default.
    #[display("default")]
    Default,
    /// An exception.
    #[display("exception {name}: {reason}")]
    Exception {
        /// Name of the exception.
        name: String,
        /// Reason given for the exception.
        reason: String,
    },
}

/// Resolved value of a setting, with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedSetting {
    /// Value that applies.
    pub value: SettingValue,
    /// Where the value comes from.
    pub origin: SettingOrigin,
}

/// Resolves one setting of a valid configuration.
///
/// The matching exception with the narrowest scope wins. Validation rejects two exceptions
/// with the same setting and scope, so the result doesn't depend on their order.
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
