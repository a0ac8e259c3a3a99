//! Calls to the platform's store and their results.

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// Lease of the store.
#[derive(
    Clone, Copy, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of its creation.
    pub create_revision: u64,
    /// Revision of its last change.
    pub mod_revision: u64,
}

/// Condition of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyCondition {
    /// The key doesn't exist.
    Absent(String),
    /// The key was last changed at this revision.
    Unchanged(String, u64),
}

/// A key to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PutEntry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Lease the key lives with.
    pub lease: Option<LeaseId>,
}

/// One call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Reads a key, linearizably.
    Read {
        /// Key.
        key: String,
    },
    /// Reads all keys with a prefix, linearizably.
    ReadPrefix {
        /// Prefix.
        prefix: String,
    },
    /// Writes and deletes keys if all conditions hold.
    Commit {
        /// Conditions.
        conditions: Vec<KeyCondition>,
        /// Keys to write.
        puts: Vec<PutEntry>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Creates each key unless it exists, each one for itself, in one call.
    CreateEach {
        /// Keys to create, at most 128.
        puts: Vec<PutEntry>,
    },
    /// Grants a lease.
    Grant {
        /// Time to live in seconds.
        ttl_s: u64,
    },
    /// Extends a lease by its time to live.
    KeepAlive {
        /// Lease.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// Lease.
        lease: LeaseId,
    },
}

impl StoreRequest {
    /// Kind of the call, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Read { .. } | Self::ReadPrefix { .. } => "range",
            Self::Commit { .. } | Self::CreateEach { .. } => "txn",
            Self::Grant { .. } => "lease_grant",
            Self::KeepAlive { .. } => "lease_keepalive",
            Self::Revoke { .. } => "lease_revoke",
        }
    }
}

/// Result of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// Keys read, with the store's revision.
    Entries {
        /// The keys.
        entries: Vec<KeyEntry>,
        /// Revision of the store.
        revision: u64,
    },
    /// Whether the conditions held and the commit took effect.
    Committed {
        /// Whether it took effect.
        applied: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// For each key to create: the entry that stood already, or `None` when created.
    Created {
        /// Outcomes in the order of the call.
        existing_entries: Vec<Option<KeyEntry>>,
    },
    /// A lease was granted or extended.
    Leased {
        /// Lease.
        lease: LeaseId,
        /// Time to live in seconds.
        ttl_s: u64,
    },
    /// A lease was ended.
    Revoked,
}

/// News from a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchUpdate {
    /// The watch stands.
    Started,
    /// The key has this new value.
    Changed(KeyEntry),
    /// The key was deleted.
    Deleted,
}
