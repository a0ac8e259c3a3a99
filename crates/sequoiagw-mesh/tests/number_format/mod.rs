//! Platform format of tests, in which a configuration is only the number of a version.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::HttpRequest;
use sequoiagw_mesh::ConfigReadError;
use sequoiagw_mesh::HeaderNames;
use sequoiagw_mesh::LocalRequest;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::OrderReadError;
use sequoiagw_mesh::PlatformFormat;
use sequoiagw_mesh::RolloutOrder;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_store::KeyEntry;

use crate::support::version;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config";
/// Header names of the tests' platform.
pub const HEADERS: HeaderNames = HeaderNames {
    request_id: "Id",
    deadline: "Deadline",
    signature: "Signature",
    expected_instance: "Instance",
    not_run: "Not-Run",
    request_limit: "Limit",
    leaving: "Leaving",
    caller_service: "Service",
    api_key: "Key",
    workspace: "Workspace",
};

/// Prefix of the operators' keys, which includes that of the configuration.
pub const OPERATOR_PREFIX: &str = "config";
/// Prefix of the keys of orders.
pub const ORDER_PREFIX: &str = "config-orders/";
/// Prefix of the keys of what the operators are told.
pub const STATUS_PREFIX: &str = "state/";

/// Platform format in which a configuration is only the number of a version, an order the new version
/// and the duration in seconds, and a status the number of the stage.
pub struct NumberFormat;

impl PlatformFormat for NumberFormat {
    fn headers(&self) -> &HeaderNames {
        &HEADERS
    }

    fn config_key(&self) -> &str {
        CONFIG_KEY
    }

    fn read_config(&self, source: &Bytes) -> Result<MeshVersion, ConfigReadError> {
        let text = String::from_utf8_lossy(source);
        let number = text.parse().map_err(|_| ConfigReadError {
            detail: text.into_owned(),
        })?;
        Ok(version(number))
    }

    fn operator_prefix(&self) -> &str {
        OPERATOR_PREFIX
    }

    fn rollout_order_prefix(&self) -> &str {
        ORDER_PREFIX
    }

    fn read_rollout_order(&self, entry: &KeyEntry) -> Result<Option<RolloutOrder>, OrderReadError> {
        let Some(service) = entry.key.strip_prefix(ORDER_PREFIX) else {
            return Ok(None);
        };
        let unreadable = || OrderReadError {
            detail: entry.value.clone(),
        };
        let (new_version, seconds) = entry.value.split_once(' ').ok_or_else(unreadable)?;
        let seconds: f64 = seconds.parse().map_err(|_| unreadable())?;
        Ok(Some(RolloutOrder {
            service: service.to_owned(),
            new_version: new_version.to_owned(),
            duration: Duration::from_secs_f64(seconds),
            revision: entry.mod_revision,
        }))
    }

    fn rollout_status(&self, record: &RolloutRecord) -> (String, String) {
        let key = format!("{STATUS_PREFIX}{}", record.service);
        (key, record.stage.to_string())
    }

    fn parse_local_request(&self, _request: &HttpRequest) -> LocalRequest {
        LocalRequest::Readiness
    }
}
