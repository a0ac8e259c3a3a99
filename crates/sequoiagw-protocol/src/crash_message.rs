//! Crashes of backend servers under requests, as nodes report them to each other.

use prost::Message;

/// Crash of a backend server's process while it ran a request.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct CrashRecord {
    /// Upper half of the request's digest.
    #[prost(fixed64, tag = "1")]
    pub digest_high: u64,
    /// Lower half of the request's digest.
    #[prost(fixed64, tag = "2")]
    pub digest_low: u64,
    /// Process of the backend server that ended.
    #[prost(fixed64, tag = "3")]
    pub server: u64,
    /// Age of the crash when the record was sent, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Whether the crash no longer counts, since the request has run well or the process lives.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

/// Crashes that a node knows of. Without records it only announces `hash`.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CrashRecords {
    /// New crashes, or all of them if the receiver has requested that.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<CrashRecord>,
    /// Hash of all crashes that the sender knows of.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// Whether the sender requests all crashes that the receiver knows of.
    #[prost(bool, tag = "3")]
    pub requests_all: bool,
}
