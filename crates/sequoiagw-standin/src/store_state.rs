//! Keys, leases and revisions of the store's stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_store::KeyCondition;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;
use tokio::time::Instant;

/// A stored key.
#[derive(Clone, Debug)]
struct StoredKey {
    value: String,
    create_revision: u64,
    mod_revision: u64,
    lease: Option<LeaseId>,
}

/// One change of a key, kept for watches.
#[derive(Clone, Debug)]
struct StoredChange {
    revision: u64,
    key: String,
    update: WatchUpdate,
}

/// State of the store's stand-in.
#[derive(Debug, Default)]
pub struct StoreState {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
    leases: BTreeMap<LeaseId, (Duration, Instant)>,
    next_lease: u64,
    changes: Vec<StoredChange>,
    compacted_revision: u64,
    call_counts: BTreeMap<&'static str, u64>,
}

impl StoreState {
    /// Executes one call and counts it.
    ///
    /// Errors: a lease has expired or doesn't exist.
    pub fn apply(
        &mut self,
        request: &StoreRequest,
        now: Instant,
    ) -> Result<StoreReply, StoreError> {
        self.count(request.kind());
        self.expire_leases(now);
        match request {
            StoreRequest::Read { key } => {
                let entry = self.keys.get(key).map(|stored| key_entry(key, stored));
                Ok(self.entries(entry.into_iter().collect()))
            }
            StoreRequest::ReadPrefix { prefix } => {
                let candidates = self.keys.range(prefix.clone()..);
                let matching = candidates.take_while(|(key, _)| key.starts_with(prefix.as_str()));
                let entries = matching
                    .map(|(key, stored)| key_entry(key, stored))
                    .collect();
                Ok(self.entries(entries))
            }
            StoreRequest::Commit {
                conditions,
                puts,
                deletes,
            } => self.commit(conditions, puts, deletes),
            StoreRequest::CreateEach { puts } => self.create_each(puts),
            StoreRequest::Grant { ttl_s } => Ok(self.grant(*ttl_s, now)),
            StoreRequest::KeepAlive { lease } => self.keep_alive(*lease, now),
            StoreRequest::Revoke { lease } => self.revoke(*lease),
        }
    }

    /// Counts a call.
    pub fn count(&mut self, kind: &'static str) {
        *self.call_counts.entry(kind).or_default() += 1;
    }

    /// Number of calls so far, by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.call_counts
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys that start with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .count()
    }

    /// Ends all leases and deletes their keys.
    pub fn expire_all_leases(&mut self) {
        let leases: Vec<LeaseId> = self.leases.keys().copied().collect();
        for lease in leases {
            self.end_lease(lease);
        }
    }

    /// Discards the changes up to and including a revision. Watches from that revision or an
    /// earlier one fail.
    pub fn compact(&mut self, revision: u64) {
        self.compacted_revision = revision;
        self.changes.retain(|change| change.revision > revision);
    }

    /// Returns the changes of a key from a revision on, and the revision from which to continue.
    ///
    /// Errors: the revision is compacted.
    pub fn changes_from(
        &self,
        key: &str,
        revision: u64,
    ) -> Result<(Vec<WatchUpdate>, u64), StoreError> {
        if revision <= self.compacted_revision {
            return Err(StoreError::Compacted {
                oldest: self.compacted_revision + 1,
            });
        }
        let updates = self
            .changes
            .iter()
            .filter(|change| change.revision >= revision && change.key == key)
            .map(|change| change.update.clone())
            .collect();
        Ok((updates, self.revision + 1))
    }

    fn entries(&self, entries: Vec<KeyEntry>) -> StoreReply {
        StoreReply::Entries {
            entries,
            revision: self.revision,
        }
    }

    fn commit(
        &mut self,
        conditions: &[KeyCondition],
        puts: &[PutEntry],
        deletes: &[String],
    ) -> Result<StoreReply, StoreError> {
        let all_hold = conditions.iter().all(|condition| match condition {
            KeyCondition::Absent(key) => !self.keys.contains_key(key),
            KeyCondition::Unchanged(key, revision) => self
                .keys
                .get(key)
                .is_some_and(|stored| stored.mod_revision == *revision),
        });
        if !all_hold {
            return Ok(StoreReply::Committed {
                applied: false,
                revision: self.revision,
            });
        }
        self.check_leases(puts)?;
        self.revision += 1;
        for put in puts {
            self.put(put);
        }
        for key in deletes {
            self.delete(key);
        }
        Ok(StoreReply::Committed {
            applied: true,
            revision: self.revision,
        })
    }

    fn create_each(&mut self, puts: &[PutEntry]) -> Result<StoreReply, StoreError> {
        self.check_leases(puts)?;
        self.revision += 1;
        let mut existing_entries = Vec::with_capacity(puts.len());
        for put in puts {
            let existing = self
                .keys
                .get(&put.key)
                .map(|stored| key_entry(&put.key, stored));
            if existing.is_none() {
                self.put(put);
            }
            existing_entries.push(existing);
        }
        Ok(StoreReply::Created { existing_entries })
    }

    fn check_leases(&self, puts: &[PutEntry]) -> Result<(), StoreError> {
        let unknown = puts
            .iter()
            .filter_map(|put| put.lease)
            .find(|lease| !self.leases.contains_key(lease));
        match unknown {
            Some(lease) => Err(StoreError::LeaseLapsed { lease: lease.0 }),
            None => Ok(()),
        }
    }

    fn put(&mut self, put: &PutEntry) {
        let revision = self.revision;
        let created_revision = self
            .keys
            .get(&put.key)
            .map_or(revision, |stored| stored.create_revision);
        let stored = StoredKey {
            value: put.value.clone(),
            create_revision: created_revision,
            mod_revision: revision,
            lease: put.lease,
        };
        let update = WatchUpdate::Changed(key_entry(&put.key, &stored));
        self.changes.push(StoredChange {
            revision,
            key: put.key.clone(),
            update,
        });
        self.keys.insert(put.key.clone(), stored);
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let update = WatchUpdate::Deleted;
            self.changes.push(StoredChange {
                revision: self.revision,
                key: key.to_owned(),
                update,
            });
        }
    }

    fn grant(&mut self, ttl_s: u64, now: Instant) -> StoreReply {
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        let ttl = Duration::from_secs(ttl_s);
        self.leases.insert(lease, (ttl, now + ttl));
        StoreReply::Leased { lease, ttl_s }
    }

    fn keep_alive(&mut self, lease: LeaseId, now: Instant) -> Result<StoreReply, StoreError> {
        let Some((ttl, expires_at)) = self.leases.get_mut(&lease) else {
            return Err(StoreError::LeaseLapsed { lease: lease.0 });
        };
        *expires_at = now + *ttl;
        Ok(StoreReply::Leased {
            lease,
            ttl_s: ttl.as_secs(),
        })
    }

    fn revoke(&mut self, lease: LeaseId) -> Result<StoreReply, StoreError> {
        if !self.leases.contains_key(&lease) {
            return Err(StoreError::LeaseLapsed { lease: lease.0 });
        }
        self.end_lease(lease);
        Ok(StoreReply::Revoked)
    }

    fn expire_leases(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now);
        let expired: Vec<LeaseId> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let leased_keys = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease));
        let leased_keys: Vec<String> = leased_keys.map(|(key, _)| key.clone()).collect();
        if !leased_keys.is_empty() {
            self.revision += 1;
        }
        for key in leased_keys {
            self.delete(&key);
        }
    }
}

fn key_entry(key: &str, stored: &StoredKey) -> KeyEntry {
    KeyEntry {
        key: key.to_owned(),
        value: stored.value.clone(),
        create_revision: stored.create_revision,
        mod_revision: stored.mod_revision,
        lease: stored.lease,
    }
}
