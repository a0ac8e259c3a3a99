//! Messages about quotas: the requests per second that the whole fleet accepts from a workspace.

use prost::Message;

/// Request of an entry for permits of a workspace, to the node that counts them.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct QuotaRequest {
    /// Number of the request, which the grant repeats.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Number of permits that the entry could use now.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// Permits for an entry. Each allows one request and lapses soon after it was requested.
#[derive(Clone, Copy, Eq, Hash, Message, PartialEq)]
pub struct QuotaGrant {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of permits, 0 if the quota is used up.
    #[prost(uint32, tag = "2")]
    pub granted: u32,
    /// Time until there are permits again, in milliseconds; 0 if there are any now.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}
