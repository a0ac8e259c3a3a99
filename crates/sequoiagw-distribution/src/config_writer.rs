//! Acceptance of a change: compare-and-swap on the chain of versions.

use std::collections::BTreeSet;
use std::rc::Rc;

use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::MeshConfig;
use sequoiagw_config::SettingTree;
use sequoiagw_config::TreeChange;
use sequoiagw_store::KeyCondition;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;

use crate::store_keys::HeadValue;
use crate::store_keys::HISTORY_LENGTH;
use crate::StoreKeys;
use crate::WriteError;
use crate::HEAD_KEY;

/// Tries at writing one change.
const WRITE_TRIES: u32 = 4;

/// A change that an operator wants accepted.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// The whole new configuration.
    pub config: MeshConfig,
    /// Version it was made from, 0 for the first.
    pub base: u64,
    /// Unique id; the same for a repeated try.
    pub change_id: String,
    /// Who changes.
    pub author: String,
    /// Why.
    pub message: String,
    /// Time in Unix milliseconds.
    pub now_ms: u64,
}

/// The newest version with what a compare-and-swap needs.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    /// The version, `None` before the first.
    pub accepted: Option<AcceptedConfig>,
    head_revision: u64,
}

impl CurrentConfig {
    /// Number of the version, 0 before the first.
    pub fn version(&self) -> u64 {
        self.accepted
            .as_ref()
            .map_or(0, |accepted| accepted.version)
    }
}

/// Writes changes to the platform's store.
#[derive(Clone)]
pub struct ConfigWriter {
    store: Rc<dyn PlatformStore>,
}

impl ConfigWriter {
    /// Builds a writer.
    pub fn new(store: Rc<dyn PlatformStore>) -> Self {
        Self { store }
    }

    /// Reads the newest version.
    pub async fn read(&self) -> Result<CurrentConfig, WriteError> {
        // The head is read first: if a change comes between, the swap fails and is repeated.
        let head = self
            .read_key(HEAD_KEY)
            .await
            .map_err(WriteError::ReadFailed)?;
        let current = self
            .read_key(&StoreKeys::current())
            .await
            .map_err(WriteError::ReadFailed)?;
        let accepted = current
            .map(|entry| AcceptedConfig::from_json(&entry.value))
            .transpose()?;
        let head_revision = head.map_or(0, |entry| entry.mod_revision);
        Ok(CurrentConfig {
            accepted,
            head_revision,
        })
    }

    /// Reads the changes of past versions, the newest last.
    pub async fn history(&self) -> Result<Vec<AcceptedConfig>, WriteError> {
        let prefix = StoreKeys::history_prefix();
        let reply = self.store.call(StoreRequest::ReadPrefix { prefix }).await;
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            return Err(WriteError::ReadFailed(unexpected(reply)));
        };
        Ok(entries
            .iter()
            .filter_map(|entry| serde_json::from_str(&entry.value).ok())
            .collect())
    }

    /// Accepts a change and returns its version.
    ///
    /// A change made from an older version is rebased when it touches nothing that was
    /// changed since. A write whose answer was lost is found again by its change id.
    pub async fn apply(&self, change: &ConfigChange) -> Result<AcceptedConfig, WriteError> {
        change.config.validate()?;
        let mut lost = None;
        for _ in 0..WRITE_TRIES {
            let read = match (self.read().await, lost.take()) {
                (Err(WriteError::ReadFailed(_)), Some(source)) => {
                    return Err(unconfirmed(change, source));
                }
                (read, _) => read?,
            };
            if let Some(accepted) = self.find_change(&read, &change.change_id).await? {
                return Ok(accepted);
            }
            let config = self.rebased(&read, change).await?;
            let next = AcceptedConfig::successor_of(read.accepted.as_ref(), &config)
                .with_change_details(
                    &change.change_id,
                    &change.author,
                    &change.message,
                    change.now_ms,
                );
            if next.changes.is_empty() {
                return Err(WriteError::Unchanged(read.version()));
            }
            match self.store.call(commit_of(&read, &next)?).await {
                Ok(StoreReply::Committed { applied: true, .. }) => return Ok(next),
                Ok(_) => {}
                Err(error) => lost = Some(error),
            }
        }
        let detail = "too many other changes came in between".to_owned();
        let source = lost.unwrap_or(StoreError::Unavailable { detail });
        match self.read().await {
            Ok(read) => match self.find_change(&read, &change.change_id).await? {
                Some(accepted) => Ok(accepted),
                None => Err(unconfirmed(change, source)),
            },
            Err(_) => Err(unconfirmed(change, source)),
        }
    }

    /// Looks for a change that was accepted although its answer was lost.
    async fn find_change(
        &self,
        read: &CurrentConfig,
        change_id: &str,
    ) -> Result<Option<AcceptedConfig>, WriteError> {
        let Some(accepted) = &read.accepted else {
            return Ok(None);
        };
        if accepted.change_id == change_id {
            return Ok(Some(accepted.clone()));
        }
        let history = self.history().await?;
        Ok(history
            .into_iter()
            .find(|entry| entry.change_id == change_id))
    }

    /// The configuration to accept: as asked, or rebased on what came since.
    async fn rebased(
        &self,
        read: &CurrentConfig,
        change: &ConfigChange,
    ) -> Result<MeshConfig, WriteError> {
        let Some(current) = &read.accepted else {
            return Ok(change.config.clone());
        };
        if change.base == current.version {
            return Ok(change.config.clone());
        }
        let unknown = WriteError::BaseUnknown {
            base: change.base,
            current: current.version,
        };
        let history = self.history().await?;
        let since: Vec<&AcceptedConfig> = history
            .iter()
            .filter(|entry| entry.version > change.base)
            .collect();
        let first_kept = history.first().map_or(u64::MAX, |entry| entry.version);
        if change.base == 0 || change.base > current.version || first_kept > change.base + 1 {
            return Err(unknown);
        }
        let Some(base_tree) = tree_before(&current.tree, &since) else {
            return Err(unknown);
        };
        let ours = base_tree.changes_to(&SettingTree::from_config(&change.config));
        let touched: BTreeSet<String> = ours.iter().map(subject_of).collect();
        for entry in since.iter().rev() {
            let theirs: BTreeSet<String> = entry.changes.iter().map(subject_of).collect();
            let both: Vec<&str> = touched.intersection(&theirs).map(String::as_str).collect();
            if !both.is_empty() {
                return Err(WriteError::Conflict {
                    version: entry.version,
                    author: entry.author.clone(),
                    message: entry.message.clone(),
                    paths: both.join(", "),
                });
            }
        }
        Ok(current.tree.with_changes(&ours).to_config()?)
    }

    async fn read_key(&self, key: &str) -> Result<Option<KeyEntry>, StoreError> {
        let request = StoreRequest::Read {
            key: key.to_owned(),
        };
        match self.store.call(request).await {
            Ok(StoreReply::Entries { entries, .. }) => Ok(entries.into_iter().next()),
            other => Err(unexpected(other)),
        }
    }
}

/// What a path is about, `exceptions.slow-press` of `exceptions.slow-press.value`.
///
/// Two changes to one subject conflict even when their paths differ.
fn subject_of(change: &TreeChange) -> String {
    change.path.split('.').take(2).collect::<Vec<_>>().join(".")
}

/// Undoes the changes of versions, the newest last, from the tree they led to.
fn tree_before(current: &SettingTree, since: &[&AcceptedConfig]) -> Option<SettingTree> {
    let mut tree = current.clone();
    for entry in since.iter().rev() {
        let undone: Option<Vec<TreeChange>> = entry
            .changes
            .iter()
            .zip(&entry.previous)
            .map(|(change, value)| {
                Some(TreeChange {
                    path: change.path.clone(),
                    value: value.clone(),
                })
            })
            .collect();
        if entry.previous.len() != entry.changes.len() {
            return None;
        }
        tree = tree.with_changes(&undone?);
    }
    Some(tree)
}

fn commit_of(read: &CurrentConfig, next: &AcceptedConfig) -> Result<StoreRequest, WriteError> {
    let head = HeadValue {
        version: next.version,
        change_id: next.change_id.clone(),
    };
    let condition = match read.head_revision {
        0 => KeyCondition::Absent(HEAD_KEY.to_owned()),
        revision => KeyCondition::Unchanged(HEAD_KEY.to_owned(), revision),
    };
    let put = |key: String, value: String| PutEntry {
        key,
        value,
        lease: None,
    };
    let puts = vec![
        put(
            HEAD_KEY.to_owned(),
            serde_json::to_string(&head).unwrap_or_default(),
        ),
        put(StoreKeys::current(), next.to_json()?),
        put(
            StoreKeys::history(next.version),
            next.history_record().to_json()?,
        ),
    ];
    let deletes = match next.version.checked_sub(HISTORY_LENGTH) {
        Some(old) if old > 0 => vec![StoreKeys::history(old)],
        _ => Vec::new(),
    };
    Ok(StoreRequest::Commit {
        conditions: vec![condition],
        puts,
        deletes,
    })
}

fn unconfirmed(change: &ConfigChange, source: StoreError) -> WriteError {
    WriteError::Unconfirmed {
        change_id: change.change_id.clone(),
        source,
    }
}

fn unexpected(reply: Result<StoreReply, StoreError>) -> StoreError {
    match reply {
        Err(error) => error,
        Ok(_) => StoreError::Malformed {
            detail: "an answer to another call".to_owned(),
        },
    }
}
