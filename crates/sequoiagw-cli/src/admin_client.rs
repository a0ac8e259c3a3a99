//! Client of a node's administration API.

use std::fmt::Display;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::MeshConfig;
use sequoiagw_node::FleetStatus;
use sequoiagw_node::NodeStatus;
use sequoiagw_node::ProblemBody;
use sequoiagw_protocol::FinalStatus;
use ureq::http::Response;
use ureq::Agent;
use ureq::Body;

use crate::cli_error::CliError;

/// Administration API used when neither the flag nor the variable is set.
const DEFAULT_URL: &str = "http://127.0.0.1:7079";
/// Environment variable that holds the address of the administration API.
const URL_VARIABLE: &str = "SEQUOIAGW_ADMIN";
/// Environment variable that holds the token that authorizes configuration changes.
const TOKEN_VARIABLE: &str = "SEQUOIAGW_TOKEN";
/// Limit for a whole request, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(25);

/// Blocking HTTP client of one node's administration API.
pub(crate) struct AdminClient {
    agent: Agent,
    url: String,
    token: Option<String>,
}

/// Newest accepted configuration, as returned by a node.
pub(crate) struct CurrentConfig {
    /// Version number, 0 if no version has been accepted yet.
    pub(crate) version: u64,
    /// Parsed configuration.
    pub(crate) config: MeshConfig,
    /// TOML text from which `config` was parsed.
    pub(crate) source: String,
}

/// Request to accept a configuration as the next version.
pub(crate) struct ChangeRequest<'a> {
    /// Complete new configuration as TOML text.
    pub(crate) source: &'a str,
    /// Version on which the change is based; a newer accepted version is a conflict.
    pub(crate) base_version: u64,
    /// Unique id, by which a repeated request is recognized as the same change.
    pub(crate) change_id: &'a str,
    /// Reason for the change, shown in the history.
    pub(crate) message: &'a str,
}

impl AdminClient {
    /// Defines the `--admin` flag, which selects the node.
    pub(crate) fn arg() -> Arg {
        Arg::new("admin")
            .long("admin")
            .value_name("URL")
            .help("Node's administration API [default: $SEQUOIAGW_ADMIN or http://127.0.0.1:7079]")
    }

    /// Builds the client from the `--admin` flag and the environment. The flag takes precedence
    /// over the variable.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let url = matches
            .get_one::<String>("admin")
            .cloned()
            .or_else(|| std::env::var(URL_VARIABLE).ok())
            .unwrap_or_else(|| DEFAULT_URL.to_owned());
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .new_agent();
        Self {
            agent,
            url,
            token: std::env::var(TOKEN_VARIABLE).ok(),
        }
    }

    /// Fetches the status of the node.
    ///
    /// Errors: the node is unreachable, refuses the request or sends invalid JSON.
    pub(crate) fn status(&self) -> Result<NodeStatus, CliError> {
        parse_json(&self.get_text("/v1/status")?)
    }

    /// Fetches the versions in force at the nodes of all data centres.
    ///
    /// Errors: as [`Self::status`].
    pub(crate) fn fleet(&self) -> Result<FleetStatus, CliError> {
        parse_json(&self.get_text("/v1/fleet")?)
    }

    /// Fetches the accepted changes, the newest last.
    ///
    /// Errors: as [`Self::status`].
    pub(crate) fn history(&self) -> Result<Vec<AcceptedConfig>, CliError> {
        parse_json(&self.get_text("/v1/config/history")?)
    }

    /// Fetches the newest accepted configuration.
    ///
    /// Errors: the node is unreachable or refuses the request, or the configuration is invalid.
    pub(crate) fn config(&self) -> Result<CurrentConfig, CliError> {
        let url = format!("{}/v1/config", self.url);
        let response = self
            .agent
            .get(&url)
            .call()
            .map_err(|error| self.unreachable_error(&error))?;
        let version = response
            .headers()
            .get("etag")
            .and_then(|value| value.to_str().ok()?.trim_matches('"').parse().ok())
            .unwrap_or(0);
        let source = self.read_body(response)?;
        let config =
            MeshConfig::from_toml(&source).map_err(|error| CliError::Invalid(error.to_string()))?;
        Ok(CurrentConfig {
            version,
            config,
            source,
        })
    }

    /// Submits a change and returns the version under which it was accepted.
    ///
    /// Errors: no token is set, the node is unreachable, the change is invalid or conflicts with
    /// a newer version, or the store is unavailable.
    pub(crate) fn apply(&self, change: &ChangeRequest<'_>) -> Result<u64, CliError> {
        let Some(token) = &self.token else {
            return Err(CliError::Invalid(format!(
                "changes need a token: set {TOKEN_VARIABLE} to the node's admin_token"
            )));
        };
        let author = std::env::var("USER").unwrap_or_else(|_| "unnamed".to_owned());
        let response = self
            .agent
            .put(format!("{}/v1/config", self.url))
            .header("authorization", format!("Bearer {token}"))
            .header("if-match", format!("\"{}\"", change.base_version))
            .header("x-change-id", change.change_id)
            .header("x-author", author)
            .header("x-message", change.message)
            .send(change.source)
            .map_err(|error| self.unreachable_error(&error))?;
        let accepted: AcceptedConfig = parse_json(&self.read_body(response)?)?;
        Ok(accepted.version)
    }

    fn get_text(&self, path: &str) -> Result<String, CliError> {
        let url = format!("{}{path}", self.url);
        let response = self
            .agent
            .get(&url)
            .call()
            .map_err(|error| self.unreachable_error(&error))?;
        self.read_body(response)
    }

    fn read_body(&self, mut response: Response<Body>) -> Result<String, CliError> {
        let status = FinalStatus::try_from(response.status().as_u16())
            .map_err(|error| self.unreachable_error(&error))?;
        let text = response
            .body_mut()
            .read_to_string()
            .map_err(|error| self.unreachable_error(&error))?;
        if status.get() < 400 {
            return Ok(text);
        }
        let detail =
            serde_json::from_str::<ProblemBody>(&text).map_or(text, |problem| problem.detail);
        Err(match status.get() {
            422 => CliError::Invalid(detail),
            409 | 412 => CliError::Conflict(detail),
            503 => CliError::StoreUnavailable(detail),
            status => CliError::Refused { status, detail },
        })
    }

    fn unreachable_error<Cause>(&self, error: &Cause) -> CliError
    where
        Cause: Display,
    {
        CliError::Unreachable {
            url: self.url.clone(),
            detail: error.to_string(),
        }
    }
}

fn parse_json<Parsed>(text: &str) -> Result<Parsed, CliError>
where
    Parsed: serde::de::DeserializeOwned,
{
    serde_json::from_str(text).map_err(|error| CliError::Other(error.into()))
}
