//! Registered nodes of a service that is being rolled out.

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;

/// Least ratio of the slots of the new version to those of the old one for a take-over.
const MIN_SLOT_RATIO: f64 = 0.8;

/// A registered node of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutMember {
    /// Identity in messages.
    pub node: NodeId,
    /// Name in registrations and records.
    pub name: String,
    /// Slots of the backend server.
    pub slots: u32,
}

/// Registered nodes of a service by the software version of their backend servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutMembers {
    /// Nodes whose backend servers have the new version and are ready, by name.
    pub new: Vec<RolloutMember>,
    /// Nodes of all other versions.
    pub old: Vec<RolloutMember>,
}

impl RolloutMembers {
    /// The same members with those of the new version in the order of their names.
    pub(crate) fn sorted(mut self) -> Self {
        self.new.sort_by(|one, other| one.name.cmp(&other.name));
        self
    }

    /// Whether a node of the new version is registered under this name.
    pub(crate) fn has_new(&self, name: &str) -> bool {
        let position = self
            .new
            .binary_search_by(|member| member.name.as_str().cmp(name));
        position.is_ok()
    }

    /// Whether a node is one of an old version.
    pub(crate) fn is_old(&self, node: NodeId) -> bool {
        self.old.iter().any(|member| member.node == node)
    }

    /// Whether the new version has enough slots to take over from the old one.
    pub(crate) fn has_slots_for_all(&self) -> bool {
        f64::from(slots(&self.new)) >= MIN_SLOT_RATIO * f64::from(slots(&self.old))
    }

    /// Number of nodes of the new version that have not objected and come before this one by name,
    /// `None` if it is not registered.
    pub(crate) fn rank(&self, name: &str, record: &RolloutRecord) -> Option<u32> {
        let eligible = self
            .new
            .iter()
            .filter(|member| member.name.as_str() <= name && !has_objected(record, &member.name));
        let rank = u32::try_from(eligible.count()).unwrap_or(u32::MAX);
        self.has_new(name).then(|| rank.saturating_sub(1))
    }
}

/// Whether a node has advised against the new version.
pub(crate) fn has_objected(record: &RolloutRecord, name: &str) -> bool {
    let mut objections = record.objections.iter();
    objections.any(|objection| objection.node == name)
}

fn slots(members: &[RolloutMember]) -> u32 {
    let slots = members.iter().map(|member| member.slots);
    slots.fold(0, u32::saturating_add)
}
