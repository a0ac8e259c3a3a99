//! Calls to the platform's store and their results.

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// Identifier of a lease. Keys attached to a lease are deleted when it lapses.
#[derive(
    Clone, Copy, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored key and its value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision at which the key was created.
    pub create_revision: u64,
    /// Revision of the last change to the key.
    pub mod_revision: u64,
    /// Lease that the key is attached to; `None` for a key that stays until it is deleted.
    pub lease: Option<LeaseId>,
}

impl LeaseId {
    /// Lease from the number that the store gives, which is 0 if there is none.
    pub fn from_number(number: u64) -> Option<Self> {
        (number != 0).then_some(Self(number))
    }
}

/// Condition under which a commit is applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyCondition {
    /// The key doesn't exist.
    Absent(String),
    /// The key was last changed at this revision.
    Unchanged(String, u64),
}

/// A key to write, with its new value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PutEntry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Lease that the key is attached to; `None` for a key that stays until it is deleted.
    pub lease: Option<LeaseId>,
}

/// One call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Reads a key with a linearizable read.
    Read {
        /// Key.
        key: String,
    },
    /// Reads all keys with a prefix, with linearizable reads.
    ReadPrefix {
        /// Prefix.
        prefix: String,
    },
    /// Writes and deletes keys in one transaction if all conditions hold.
    Commit {
        /// Conditions.
        conditions: Vec<KeyCondition>,
        /// Keys to write.
        puts: Vec<PutEntry>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Creates each key that doesn't exist yet, independently of the others, in one call.
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
    /// Revokes a lease and deletes its keys.
    Revoke {
        /// Lease.
        lease: LeaseId,
    },
}

impl StoreRequest {
    /// Kind of the call, as it appears in counters.
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
    /// Keys that were read.
    Entries {
        /// Keys found.
        entries: Vec<KeyEntry>,
        /// Revision of the store from which later changes can be followed.
        revision: u64,
    },
    /// Answer to a commit.
    Committed {
        /// Whether all conditions held, so that the commit took effect.
        applied: bool,
        /// Revision of the store after the commit; may be 0 if it wasn't applied.
        revision: u64,
    },
    /// Answer to [`StoreRequest::CreateEach`].
    Created {
        /// For each key, in the order of the request, the entry that already existed, or `None`
        /// if the key was created.
        existing_entries: Vec<Option<KeyEntry>>,
    },
    /// A lease was granted or extended.
    Leased {
        /// Lease.
        lease: LeaseId,
        /// Time to live in seconds.
        ttl_s: u64,
    },
    /// A lease was revoked.
    Revoked,
}

/// Update sent by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchUpdate {
    /// The store has created the watch.
    Started,
    /// The key was created or has a new value.
    Changed(KeyEntry),
    /// The key was deleted.
    Deleted,
}
