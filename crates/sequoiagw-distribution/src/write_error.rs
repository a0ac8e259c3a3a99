//! The closed list of errors of a change to the configuration.

use sequoiagw_config::ConfigError;
use sequoiagw_store::StoreError;
use thiserror::Error;

/// Why a change wasn't accepted.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// The configuration is invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// Another change got in first and touches the same things.
    #[error("version {version} by {author} (\"{message}\") changed {paths} first; look at it with `sequoiagw config show`, then apply again")]
    Conflict {
        /// The other change's version.
        version: u64,
        /// Its author.
        author: String,
        /// Its message.
        message: String,
        /// What both touch.
        paths: String,
    },
    /// The version the change is based on is older than the history kept.
    #[error("version {base} is too old to rebase on version {current}; start again from `sequoiagw config show`")]
    BaseUnknown {
        /// Version it is based on.
        base: u64,
        /// Newest version.
        current: u64,
    },
    /// The store gave no answer; nothing is known to have been accepted.
    #[error("change {change_id} is not known to be accepted: {source}; apply it again with the same change id")]
    Unconfirmed {
        /// Id of the change.
        change_id: String,
        /// What the store said.
        source: StoreError,
    },
    /// The store can't be read; nothing was written.
    #[error("nothing was changed: {0}")]
    ReadFailed(StoreError),
    /// The change alters nothing.
    #[error("the configuration is the same as version {0}; nothing to accept")]
    Unchanged(u64),
}

impl WriteError {
    /// Name of the counter.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Invalid(error) => error.name(),
            Self::Conflict { .. } => "change_conflict",
            Self::BaseUnknown { .. } => "change_base_unknown",
            Self::Unconfirmed { .. } => "change_unconfirmed",
            Self::ReadFailed(_) => "change_unread",
            Self::Unchanged(_) => "change_empty",
        }
    }
}
