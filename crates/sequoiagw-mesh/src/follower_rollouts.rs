//! Following the operators' orders and the records of roll-outs, and writing the records.

use std::time::Duration;

use sequoiagw_protocol::RolloutRecord;
use sequoiagw_store::EraAnswer;
use sequoiagw_store::KeyChange;
use sequoiagw_store::KeyCondition;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::sleep_until;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::MeshCore;
use crate::RolloutOrder;
use crate::RolloutProposal;
use crate::StoreFollower;
use crate::StoredRollout;
use crate::ROLLOUTS_PREFIX;

/// Time between two reads of the records by a watcher while a roll-out is open.
const RECORD_READ_INTERVAL: Duration = Duration::from_secs(2);

impl StoreFollower {
    /// Follows the records of roll-outs and writes those that this node proposes; returns at once
    /// where roll-outs are off.
    ///
    /// Orders and records are read once, and again in each era of the store. Later orders come with
    /// the poll for the configuration, and later records from their writers.
    pub async fn follow_rollouts(self) {
        if !self.follows_orders() {
            return;
        }
        loop {
            match self.read_rollouts().await {
                Ok(era) => self.write_rollouts(era).await,
                Err(error) => self.wait_before_retry(&error).await,
            }
        }
    }

    /// Whether the operators' orders have to be followed.
    pub(crate) fn follows_orders(&self) -> bool {
        self.handle.read(MeshCore::has_rollouts)
    }

    /// Reads all orders and records; returns the era in which the store has them.
    async fn read_rollouts(&self) -> Result<StoreEra, StoreError> {
        let prefix = self
            .handle
            .platform_format()
            .rollout_order_prefix()
            .to_owned();
        let (order_entries, orders_at) = self.read(StoreRequest::ReadPrefix { prefix }).await?;
        let (records, era) = self.read_records().await?;
        if orders_at.era != era {
            return Err(StoreError::Superseded {
                era: orders_at.era,
                latest: era,
            });
        }
        let orders = self.parse_orders(&order_entries);
        self.handle
            .with_core(|core, now| core.on_rollout_content(&orders, records, era, now));
        info!(event = "rollouts_read", era = %era, orders = orders.len());
        Ok(era)
    }

    async fn read_records(&self) -> Result<(Vec<RolloutRecord>, StoreEra), StoreError> {
        let prefix = ROLLOUTS_PREFIX.to_owned();
        let (entries, revision) = self.read(StoreRequest::ReadPrefix { prefix }).await?;
        let era = revision.era;
        let records = entries.iter().filter_map(|entry| parse_record(entry, era));
        Ok((records.collect(), era))
    }

    /// Writes the proposed records, and reads all records at intervals as a watcher, until the store
    /// is in a later era.
    async fn write_rollouts(&self, era: StoreEra) {
        let mut recovery = self.health.subscribe_recovery();
        let mut next_read = Instant::now() + RECORD_READ_INTERVAL;
        while self.health.era() == era {
            tokio::select! {
                () = self.handle.wait_for_rollout_proposal() => {}
                () = sleep_until(next_read) => {}
                _ = recovery.changed() => {}
            }
            while let Some(proposal) = self
                .handle
                .with_core(|core, _| core.take_rollout_proposal())
            {
                self.write_record(proposal, era).await;
            }
            if Instant::now() >= next_read {
                self.read_records_as_watcher().await;
                next_read = Instant::now() + RECORD_READ_INTERVAL;
            }
        }
    }

    async fn read_records_as_watcher(&self) {
        let is_due = |core: &MeshCore| core.is_watcher() && core.has_open_rollout();
        if !self.handle.read(is_due) {
            return;
        }
        match self.read_records().await {
            Ok((records, era)) => self
                .handle
                .with_core(|core, now| core.on_rollout_records(records, era, now)),
            Err(error) => self.wait_before_retry(&error).await,
        }
    }

    /// Writes a record and its status, if the record in the store still has the expected revision.
    /// Otherwise, and when the answer is lost, the record in the store is read.
    async fn write_record(&self, proposal: RolloutProposal, era: StoreEra) {
        let record = proposal.record.clone();
        if record.store_era != era.0 || self.health.era() != era {
            return;
        }
        match self.client.call(self.commit_request(&proposal)).await {
            Ok(EraAnswer {
                era: written_era,
                answer:
                    StoreReply::Committed {
                        applied: true,
                        revision,
                    },
            }) if written_era == era => {
                let written = RolloutRecord { revision, ..record };
                self.handle.counters().count("rollout.written");
                self.handle
                    .with_core(|core, now| core.on_rollout_record(&written, now));
            }
            Ok(_) => {
                self.handle.counters().count("rollout.write_lost");
                self.read_record(&record.service).await;
            }
            Err(error) => {
                self.wait_before_retry(&error).await;
                self.read_record(&record.service).await;
            }
        }
    }

    fn commit_request(&self, proposal: &RolloutProposal) -> StoreRequest {
        let key = format!("{ROLLOUTS_PREFIX}{}", proposal.record.service);
        let condition = match proposal.expected_revision {
            0 => KeyCondition::Absent(key.clone()),
            revision => KeyCondition::Unchanged(key.clone(), revision),
        };
        let stored = StoredRollout::from(&proposal.record);
        let value = serde_json::to_string(&stored).unwrap_or_default();
        let (status_key, status) = self
            .handle
            .platform_format()
            .rollout_status(&proposal.record);
        let put = |key: String, value: String| PutEntry {
            key,
            value,
            lease: None,
        };
        StoreRequest::Commit {
            conditions: vec![condition],
            // The commit's revision is that of the last key, also at stores that count each key.
            puts: vec![put(status_key, status), put(key, value)],
            deletes: Vec::new(),
        }
    }

    /// Reads the record of a service until the store answers, or is in a later era.
    async fn read_record(&self, service: &str) {
        let key = format!("{ROLLOUTS_PREFIX}{service}");
        loop {
            match self.read(StoreRequest::Read { key: key.clone() }).await {
                Ok((entries, revision)) => {
                    for record in entries
                        .iter()
                        .filter_map(|entry| parse_record(entry, revision.era))
                    {
                        self.handle
                            .with_core(|core, now| core.on_rollout_record(&record, now));
                    }
                    return;
                }
                Err(error) => self.wait_before_retry(&error).await,
            }
        }
    }

    /// Passes the orders among the changes of the operators' keys to the node.
    pub(crate) fn apply_changed_orders(&self, changes: &[KeyChange], era: StoreEra) {
        let written: Vec<KeyEntry> = changes
            .iter()
            .filter_map(|change| match change {
                KeyChange::Written(entry) => Some(entry.clone()),
                KeyChange::Deleted { .. } => None,
            })
            .collect();
        self.apply_orders(&written, era);
    }

    /// Passes the orders among the operators' entries to the node.
    pub(crate) fn apply_orders(&self, entries: &[KeyEntry], era: StoreEra) {
        if !self.follows_orders() {
            return;
        }
        let orders = self.parse_orders(entries);
        if !orders.is_empty() {
            self.handle
                .with_core(|core, now| core.on_rollout_orders(&orders, era, now));
        }
    }

    /// Orders among the operators' entries. Those that can't be read are logged and skipped.
    fn parse_orders(&self, entries: &[KeyEntry]) -> Vec<RolloutOrder> {
        let format = self.handle.platform_format();
        let mut orders = Vec::new();
        for entry in entries {
            match format.read_rollout_order(entry) {
                Ok(order) => orders.extend(order),
                Err(error) => {
                    warn!(event = "rollout_order_refused", key = %entry.key, error = %error);
                    self.handle.counters().count("rollout.order_refused");
                }
            }
        }
        orders
    }
}

/// Decodes a record. An entry that isn't one is logged and skipped.
fn parse_record(entry: &KeyEntry, era: StoreEra) -> Option<RolloutRecord> {
    match StoredRollout::read_entry(entry, era) {
        Ok(record) => Some(record),
        Err(error) => {
            warn!(event = "rollout_record_unreadable", key = %entry.key, error = %error);
            None
        }
    }
}
