//! Messages that carry compiled versions of the operators' configuration between nodes.

use prost::Message;

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Message, PartialEq)]
pub struct WeightedServiceRecord {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Weight among the route's parts.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// A route.
#[derive(Clone, Message, PartialEq)]
pub struct RouteRecord {
    /// Name, unique within a version.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Host that requests name.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Beginning of the paths that it takes.
    #[prost(string, tag = "3")]
    pub prefix: String,
    /// Services with their weights.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<WeightedServiceRecord>,
    /// Whether a request may run more than once.
    #[prost(bool, tag = "5")]
    pub idempotent: bool,
    /// Longest time for which a caller is kept waiting, in microseconds.
    #[prost(uint64, tag = "6")]
    pub timeout_us: u64,
    /// Time within which an answer is worth most, in microseconds.
    #[prost(uint64, tag = "7")]
    pub latency_target_us: u64,
    /// Rank level.
    #[prost(uint32, tag = "8")]
    pub level: u32,
    /// Targets to which one request may be sent.
    #[prost(uint32, tag = "9")]
    pub max_attempts: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct LimitsRecord {
    /// Largest head, in bytes.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// Largest body, in bytes.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// Time in which a request's head has to arrive, in microseconds.
    #[prost(uint64, tag = "3")]
    pub header_timeout_us: u64,
    /// Time for which a connection may stay idle, in microseconds.
    #[prost(uint64, tag = "4")]
    pub idle_timeout_us: u64,
}

/// What leads from one version to a later one.
#[derive(Clone, Message, PartialEq)]
pub struct VersionDelta {
    /// Version that it applies to; 0 for a whole version.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Version that it produces.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Digest of the produced version, by which one applied wrongly is told.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Routes that are new or changed.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteRecord>,
    /// Names of routes that are gone.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// What callers may send.
    #[prost(message, optional, tag = "6")]
    pub limits: Option<LimitsRecord>,
}
