//! The messages of the etcd v3 JSON gateway that the client uses.
//!
//! Keys and values are base64-encoded, and 64-bit numbers are strings.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde::Serialize;

use crate::StoreError;

/// Encodes a key or value as base64.
pub fn encode_base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Decodes a key or value from base64.
///
/// Errors: the text is not base64, or the decoded bytes are not UTF-8.
pub fn decode_base64(encoded: &str) -> Result<String, StoreError> {
    let malformed = |detail: String| StoreError::Malformed { detail };
    let bytes = STANDARD
        .decode(encoded)
        .map_err(|error| malformed(error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| malformed(error.to_string()))
}

/// Parses a 64-bit number. An empty text is 0, because the gateway omits fields that are zero.
///
/// Errors: the text is not a number.
pub fn parse_u64(text: &str) -> Result<u64, StoreError> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_| StoreError::Malformed {
        detail: format!("\"{text}\" is not a number"),
    })
}

/// Header of a reply.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayHeader {
    /// Revision of the store at the time of the reply.
    pub revision: String,
}

/// A stored key and its value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayKeyValue {
    /// Key, base64-encoded.
    pub key: String,
    /// Value, base64-encoded.
    pub value: String,
    /// Revision at which the key was created.
    pub create_revision: String,
    /// Revision of the last change to the key.
    pub mod_revision: String,
    /// Lease that the key is attached to; empty or 0 for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub lease: String,
}

/// Body of `/v3/kv/range`. Also selects the key to read or delete in a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayRange {
    /// Key, or start of the range.
    pub key: String,
    /// Exclusive end of the range; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Reply to a range read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayRangeReply {
    /// Header.
    pub header: GatewayHeader,
    /// Keys found.
    pub kvs: Vec<GatewayKeyValue>,
}

/// A key to write.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayPut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Lease to attach the key to; `"0"` or empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub lease: String,
}

/// One condition of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayCompare {
    /// Key.
    pub key: String,
    /// Revision to compare: `CREATE` or `MOD`.
    pub target: String,
    /// Comparison; only `EQUAL` is used.
    pub result: String,
    /// Expected creation revision; `"0"` for a key that must not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<String>,
    /// Expected revision of the last change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<String>,
}

/// One operation of a transaction. Exactly one field is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayOp {
    /// Writes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<GatewayPut>,
    /// Reads a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<GatewayRange>,
    /// Deletes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<GatewayRange>,
    /// Runs a nested transaction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_txn: Option<GatewayTxn>,
}

/// Body of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayTxn {
    /// Conditions that select which operations run.
    pub compare: Vec<GatewayCompare>,
    /// Operations that run if all conditions hold.
    pub success: Vec<GatewayOp>,
    /// Operations that run otherwise.
    pub failure: Vec<GatewayOp>,
}

/// Reply to one operation of a transaction. Replies to writes and deletes aren't decoded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayOpReply {
    /// Reply to a range read.
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
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Replies in the order of the operations.
    pub responses: Vec<GatewayOpReply>,
}

/// Body of `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`, and of their replies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayLease {
    /// Lease identifier.
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
    /// Watch to create.
    pub create_request: GatewayWatchCreate,
}

/// Key and start of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatchCreate {
    /// Key to watch.
    pub key: String,
    /// First revision to report.
    pub start_revision: String,
}

/// One change reported by a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayEvent {
    /// `PUT` or empty for a write, `DELETE` for a deletion.
    #[serde(rename = "type")]
    pub kind: String,
    /// The changed key and, for a write, its new value.
    pub kv: GatewayKeyValue,
}

/// Content of one line of a watch response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatchResult {
    /// Whether this line confirms that the watch was created.
    pub created: bool,
    /// Whether the store cancelled the watch.
    pub canceled: bool,
    /// Oldest revision that the store still has, if the requested one was compacted.
    pub compact_revision: String,
    /// Changes in revision order.
    pub events: Vec<GatewayEvent>,
}

/// One line of a watch response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayWatchLine {
    /// Content of the line.
    pub result: GatewayWatchResult,
}
