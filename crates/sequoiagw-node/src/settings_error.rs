//! Errors in a node's settings file.

use thiserror::Error;

/// Error in a node's settings.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: can't be read: {detail}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error message of the operating system.
        detail: String,
    },
    /// The text isn't valid TOML, or contains an unknown key or a value of the wrong type.
    #[error("{message}")]
    InvalidSyntax {
        /// Message of the parser, with line and column.
        message: String,
    },
    /// A value is outside the allowed range or has the wrong form.
    #[error("{key}{location}: {value} is not allowed; expected {expected}")]
    InvalidValue {
        /// Dotted key of the setting.
        key: String,
        /// Line and column in the text, as ` (line 1, column 2)`; empty if the key isn't there.
        location: String,
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        expected: String,
    },
}
