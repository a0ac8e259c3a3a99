//! An accepted version, as the platform's store keeps it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ConfigError;
use crate::MeshConfig;
use crate::SettingTree;
use crate::TreeChange;

/// Largest stored form in bytes; the store holds values to 1 MB.
pub const MAX_STORED_BYTES: usize = 1_000_000;

/// One link of the chain of accepted configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedConfig {
    /// Version, one above its parent's.
    pub version: u64,
    /// Unique id of the change, by which a lost answer is resolved.
    pub change_id: String,
    /// Who changed it.
    pub author: String,
    /// Why.
    pub message: String,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// SHA-256 of the tree, in hex.
    pub checksum: String,
    /// The canonical form.
    pub tree: SettingTree,
    /// Changes from the parent.
    pub changes: Vec<TreeChange>,
    /// The parent's values of the changed paths, in the order of the changes.
    pub previous: Vec<Option<Value>>,
}

impl AcceptedConfig {
    /// Builds the successor of `parent`, or the first version.
    pub fn successor_of(parent: Option<&Self>, config: &MeshConfig) -> Self {
        let tree = SettingTree::from_config(config);
        let changes = parent.map_or_else(
            || SettingTree::default().changes_to(&tree),
            |parent| parent.tree.changes_to(&tree),
        );
        let before =
            |change: &TreeChange| parent.and_then(|parent| parent.tree.get(&change.path).cloned());
        let previous = changes.iter().map(before).collect();
        Self {
            version: parent.map_or(1, |parent| parent.version + 1),
            change_id: String::new(),
            author: String::new(),
            message: String::new(),
            accepted_ms: 0,
            checksum: tree.checksum(),
            tree,
            changes,
            previous,
        }
    }

    /// Sets who made the change, why, when and under which id.
    #[must_use]
    pub fn with_change_details(
        mut self,
        change_id: &str,
        author: &str,
        message: &str,
        now_ms: u64,
    ) -> Self {
        change_id.clone_into(&mut self.change_id);
        author.clone_into(&mut self.author);
        message.clone_into(&mut self.message);
        self.accepted_ms = now_ms;
        self
    }

    /// Stored form.
    pub fn to_json(&self) -> Result<String, ConfigError> {
        let text = serde_json::to_string(self).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })?;
        if text.len() > MAX_STORED_BYTES {
            return Err(ConfigError::TooLarge {
                bytes: text.len(),
                limit: MAX_STORED_BYTES,
            });
        }
        Ok(text)
    }

    /// Reads the stored form and checks its checksum.
    pub fn from_json(text: &str) -> Result<Self, ConfigError> {
        let accepted: Self = serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })?;
        let found = accepted.tree.checksum();
        if found != accepted.checksum {
            return Err(ConfigError::ChecksumMismatch {
                version: accepted.version,
                expected: accepted.checksum,
                found,
            });
        }
        Ok(accepted)
    }

    /// Without the tree: what the history keeps.
    #[must_use]
    pub fn history_record(&self) -> Self {
        Self {
            tree: SettingTree::default(),
            ..self.clone()
        }
    }
}
