//! Messages for distributing the configuration and for claiming idempotency keys.

use prost::Message;

/// Change of the configuration's value at one path.
#[derive(Clone, Message, PartialEq)]
pub struct SettingChange {
    /// Dotted path in the canonical form.
    #[prost(string, tag = "1")]
    pub path: String,
    /// New value as JSON text, absent if the path is removed.
    #[prost(string, optional, tag = "2")]
    pub value: Option<String>,
}

/// Changes that lead from one configuration version to a later one.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigDelta {
    /// Version that the changes apply to.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Version that the changes produce.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// SHA-256 of the produced version's canonical form, in hex.
    #[prost(string, tag = "3")]
    pub checksum: String,
    /// The changes, sorted by path.
    #[prost(message, repeated, tag = "4")]
    pub changes: Vec<SettingChange>,
    /// Time at which the version was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "5")]
    pub accepted_ms: u64,
}

/// Full copy of a configuration version.
#[derive(Clone, Message, PartialEq)]
pub struct ConfigFull {
    /// Version number.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// SHA-256 of the canonical form, in hex.
    #[prost(string, tag = "2")]
    pub checksum: String,
    /// Canonical form as JSON text.
    #[prost(string, tag = "3")]
    pub canonical: String,
    /// Time at which the version was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
}

/// Request to a peer for the changes from the sender's version to the peer's newest one.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ConfigRequest {
    /// Newest version that the sender has.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// Whether the sender needs a full copy rather than deltas.
    #[prost(bool, tag = "2")]
    pub full: bool,
}

/// Refusal of a full copy because the peer has reached its rate limit for them. The requester
/// asks another peer.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ConfigBusy {
    /// Time after which the requester may ask again, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub retry_ms: u32,
}

/// Configuration versions of a node, sent on each change, periodically and in answer to a
/// query.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct VersionReport {
    /// Newest version that the node has, in force or not.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// Version in force.
    #[prost(uint64, tag = "2")]
    pub active: u64,
    /// Whether the sender requests a report in return.
    #[prost(bool, tag = "3")]
    pub query: bool,
    /// Whether the sender is a voter, that is, a version has been in force in its current boot.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// Instruction to put a version in force because a majority of a data centre's voters has it.
#[derive(Clone, Message, PartialEq)]
pub struct VersionActivate {
    /// Version to put in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Data centre whose majority has the version.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// Claim of an idempotency key in the platform's store.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct KeyClaim {
    /// Idempotency key, prefixed with its service.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Hash of method, path and body, which detects a key that is reused for another request.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
    /// Node that claims the key.
    #[prost(fixed64, tag = "3")]
    pub node: u64,
    /// Boot of this node.
    #[prost(uint64, tag = "4")]
    pub boot: u64,
    /// Number of the claim within this boot. After a lost store response it tells whether the
    /// recorded claim is this one or an older one.
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
}

/// Claims for a holder to record in the store.
#[derive(Clone, Message, PartialEq)]
pub struct ClaimRequest {
    /// Claims to record.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<KeyClaim>,
}

/// Result of a [`ClaimRequest`].
#[derive(Clone, Message, PartialEq)]
pub struct ClaimReply {
    /// For each key the claim that the store has recorded, whichever node made it.
    #[prost(message, repeated, tag = "1")]
    pub recorded: Vec<KeyClaim>,
    /// Keys whose claims couldn't be recorded or read.
    #[prost(string, repeated, tag = "2")]
    pub failed: Vec<String>,
}

/// Query to a collector for the versions of its data centre's nodes.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct FleetQuery {
    /// Number that identifies the query.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
}

/// Configuration versions of one node.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct NodeVersions {
    /// Id of the node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Newest version that the node has, in force or not.
    #[prost(uint64, tag = "2")]
    pub held: u64,
    /// Version in force.
    #[prost(uint64, tag = "3")]
    pub active: u64,
}

/// Latest versions that a collector has received from its data centre's nodes.
#[derive(Clone, Message, PartialEq)]
pub struct FleetReport {
    /// Number of the query that this report answers.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
    /// Name of the data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Versions of the data centre's nodes.
    #[prost(message, repeated, tag = "3")]
    pub nodes: Vec<NodeVersions>,
}
