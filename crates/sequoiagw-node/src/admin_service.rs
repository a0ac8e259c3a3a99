//! Handling of administration API requests on the node's runtime.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sequoiagw_config::MeshConfig;
use sequoiagw_distribution::ConfigChange;
use sequoiagw_distribution::ConfigWriter;
use sequoiagw_distribution::WriteError;
use tracing::info;

use crate::BackendAnnouncement;
use crate::NodeHandle;
use crate::ProblemBody;

/// Parsed and authorized request to the administration API.
#[derive(Clone, Debug)]
pub(crate) enum AdminRequest {
    /// Reports that the process runs.
    Health,
    /// Reports whether the node accepts callers' requests.
    Readiness,
    /// Reads the status of the node and its members.
    Status,
    /// Reads the active versions of each data centre.
    Fleet,
    /// Reads the totals of all counters.
    Counters,
    /// Reads the newest accepted configuration.
    ReadConfig,
    /// Reads the history of configuration changes.
    History,
    /// Writes a configuration as a new version.
    WriteConfig {
        /// Configuration as TOML text.
        source: String,
        /// Version that the change is based on.
        base: u64,
        /// Unique id of the change.
        change_id: String,
        /// Author of the change, for the history.
        author: String,
        /// Reason for the change, for the history.
        message: String,
    },
    /// Announces the backend server on this host.
    Announce(BackendAnnouncement),
    /// Withdraws the backend server on this host.
    Withdraw,
    /// Starts to drain the node, which then leaves the fleet.
    Drain,
}

/// Reply of the administration API; `version` is sent as its `ETag`.
#[derive(Clone, Debug)]
pub(crate) struct AdminReply {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) version: Option<u64>,
    pub(crate) body: String,
}

impl AdminReply {
    fn json<Content>(status: u16, content: &Content) -> Self
    where
        Content: serde::Serialize,
    {
        let body = serde_json::to_string(content).unwrap_or_default();
        Self {
            status,
            content_type: "application/json",
            version: None,
            body,
        }
    }

    fn text(status: u16, body: &str) -> Self {
        let body = body.to_owned();
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            version: None,
            body,
        }
    }

    /// Builds an error reply with problem details (RFC 9457).
    pub(crate) fn problem(status: u16, name: &str, detail: &str) -> Self {
        let body = ProblemBody::new(status, name, detail).to_json();
        let content_type = crate::problem_body::PROBLEM_MEDIA_TYPE;
        Self {
            status,
            content_type,
            version: None,
            body,
        }
    }
}

/// Handles one request on the node's runtime.
pub(crate) async fn handle_admin_request(handle: &NodeHandle, request: AdminRequest) -> AdminReply {
    match request {
        AdminRequest::Health => AdminReply::text(200, "running\n"),
        AdminRequest::Readiness => readiness(handle),
        AdminRequest::Status => AdminReply::json(200, &handle.status()),
        AdminRequest::Fleet => AdminReply::json(200, &handle.fleet_status().await),
        AdminRequest::Counters => AdminReply::json(200, &handle.counters().totals()),
        AdminRequest::ReadConfig => read_config(handle).await,
        AdminRequest::History => read_history(handle).await,
        AdminRequest::WriteConfig {
            source,
            base,
            change_id,
            author,
            message,
        } => {
            let config = match MeshConfig::from_toml(&source) {
                Ok(config) => config,
                Err(error) => return write_error_reply(&WriteError::Invalid(error)),
            };
            let now_ms = unix_ms();
            let change = ConfigChange {
                config,
                base,
                change_id,
                author,
                message,
                now_ms,
            };
            write_config(handle, &change).await
        }
        AdminRequest::Announce(announcement) => {
            handle.announce(announcement);
            AdminReply::text(200, "announced\n")
        }
        AdminRequest::Withdraw => {
            handle.withdraw();
            AdminReply::text(200, "withdrawn\n")
        }
        AdminRequest::Drain => {
            handle.drain();
            AdminReply::text(202, "draining\n")
        }
    }
}

fn readiness(handle: &NodeHandle) -> AdminReply {
    let (ready, draining) = handle.read(|core| (core.is_ready(), core.is_draining()));
    if ready && !draining {
        return AdminReply::text(200, "ready\n");
    }
    let detail = if draining {
        "the node is leaving"
    } else {
        "no version is in force yet"
    };
    AdminReply::problem(503, "not_ready", detail)
}

async fn read_config(handle: &NodeHandle) -> AdminReply {
    let current = match ConfigWriter::new(handle.store()).read().await {
        Ok(current) => current,
        Err(error) => return write_error_reply(&error),
    };
    let config = match current
        .accepted
        .as_ref()
        .map(|accepted| accepted.tree.to_config())
    {
        Some(Ok(config)) => config,
        Some(Err(error)) => return write_error_reply(&WriteError::Invalid(error)),
        None => MeshConfig::default(),
    };
    match config.to_toml() {
        Ok(text) => AdminReply {
            status: 200,
            content_type: "application/toml",
            version: Some(current.version()),
            body: text,
        },
        Err(error) => write_error_reply(&WriteError::Invalid(error)),
    }
}

async fn read_history(handle: &NodeHandle) -> AdminReply {
    match ConfigWriter::new(handle.store()).history().await {
        Ok(history) => AdminReply::json(200, &history),
        Err(error) => write_error_reply(&error),
    }
}

async fn write_config(handle: &NodeHandle, change: &ConfigChange) -> AdminReply {
    match ConfigWriter::new(handle.store()).apply(change).await {
        Ok(accepted) => {
            info!(
                event = "change_accepted", version = accepted.version,
                author = %accepted.author, change_id = %accepted.change_id
            );
            handle.counters().count("change.accepted");
            let version = Some(accepted.version);
            AdminReply {
                version,
                ..AdminReply::json(200, &accepted.history_record())
            }
        }
        Err(error) => {
            handle.counters().count_refusal(error.name());
            write_error_reply(&error)
        }
    }
}

fn write_error_reply(error: &WriteError) -> AdminReply {
    let status = match error {
        WriteError::Invalid(_) => 422,
        WriteError::Conflict { .. } | WriteError::BaseUnknown { .. } => 412,
        WriteError::Unconfirmed { .. } | WriteError::ReadFailed(_) => 503,
        WriteError::Unchanged(_) => 409,
    };
    AdminReply::problem(status, error.name(), &error.to_string())
}

/// Current Unix time in milliseconds; 0 if the clock is before 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
