//! Settings of a node, parsed from a TOML file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sequoiagw_config::locate_key;
use serde::Deserialize;
use serde::Serialize;

use crate::BackendAnnouncement;
use crate::SettingsError;

/// Settings of a node, with the keys of its TOML file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Name of the data centre that the node is in.
    pub data_centre: String,
    /// Address at which the node listens for links from other nodes.
    pub peer_address: SocketAddr,
    /// Address at which the node listens for callers' HTTP requests.
    pub caller_address: SocketAddr,
    /// Address at which the administration API listens.
    #[serde(default = "default_admin_address")]
    pub admin_address: SocketAddr,
    /// Bearer token for changes through the administration API; without one, changes are disabled.
    #[serde(default)]
    pub admin_token: Option<String>,
    /// Addresses of nodes to contact first when joining; further ones are read from the store.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Endpoints of the platform's store, as `http://ip:port`.
    pub store_endpoints: Vec<String>,
    /// Time limit for a call to the store, as a duration such as `1s`.
    #[serde(default = "default_store_timeout")]
    pub store_timeout: String,
    /// Address of a `StatsD` server that receives the metrics.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Lowest severity that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Backend server on this host; needed only if it doesn't announce itself.
    #[serde(default)]
    pub backend: Option<BackendAnnouncement>,
}

fn default_admin_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7079))
}

fn default_store_timeout() -> String {
    "1s".to_owned()
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl NodeSettings {
    /// Reads, parses and validates a TOML file.
    ///
    /// Errors: the file can't be read, or as [`Self::from_toml`].
    pub fn from_file(file: &Path) -> Result<Self, SettingsError> {
        let source = std::fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
            file: file.display().to_string(),
            detail: error.to_string(),
        })?;
        Self::from_toml(&source)
    }

    /// Parses and validates TOML text.
    ///
    /// Errors: the syntax, a key or a value is invalid; the message names the key, its line, the
    /// value and the allowed values.
    pub fn from_toml(source: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(source).map_err(|error| SettingsError::InvalidSyntax {
                message: error.to_string(),
            })?;
        settings
            .validate()
            .map_err(|error| with_location(error, source))?;
        Ok(settings)
    }

    /// Time limit for a call to the store.
    pub fn store_call_timeout(&self) -> Duration {
        humantime::parse_duration(&self.store_timeout).unwrap_or(Duration::from_secs(1))
    }

    fn validate(&self) -> Result<(), SettingsError> {
        validate_name("name", &self.name)?;
        validate_name("data_centre", &self.data_centre)?;
        for (key, address) in [
            ("peer_address", self.peer_address),
            ("caller_address", self.caller_address),
            ("admin_address", self.admin_address),
        ] {
            if address.port() == 0 {
                return Err(invalid_value(
                    key,
                    &address.to_string(),
                    "a port from 1 to 65535",
                ));
            }
        }
        if self.peer_address.ip().is_unspecified() {
            let expected = "the IP address at which other nodes reach this one";
            return Err(invalid_value(
                "peer_address",
                &self.peer_address.to_string(),
                expected,
            ));
        }
        if self.store_endpoints.is_empty() {
            return Err(invalid_value(
                "store_endpoints",
                "[]",
                "at least one endpoint",
            ));
        }
        for endpoint in &self.store_endpoints {
            if !endpoint.starts_with("http://") {
                return Err(invalid_value(
                    "store_endpoints",
                    endpoint,
                    "endpoints such as \"http://10.0.0.1:2379\"",
                ));
            }
        }
        let store_timeout = humantime::parse_duration(&self.store_timeout).ok();
        let range = Duration::from_millis(10)..=Duration::from_secs(30);
        if !store_timeout.is_some_and(|time| range.contains(&time)) {
            let expected = "a duration from 10ms to 30s, such as \"1s\"";
            return Err(invalid_value(
                "store_timeout",
                &self.store_timeout,
                expected,
            ));
        }
        if !["error", "warn", "info", "debug", "trace"].contains(&self.log_level.as_str()) {
            let expected = "error, warn, info, debug or trace";
            return Err(invalid_value("log_level", &self.log_level, expected));
        }
        if self
            .admin_token
            .as_ref()
            .is_some_and(|token| token.len() < 16)
        {
            return Err(invalid_value(
                "admin_token",
                "a shorter token",
                "at least 16 characters",
            ));
        }
        if let Some(backend) = &self.backend {
            validate_name("backend.service", &backend.service)?;
            if backend.address.parse::<SocketAddr>().is_err() {
                return Err(invalid_value(
                    "backend.address",
                    &backend.address,
                    "ip:port",
                ));
            }
            if !(1..=10_000).contains(&backend.slots) {
                let expected = "a whole number from 1 to 10000";
                return Err(invalid_value(
                    "backend.slots",
                    &backend.slots.to_string(),
                    expected,
                ));
            }
        }
        Ok(())
    }
}

fn validate_name(key: &str, name: &str) -> Result<(), SettingsError> {
    let valid = !name.is_empty()
        && name.len() <= 64
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    if valid {
        return Ok(());
    }
    Err(invalid_value(
        key,
        &format!("\"{name}\""),
        "1 to 64 letters, digits, - and _",
    ))
}

fn invalid_value(key: &str, value: &str, expected: &str) -> SettingsError {
    SettingsError::InvalidValue {
        key: key.to_owned(),
        location: String::new(),
        value: value.to_owned(),
        expected: expected.to_owned(),
    }
}

fn with_location(error: SettingsError, source: &str) -> SettingsError {
    match error {
        SettingsError::InvalidValue {
            key,
            value,
            expected,
            ..
        } => {
            let location = locate_key(source, &key).map_or_else(String::new, |(line, column)| {
                format!(" (line {line}, column {column})")
            });
            SettingsError::InvalidValue {
                key,
                location,
                value,
                expected,
            }
        }
        other => other,
    }
}
