//! Platform format of tests, in which a configuration is only the number of a version.

use bytes::Bytes;
use sequoiagw_http::HttpRequest;
use sequoiagw_mesh::ConfigReadError;
use sequoiagw_mesh::HeaderNames;
use sequoiagw_mesh::LocalRequest;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::PlatformFormat;

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

/// Platform format in which a configuration is only the number of a version.
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

    fn parse_local_request(&self, _request: &HttpRequest) -> LocalRequest {
        LocalRequest::Readiness
    }
}
