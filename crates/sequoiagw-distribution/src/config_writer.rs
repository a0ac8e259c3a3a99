//! Acceptance of configuration changes by compare-and-swap on the newest version.

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

/// Largest number of attempts at writing one change.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// A configuration change requested by an operator.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Complete new configuration.
    pub config: MeshConfig,
    /// Version that the change is based on, 0 if there is none yet.
    pub base: u64,
    /// Unique id of the change; a retry uses the same id.
    pub change_id: String,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub message: String,
    /// Time of the change, in Unix milliseconds.
    pub now_ms: u64,
}

/// The newest accepted version and the store revision to compare with on a swap.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    /// Newest accepted version, `None` before the first.
    pub accepted: Option<AcceptedConfig>,
    head_revision: u64,
}

impl CurrentConfig {
    /// Number of the newest version, 0 before the first.
    pub fn version(&self) -> u64 {
        self.accepted
            .as_ref()
            .map_or(0, |accepted| accepted.version)
    }
}

/// Writes configuration changes to the platform's store.
#[derive(Clone)]
pub struct ConfigWriter {
    store: Rc<dyn PlatformStore>,
}

impl ConfigWriter {
    /// Creates a writer to `store`.
    pub fn new(store: Rc<dyn PlatformStore>) -> Self {
        Self { store }
    }

    /// Reads the newest version.
    ///
    /// Errors: the store can't be read, or the stored configuration is invalid.
    pub async fn read(&self) -> Result<CurrentConfig, WriteError> {
        // The head is read first. If another change is accepted between the two reads, the
        // swap fails and is retried.
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

    /// Reads the history of versions, the newest last.
    ///
    /// Errors: the store can't be read.
    pub async fn history(&self) -> Result<Vec<AcceptedConfig>, WriteError> {
        let prefix = StoreKeys::history_prefix();
        let reply = self.store.call(StoreRequest::ReadPrefix { prefix }).await;
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            return Err(WriteError::ReadFailed(unexpected_reply(reply)));
        };
        Ok(entries
            .iter()
            .filter_map(|entry| serde_json::from_str(&entry.value).ok())
            .collect())
    }

    /// Accepts a change and returns its version.
    ///
    /// A change based on an older version is rebased if it touches nothing that has changed
    /// since. A write whose reply was lost is found by its change id.
    ///
    /// Errors: see [`WriteError`].
    pub async fn apply(&self, change: &ConfigChange) -> Result<AcceptedConfig, WriteError> {
        change.config.validate()?;
        let mut lost_reply = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let newest = match (self.read().await, lost_reply.take()) {
                (Err(WriteError::ReadFailed(_)), Some(source)) => {
                    return Err(unconfirmed(change, source));
                }
                (newest, _) => newest?,
            };
            if let Some(accepted) = self
                .find_accepted_change(&newest, &change.change_id)
                .await?
            {
                return Ok(accepted);
            }
            let config = self.rebase_config(&newest, change).await?;
            let next = AcceptedConfig::successor_of(newest.accepted.as_ref(), &config)
                .with_change_details(
                    &change.change_id,
                    &change.author,
                    &change.message,
                    change.now_ms,
                );
            if next.changes.is_empty() {
                return Err(WriteError::Unchanged(newest.version()));
            }
            match self.store.call(commit_request(&newest, &next)?).await {
                Ok(StoreReply::Committed { applied: true, .. }) => return Ok(next),
                Ok(_) => {}
                Err(error) => lost_reply = Some(error),
            }
        }
        let detail = "too many concurrent changes were accepted".to_owned();
        let source = lost_reply.unwrap_or(StoreError::Unavailable { detail });
        match self.read().await {
            Ok(newest) => match self
                .find_accepted_change(&newest, &change.change_id)
                .await?
            {
                Some(accepted) => Ok(accepted),
                None => Err(unconfirmed(change, source)),
            },
            Err(_) => Err(unconfirmed(change, source)),
        }
    }

    /// Finds a change that was accepted although its reply was lost.
    async fn find_accepted_change(
        &self,
        newest: &CurrentConfig,
        change_id: &str,
    ) -> Result<Option<AcceptedConfig>, WriteError> {
        let Some(accepted) = &newest.accepted else {
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

    /// Returns the configuration to accept: the requested one, rebased on the current version
    /// if that is newer than the base.
    async fn rebase_config(
        &self,
        newest: &CurrentConfig,
        change: &ConfigChange,
    ) -> Result<MeshConfig, WriteError> {
        let Some(current) = &newest.accepted else {
            return Ok(change.config.clone());
        };
        if change.base == current.version {
            return Ok(change.config.clone());
        }
        let base_unknown = WriteError::BaseUnknown {
            base: change.base,
            current: current.version,
        };
        let history = self.history().await?;
        let since: Vec<&AcceptedConfig> = history
            .iter()
            .filter(|entry| entry.version > change.base)
            .collect();
        let oldest_kept = history.first().map_or(u64::MAX, |entry| entry.version);
        if change.base == 0 || change.base > current.version || oldest_kept > change.base + 1 {
            return Err(base_unknown);
        }
        let Some(base_tree) = tree_before_changes(&current.tree, &since) else {
            return Err(base_unknown);
        };
        let our_changes = base_tree.changes_to(&SettingTree::from_config(&change.config));
        let our_subjects: BTreeSet<String> = our_changes.iter().map(subject_of).collect();
        for entry in since.iter().rev() {
            let their_subjects: BTreeSet<String> = entry.changes.iter().map(subject_of).collect();
            let overlap: Vec<&str> = our_subjects
                .intersection(&their_subjects)
                .map(String::as_str)
                .collect();
            if !overlap.is_empty() {
                return Err(WriteError::Conflict {
                    version: entry.version,
                    author: entry.author.clone(),
                    message: entry.message.clone(),
                    paths: overlap.join(", "),
                });
            }
        }
        Ok(current.tree.with_changes(&our_changes).to_config()?)
    }

    async fn read_key(&self, key: &str) -> Result<Option<KeyEntry>, StoreError> {
        let request = StoreRequest::Read {
            key: key.to_owned(),
        };
        match self.store.call(request).await {
            Ok(StoreReply::Entries { entries, .. }) => Ok(entries.into_iter().next()),
            other => Err(unexpected_reply(other)),
        }
    }
}

/// First two parts of a changed path: `exceptions.slow-press` of
/// `exceptions.slow-press.value`.
///
/// Two changes to the same subject conflict even if their paths differ.
fn subject_of(change: &TreeChange) -> String {
    change.path.split('.').take(2).collect::<Vec<_>>().join(".")
}

/// Reverts the changes of `since`, the newest last, from the tree that they led to. Returns
/// `None` if the history lacks previous values.
fn tree_before_changes(current: &SettingTree, since: &[&AcceptedConfig]) -> Option<SettingTree> {
    let mut tree = current.clone();
    for entry in since.iter().rev() {
        let reverted: Option<Vec<TreeChange>> = entry
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
        tree = tree.with_changes(&reverted?);
    }
    Some(tree)
}

fn commit_request(
    newest: &CurrentConfig,
    next: &AcceptedConfig,
) -> Result<StoreRequest, WriteError> {
    let head = HeadValue {
        version: next.version,
        change_id: next.change_id.clone(),
    };
    let condition = match newest.head_revision {
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

fn unexpected_reply(reply: Result<StoreReply, StoreError>) -> StoreError {
    match reply {
        Err(error) => error,
        Ok(_) => StoreError::Malformed {
            detail: "the reply does not match the request".to_owned(),
        },
    }
}
