//! The nodes of the fleet, as their entries in the platform's store tell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::RegistrationChange;
use crate::TargetIncarnation;

/// Time for which a node whose entry has lapsed is still used: long enough for nodes that
/// live to write their entries again after an outage of the store.
const LAPSE_TIME: Duration = Duration::from_secs(3);
/// Age up to which word from a node shows that it lives although its entry has lapsed.
const HEARD_TIME: Duration = Duration::from_millis(1500);

/// Entry of a node in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeRegistration {
    /// Name.
    pub name: String,
    /// Number of the process, drawn at its start.
    pub boot: u64,
    /// Address for links.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Service of the backend server beside the node.
    pub service: String,
    /// Slots of that backend server; 0 when it takes no work.
    pub slots: u32,
    /// Width of the host's link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: u32,
    /// Life of the backend server that was leaving when the entry was written.
    #[serde(default)]
    pub leaving: Option<TargetIncarnation>,
}

/// An entry and since when it is missing in the store.
#[derive(Clone, Debug)]
struct ListedNode {
    entry: NodeRegistration,
    address: NodeAddress,
    lapsed: Option<Instant>,
    /// Revision of the store at which the entry was written.
    revision: u64,
}

/// All nodes known.
#[derive(Debug, Default)]
pub struct FleetDirectory {
    nodes: BTreeMap<NodeId, ListedNode>,
}

impl FleetDirectory {
    /// Takes an entry written at a revision of the store, unless a later one is known;
    /// tells whether anything changed.
    pub fn put(&mut self, entry: NodeRegistration, revision: u64) -> bool {
        let Some(address) = NodeAddress::parse(&entry.address) else {
            return false;
        };
        let node = NodeId::from_name(&entry.name);
        let known = self.nodes.get(&node);
        if known.is_some_and(|listed| listed.lapsed.is_none() && revision <= listed.revision) {
            return false;
        }
        let listed = ListedNode {
            entry,
            address,
            lapsed: None,
            revision,
        };
        let before = self.nodes.insert(node, listed);
        let now = &self.nodes[&node];
        before.is_none_or(|before| before.entry != now.entry || before.lapsed.is_some())
    }

    /// A known node runs in a process with this boot; tells whether that is news. What its
    /// predecessor offered is taken to hold until its own entry comes.
    pub fn on_restart(&mut self, node: NodeId, boot: u64) -> bool {
        let Some(listed) = self.nodes.get_mut(&node) else {
            return false;
        };
        let is_news = listed.entry.boot != boot;
        listed.entry.boot = boot;
        is_news
    }

    /// An entry is gone from the store since a revision.
    pub fn remove(&mut self, node: NodeId, revision: u64, now: Instant) {
        if let Some(listed) = self.nodes.get_mut(&node) {
            if revision >= listed.revision {
                listed.lapsed.get_or_insert(now);
                listed.revision = revision;
            }
        }
    }

    /// Takes all entries that the store holds; those not among them are gone.
    pub fn replace(&mut self, entries: Vec<(NodeRegistration, u64)>, now: Instant) {
        let present: Vec<NodeId> = entries
            .iter()
            .map(|(entry, _)| NodeId::from_name(&entry.name))
            .collect();
        for (node, listed) in &mut self.nodes {
            if !present.contains(node) {
                listed.lapsed.get_or_insert(now);
            }
        }
        for (entry, revision) in entries {
            self.put(entry, revision);
        }
    }

    /// Forgets nodes whose entries have been missing for long and that weren't heard;
    /// tells whether there were any.
    pub fn expire<Heard>(&mut self, now: Instant, heard: Heard) -> bool
    where
        Heard: Fn(NodeId) -> Option<Instant>,
    {
        let before = self.nodes.len();
        self.nodes.retain(|node, listed| {
            let Some(lapsed) = listed.lapsed else {
                return true;
            };
            let lives = heard(*node).is_some_and(|time| now < time + HEARD_TIME);
            now < lapsed + LAPSE_TIME || lives
        });
        self.nodes.len() != before
    }

    /// When [`Self::expire`] may have something to do next.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let lapsed = self.nodes.values().filter_map(|listed| listed.lapsed);
        let first = lapsed.min()? + LAPSE_TIME;
        Some(first.max(now + HEARD_TIME / 3))
    }

    /// Entry of a node by name.
    pub fn registration(&self, name: &str) -> Option<&NodeRegistration> {
        let listed = self.nodes.get(&NodeId::from_name(name))?;
        listed.lapsed.is_none().then_some(&listed.entry)
    }

    /// Address of a node.
    pub fn address(&self, node: NodeId) -> Option<NodeAddress> {
        self.nodes.get(&node).map(|listed| listed.address)
    }

    /// Name of a node.
    pub fn name(&self, node: NodeId) -> Option<String> {
        let listed = self.nodes.get(&node)?;
        Some(listed.entry.name.clone())
    }

    /// Nodes at an address.
    pub fn nodes_at(&self, address: NodeAddress) -> Vec<NodeId> {
        let here = self
            .nodes
            .iter()
            .filter(|(_, listed)| listed.address == address);
        here.map(|(node, _)| *node).collect()
    }

    /// Nodes of a data centre with entries in the store, in an order that all agree on.
    pub fn registered_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = NodeId> + 'a {
        self.nodes
            .iter()
            .filter(move |(_, listed)| listed.entry.data_centre == data_centre)
            .filter(|(_, listed)| listed.lapsed.is_none())
            .map(|(node, _)| *node)
    }

    /// The same nodes, those with the widest links first.
    pub fn fastest_links_in(&self, data_centre: &str) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = self.registered_in(data_centre).collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(self.nodes[node].entry.link_mbps));
        nodes
    }

    /// Data centres with nodes whose entries are in the store.
    pub fn data_centres(&self) -> BTreeSet<String> {
        let listed = self.nodes.values().filter(|listed| listed.lapsed.is_none());
        listed
            .map(|listed| listed.entry.data_centre.clone())
            .collect()
    }

    /// Hash of the entries in the store, whatever their order.
    pub fn digest(&self) -> u64 {
        self.nodes
            .values()
            .filter(|listed| listed.lapsed.is_none())
            .fold(0, |digest, listed| {
                let entry = &listed.entry;
                let text = format!("{}/{}/{}", entry.name, entry.boot, entry.slots);
                digest ^ xxh3_64(text.as_bytes())
            })
    }

    /// Revision of the store at which a node's entry was written, 0 for an unknown one.
    pub fn revision(&self, node: NodeId) -> u64 {
        self.nodes.get(&node).map_or(0, |listed| listed.revision)
    }

    /// All entries as they are passed on.
    pub fn records(&self) -> Vec<MemberRecord> {
        let listed = self.nodes.values().filter(|listed| listed.lapsed.is_none());
        listed
            .map(|listed| {
                RegistrationChange::Written(listed.entry.clone(), listed.revision).to_record()
            })
            .collect()
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// All nodes with their boots.
    pub fn boots(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.nodes
            .iter()
            .map(|(node, listed)| (*node, listed.entry.boot))
    }

    /// Targets by service.
    pub fn targets(&self) -> BTreeMap<String, Vec<TargetInfo>> {
        let mut services: BTreeMap<String, Vec<TargetInfo>> = BTreeMap::new();
        for (node, listed) in &self.nodes {
            let entry = &listed.entry;
            if entry.slots == 0 {
                continue;
            }
            services
                .entry(entry.service.clone())
                .or_default()
                .push(TargetInfo {
                    node: *node,
                    boot: entry.boot,
                    data_centre: entry.data_centre.clone(),
                    slots: entry.slots,
                });
        }
        services
    }
}
