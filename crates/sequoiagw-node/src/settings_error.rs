//! Errors of the node's settings.

use thiserror::Error;

/// Why settings can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: can't be read: {detail}; check the path and its permissions")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        detail: String,
    },
    /// The text isn't TOML, or holds an unknown key or a value of the wrong type.
    #[error("{message}")]
    Syntax {
        /// Message of the parser, with line and column.
        message: String,
    },
    /// A value isn't allowed.
    #[error("{key}{place}: {value} is not allowed; expected {expected}")]
    Value {
        /// The key.
        key: String,
        /// Where in the text.
        place: String,
        /// The value met.
        value: String,
        /// What is allowed.
        expected: String,
    },
}
