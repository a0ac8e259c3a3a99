//! Canonical form of a configuration: a sorted map from dotted path to JSON value.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::ConfigError;
use crate::MeshConfig;

/// Change of the value at one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TreeChange {
    /// Dotted path.
    pub path: String,
    /// New value, or `None` if the path is removed.
    pub value: Option<Value>,
}

/// Canonical form of a configuration.
///
/// Two configurations are equal if and only if their trees are equal. The checksum covers the
/// tree's JSON text, whose keys are sorted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SettingTree {
    leaves: BTreeMap<String, Value>,
}

impl SettingTree {
    /// Flattens a configuration into its canonical form.
    pub fn from_config(config: &MeshConfig) -> Self {
        let mut leaves = BTreeMap::new();
        if let Ok(value) = serde_json::to_value(config) {
            flatten("", value, &mut leaves);
        }
        Self { leaves }
    }

    /// Rebuilds the configuration from its canonical form and validates it.
    pub fn to_config(&self) -> Result<MeshConfig, ConfigError> {
        let mut root = Map::new();
        for (path, value) in &self.leaves {
            insert_leaf(&mut root, path, value.clone())?;
        }
        let config: MeshConfig =
            serde_json::from_value(Value::Object(root)).map_err(|error| ConfigError::Syntax {
                message: error.to_string(),
            })?;
        config.validate()?;
        Ok(config)
    }

    /// Serializes the tree as JSON with sorted keys.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.leaves).unwrap_or_default()
    }

    /// Parses the JSON text of a tree. The configuration in it isn't validated.
    pub fn from_json(text: &str) -> Result<Self, ConfigError> {
        serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })
    }

    /// SHA-256 of the tree's JSON text, in lowercase hex.
    pub fn checksum(&self) -> String {
        let digest = Sha256::digest(self.to_json().as_bytes());
        digest
            .iter()
            .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
    }

    /// Returns the changes that turn this tree into `other`, sorted by path.
    pub fn changes_to(&self, other: &Self) -> Vec<TreeChange> {
        let paths: BTreeSet<&String> = self.leaves.keys().chain(other.leaves.keys()).collect();
        paths
            .into_iter()
            .filter(|path| self.leaves.get(*path) != other.leaves.get(*path))
            .map(|path| TreeChange {
                path: path.clone(),
                value: other.leaves.get(path).cloned(),
            })
            .collect()
    }

    /// Returns a copy of the tree with changes applied.
    #[must_use]
    pub fn with_changes(&self, changes: &[TreeChange]) -> Self {
        let mut leaves = self.leaves.clone();
        for change in changes {
            match &change.value {
                Some(value) => leaves.insert(change.path.clone(), value.clone()),
                None => leaves.remove(&change.path),
            };
        }
        Self { leaves }
    }

    /// Returns the value at a path.
    pub fn get(&self, path: &str) -> Option<&Value> {
        self.leaves.get(path)
    }
}

fn flatten(prefix: &str, value: Value, leaves: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, child) in map {
                let path = if prefix.is_empty() {
                    key
                } else {
                    format!("{prefix}.{key}")
                };
                flatten(&path, child, leaves);
            }
        }
        // An empty top-level table equals a missing one and is dropped. A nested empty table is
        // kept, as it is an item of its own, such as a service without a description.
        Value::Object(_) if !prefix.contains('.') => {}
        leaf => {
            leaves.insert(prefix.to_owned(), leaf);
        }
    }
}

fn insert_leaf(root: &mut Map<String, Value>, path: &str, leaf: Value) -> Result<(), ConfigError> {
    let mut map = root;
    let mut segments = path.split('.').peekable();
    while let Some(segment) = segments.next() {
        if segments.peek().is_none() {
            map.insert(segment.to_owned(), leaf);
            return Ok(());
        }
        let child = map
            .entry(segment)
            .or_insert_with(|| Value::Object(Map::new()));
        let Value::Object(next) = child else {
            let message = format!("{path}: expected a table, found a value");
            return Err(ConfigError::Syntax { message });
        };
        map = next;
    }
    Ok(())
}
