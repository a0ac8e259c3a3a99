//! News of the nodes' entries, passed on within a data centre.
//!
//! Two nodes of each data centre watch the entries in the platform's store and tell the
//! others, so that the calls to the store don't grow with the fleet. The watchers also send a
//! digest at intervals; a node that hears none watches for itself, and one whose own digest
//! stays different reads all entries again.

use std::time::Duration;

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::KeyChange;
use tokio::time::Instant;

use crate::store_follower::read_node;
use crate::store_follower::NODES_PREFIX;
use crate::NodeEntry;

/// Time without a digest after which a node watches for itself.
const DIGEST_LIFE: Duration = Duration::from_secs(4);
/// Digests in a row that may differ before everything is read again.
const DIFFERENT_LIMIT: u32 = 2;

/// A change of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryChange {
    /// The entry was written at a revision of the store.
    Written(NodeEntry, u64),
    /// The entry is gone since a revision of the store.
    Gone(NodeId, u64),
}

impl EntryChange {
    /// Reads a change of a key; `None` for keys that aren't nodes' entries.
    pub fn from_key(change: &KeyChange) -> Option<Self> {
        match change {
            KeyChange::Written(entry) => {
                let node = read_node(entry)?;
                Some(Self::Written(node, entry.mod_revision))
            }
            KeyChange::Deleted { key, revision } => {
                let name = key.strip_prefix(NODES_PREFIX)?;
                Some(Self::Gone(NodeId::from_name(name), *revision))
            }
        }
    }

    /// Reads a change that a peer passed on.
    pub fn from_record(record: MemberRecord) -> Self {
        let revision = u64::from(record.revision);
        if record.state() == MemberState::Left {
            return Self::Gone(NodeId::from(record.node), revision);
        }
        let entry = NodeEntry {
            name: record.name,
            boot: record.boot,
            address: record.address,
            data_centre: record.data_centre,
            service: record.service,
            slots: record.slots,
            leaving: None,
        };
        Self::Written(entry, revision)
    }

    /// The change as it is passed on.
    pub fn to_record(&self) -> MemberRecord {
        match self {
            Self::Gone(node, revision) => MemberRecord {
                node: node.get(),
                revision: *revision as u32,
                state: MemberState::Left.into(),
                ..MemberRecord::default()
            },
            Self::Written(entry, revision) => MemberRecord {
                node: NodeId::from_name(&entry.name).get(),
                boot: entry.boot,
                revision: *revision as u32,
                state: MemberState::Ready.into(),
                address: entry.address.clone(),
                data_centre: entry.data_centre.clone(),
                service: entry.service.clone(),
                slots: entry.slots,
                name: entry.name.clone(),
                ..MemberRecord::default()
            },
        }
    }
}

/// What a node knows of its data centre's watchers.
#[derive(Debug, Default)]
pub struct NewsRecord {
    heard: Option<Instant>,
    different: u32,
}

impl NewsRecord {
    /// Whether no watcher has been heard for long.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.heard.is_none_or(|heard| now >= heard + DIGEST_LIFE)
    }

    /// Takes a watcher's digest.
    pub fn on_digest(&mut self, digest: u64, own: u64, now: Instant) {
        self.heard = Some(now);
        if digest == own {
            self.different = 0;
        } else {
            self.different += 1;
        }
    }

    /// Whether everything has to be read again; asked once.
    pub fn take_doubt(&mut self) -> bool {
        let doubtful = self.different > DIFFERENT_LIMIT;
        if doubtful {
            self.different = 0;
        }
        doubtful
    }
}
