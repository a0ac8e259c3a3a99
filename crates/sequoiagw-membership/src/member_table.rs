//! Table of all known members.

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

/// A member record with its hash and the time it was stored.
#[derive(Clone, Debug)]
struct StoredRecord {
    record: MemberRecord,
    hash: u64,
    since: Instant,
}

/// All known members, with an order-independent hash per data centre.
#[derive(Debug, Default)]
pub struct MemberTable {
    records: BTreeMap<NodeId, StoredRecord>,
    nodes_by_data_centre: BTreeMap<String, BTreeSet<NodeId>>,
    hashes: BTreeMap<String, u64>,
}

impl MemberTable {
    /// Stores a record if it is newer than the stored one; returns whether it was stored.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> bool {
        let node = NodeId::from(record.node);
        if let Some(stored) = self.records.get(&node) {
            if !is_superseded_by(&stored.record, record) {
                return false;
            }
        }
        self.remove(node);
        // Nodes remove departed members at different times, so departed members must not
        // affect the hash.
        let departed = !is_reachable(record.state());
        let hash = if departed {
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
        self.records.insert(
            node,
            StoredRecord {
                record: record.clone(),
                hash,
                since: now,
            },
        );
        true
    }

    /// Removes a member's record, if present.
    pub fn remove(&mut self, node: NodeId) {
        let Some(stored) = self.records.remove(&node) else {
            return;
        };
        let data_centre = &stored.record.data_centre;
        if let Some(hash) = self.hashes.get_mut(data_centre) {
            *hash ^= stored.hash;
        }
        if let Some(nodes) = self.nodes_by_data_centre.get_mut(data_centre) {
            nodes.remove(&node);
        }
    }

    /// Record of a member, `None` if it is unknown.
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.records.get(&node).map(|stored| &stored.record)
    }

    /// Address of a member, `None` if it is unknown or its address is invalid.
    pub fn address(&self, node: NodeId) -> Option<NodeAddress> {
        NodeAddress::parse(&self.get(node)?.address)
    }

    /// All records, by node identity.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().map(|stored| &stored.record)
    }

    /// Number of records, departed members included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records of one data centre, by node identity, departed members included.
    pub fn data_centre_records(&self, data_centre: &str) -> impl Iterator<Item = &MemberRecord> {
        let nodes = self
            .nodes_by_data_centre
            .get(data_centre)
            .into_iter()
            .flatten();
        nodes.filter_map(|node| self.get(*node))
    }

    /// Data centres with at least one record.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.nodes_by_data_centre
            .iter()
            .filter(|(_, nodes)| !nodes.is_empty())
            .map(|(name, _)| name.as_str())
    }

    /// Members of a data centre that are in service, suspects included, by node identity.
    pub fn ready(&self, data_centre: &str) -> impl Iterator<Item = &MemberRecord> {
        self.data_centre_records(data_centre)
            .filter(|record| matches!(record.state(), MemberState::Ready | MemberState::Suspect))
    }

    /// Members of a data centre that are neither lost nor left, by node identity.
    pub fn reachable(&self, data_centre: &str) -> impl Iterator<Item = &MemberRecord> {
        self.data_centre_records(data_centre)
            .filter(|record| is_reachable(record.state()))
    }

    /// Hash over the records of each data centre, departed members excluded.
    pub fn table_hashes(&self) -> Vec<TableHash> {
        let hash_of = |(data_centre, hash): (&String, &u64)| TableHash {
            data_centre: data_centre.clone(),
            hash: *hash,
        };
        self.hashes.iter().map(hash_of).collect()
    }

    /// Members whose stored record has had `state` since `limit` or earlier.
    pub fn in_state_since(&self, state: MemberState, limit: Instant) -> Vec<NodeId> {
        let matches =
            |stored: &&StoredRecord| stored.record.state() == state && stored.since <= limit;
        self.records
            .values()
            .filter(matches)
            .map(|stored| NodeId::from(stored.record.node))
            .collect()
    }
}

/// Whether messages are sent to a member in this state.
fn is_reachable(state: MemberState) -> bool {
    match state {
        MemberState::Joining
        | MemberState::Ready
        | MemberState::Draining
        | MemberState::Suspect => true,
        MemberState::Lost | MemberState::Left => false,
    }
}
