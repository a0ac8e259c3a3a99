//! Messages of the etcd v3 JSON gateway, as far as they are used.
//!
//! Keys and values are base64, 64-bit numbers are text.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde::Serialize;

use crate::StoreError;

/// Encodes a key or value.
pub fn encode_base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Decodes a key or value.
pub fn decode_base64(encoded: &str) -> Result<String, StoreError> {
    let malformed = |detail: String| StoreError::Malformed { detail };
    let bytes = STANDARD
        .decode(encoded)
        .map_err(|error| malformed(error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| malformed(error.to_string()))
}

/// Reads a 64-bit number; the gateway leaves zeros out.
pub fn parse_u64(text: &str) -> Result<u64, StoreError> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_| StoreError::Malformed {
        detail: format!("\"{text}\" is not a number"),
    })
}

/// Header of each reply.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayHeader {
    /// Revision of the store.
    pub revision: String,
}

/// A stored key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayKeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of creation.
    pub create_revision: String,
    /// Revision of last change.
    pub mod_revision: String,
}

/// `/v3/kv/range`, and a delete of a key in a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayRange {
    /// Key or start of the range.
    pub key: String,
    /// End of the range, not included; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Reply to a range.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayRangeReply {
    /// Header.
    pub header: GatewayHeader,
    /// Keys found.
    pub kvs: Vec<GatewayKeyValue>,
}

/// A put.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayPut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Lease, `"0"` or empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub lease: String,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayCompare {
    /// Key.
    pub key: String,
    /// `CREATE` or `MOD`.
    pub target: String,
    /// `EQUAL`.
    pub result: String,
    /// Expected revision of creation; `"0"` for a key that doesn't exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<String>,
    /// Expected revision of last change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<String>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayOp {
    /// Put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<GatewayPut>,
    /// Range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<GatewayRange>,
    /// Delete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<GatewayRange>,
    /// Nested transaction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_txn: Option<GatewayTxn>,
}

/// `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayTxn {
    /// Conditions.
    pub compare: Vec<GatewayCompare>,
    /// Operations when all hold.
    pub success: Vec<GatewayOp>,
    /// Operations otherwise.
    pub failure: Vec<GatewayOp>,
}

/// Reply to one operation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayOpReply {
    /// Reply to a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<GatewayRangeReply>,
    /// Reply to a nested transaction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_txn: Option<GatewayTxnReply>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayTxnReply {
    /// Header.
    pub header: GatewayHeader,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Replies to the operations.
    pub responses: Vec<GatewayOpReply>,
}

/// `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`, and their replies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayLease {
    /// Lease.
    #[serde(rename = "ID", skip_serializing_if = "String::is_empty")]
    pub id: String,
    /// Time to live in seconds.
    #[serde(rename = "TTL", skip_serializing_if = "String::is_empty")]
    pub ttl: String,
}

/// Body of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatch {
    /// The watch to create.
    pub create_request: GatewayWatchCreate,
}

/// A watch to create.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatchCreate {
    /// Key.
    pub key: String,
    /// First revision to report.
    pub start_revision: String,
}

/// One event of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayEvent {
    /// `PUT` or empty for a put, `DELETE` for a delete.
    #[serde(rename = "type")]
    pub kind: String,
    /// The key.
    pub kv: GatewayKeyValue,
}

/// Result in one line of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatchResult {
    /// Whether the watch was created.
    pub created: bool,
    /// Whether the watch was cancelled by the store.
    pub canceled: bool,
    /// Oldest revision kept, when the watched one was compacted.
    pub compact_revision: String,
    /// Events.
    pub events: Vec<GatewayEvent>,
}

/// One line of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatchLine {
    /// Result.
    pub result: GatewayWatchResult,
}
