//! Directory of the fleet's nodes, built from their registrations in the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRevision;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::NodeRegistration;
use crate::RegistrationChange;
use crate::TargetIncarnation;

/// Time for which a node is still used after its registration has lapsed, so that running nodes
/// can register again after an outage of the store.
const LAPSE_GRACE: Duration = Duration::from_secs(3);
/// Time after the last contact for which a node counts as running although its registration has
/// lapsed.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a departed node is remembered. A copy from which the store comes back is younger.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// A node's registration and its state in the store.
#[derive(Clone, Debug)]
struct DirectoryRecord {
    registration: NodeRegistration,
    address: NodeAddress,
    /// Since when the registration has been missing in the store.
    lapsed_since: Option<Instant>,
    /// Revision of the store at which the registration was last written or removed.
    revision: StoreRevision,
}

impl DirectoryRecord {
    fn to_message(&self) -> MemberRecord {
        RegistrationChange::Written(self.registration.clone(), self.revision).to_record()
    }
}

/// Nodes of the fleet, including those whose registrations lapsed a short time ago.
#[derive(Debug, Default)]
pub struct FleetDirectory {
    nodes: BTreeMap<NodeId, DirectoryRecord>,
    departures: BTreeMap<NodeId, NodeDeparture>,
}

/// A node that was removed after its registration had lapsed.
#[derive(Clone, Debug)]
struct NodeDeparture {
    removed_at: Instant,
    record: DirectoryRecord,
}

impl FleetDirectory {
    /// Adds a registration written at a revision of the store, unless the directory has a later
    /// one; returns whether anything changed. A registration with an invalid address is ignored.
    pub fn put(&mut self, registration: NodeRegistration, revision: StoreRevision) -> bool {
        let Some(address) = NodeAddress::parse(&registration.address) else {
            return false;
        };
        let node = NodeId::from_name(&registration.name);
        let existing = self.nodes.get(&node);
        if existing
            .is_some_and(|record| record.lapsed_since.is_none() && revision <= record.revision)
        {
            return false;
        }
        let record = DirectoryRecord {
            registration,
            address,
            lapsed_since: None,
            revision,
        };
        self.departures.remove(&node);
        let previous = self.nodes.insert(node, record);
        let current = &self.nodes[&node];
        previous.is_none_or(|previous| {
            previous.registration != current.registration || previous.lapsed_since.is_some()
        })
    }

    /// Records the boot of a node seen on a link; returns whether the node has restarted. The
    /// other fields of the previous registration stay valid until the new one arrives.
    pub fn on_restart(&mut self, node: NodeId, boot: u64) -> bool {
        let Some(record) = self.nodes.get_mut(&node) else {
            return false;
        };
        let restarted = record.registration.boot != boot;
        record.registration.boot = boot;
        restarted
    }

    /// Marks a registration as lapsed, unless it was written after `revision`.
    pub fn remove(&mut self, node: NodeId, revision: StoreRevision, now: Instant) {
        if let Some(record) = self.nodes.get_mut(&node) {
            if revision >= record.revision {
                record.lapsed_since.get_or_insert(now);
                record.revision = revision;
            }
        }
    }

    /// Applies all registrations that the store has in an era, each with its revision, and marks the
    /// others as lapsed.
    ///
    /// A registration that was written before the store came back from an older copy stays as it is,
    /// if the copy has an earlier one. It counts as lapsed, since the node writes it again if it is
    /// running. A node that had departed stays so, until it writes its registration again.
    pub fn replace(
        &mut self,
        registrations: Vec<(NodeRegistration, StoreRevision)>,
        era: StoreEra,
        now: Instant,
    ) {
        let mut stored: BTreeMap<NodeId, (NodeRegistration, StoreRevision)> = registrations
            .into_iter()
            .map(|stored| (NodeId::from_name(&stored.0.name), stored))
            .collect();
        for (node, record) in &mut self.nodes {
            let is_lost = stored.get(node).is_none_or(|(_, revision)| {
                record.revision.era < era && *revision < record.revision
            });
            if is_lost {
                record.lapsed_since.get_or_insert(now);
                stored.remove(node);
            }
        }
        for (node, (registration, revision)) in stored {
            let departure = self.departures.get(&node);
            let has_departed = departure.is_some_and(|departure| {
                let departed_at = departure.record.revision;
                departed_at.era < era && revision <= departed_at
            });
            if !has_departed {
                self.put(registration, revision);
            }
        }
    }

    /// Removes nodes whose registrations lapsed too long ago and with which there was no recent
    /// contact; returns whether there were any. `last_contact` returns the time of the last
    /// message from a node.
    pub fn expire<LastContact>(&mut self, now: Instant, last_contact: LastContact) -> bool
    where
        LastContact: Fn(NodeId) -> Option<Instant>,
    {
        self.departures
            .retain(|_, departure| now < departure.removed_at + DEPARTURE_RETENTION);
        let has_expired = |node: NodeId, record: &DirectoryRecord| {
            let is_responsive =
                || last_contact(node).is_some_and(|time| now < time + CONTACT_TIMEOUT);
            let grace_end = record.lapsed_since.map(|since| since + LAPSE_GRACE);
            grace_end.is_some_and(|grace_end| now >= grace_end) && !is_responsive()
        };
        let count_before = self.nodes.len();
        self.nodes.retain(|node, record| {
            let expired = has_expired(*node, record);
            if expired {
                let departure = NodeDeparture {
                    removed_at: now,
                    record: record.clone(),
                };
                self.departures.insert(*node, departure);
            }
            !expired
        });
        self.nodes.len() != count_before
    }

    /// Next time at which [`Self::expire`] may remove a node.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let lapse_times = self.nodes.values().filter_map(|record| record.lapsed_since);
        let first_expiry = lapse_times.min()? + LAPSE_GRACE;
        Some(first_expiry.max(now + CONTACT_TIMEOUT / 3))
    }

    /// Registration of a node by name, `None` if it is unknown or has lapsed.
    pub fn registration(&self, name: &str) -> Option<&NodeRegistration> {
        let record = self.nodes.get(&NodeId::from_name(name))?;
        record
            .lapsed_since
            .is_none()
            .then_some(&record.registration)
    }

    /// Address of a node, also of one that departed a short time ago.
    pub fn address(&self, node: NodeId) -> Option<NodeAddress> {
        self.latest_record(node).map(|record| record.address)
    }

    fn latest_record(&self, node: NodeId) -> Option<&DirectoryRecord> {
        let departure = self.departures.get(&node);
        self.nodes
            .get(&node)
            .or_else(|| departure.map(|departure| &departure.record))
    }

    /// Name of a node.
    pub fn name(&self, node: NodeId) -> Option<String> {
        let record = self.nodes.get(&node)?;
        Some(record.registration.name.clone())
    }

    /// Data centre of a node.
    pub fn data_centre(&self, node: NodeId) -> Option<&str> {
        let record = self.nodes.get(&node)?;
        Some(&record.registration.data_centre)
    }

    /// Nodes that may grant or use permits of quotas: all but those that stop as planned, and those that
    /// departed in the last minute without having said so, since they may run behind a cut.
    pub fn quota_nodes(&self) -> BTreeSet<NodeId> {
        let departed = self.departures.iter();
        let departed = departed.map(|(node, departure)| (node, &departure.record));
        let all = self.nodes.iter().chain(departed);
        all.filter(|(_, record)| !record.registration.stopping)
            .map(|(node, _)| *node)
            .collect()
    }

    /// Nodes at an address.
    pub fn nodes_at(&self, address: NodeAddress) -> Vec<NodeId> {
        let matching = self
            .nodes
            .iter()
            .filter(|(_, record)| record.address == address);
        matching.map(|(node, _)| *node).collect()
    }

    /// Nodes of a data centre whose registrations haven't lapsed, in the same order on all nodes.
    pub fn registered_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = NodeId> + 'a {
        self.nodes
            .iter()
            .filter(move |(_, record)| record.registration.data_centre == data_centre)
            .filter(|(_, record)| record.lapsed_since.is_none())
            .map(|(node, _)| *node)
    }

    /// The nodes of [`Self::registered_in`], those with the fastest links first.
    pub fn fastest_links_in(&self, data_centre: &str) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = self.registered_in(data_centre).collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(self.nodes[node].registration.link_mbps));
        nodes
    }

    /// Data centres with nodes whose registrations haven't lapsed.
    pub fn data_centres(&self) -> BTreeSet<String> {
        let registered = self
            .nodes
            .values()
            .filter(|record| record.lapsed_since.is_none());
        registered
            .map(|record| record.registration.data_centre.clone())
            .collect()
    }

    /// Hash over name, boot, slots and software version of the registrations that haven't lapsed,
    /// independent of their order. An unknown software version adds nothing to the hash, so that nodes
    /// of earlier releases compute the same one.
    pub fn digest(&self) -> u64 {
        self.nodes
            .values()
            .filter(|record| record.lapsed_since.is_none())
            .fold(0, |digest, record| {
                let registration = &record.registration;
                let mut text = format!(
                    "{}/{}/{}",
                    registration.name, registration.boot, registration.slots
                );
                if !registration.backend_version.is_empty() {
                    text = format!("{text}/{}", registration.backend_version);
                }
                digest ^ xxh3_64(text.as_bytes())
            })
    }

    /// Revision of the store at which a node's registration was last written or removed, the first
    /// one for an unknown node.
    pub fn revision(&self, node: NodeId) -> StoreRevision {
        let record = self.nodes.get(&node);
        record.map_or_else(StoreRevision::default, |record| record.revision)
    }

    /// Records for peers of all registrations that haven't lapsed.
    pub fn records(&self) -> Vec<MemberRecord> {
        let registered = self
            .nodes
            .values()
            .filter(|record| record.lapsed_since.is_none());
        registered.map(DirectoryRecord::to_message).collect()
    }

    /// Record for peers of a node's latest registration, also of one that has lapsed.
    pub fn record(&self, node: NodeId) -> Option<MemberRecord> {
        self.latest_record(node).map(DirectoryRecord::to_message)
    }

    /// Departure of the backend server that a node's latest registration names.
    pub fn departure(&self, node: NodeId) -> Option<&TargetIncarnation> {
        self.latest_record(node)?.registration.leaving.as_ref()
    }

    /// Number of nodes, including those whose registrations have lapsed.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the directory has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// All nodes with their boots.
    pub fn boots(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.nodes
            .iter()
            .map(|(node, record)| (*node, record.registration.boot))
    }

    /// Targets with slots, by service.
    pub fn targets(&self) -> BTreeMap<String, Vec<TargetInfo>> {
        self.targets_where(|_| true)
    }

    /// Targets with slots whose registrations `is_selected` selects, by service.
    pub fn targets_where<IsSelected>(
        &self,
        is_selected: IsSelected,
    ) -> BTreeMap<String, Vec<TargetInfo>>
    where
        IsSelected: Fn(&NodeRegistration) -> bool,
    {
        let mut services: BTreeMap<String, Vec<TargetInfo>> = BTreeMap::new();
        for (node, record) in &self.nodes {
            let registration = &record.registration;
            if registration.slots == 0 || !is_selected(registration) {
                continue;
            }
            services
                .entry(registration.service.clone())
                .or_default()
                .push(target_info(*node, registration));
        }
        services
    }

    /// Registrations of a service's nodes that haven't lapsed, in the same order on all nodes.
    pub fn registered_for<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (NodeId, &'a NodeRegistration)> + 'a {
        self.nodes
            .iter()
            .filter(|(_, record)| record.lapsed_since.is_none())
            .map(|(node, record)| (*node, &record.registration))
            .filter(move |(_, registration)| registration.service == service)
    }
}

fn target_info(node: NodeId, registration: &NodeRegistration) -> TargetInfo {
    TargetInfo {
        node,
        boot: registration.boot,
        data_centre: registration.data_centre.clone(),
        slots: registration.slots,
    }
}
