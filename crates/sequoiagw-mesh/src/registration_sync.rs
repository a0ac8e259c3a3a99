//! News of the nodes' entries, passed on within a data centre.
//!
//! Two nodes of each data centre watch the entries and the configuration in the platform's
//! store and tell the others, so that the calls to the store don't grow with the fleet. The
//! watchers also send a digest at intervals; a node that hears none watches for itself, and
//! one whose own digest stays different reads everything again.

use std::time::Duration;

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::KeyChange;
use tokio::time::Instant;

use crate::store_follower::read_node;
use crate::store_follower::NODES_PREFIX;
use crate::NodeRegistration;

/// Time without a digest after which a node watches for itself.
const DIGEST_LIFE: Duration = Duration::from_millis(1300);
/// Time for which the watchers' digest may differ before everything is read again.
const DIFFERENT_TIME: Duration = Duration::from_millis(2500);
/// Further time at the start of a process, in which entries are written and watchers found.
const START_TIME: Duration = Duration::from_millis(2700);
/// Time for which the watchers' digest may differ before one of them is asked for its entries.
const REPAIR_TIME: Duration = Duration::from_millis(900);
/// Time for which the watchers may act on a later version than the own before it is read from
/// the store; meanwhile each of their digests is answered by a question to its sender.
const LATER_TIME: Duration = Duration::from_millis(900);

/// A change of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrationChange {
    /// The entry was written at a revision of the store.
    Written(NodeRegistration, u64),
    /// The entry is gone since a revision of the store.
    Removed(NodeId, u64),
}

impl RegistrationChange {
    /// Reads a change of a key; `None` for keys that aren't nodes' entries.
    pub fn from_key(change: &KeyChange) -> Option<Self> {
        match change {
            KeyChange::Written(entry) => {
                let node = read_node(entry)?;
                Some(Self::Written(node, entry.mod_revision))
            }
            KeyChange::Deleted { key, revision } => {
                let name = key.strip_prefix(NODES_PREFIX)?;
                Some(Self::Removed(NodeId::from_name(name), *revision))
            }
        }
    }

    /// Reads a change that a peer passed on.
    pub fn from_record(record: MemberRecord) -> Self {
        let revision = u64::from(record.revision);
        if record.state() == MemberState::Left {
            return Self::Removed(NodeId::from(record.node), revision);
        }
        let entry = NodeRegistration {
            name: record.name,
            boot: record.boot,
            address: record.address,
            data_centre: record.data_centre,
            service: record.service,
            slots: record.slots,
            link_mbps: record.link_mbps,
            leaving: None,
        };
        Self::Written(entry, revision)
    }

    /// The change as it is passed on.
    pub fn to_record(&self) -> MemberRecord {
        match self {
            Self::Removed(node, revision) => MemberRecord {
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
                link_mbps: entry.link_mbps,
                name: entry.name.clone(),
                ..MemberRecord::default()
            },
        }
    }
}

/// What a node knows of its data centre's watchers.
#[derive(Debug, Default)]
pub struct WatcherMonitor {
    heard: Option<Instant>,
    /// Since when the watchers' digest has differed from the own.
    different: Option<Instant>,
    /// Whether a watcher has been asked for its entries since.
    repairing: bool,
    /// Since when the watchers have acted on a later version than the own.
    later: Option<Instant>,
}

impl WatcherMonitor {
    /// Starts a process: watchers have their time to be heard before it watches for itself.
    pub fn with_startup_grace(now: Instant) -> Self {
        Self {
            heard: Some(now + START_TIME),
            ..Self::default()
        }
    }

    /// Whether no watcher has been heard for long.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.heard.is_none_or(|heard| now >= heard + DIGEST_LIFE)
    }

    /// Takes a watcher's digest.
    pub fn on_digest(&mut self, digest: u64, own: u64, now: Instant) {
        self.heard = Some(now);
        if digest == own {
            self.different = None;
            self.repairing = false;
        } else {
            self.different.get_or_insert(now);
        }
    }

    /// Whether a watcher is to be asked for its entries; asked once in a time of difference.
    pub fn take_pending_records_request(&mut self, now: Instant) -> bool {
        let differs = self
            .different
            .is_some_and(|since| now >= since + REPAIR_TIME);
        differs && !std::mem::replace(&mut self.repairing, differs)
    }

    /// Takes the version that a watcher acts on.
    pub fn on_version(&mut self, told: u64, held: u64, now: Instant) {
        if told > held {
            self.later.get_or_insert(now);
        } else {
            self.later = None;
        }
    }

    /// Notes that a version has to be read from the store.
    pub fn schedule_version_read(&mut self, now: Instant) {
        self.later = now.checked_sub(LATER_TIME).or(Some(now));
    }

    /// Whether the version has to be read from the store; asked once.
    pub fn take_pending_version_read(&mut self, now: Instant) -> bool {
        let doubtful = self.later.is_some_and(|since| now >= since + LATER_TIME);
        if doubtful {
            self.later = None;
        }
        doubtful
    }

    /// Whether everything has to be read again; asked once.
    pub fn take_pending_registration_read(&mut self, now: Instant) -> bool {
        let doubtful = self
            .different
            .is_some_and(|since| now >= since + DIFFERENT_TIME);
        if doubtful {
            self.different = None;
            self.repairing = false;
        }
        doubtful
    }
}
