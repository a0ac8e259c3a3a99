//! Errors of parsing, validating, storing and distributing a configuration.

use thiserror::Error;

/// Reason for which a configuration is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The text can't be parsed, or has an unknown key or a value of the wrong type.
    #[error("{message}\n  fix the text at this position; `sequoiagw config check` validates it without applying it")]
    Syntax {
        /// Message of the parser, with line and column if the parser gives them.
        message: String,
    },
    /// A value is out of range or of the wrong type.
    #[error("{path}{position}: {value} is not allowed; expected {expected}")]
    Value {
        /// Dotted path of the key.
        path: String,
        /// Position in the text, in the form ` (line 1, column 1)`; empty if it is unknown.
        position: String,
        /// Rejected value.
        value: String,
        /// Description of the allowed values.
        expected: String,
    },
    /// A key refers to an item that the configuration doesn't define.
    #[error("{path}{position}: there is no {kind} named \"{name}\"; define [{kind}s.{name}] or correct the name")]
    Reference {
        /// Dotted path of the key.
        path: String,
        /// Position in the text; empty if it is unknown.
        position: String,
        /// Kind of the missing item, such as service, route or rank.
        kind: &'static str,
        /// Name of the missing item.
        name: String,
    },
    /// Two exceptions override the same setting for the same scope.
    #[error("exceptions.{first} and exceptions.{second}{position} conflict: both set {setting} for {scope}; remove one or narrow its scope")]
    ConflictingExceptions {
        /// Name of the first exception.
        first: String,
        /// Name of the second exception.
        second: String,
        /// Position of the second one in the text; empty if it is unknown.
        position: String,
        /// Overridden setting.
        setting: String,
        /// Scope of both exceptions.
        scope: String,
    },
    /// Two routes have the same method and equivalent path patterns.
    #[error("routes.{first} and routes.{second}{position} match the same requests; change one path or method")]
    AmbiguousRoutes {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
        /// Position of the second one in the text; empty if it is unknown.
        position: String,
    },
    /// The checksum of the canonical form differs from the one that it was sent or stored with.
    #[error("checksum of version {version} is {found}, expected {expected}; the copy is corrupt and was discarded")]
    ChecksumMismatch {
        /// Version number.
        version: u64,
        /// Checksum that was sent or stored with the version.
        expected: String,
        /// Checksum computed from the canonical form.
        found: String,
    },
    /// The configuration exceeds the largest value that the platform's store accepts.
    #[error("the configuration has {bytes} bytes, but the store accepts at most {limit}; remove expired exceptions or unused routes")]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// A delta doesn't apply to the version that this node has.
    #[error("the delta from version {base} to {version} doesn't apply to version {held}; a full copy is needed")]
    BaseMismatch {
        /// Version that the delta applies to.
        base: u64,
        /// Version that the delta produces.
        version: u64,
        /// Version that this node has.
        held: u64,
    },
}

impl ConfigError {
    /// Name of the counter for this error.
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

    /// Adds the position in `source` of the key that caused this error.
    ///
    /// Leaves an error that has no key, or whose key isn't found, as it is.
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
