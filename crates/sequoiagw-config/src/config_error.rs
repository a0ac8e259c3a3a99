//! The closed list of configuration errors.

use thiserror::Error;

/// Why a configuration can't be accepted or taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The text isn't TOML, or holds an unknown key or a value of the wrong type.
    #[error("{message}\n  mend it at the place shown; `sequoiagw config check` tries it without applying")]
    Syntax {
        /// Message of the parser, with line and column.
        message: String,
    },
    /// A value is outside its range or of the wrong kind.
    #[error("{path}{position}: {value} is not allowed; expected {expected}")]
    Value {
        /// Path of the key.
        path: String,
        /// Where in the text, empty when there is none.
        position: String,
        /// The value met.
        value: String,
        /// What is allowed.
        expected: String,
    },
    /// A name refers to something the configuration doesn't hold.
    #[error("{path}{position}: there is no {kind} named \"{name}\"; define [{kind}s.{name}] or correct the name")]
    Reference {
        /// Path of the key.
        path: String,
        /// Where in the text.
        position: String,
        /// What is missing: service, route or rank.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// Two exceptions set the same setting for the same scope.
    #[error("exceptions.{first} and exceptions.{second}{position} contradict each other: both set {setting} for {scope}; remove one or narrow its scope")]
    ConflictingExceptions {
        /// Name of the first exception.
        first: String,
        /// Name of the second exception.
        second: String,
        /// Where the second stands.
        position: String,
        /// The setting.
        setting: String,
        /// The shared scope.
        scope: String,
    },
    /// Two routes match the same requests.
    #[error("routes.{first} and routes.{second}{position} match the same requests; change one path or method")]
    AmbiguousRoutes {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
        /// Where the second stands.
        position: String,
    },
    /// The canonical form doesn't have the checksum it came with.
    #[error("checksum of version {version} is {found}, expected {expected}; the copy is damaged and was not taken")]
    ChecksumMismatch {
        /// Version.
        version: u64,
        /// Checksum announced.
        expected: String,
        /// Checksum computed.
        found: String,
    },
    /// The configuration is larger than the platform's store holds.
    #[error("the configuration has {bytes} bytes, the store holds at most {limit}; remove expired exceptions or unused routes")]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// A delta doesn't apply to the version held.
    #[error("delta {base} to {version} doesn't apply to version {held}; a full copy is needed")]
    BaseMismatch {
        /// Version the delta starts from.
        base: u64,
        /// Version it produces.
        version: u64,
        /// Version held.
        held: u64,
    },
}

impl ConfigError {
    /// Name of the counter of this error.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Syntax { .. } => "config_syntax",
            Self::Value { .. } => "config_value",
            Self::Reference { .. } => "config_reference",
            Self::ConflictingExceptions { .. } => "config_contradiction",
            Self::AmbiguousRoutes { .. } => "config_ambiguous",
            Self::ChecksumMismatch { .. } => "config_checksum",
            Self::TooLarge { .. } => "config_too_large",
            Self::BaseMismatch { .. } => "config_base",
        }
    }

    /// Adds the position in `source` of the key this error is about.
    #[must_use]
    pub fn with_position(mut self, source: &str) -> Self {
        let key = match &self {
            Self::Value { path, .. } | Self::Reference { path, .. } => path.clone(),
            Self::ConflictingExceptions { second, .. } => format!("exceptions.{second}"),
            Self::AmbiguousRoutes { second, .. } => format!("routes.{second}"),
            _ => return self,
        };
        let Some((line, column)) = crate::locate_key(source, &key) else {
            return self;
        };
        match &mut self {
            Self::Value { position, .. }
            | Self::Reference { position, .. }
            | Self::ConflictingExceptions { position, .. }
            | Self::AmbiguousRoutes { position, .. } => {
                *position = format!(" (line {line}, column {column})");
            }
            _ => {}
        }
        self
    }
}
