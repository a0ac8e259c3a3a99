//! Record of a roll-out as it is written in the platform's store.

use sequoiagw_protocol::RolloutObjection;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::StoreEra;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Prefix of the keys of the records, which end with the name of the service.
pub const ROLLOUTS_PREFIX: &str = "sequoiagw/rollouts/";

/// Why an entry of the store isn't the record of a roll-out.
#[derive(Debug, Error)]
pub enum StoredRolloutError {
    /// The value isn't a record in JSON.
    #[error("the value isn't a record of a roll-out: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The record names another service than the key.
    #[error("the record is of the service {0}")]
    OtherService(String),
}

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StoredStage {
    Canary,
    Shifting,
    Completed,
    RolledBack,
}

impl From<RolloutStage> for StoredStage {
    fn from(stage: RolloutStage) -> Self {
        match stage {
            RolloutStage::Canary => Self::Canary,
            RolloutStage::Shifting => Self::Shifting,
            RolloutStage::Completed => Self::Completed,
            RolloutStage::RolledBack => Self::RolledBack,
        }
    }
}

impl From<StoredStage> for RolloutStage {
    fn from(stage: StoredStage) -> Self {
        match stage {
            StoredStage::Canary => Self::Canary,
            StoredStage::Shifting => Self::Shifting,
            StoredStage::Completed => Self::Completed,
            StoredStage::RolledBack => Self::RolledBack,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredObjection {
    node: String,
    reason: String,
}

/// Value of a key below [`ROLLOUTS_PREFIX`]. Its revision and era are those of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredRollout {
    service: String,
    new_version: String,
    order_revision: u64,
    duration_ms: u64,
    stage: StoredStage,
    driver: String,
    objections: Vec<StoredObjection>,
    writer: String,
    #[serde(default)]
    driver_claims: u32,
    #[serde(default)]
    old_failures_per_mille: u32,
}

impl From<&RolloutRecord> for StoredRollout {
    fn from(record: &RolloutRecord) -> Self {
        let objections = record.objections.iter().map(|objection| StoredObjection {
            node: objection.node.clone(),
            reason: objection.reason.clone(),
        });
        Self {
            service: record.service.clone(),
            new_version: record.new_version.clone(),
            order_revision: record.order_revision,
            duration_ms: record.duration_ms,
            stage: record.stage().into(),
            driver: record.driver.clone(),
            objections: objections.collect(),
            writer: record.writer.clone(),
            driver_claims: record.driver_claims,
            old_failures_per_mille: record.old_failures_per_mille,
        }
    }
}

impl StoredRollout {
    /// Decodes an entry of the store, which was read in `era`.
    ///
    /// Errors: the entry isn't a record of the service that its key names.
    pub fn read_entry(
        entry: &KeyEntry,
        era: StoreEra,
    ) -> Result<RolloutRecord, StoredRolloutError> {
        let stored: Self = serde_json::from_str(&entry.value)?;
        if entry.key.strip_prefix(ROLLOUTS_PREFIX) != Some(&stored.service) {
            return Err(StoredRolloutError::OtherService(stored.service));
        }
        Ok(stored.into_record(entry.mod_revision, era))
    }

    fn into_record(self, revision: u64, era: StoreEra) -> RolloutRecord {
        let objections = self.objections.into_iter().map(|stored| RolloutObjection {
            node: stored.node,
            reason: stored.reason,
        });
        RolloutRecord {
            service: self.service,
            new_version: self.new_version,
            order_revision: self.order_revision,
            duration_ms: self.duration_ms,
            stage: RolloutStage::from(self.stage).into(),
            driver: self.driver,
            objections: objections.collect(),
            writer: self.writer,
            driver_claims: self.driver_claims,
            old_failures_per_mille: self.old_failures_per_mille,
            revision,
            store_era: era.0,
        }
    }
}
