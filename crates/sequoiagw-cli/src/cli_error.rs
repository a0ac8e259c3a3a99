//! Error type of the commands and its exit codes.

use thiserror::Error;

/// Failure of a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// A configuration, settings file or argument is invalid.
    #[error("{0}")]
    Invalid(String),
    /// A newer version has been accepted since the base version of the change.
    #[error("{0}")]
    Conflict(String),
    /// The store is unavailable, or it isn't known whether the change was accepted.
    #[error("{0}")]
    StoreUnavailable(String),
    /// The change was accepted but wasn't in force at every node within the time limit.
    #[error("version {version} is not in force at: {behind}; see `sequoiagw status`")]
    ActivationTimeout {
        /// Accepted version.
        version: u64,
        /// Names of the nodes that run an older version, separated by commas.
        behind: String,
    },
    /// No complete HTTP response was received from the node.
    #[error("{url} doesn't answer: {detail}; is the node running, and is this its admin_address?")]
    Unreachable {
        /// Base URL of the administration API.
        url: String,
        /// Error of the HTTP client.
        detail: String,
    },
    /// The node responded with another error status.
    #[error("refused with status {status}: {detail}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Description of the problem from the response body.
        detail: String,
    },
    /// The demonstration failed or violated a guarantee.
    #[error("a guarantee was violated: {0}")]
    DemoFailed(String),
    /// Any other error.
    #[error(transparent)]
    Other(#[from] eyre::Report),
}

impl CliError {
    /// Exit code of the process: 1 for failures without a code of their own. Code 2 is reserved for
    /// wrong arguments, for which clap uses it.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Other(_) | Self::DemoFailed(_) | Self::Refused { .. } => 1,
            Self::Invalid(_) => 3,
            Self::Conflict(_) => 4,
            Self::StoreUnavailable(_) => 5,
            Self::ActivationTimeout { .. } => 6,
            Self::Unreachable { .. } => 7,
        }
    }
}
