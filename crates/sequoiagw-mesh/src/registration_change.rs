//! A change of a node's registration, as the store tells it and as peers pass it on.

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::KeyChange;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRevision;

use crate::store_follower::parse_registration;
use crate::store_follower::NODES_PREFIX;
use crate::NodeRegistration;

/// A change of one registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrationChange {
    /// The registration was written, at this revision of the store.
    Written(NodeRegistration, StoreRevision),
    /// The registration of this node was removed, at this revision of the store.
    Removed(NodeId, StoreRevision),
}

impl RegistrationChange {
    /// Converts a change of a key in the store, of which the store told in `era`; `None` if the key
    /// isn't that of a node.
    ///
    /// An entry that isn't a registration has taken the place of the node's, which is gone.
    pub fn from_key(change: &KeyChange, era: StoreEra) -> Option<Self> {
        let (key, number) = match change {
            KeyChange::Written(entry) => {
                if let Some(registration) = parse_registration(entry, era) {
                    let revision = registration.written_at(entry.mod_revision);
                    return Some(Self::Written(registration, revision));
                }
                (&entry.key, entry.mod_revision)
            }
            KeyChange::Deleted { key, revision } => (key, *revision),
        };
        let name = key.strip_prefix(NODES_PREFIX)?;
        let revision = StoreRevision { era, number };
        Some(Self::Removed(NodeId::from_name(name), revision))
    }

    /// Converts a record from a peer.
    pub fn from_record(record: MemberRecord) -> Self {
        let era = StoreEra(record.store_era);
        let number = u64::from(record.revision);
        let revision = StoreRevision { era, number };
        if record.state() == MemberState::Left {
            return Self::Removed(NodeId::from(record.node), revision);
        }
        let stopping = record.state() == MemberState::Draining;
        let registration = NodeRegistration {
            name: record.name,
            boot: record.boot,
            address: record.address,
            data_centre: record.data_centre,
            service: record.service,
            slots: record.slots,
            link_mbps: record.link_mbps,
            leaving: record.leaving.map(Into::into),
            store_era: era,
            backend_version: record.backend_version,
            departures_known: record.departures_known,
            stopping,
        };
        Self::Written(registration, revision)
    }

    /// Converts the change to a record for peers.
    pub fn to_record(&self) -> MemberRecord {
        match self {
            Self::Removed(node, revision) => MemberRecord {
                node: node.get(),
                revision: revision.number as u32,
                store_era: revision.era.0,
                state: MemberState::Left.into(),
                ..MemberRecord::default()
            },
            Self::Written(registration, revision) => MemberRecord {
                node: NodeId::from_name(&registration.name).get(),
                boot: registration.boot,
                revision: revision.number as u32,
                store_era: revision.era.0,
                state: written_state(registration).into(),
                address: registration.address.clone(),
                data_centre: registration.data_centre.clone(),
                service: registration.service.clone(),
                slots: registration.slots,
                link_mbps: registration.link_mbps,
                name: registration.name.clone(),
                leaving: registration.leaving.clone().map(Into::into),
                backend_version: registration.backend_version.clone(),
                departures_known: registration.departures_known,
                ..MemberRecord::default()
            },
        }
    }
}

/// State of a node that has a registration.
const fn written_state(registration: &NodeRegistration) -> MemberState {
    if registration.stopping {
        MemberState::Draining
    } else {
        MemberState::Ready
    }
}
