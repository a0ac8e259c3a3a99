//! Messages of configuration distribution and of key claims.

use prost::Message;

/// One changed setting: a path and its JSON value, absent when removed.
#[derive(Clone, Message, PartialEq)]
pub struct SettingChange {
    /// Path in the canonical form.
    #[prost(string, tag = "1")]
    pub path: String,
    /// New JSON value.
    #[prost(string, optional, tag = "2")]
    pub value: Option<String>,
}

/// Change from one version to the next.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigDelta {
    /// Version the changes apply to.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Version they produce.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// SHA-256 of the produced canonical form, in hex.
    #[prost(string, tag = "3")]
    pub checksum: String,
    /// The changed settings.
    #[prost(message, repeated, tag = "4")]
    pub changes: Vec<SettingChange>,
    /// Time of acceptance in Unix milliseconds.
    #[prost(uint64, tag = "5")]
    pub accepted_ms: u64,
}

/// Full copy of a version.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigFull {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// SHA-256 of the canonical form, in hex.
    #[prost(string, tag = "2")]
    pub checksum: String,
    /// Canonical form.
    #[prost(string, tag = "3")]
    pub canonical: String,
    /// Time of acceptance in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
}

/// Asks a peer for what leads from `held` to its newest version.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ConfigRequest {
    /// Version the sender holds.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// Whether only a full copy will do.
    #[prost(bool, tag = "2")]
    pub full: bool,
}

/// The peer is over its rate of full copies; ask another.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ConfigBusy {
    /// Time after which to ask again, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub retry_ms: u32,
}

/// A node's versions, sent when they change and in answer to a query.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct VersionReport {
    /// Newest version held.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// Version in force.
    #[prost(uint64, tag = "2")]
    pub active: u64,
    /// Whether the sender asks for a report in return.
    #[prost(bool, tag = "3")]
    pub query: bool,
    /// Whether the sender is a voter: its process has had a version in force.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// A majority of the data centre holds this version: act on it.
#[derive(Clone, Message, PartialEq)]
pub struct VersionActivate {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Data centre whose majority holds it.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// A key to be claimed in the platform's store.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct KeyClaim {
    /// Service and idempotency key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Hash of method, path and body.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
    /// Claiming node.
    #[prost(fixed64, tag = "3")]
    pub node: u64,
    /// Boot of the claiming node.
    #[prost(uint64, tag = "4")]
    pub boot: u64,
    /// Number of the claim within that boot, by which a lost answer is told from an older claim.
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
}

/// Claims sent to the data centre's committer.
#[derive(Clone, Message, PartialEq)]
pub struct ClaimRequest {
    /// The claims.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<KeyClaim>,
}

/// Outcome of claims: for each key the claim that stands.
#[derive(Clone, Message, PartialEq)]
pub struct ClaimReply {
    /// The standing claims.
    #[prost(message, repeated, tag = "1")]
    pub recorded: Vec<KeyClaim>,
    /// Keys whose claims could not be recorded or read.
    #[prost(string, repeated, tag = "2")]
    pub failed: Vec<String>,
}

/// Asks a collector what its data centre's nodes act on.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct FleetQuery {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
}

/// Versions of one node.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct NodeVersions {
    /// Node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Newest version held.
    #[prost(uint64, tag = "2")]
    pub held: u64,
    /// Version in force.
    #[prost(uint64, tag = "3")]
    pub active: u64,
}

/// Versions of a data centre's nodes, as its collector knows them.
#[derive(Clone, Message, PartialEq)]
pub struct FleetReport {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
    /// Data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Its nodes.
    #[prost(message, repeated, tag = "3")]
    pub nodes: Vec<NodeVersions>,
}
