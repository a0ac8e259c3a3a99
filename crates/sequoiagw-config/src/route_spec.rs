//! Services, routes and ranks as operators write them.

use serde::Deserialize;
use serde::Serialize;

/// A service: a group of backend servers that answer the same requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// What the service does, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
}

/// A rank: an urgency level with its target and the share it keeps in a flood.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// Urgency from 0, served first, to 7.
    pub level: u8,
    /// Share of each target's slots the rank keeps while more urgent work floods, 0.0 to 1.0.
    #[serde(default)]
    pub share: f64,
    /// Latency that operators aim at for this rank, such as "50ms".
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
}

/// A route: which requests go to which service, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// HTTP method.
    pub method: String,
    /// Path pattern; `*` stands for one segment, a last `**` for any rest.
    pub path: String,
    /// Service.
    pub service: String,
    /// Rank.
    pub rank: String,
    /// Whether a request may run more than once without harm.
    #[serde(default)]
    pub idempotent: bool,
}
