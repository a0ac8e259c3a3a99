//! Errors of a configuration change.

use sequoiagw_config::ConfigError;
use sequoiagw_store::StoreError;
use thiserror::Error;

/// Reason why a configuration change wasn't accepted.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// The configuration is invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// Another change was accepted first and touches the same settings.
    #[error("version {version} by {author} (\"{message}\") already changed {paths}; review it with `sequoiagw config show`, then apply your change again")]
    Conflict {
        /// Version of the other change.
        version: u64,
        /// Author of the other change.
        author: String,
        /// Message of the other change.
        message: String,
        /// Settings that both changes touch.
        paths: String,
    },
    /// The version that the change is based on is 0, newer than the newest version, or older
    /// than the history kept.
    #[error("version {base} is not in the history kept, so the change cannot be rebased on version {current}; start again from the output of `sequoiagw config show`")]
    BaseUnknown {
        /// Version that the change is based on.
        base: u64,
        /// Newest version.
        current: u64,
    },
    /// The store gave no answer, so the change may or may not have been accepted.
    #[error("change {change_id} may or may not have been accepted: {source}; apply it again with the same change id")]
    Unconfirmed {
        /// Id of the change.
        change_id: String,
        /// Error of the store.
        source: StoreError,
    },
    /// The store can't be read, so nothing was written.
    #[error("cannot read the configuration; nothing was changed: {0}")]
    ReadFailed(StoreError),
    /// The configuration is the same as the newest version.
    #[error("the configuration is the same as version {0}; there is nothing to apply")]
    Unchanged(u64),
}

impl WriteError {
    /// Name of the error in counters and problem reports.
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
