//! A version that a node holds.

use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_config::ConfigError;
use sequoiagw_config::SettingTree;
use sequoiagw_config::TreeChange;
use sequoiagw_protocol::ConfigDelta;
use sequoiagw_protocol::ConfigFull;
use sequoiagw_protocol::SettingChange;

/// A version held: checked, compiled and ready to be acted on.
#[derive(Clone, Debug)]
pub struct HeldVersion {
    /// Version.
    pub version: u64,
    /// SHA-256 of the tree, in hex.
    pub checksum: String,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// Canonical form.
    pub tree: SettingTree,
    /// Compiled form.
    pub snapshot: Arc<CompiledConfig>,
}

impl HeldVersion {
    /// Builds a version beside whatever is in force, and checks it whole.
    ///
    /// Errors: a wrong checksum, an invalid configuration, a route that points at nothing.
    pub fn build(
        version: u64,
        checksum: &str,
        accepted_ms: u64,
        tree: SettingTree,
        data_centre: &str,
    ) -> Result<Self, ConfigError> {
        let found = tree.checksum();
        if found != checksum {
            return Err(ConfigError::ChecksumMismatch {
                version,
                expected: checksum.to_owned(),
                found,
            });
        }
        let config = tree.to_config()?;
        let snapshot = CompiledConfig::compile(version, accepted_ms, config, data_centre)?;
        let snapshot = Arc::new(snapshot);
        Ok(Self {
            version,
            checksum: found,
            accepted_ms,
            tree,
            snapshot,
        })
    }

    /// Builds the version that a delta leads to.
    ///
    /// Errors: as [`Self::build`], and a delta from another version.
    pub fn apply(&self, delta: &ConfigDelta, data_centre: &str) -> Result<Self, ConfigError> {
        if delta.base != self.version {
            return Err(ConfigError::BaseMismatch {
                base: delta.base,
                version: delta.version,
                held: self.version,
            });
        }
        let changes = delta
            .changes
            .iter()
            .map(read_change)
            .collect::<Result<Vec<_>, _>>()?;
        let tree = self.tree.with_changes(&changes);
        Self::build(
            delta.version,
            &delta.checksum,
            delta.accepted_ms,
            tree,
            data_centre,
        )
    }

    /// Full copy for a peer.
    pub fn to_full(&self) -> ConfigFull {
        ConfigFull {
            version: self.version,
            checksum: self.checksum.clone(),
            canonical: self.tree.to_json(),
            accepted_ms: self.accepted_ms,
        }
    }
}

/// Writes changes for a peer.
pub(crate) fn write_changes(changes: &[TreeChange]) -> Vec<SettingChange> {
    let write = |change: &TreeChange| SettingChange {
        path: change.path.clone(),
        value: change.value.as_ref().map(ToString::to_string),
    };
    changes.iter().map(write).collect()
}

fn read_change(change: &SettingChange) -> Result<TreeChange, ConfigError> {
    let value = match &change.value {
        Some(text) => Some(
            serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
                message: format!("{}: {error}", change.path),
            })?,
        ),
        None => None,
    };
    Ok(TreeChange {
        path: change.path.clone(),
        value,
    })
}
