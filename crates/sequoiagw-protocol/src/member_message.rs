//! Messages for group membership and failure detection.

use prost::Enumeration;
use prost::Message;

/// State of a member.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum MemberState {
    /// The member has started, and no configuration version is in force at it yet.
    Joining = 0,
    /// The member serves calls.
    Ready = 1,
    /// The member finishes its calls and accepts no new ones before it leaves.
    Draining = 2,
    /// The member is unresponsive. It becomes [`MemberState::Lost`] unless it refutes this with a
    /// higher revision.
    Suspect = 3,
    /// The member's peers have declared it lost.
    Lost = 4,
    /// The member left in an orderly way.
    Left = 5,
}

/// Process of a backend server that is leaving.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct LeavingBackend {
    /// Instance name, which a later process may have too.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Start time of the process, in Unix milliseconds; 0 if it is unknown.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
}

/// Record of a member: its addresses, its backend server and its state.
///
/// Of two records of a member, the one with the higher (`boot`, `revision`, `state`) wins.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct MemberRecord {
    /// Id of the node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Boot number of the node, which increases with each restart.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Revision within the boot, which only the member itself increments.
    #[prost(uint32, tag = "3")]
    pub revision: u32,
    /// Current state.
    #[prost(enumeration = "MemberState", tag = "4")]
    pub state: i32,
    /// Address at which the member accepts links from peers, `ip:port`.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Name of the member's data centre.
    #[prost(string, tag = "6")]
    pub data_centre: String,
    /// Service of the member's backend server, empty if it has announced none.
    #[prost(string, tag = "7")]
    pub service: String,
    /// Slots of the backend server.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// Number of the holder seat that the member occupies, plus one; 0 if it occupies none.
    #[prost(uint32, tag = "9")]
    pub seat: u32,
    /// Name of the node, from its settings.
    #[prost(string, tag = "10")]
    pub name: String,
    /// Configuration version that the member rejected, 0 if none.
    #[prost(uint64, tag = "11")]
    pub refused_version: u64,
    /// Bandwidth of the host's network link, in Mbit/s; 0 if it is unknown.
    #[prost(uint32, tag = "12")]
    pub link_mbps: u32,
    /// Process of the backend server that is leaving, if there is one.
    #[prost(message, optional, tag = "13")]
    pub leaving: Option<LeavingBackend>,
    /// Era of the store to which the revision belongs.
    #[prost(uint64, tag = "14")]
    pub store_era: u64,
    /// Software version of the backend server; empty if it is unknown or roll-outs are off.
    #[prost(string, tag = "15")]
    pub backend_version: String,
    /// Whether the member knew all departures of its backend server before its start.
    #[prost(bool, tag = "16")]
    pub departures_known: bool,
}

/// Probe of a member, or request to probe another one on the sender's behalf.
#[derive(Clone, Message, PartialEq)]
pub struct ProbeMessage {
    /// Sequence number, which the answer repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Node for the receiver to probe on the sender's behalf; 0 probes the receiver itself.
    #[prost(fixed64, tag = "2")]
    pub relay_to: u64,
    /// Member records to disseminate.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberRecord>,
    /// Configuration versions of the sender.
    #[prost(message, optional, tag = "4")]
    pub versions: Option<VersionStatus>,
}

/// Answer to a probe.
#[derive(Clone, Message, PartialEq)]
pub struct ProbeAnswer {
    /// Sequence number of the probe.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Id of the node that was probed.
    #[prost(fixed64, tag = "2")]
    pub probed: u64,
    /// Member records to disseminate.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberRecord>,
    /// Configuration versions of the probed node.
    #[prost(message, optional, tag = "4")]
    pub versions: Option<VersionStatus>,
}

/// Configuration versions of a node.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct VersionStatus {
    /// Newest version that the node has, in force or not.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// Version in force, 0 if there is none.
    #[prost(uint64, tag = "2")]
    pub active: u64,
}

/// Request of a joining node for the member table.
#[derive(Clone, Message, PartialEq)]
pub struct JoinRequest {
    /// Record of the joining node.
    #[prost(message, optional, tag = "1")]
    pub record: Option<MemberRecord>,
}

/// Hash of the member table of one data centre.
#[derive(Clone, Message, PartialEq)]
pub struct TableHash {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Hash of the data centre's records, independent of their order.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// Hashes of the sender's member table, with which peers find and repair differences.
#[derive(Clone, Message, PartialEq)]
pub struct TableDigest {
    /// One hash for each data centre; empty if the sender gets its records from the platform's
    /// store and the store is unavailable.
    #[prost(message, repeated, tag = "1")]
    pub hashes: Vec<TableHash>,
    /// Record of the sender, so that a receiver that has no record of it can answer.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<MemberRecord>,
    /// Configuration version in force at the sender, 0 if there is none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Hash of the crashes under requests that the sender knows of; absent if it tells them in
    /// another way.
    #[prost(fixed64, optional, tag = "4")]
    pub crash_hash: Option<u64>,
    /// Hash of the records of roll-outs that the sender knows of; absent where roll-outs are off.
    #[prost(fixed64, optional, tag = "5")]
    pub rollout_hash: Option<u64>,
}

/// Records of the member table.
#[derive(Clone, Message, PartialEq)]
pub struct TableRecords {
    /// Records of members.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<MemberRecord>,
    /// Data centres whose records the sender requests in return.
    #[prost(string, repeated, tag = "2")]
    pub requested_data_centres: Vec<String>,
    /// Whether the records are copied from a table, as opposed to new updates. A joining node
    /// doesn't forward such a copy, which is new to itself only.
    #[prost(bool, tag = "3")]
    pub is_table_copy: bool,
    /// Ids of nodes whose records the sender requests in return.
    #[prost(fixed64, repeated, tag = "4")]
    pub requested_nodes: Vec<u64>,
}

/// First frame that each end sends on a link.
#[derive(Clone, Message, PartialEq)]
pub struct LinkHello {
    /// Address at which the sender accepts links, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Whether the sender joins the parts of large frames. A node of an earlier release doesn't,
    /// and gets every frame whole.
    #[prost(bool, tag = "2")]
    pub joins_parts: bool,
    /// Whether the sender grants the parts of large dispatches, and sends its own as they are
    /// granted.
    #[prost(bool, tag = "3")]
    pub grants_transfers: bool,
}
