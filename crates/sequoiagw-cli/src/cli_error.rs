//! Errors of the command line and their exit codes.

use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A configuration, settings file or argument is invalid.
    #[error("{0}")]
    Invalid(String),
    /// Another change got in first.
    #[error("{0}")]
    Conflict(String),
    /// The store is out, or the outcome of a change isn't confirmed.
    #[error("{0}")]
    StoreUnavailable(String),
    /// The change was accepted but isn't in force everywhere in time.
    #[error("version {version} is not in force at: {behind}; see `sequoiagw status`")]
    ActivationTimeout {
        /// Version.
        version: u64,
        /// Nodes behind.
        behind: String,
    },
    /// The node doesn't answer.
    #[error("{url} doesn't answer: {detail}; is the node running, and is this its admin_address?")]
    Unreachable {
        /// Address asked.
        url: String,
        /// What happened.
        detail: String,
    },
    /// The node refused.
    #[error("refused with status {status}: {detail}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the node said.
        detail: String,
    },
    /// A promise was broken.
    #[error("a promise was broken: {0}")]
    GuaranteeViolated(String),
    /// Anything else.
    #[error(transparent)]
    Other(#[from] eyre::Report),
}

impl CliError {
    /// Exit code: 1 for failures, 2 is taken by wrong arguments.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Other(_) | Self::GuaranteeViolated(_) | Self::Refused { .. } => 1,
            Self::Invalid(_) => 3,
            Self::Conflict(_) => 4,
            Self::StoreUnavailable(_) => 5,
            Self::ActivationTimeout { .. } => 6,
            Self::Unreachable { .. } => 7,
        }
    }
}
