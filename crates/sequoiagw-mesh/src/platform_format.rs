//! Interface to the platform's header names and message formats.

use bytes::Bytes;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_store::KeyEntry;
use thiserror::Error;

use crate::Heartbeat;
use crate::MeshVersion;
use crate::RolloutOrder;
use crate::TargetIncarnation;

/// Names of the headers that a node reads and sets.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request.
    pub request_id: &'static str,
    /// Time left until the deadline of a request, in milliseconds.
    pub deadline: &'static str,
    /// Signature of a backend server for its response.
    pub signature: &'static str,
    /// Backend process that a request is meant for; any other one refuses it.
    pub expected_instance: &'static str,
    /// Set by a backend server on the refusal of a request that it didn't run.
    pub not_run: &'static str,
    /// Requests per second that a backend server takes from all nodes together.
    pub request_limit: &'static str,
    /// Set by a backend server that is leaving.
    pub leaving: &'static str,
    /// Service that sent a request.
    pub caller_service: &'static str,
    /// Key of a caller, which is never forwarded.
    pub api_key: &'static str,
    /// Workspace of the caller, set only by nodes.
    pub workspace: &'static str,
}

/// A request to one of the node's own addresses.
#[derive(Clone, Debug)]
pub enum LocalRequest {
    /// Readiness check of the platform.
    Readiness,
    /// Request for counters and latencies.
    Metrics,
    /// Heartbeat of the backend server.
    Heartbeat(Box<Heartbeat>),
    /// Leave notice of an incarnation of the backend server.
    LeaveNotice(TargetIncarnation),
    /// Any other request, with the reply to send.
    Other(HttpReply),
}

/// Error for an operators' configuration that doesn't have the platform's format.
#[derive(Clone, Debug, Error)]
#[error("the configuration can't be read: {detail}")]
pub struct ConfigReadError {
    /// The part that can't be read.
    pub detail: String,
}

/// Error for an operators' order that doesn't have the platform's format.
#[derive(Clone, Debug, Error)]
#[error("the order can't be read: {detail}")]
pub struct OrderReadError {
    /// The part that can't be read.
    pub detail: String,
}

/// Header names and message formats of the platform. An implementation only translates; it
/// makes no decisions.
pub trait PlatformFormat {
    /// Header names of the platform.
    fn headers(&self) -> &HeaderNames;

    /// Key of the operators' configuration in the store.
    fn config_key(&self) -> &str;

    /// Parses the operators' configuration.
    ///
    /// Errors: the source doesn't have the platform's format.
    fn read_config(&self, source: &Bytes) -> Result<MeshVersion, ConfigReadError>;

    /// Prefix of all keys that the operators write.
    fn operator_prefix(&self) -> &str;

    /// Prefix of the keys of the operators' orders to roll out a software version.
    fn rollout_order_prefix(&self) -> &str;

    /// Parses an entry with an operators' order; `None` if its key isn't that of an order.
    ///
    /// Errors: the value doesn't have the platform's format, or is of another service than the key.
    fn read_rollout_order(&self, entry: &KeyEntry) -> Result<Option<RolloutOrder>, OrderReadError>;

    /// Key and value that tell the operators the state of a roll-out.
    fn rollout_status(&self, record: &RolloutRecord) -> (String, String);

    /// Parses a request to one of the node's own addresses.
    fn parse_local_request(&self, request: &HttpRequest) -> LocalRequest;
}
