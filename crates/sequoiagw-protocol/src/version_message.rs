//! Messages that distribute compiled versions of the operators' configuration among nodes.
//!
//! Only nodes that follow the operators' configuration in the platform's store send them. Other
//! nodes send a [`ConfigDelta`](crate::ConfigDelta) instead.

use prost::Message;

/// Service that gets a weighted share of a route's requests.
#[derive(Clone, Message, PartialEq)]
pub struct WeightedServiceRecord {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Weight relative to the route's other services.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// A compiled route.
#[derive(Clone, Message, PartialEq)]
pub struct RouteRecord {
    /// Name of the route, unique within a version.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Host name that a request must have.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Prefix that a request's path must have.
    #[prost(string, tag = "3")]
    pub prefix: String,
    /// Services that share the route's requests, with their weights.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<WeightedServiceRecord>,
    /// Whether a request may safely run more than once.
    #[prost(bool, tag = "5")]
    pub idempotent: bool,
    /// Maximum time until a caller gets its response, in microseconds.
    #[prost(uint64, tag = "6")]
    pub timeout_us: u64,
    /// Latency target of a request, in microseconds.
    #[prost(uint64, tag = "7")]
    pub latency_target_us: u64,
    /// Rank level.
    #[prost(uint32, tag = "8")]
    pub level: u32,
    /// Maximum number of targets to which one request is sent.
    #[prost(uint32, tag = "9")]
    pub max_attempts: u32,
    /// Whether callers need no key.
    #[prost(bool, tag = "10")]
    pub public: bool,
}

/// A workspace: callers that share keys, a rank and a quota.
#[derive(Clone, Message, PartialEq)]
pub struct WorkspaceRecord {
    /// Name, unique within a version.
    #[prost(string, tag = "1")]
    pub name: String,
    /// SHA-256 digests of the callers' keys. The keys themselves are not sent.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub key_digests: Vec<Vec<u8>>,
    /// Rank level of the requests, which replaces the route's; absent to keep the route's.
    #[prost(uint32, optional, tag = "3")]
    pub level: Option<u32>,
    /// Requests per second that the fleet accepts, 0 for no limit.
    #[prost(double, tag = "4")]
    pub rate_per_s: f64,
    /// Requests beyond the rate that the fleet accepts at once.
    #[prost(double, tag = "5")]
    pub burst: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LimitsRecord {
    /// Maximum size of a request's header section, in bytes.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// Time within which a request's header section has to arrive, in microseconds.
    #[prost(uint64, tag = "3")]
    pub header_timeout_us: u64,
    /// Time after which an idle connection is closed, in microseconds.
    #[prost(uint64, tag = "4")]
    pub idle_timeout_us: u64,
}

/// Changes that lead from one compiled version to a later one.
#[derive(Clone, Message, PartialEq)]
pub struct VersionDelta {
    /// Version that the delta applies to; 0 if it contains the complete version.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Number of the version that the delta produces.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Digest of the produced version, with which the receiver verifies the result.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Routes that are added or changed.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteRecord>,
    /// Names of the routes that are removed.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// Limits on the requests and connections of callers.
    #[prost(message, optional, tag = "6")]
    pub limits: Option<LimitsRecord>,
    /// Workspaces that are added or changed.
    #[prost(message, repeated, tag = "7")]
    pub workspaces: Vec<WorkspaceRecord>,
    /// Names of the workspaces that are removed.
    #[prost(string, repeated, tag = "8")]
    pub removed_workspaces: Vec<String>,
    /// Whether the produced version has a list of workspaces, which may be empty.
    #[prost(bool, tag = "9")]
    pub checks_keys: bool,
}
