//! Client of a node's administration API.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::MeshConfig;
use sequoiagw_node::FleetStatus;
use sequoiagw_node::NodeStatus;
use sequoiagw_node::ProblemBody;
use ureq::http::Response;
use ureq::Agent;
use ureq::Body;

use crate::cli_error::CliError;

/// Address asked when none is given.
const DEFAULT_URL: &str = "http://127.0.0.1:7079";
/// Environment variable with the address.
const URL_VARIABLE: &str = "SEQUOIAGW_ADMIN";
/// Environment variable with the token for changes.
const TOKEN_VARIABLE: &str = "SEQUOIAGW_TOKEN";
/// Time a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(25);

/// Client of one node.
pub(crate) struct AdminClient {
    agent: Agent,
    url: String,
    token: Option<String>,
}

/// The newest accepted configuration.
pub(crate) struct CurrentConfig {
    /// Version, 0 before the first.
    pub(crate) version: u64,
    /// The configuration.
    pub(crate) config: MeshConfig,
    /// Its TOML text.
    pub(crate) source: String,
}

/// A change to be accepted.
pub(crate) struct ChangeRequest<'a> {
    /// TOML text.
    pub(crate) source: &'a str,
    /// Version it was made from.
    pub(crate) base_version: u64,
    /// Unique id.
    pub(crate) change_id: &'a str,
    /// Why.
    pub(crate) message: &'a str,
}

impl AdminClient {
    /// The argument that chooses the node.
    pub(crate) fn arg() -> Arg {
        Arg::new("admin")
            .long("admin")
            .value_name("URL")
            .help("Node's administration API [default: $SEQUOIAGW_ADMIN or http://127.0.0.1:7079]")
    }

    /// Builds the client from arguments and environment.
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

    /// Status of the node.
    pub(crate) fn status(&self) -> Result<NodeStatus, CliError> {
        parse_json(&self.get_text("/v1/status")?)
    }

    /// Versions in force everywhere.
    pub(crate) fn fleet(&self) -> Result<FleetStatus, CliError> {
        parse_json(&self.get_text("/v1/fleet")?)
    }

    /// Past changes, the newest last.
    pub(crate) fn history(&self) -> Result<Vec<AcceptedConfig>, CliError> {
        parse_json(&self.get_text("/v1/config/history")?)
    }

    /// The newest accepted configuration.
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

    /// Asks for a change and returns its version.
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
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .read_to_string()
            .map_err(|error| self.unreachable_error(&error))?;
        if status < 400 {
            return Ok(text);
        }
        let detail =
            serde_json::from_str::<ProblemBody>(&text).map_or(text, |problem| problem.detail);
        Err(match status {
            422 => CliError::Invalid(detail),
            409 | 412 => CliError::Conflict(detail),
            503 => CliError::StoreUnavailable(detail),
            _ => CliError::Refused { status, detail },
        })
    }

    fn unreachable_error(&self, error: &ureq::Error) -> CliError {
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
