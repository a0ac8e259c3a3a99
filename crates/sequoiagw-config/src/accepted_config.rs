//! Accepted configuration versions in their stored form.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ConfigError;
use crate::MeshConfig;
use crate::SettingTree;
use crate::TreeChange;

/// Maximum size of the stored form; the platform's store accepts values of up to 1 MB.
pub const MAX_STORED_BYTES: usize = 1_000_000;

/// An accepted configuration version, with the changes from its predecessor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedConfig {
    /// Version number, one above the predecessor's; the first version is 1.
    pub version: u64,
    /// Unique id of the change. A writer whose store response was lost looks for this id to
    /// find out whether the change was stored.
    pub change_id: String,
    /// Author of the change.
    pub author: String,
    /// Reason for the change, as given by the author.
    pub message: String,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// SHA-256 of the tree's JSON text, in hex.
    pub checksum: String,
    /// Canonical form of the configuration.
    pub tree: SettingTree,
    /// Changes from the predecessor, sorted by path.
    pub changes: Vec<TreeChange>,
    /// Predecessor's values at the changed paths, in the order of `changes`; `None` for a path
    /// that was added.
    pub previous: Vec<Option<Value>>,
}

impl AcceptedConfig {
    /// Builds the successor of `predecessor`, or the first version if there is none.
    ///
    /// The change's id, author, message and time are left empty.
    pub fn successor_of(predecessor: Option<&Self>, config: &MeshConfig) -> Self {
        let tree = SettingTree::from_config(config);
        let changes = predecessor.map_or_else(
            || SettingTree::default().changes_to(&tree),
            |predecessor| predecessor.tree.changes_to(&tree),
        );
        let previous_value = |change: &TreeChange| {
            predecessor.and_then(|predecessor| predecessor.tree.get(&change.path).cloned())
        };
        let previous = changes.iter().map(previous_value).collect();
        Self {
            version: predecessor.map_or(1, |predecessor| predecessor.version + 1),
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

    /// Sets the change's id, author, message and time.
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

    /// Serializes the stored form.
    ///
    /// Fails if it is larger than the store accepts.
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

    /// Parses the stored form and verifies the checksum of its tree.
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

    /// Returns the record for the change history, which leaves out the tree.
    #[must_use]
    pub fn history_record(&self) -> Self {
        Self {
            tree: SettingTree::default(),
            ..self.clone()
        }
    }
}
