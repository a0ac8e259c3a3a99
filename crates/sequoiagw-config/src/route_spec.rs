//! Services, ranks and routes as operators write them.

use serde::Deserialize;
use serde::Serialize;

/// A service: a group of backend servers that handle the same requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Description of the service, for operators.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
}

/// A rank: an urgency level with its latency target and its guaranteed share of slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// Urgency from 0, which is served first, to 7.
    pub level: u8,
    /// Share of each target's slots that the rank keeps while more urgent ranks are overloaded,
    /// from 0.0 to 1.0.
    #[serde(default)]
    pub share: f64,
    /// Latency target of this rank as a duration, such as "50ms".
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
}

/// A route: the requests that it matches, the service that they go to and their rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// HTTP method.
    pub method: String,
    /// Path pattern. `*` matches one segment, and `**` at the end matches all remaining ones.
    pub path: String,
    /// Name of the service.
    pub service: String,
    /// Name of the rank.
    pub rank: String,
    /// Whether a request may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
}
