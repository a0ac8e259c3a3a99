//! The edge at which a node meets the platform's names and formats.

use bytes::Bytes;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use thiserror::Error;

use crate::Heartbeat;
use crate::MeshVersion;

/// Names of the headers that the system reads and sets.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identity of a request.
    pub request_id: &'static str,
    /// Time left, in milliseconds.
    pub deadline: &'static str,
    /// Receipt of a backend server for its answer.
    pub signature: &'static str,
    /// Process that alone may run a request.
    pub expected_instance: &'static str,
    /// Word of a backend server that a request didn't run.
    pub not_run: &'static str,
    /// Service from which a request comes.
    pub caller_service: &'static str,
}

/// What a call on the node's own addresses asks.
#[derive(Clone, Debug)]
pub enum LocalRequest {
    /// Whether the node is ready.
    Readiness,
    /// Counters and latencies.
    Metrics,
    /// A backend server's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A backend server is going.
    Leave(String),
    /// Something that no page names, with the answer to it.
    Other(HttpReply),
}

/// Why the operators' configuration can't be read.
#[derive(Clone, Debug, Error)]
#[error("the configuration can't be read: {detail}")]
pub struct ConfigReadError {
    /// What doesn't fit.
    pub detail: String,
}

/// The platform's names and formats; it decides nothing.
pub trait PlatformFormat {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Key of the operators' configuration in the store.
    fn config_key(&self) -> &str;

    /// Reads the operators' configuration.
    ///
    /// Errors: it doesn't have the platform's format.
    fn read_config(&self, source: &Bytes) -> Result<MeshVersion, ConfigReadError>;

    /// Reads a call on one of the node's own addresses.
    fn parse_local_request(&self, request: &HttpRequest) -> LocalRequest;
}
