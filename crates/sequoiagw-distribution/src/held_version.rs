//! A configuration version held by a node.

use std::sync::Arc;

use sequoiagw_config::CompiledConfig;
use sequoiagw_config::ConfigError;
use sequoiagw_config::SettingTree;
use sequoiagw_config::TreeChange;
use sequoiagw_protocol::ConfigDelta;
use sequoiagw_protocol::ConfigFull;
use sequoiagw_protocol::SettingChange;

/// A validated and compiled version that can be activated.
#[derive(Clone, Debug)]
pub struct HeldVersion {
    /// Version number.
    pub version: u64,
    /// SHA-256 of the tree, as hexadecimal text.
    pub checksum: String,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// Settings in canonical form.
    pub tree: SettingTree,
    /// Settings compiled for the own data centre.
    pub compiled: Arc<CompiledConfig>,
}

impl HeldVersion {
    /// Validates and compiles a complete version without affecting the active one.
    ///
    /// Errors: a wrong checksum, an invalid configuration, or a route that refers to something
    /// undefined.
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
        let compiled = CompiledConfig::compile(version, accepted_ms, config, data_centre)?;
        let compiled = Arc::new(compiled);
        Ok(Self {
            version,
            checksum: found,
            accepted_ms,
            tree,
            compiled,
        })
    }

    /// Applies a delta to this version and builds the result.
    ///
    /// Errors: those of [`Self::build`], or a delta whose base is another version.
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
            .map(decode_change)
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

    /// Full copy of this version as a message for a peer.
    pub fn to_full(&self) -> ConfigFull {
        ConfigFull {
            version: self.version,
            checksum: self.checksum.clone(),
            canonical: self.tree.to_json(),
            accepted_ms: self.accepted_ms,
        }
    }
}

/// Encodes changes for a message to a peer.
pub(crate) fn encode_changes(changes: &[TreeChange]) -> Vec<SettingChange> {
    let encode = |change: &TreeChange| SettingChange {
        path: change.path.clone(),
        value: change.value.as_ref().map(ToString::to_string),
    };
    changes.iter().map(encode).collect()
}

fn decode_change(change: &SettingChange) -> Result<TreeChange, ConfigError> {
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
