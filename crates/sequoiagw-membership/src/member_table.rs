//! The table of all members a node knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use prost::Message;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::TableHash;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::is_superseded_by;

/// A record and when it was taken.
#[derive(Clone, Debug)]
struct TableEntry {
    record: MemberRecord,
    hash: u64,
    since: Instant,
}

/// All known members, with an order-free hash for each data centre.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, TableEntry>,
    nodes_by_data_centre: BTreeMap<String, BTreeSet<NodeId>>,
    hashes: BTreeMap<String, u64>,
}

impl MemberTable {
    /// Takes a record if it is newer than the one held; tells whether it was taken.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> bool {
        let node = NodeId::from(record.node);
        if let Some(entry) = self.entries.get(&node) {
            if !is_superseded_by(&entry.record, record) {
                return false;
            }
        }
        self.remove(node);
        // Members that are gone are forgotten at different times, so no hash may depend
        // on them.
        let gone = !is_reachable(record.state());
        let hash = if gone {
            0
        } else {
            xxh3_64(&record.encode_to_vec())
        };
        let data_centre = record.data_centre.clone();
        *self.hashes.entry(data_centre.clone()).or_default() ^= hash;
        self.nodes_by_data_centre
            .entry(data_centre)
            .or_default()
            .insert(node);
        self.entries.insert(
            node,
            TableEntry {
                record: record.clone(),
                hash,
                since: now,
            },
        );
        true
    }

    /// Removes a member.
    pub fn remove(&mut self, node: NodeId) {
        let Some(entry) = self.entries.remove(&node) else {
            return;
        };
        let data_centre = &entry.record.data_centre;
        if let Some(hash) = self.hashes.get_mut(data_centre) {
            *hash ^= entry.hash;
        }
        if let Some(nodes) = self.nodes_by_data_centre.get_mut(data_centre) {
            nodes.remove(&node);
        }
    }

    /// Record of a member.
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.entries.get(&node).map(|entry| &entry.record)
    }

    /// Address of a member.
    pub fn address(&self, node: NodeId) -> Option<NodeAddress> {
        NodeAddress::parse(&self.get(node)?.address)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records of one data centre, by node identity.
    pub fn data_centre_records(&self, data_centre: &str) -> impl Iterator<Item = &MemberRecord> {
        let nodes = self
            .nodes_by_data_centre
            .get(data_centre)
            .into_iter()
            .flatten();
        nodes.filter_map(|node| self.get(*node))
    }

    /// Data centres with members.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.nodes_by_data_centre
            .iter()
            .filter(|(_, nodes)| !nodes.is_empty())
            .map(|(name, _)| name.as_str())
    }

    /// Members of a data centre that are in service, by node identity.
    pub fn ready(&self, data_centre: &str) -> impl Iterator<Item = &MemberRecord> {
        self.data_centre_records(data_centre)
            .filter(|record| matches!(record.state(), MemberState::Ready | MemberState::Suspect))
    }

    /// Members of a data centre that may be reached.
    pub fn reachable(&self, data_centre: &str) -> impl Iterator<Item = &MemberRecord> {
        self.data_centre_records(data_centre)
            .filter(|record| is_reachable(record.state()))
    }

    /// Hash of each data centre's records.
    pub fn table_hashes(&self) -> Vec<TableHash> {
        let hash_of = |(data_centre, hash): (&String, &u64)| TableHash {
            data_centre: data_centre.clone(),
            hash: *hash,
        };
        self.hashes.iter().map(hash_of).collect()
    }

    /// Members in `state` since before `limit`.
    pub fn in_state_since(&self, state: MemberState, limit: Instant) -> Vec<NodeId> {
        let old = |entry: &&TableEntry| entry.record.state() == state && entry.since <= limit;
        self.entries
            .values()
            .filter(old)
            .map(|entry| NodeId::from(entry.record.node))
            .collect()
    }
}

/// Whether a member in this state is worth sending to.
fn is_reachable(state: MemberState) -> bool {
    match state {
        MemberState::Joining
        | MemberState::Ready
        | MemberState::Draining
        | MemberState::Suspect => true,
        MemberState::Lost | MemberState::Left => false,
    }
}
