//! Messages of membership and failure detection.

use prost::Enumeration;
use prost::Message;

/// State of a member as its peers see it.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum MemberState {
    /// Started, without a version in force.
    Joining = 0,
    /// In service.
    Ready = 1,
    /// Leaving: finishes its work, takes none.
    Draining = 2,
    /// Silent; lost unless it refutes.
    Suspect = 3,
    /// Taken for lost by its peers.
    Lost = 4,
    /// Left of its own will.
    Left = 5,
}

/// One member's announcement: where it is, what it serves and its state.
///
/// Ordered by (`boot`, `revision`, `state`): the higher one wins.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct MemberRecord {
    /// Node identity.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Boot number of the process, higher after each restart.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Revision within the boot, raised by the member alone.
    #[prost(uint32, tag = "3")]
    pub revision: u32,
    /// Current state.
    #[prost(enumeration = "MemberState", tag = "4")]
    pub state: i32,
    /// Address for inner links, `ip:port`.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Data centre.
    #[prost(string, tag = "6")]
    pub data_centre: String,
    /// Service of the backend server, empty when none is announced.
    #[prost(string, tag = "7")]
    pub service: String,
    /// Slots of the backend server.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// Seat of the watch holder plus one, 0 when it holds none.
    #[prost(uint32, tag = "9")]
    pub seat: u32,
    /// Name from the node's settings.
    #[prost(string, tag = "10")]
    pub name: String,
    /// Version that this member refuses to take, 0 when none.
    #[prost(uint64, tag = "11")]
    pub refused_version: u64,
    /// Width of the host's link, in Mbit/s; 0 when it isn't known.
    #[prost(uint32, tag = "12")]
    pub link_mbps: u32,
}

/// Direct probe, with updates on other members.
#[derive(Clone, Message, PartialEq)]
pub struct ProbeMessage {
    /// Sequence number, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Node to probe on the sender's behalf, 0 for the receiver itself.
    #[prost(fixed64, tag = "2")]
    pub relay_to: u64,
    /// Member updates carried along.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberRecord>,
    /// Versions of the sender.
    #[prost(message, optional, tag = "4")]
    pub versions: Option<VersionStatus>,
}

/// Answer to a probe.
#[derive(Clone, Message, PartialEq)]
pub struct ProbeAnswer {
    /// Sequence number of the probe.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Node that was probed.
    #[prost(fixed64, tag = "2")]
    pub probed: u64,
    /// Member updates carried along.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberRecord>,
    /// Versions of the probed node.
    #[prost(message, optional, tag = "4")]
    pub versions: Option<VersionStatus>,
}

/// Versions a node holds and acts on.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct VersionStatus {
    /// Newest version held, acted on or not.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    /// Version in force, 0 when none.
    #[prost(uint64, tag = "2")]
    pub active: u64,
}

/// A fresh process asks for the member table.
#[derive(Clone, Message, PartialEq)]
pub struct JoinRequest {
    /// The fresh process's own record.
    #[prost(message, optional, tag = "1")]
    pub record: Option<MemberRecord>,
}

/// Hash of the member table of one data centre.
#[derive(Clone, Message, PartialEq)]
pub struct TableHash {
    /// Data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Order-free hash of its records.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// Hashes of the sender's member table, for repair.
#[derive(Clone, Message, PartialEq)]
pub struct TableDigest {
    /// One hash per data centre.
    #[prost(message, repeated, tag = "1")]
    pub hashes: Vec<TableHash>,
    /// Record of the sender, by which a receiver that doesn't know it can answer.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<MemberRecord>,
    /// Version that the sender acts on, 0 when it knows none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Records of the member table.
#[derive(Clone, Message, PartialEq)]
pub struct TableRecords {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<MemberRecord>,
    /// Data centres whose records the sender asks for in return.
    #[prost(string, repeated, tag = "2")]
    pub requested_data_centres: Vec<String>,
    /// Whether this is a copy of a table, and not news.
    #[prost(bool, tag = "3")]
    pub is_table_copy: bool,
}

/// First frame on a link, from each end.
#[derive(Clone, Message, PartialEq)]
pub struct LinkHello {
    /// Address at which the sender takes links, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
}
