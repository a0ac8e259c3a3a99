//! Messages about roll-outs: the replacement of a service's backend servers by those of a new
//! software version.

use prost::Enumeration;
use prost::Message;

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum RolloutStage {
    /// One node, the driver, gives its backend server of the new version a small share of the
    /// service's requests and judges it.
    Canary = 0,
    /// All requests go to the new version; the old one finishes what it runs.
    Shifting = 1,
    /// The new version has replaced the old one. Final.
    Completed = 2,
    /// The new version gets no requests. Final.
    RolledBack = 3,
}

/// Why a node advises against a new version.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RolloutObjection {
    /// Name of the node, which runs a backend server of the new version.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Evidence, for operators.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// State of a service's roll-out as the store has it.
///
/// Of two records of a service, the one with the higher (`store_era`, `revision`) is valid.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RolloutRecord {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Software version to move to.
    #[prost(string, tag = "2")]
    pub new_version: String,
    /// Revision of the operators' order in the store, which identifies the order.
    #[prost(uint64, tag = "3")]
    pub order_revision: u64,
    /// Time that the operators allow from the order to the end, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
    /// Current stage.
    #[prost(enumeration = "RolloutStage", tag = "5")]
    pub stage: i32,
    /// Name of the node that drives the roll-out, empty while there is none.
    #[prost(string, tag = "6")]
    pub driver: String,
    /// Objections so far, at most one a node.
    #[prost(message, repeated, tag = "7")]
    pub objections: Vec<RolloutObjection>,
    /// Name of the node that wrote this record.
    #[prost(string, tag = "8")]
    pub writer: String,
    /// Revision of the store at which this record was written; 0 before it is written.
    #[prost(uint64, tag = "9")]
    pub revision: u64,
    /// Era of the store to which the revisions belong.
    #[prost(uint64, tag = "10")]
    pub store_era: u64,
    /// Number of times that a node has claimed the driver's role for this order. Each claim comes
    /// with an exposure cap of its own, so their number bounds the sum.
    #[prost(uint32, tag = "11")]
    pub driver_claims: u32,
    /// Failed runs of the old version in 1,000, as the driver saw them before the shifting stage.
    /// The other nodes of the new version have no other baseline.
    #[prost(uint32, tag = "12")]
    pub old_failures_per_mille: u32,
}

/// A record with the age of its order at the time of sending. Hosts' clocks differ, so the age is
/// sent in place of a time of day.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RolloutEntry {
    /// The record.
    #[prost(message, optional, tag = "1")]
    pub record: Option<RolloutRecord>,
    /// Time since the sender learned of the order, plus the age it was told then, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub order_age_ms: u64,
}

/// Records of roll-outs, or a request for them.
#[derive(Clone, Message, PartialEq)]
pub struct RolloutTableMessage {
    /// Records of the sender.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<RolloutEntry>,
    /// Whether the sender requests the receiver's records.
    #[prost(bool, tag = "2")]
    pub requested: bool,
    /// Whether the sender's records are complete: it has read them from the store, or received them
    /// from a node that had.
    #[prost(bool, tag = "3")]
    pub complete: bool,
}

/// Request of a roll-out's driver for what a node has seen of its backend server.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RunStatsRequest {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// Runs of one route at a backend server.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RouteRunStats {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Number of runs that failed.
    #[prost(uint32, tag = "2")]
    pub failed: u32,
    /// Number of runs that did not fail by run time, in buckets of equal ratio; empty buckets at
    /// the end are left out.
    #[prost(uint32, repeated, tag = "3")]
    pub run_times: Vec<u32>,
}

/// What a node has seen of its backend server.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct RunStatsReply {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Software version of the backend server.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Runs of the last seconds by route.
    #[prost(message, repeated, tag = "3")]
    pub routes: Vec<RouteRunStats>,
    /// Number of runs that have started since the node's process did.
    #[prost(uint64, tag = "4")]
    pub started_runs: u64,
    /// Number of calls that are queued or running.
    #[prost(uint32, tag = "5")]
    pub open_calls: u32,
    /// Order and stage of the service's roll-out as the node knows it; 0 if it knows none.
    #[prost(uint64, tag = "6")]
    pub order_revision: u64,
    /// Stage that the node knows.
    #[prost(enumeration = "RolloutStage", tag = "7")]
    pub stage: i32,
}
