//! Synchronization of member tables: joining, forwarding of updates and anti-entropy repair.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand::Rng;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::JoinRequest;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::ProbeMessage;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_protocol::TableRecords;
use tokio::time::Instant;

use crate::membership_machine::JOIN_RETRY_INTERVAL;
use crate::MembershipAction;
use crate::MembershipMachine;

/// Longest delay between two join attempts, in multiples of [`JOIN_RETRY_INTERVAL`].
const MAX_JOIN_BACKOFF_FACTOR: u32 = 10;
/// Number of local peers to which a new update is forwarded.
const FORWARD_FANOUT: usize = 3;
/// Number of probe ticks after the start on which a bridge sends a join request to an unknown
/// seed.
const STARTUP_JOIN_LIMIT: u32 = 10;
/// Largest number of records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 200;

impl MembershipMachine {
    pub(crate) fn try_join(&mut self, now: Instant) {
        self.join_attempts += 1;
        let backoff = JOIN_RETRY_INTERVAL * self.join_attempts.min(MAX_JOIN_BACKOFF_FACTOR);
        self.next_join = now + backoff.mul_f64(self.rng.random_range(0.5..1.5));
        let own_address = self.own.address.clone();
        let candidates: Vec<NodeAddress> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| seed.to_string() != own_address)
            .collect();
        if candidates.is_empty() || self.join_attempts > 1 {
            self.actions.push(MembershipAction::ReadSeeds);
        }
        if let Some(seed) = candidates.choose(&mut self.rng) {
            let join = JoinRequest {
                record: Some(self.own.clone()),
            };
            self.actions.push(MembershipAction::SendToAddress(
                *seed,
                FrameBody::Join(join),
            ));
        }
    }

    pub(crate) fn on_join(&mut self, join: JoinRequest, now: Instant) {
        let Some(record) = join.record else {
            return;
        };
        let node = NodeId::from(record.node);
        self.apply_record(&record, now);
        if node != self.own_id() {
            let records: Vec<MemberRecord> = self.table.records().cloned().collect();
            self.send_table_copy(node, &records, &[]);
        }
    }

    /// Sends updates that the receiver forwards in turn.
    pub(crate) fn send_updates(&mut self, node: NodeId, records: &[MemberRecord]) {
        for chunk in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let body = TableRecords {
                records: chunk.to_vec(),
                ..TableRecords::default()
            };
            self.send(node, FrameBody::Records(body));
        }
    }

    /// Sends a copy of part of the table and requests the records of `requested_data_centres`.
    pub(crate) fn send_table_copy(
        &mut self,
        node: NodeId,
        records: &[MemberRecord],
        requested_data_centres: &[String],
    ) {
        let mut requested_data_centres = requested_data_centres.to_vec();
        let mut chunks = records.chunks(MAX_RECORDS_PER_MESSAGE);
        // The request is sent even if there are no records to send.
        let mut chunk = chunks.next();
        while chunk.is_some() || !requested_data_centres.is_empty() {
            let records = chunk.map(<[MemberRecord]>::to_vec).unwrap_or_default();
            let body = TableRecords {
                records,
                requested_data_centres: std::mem::take(&mut requested_data_centres),
                is_table_copy: true,
                ..TableRecords::default()
            };
            self.send(node, FrameBody::Records(body));
            chunk = chunks.next();
        }
    }

    /// Merges received records and forwards those that changed the table. The table copy
    /// received while joining isn't forwarded, because the peers already have its records.
    pub(crate) fn on_records(&mut self, from: NodeId, records: &TableRecords, now: Instant) {
        let forward = !records.is_table_copy || self.joined;
        for record in &records.records {
            if forward {
                self.apply_record(record, now);
            } else {
                self.merge_record(record, now);
            }
        }
        let includes_sender = records
            .records
            .iter()
            .any(|record| record.node == from.get());
        if includes_sender && !self.joined {
            self.joined = true;
            // Before the join there were no peers to send this node's record to.
            self.queue_update(self.own.clone(), now);
        }
        if !records.requested_data_centres.is_empty() {
            let requested: Vec<MemberRecord> = records
                .requested_data_centres
                .iter()
                .flat_map(|centre| self.table.data_centre_records(centre))
                .cloned()
                .collect();
            self.send_table_copy(from, &requested, &[]);
        }
    }

    /// Forwards pending updates to some local peers and, if this node is a bridge, to the
    /// remote data centres.
    pub(crate) fn forward_updates(&mut self) {
        let updates: Vec<MemberRecord> = std::mem::take(&mut self.pending_forward)
            .into_values()
            .collect();
        let mut peers = self.local_peers();
        peers.shuffle(&mut self.rng);
        peers.truncate(FORWARD_FANOUT);
        for peer in peers {
            self.send_updates(peer, &updates);
        }
        if !self.bridges(&self.own.data_centre).contains(&self.own_id()) {
            return;
        }
        // Only records of the own data centre cross to others, so that updates don't
        // circulate between data centres.
        let own_updates: Vec<MemberRecord> = updates
            .into_iter()
            .filter(|record| record.data_centre == self.own.data_centre)
            .collect();
        for remote in self.remote_bridges() {
            self.send_updates(remote, &own_updates);
        }
    }

    /// One randomly chosen bridge of each remote data centre.
    pub(crate) fn remote_bridges(&mut self) -> Vec<NodeId> {
        let centres: Vec<String> = self
            .table
            .data_centres()
            .filter(|centre| *centre != self.own.data_centre)
            .map(str::to_owned)
            .collect();
        let mut chosen = Vec::with_capacity(centres.len());
        for centre in centres {
            let bridges = self.bridges(&centre);
            if let Some(bridge) = bridges.choose(&mut self.rng) {
                chosen.push(*bridge);
            }
        }
        chosen
    }

    /// Sends table digests to one local peer and, if this node is a bridge, to one bridge of
    /// each remote data centre.
    pub(crate) fn send_digests(&mut self) {
        let digest = TableDigest {
            hashes: self.table.table_hashes(),
            sender: None,
            ..TableDigest::default()
        };
        let peers = self.local_peers();
        if let Some(peer) = peers.choose(&mut self.rng).copied() {
            self.send(peer, FrameBody::Digest(digest.clone()));
        }
        if self.bridges(&self.own.data_centre).contains(&self.own_id()) {
            self.join_unknown_seed();
            for remote in self.remote_bridges() {
                self.send(remote, FrameBody::Digest(digest.clone()));
                let versions = Some(self.own_versions);
                let probe = ProbeMessage {
                    versions,
                    ..ProbeMessage::default()
                };
                self.send(remote, FrameBody::Probe(probe));
            }
        }
    }

    /// Tries an unknown seed on each of the first probe ticks if this node is a bridge, so that
    /// nodes that start at the same time find each other sooner than through repair alone.
    pub(crate) fn join_unknown_seed_at_startup(&mut self) {
        if self.startup_joins >= STARTUP_JOIN_LIMIT {
            return;
        }
        self.startup_joins += 1;
        if self.bridges(&self.own.data_centre).contains(&self.own_id()) {
            self.join_unknown_seed();
        }
    }

    /// Sends a join request to a seed that isn't the address of a reachable member. This merges
    /// groups of nodes that started separately or were partitioned for long.
    pub(crate) fn join_unknown_seed(&mut self) {
        let known: BTreeSet<NodeAddress> = self
            .table
            .data_centres()
            .flat_map(|centre| self.table.reachable(centre))
            .filter_map(|record| NodeAddress::parse(&record.address))
            .collect();
        let unknown: Vec<NodeAddress> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !known.contains(seed))
            .collect();
        if let Some(seed) = unknown.choose(&mut self.rng) {
            let join = JoinRequest {
                record: Some(self.own.clone()),
            };
            self.actions.push(MembershipAction::SendToAddress(
                *seed,
                FrameBody::Join(join),
            ));
        }
    }

    /// Exchanges the records of data centres whose hash differs from the peer's. If only the peer
    /// has a hash, they are exchanged at the first differing digest. If only this node has one,
    /// they are exchanged at the second, provided that the own hash is unchanged: a single
    /// difference can come from an update in transit.
    pub(crate) fn on_digest(&mut self, from: NodeId, digest: &TableDigest) {
        let own_hashes: BTreeMap<String, u64> = self
            .table
            .table_hashes()
            .into_iter()
            .map(|TableHash { data_centre, hash }| (data_centre, hash))
            .collect();
        let peer_hashes: BTreeMap<&str, u64> = digest
            .hashes
            .iter()
            .map(|hash| (hash.data_centre.as_str(), hash.hash))
            .collect();
        let mut differing = Vec::new();
        let centres: Vec<String> = own_hashes
            .keys()
            .cloned()
            .chain(peer_hashes.keys().map(|centre| (*centre).to_owned()))
            .collect();
        // A data centre in both maps is visited twice. The second visit finds the difference that
        // the first one stored, so its records are exchanged at the first differing digest, even
        // when the difference comes from an update in transit.
        for centre in centres {
            let (own_hash, peer_hash) = (
                own_hashes.get(&centre).copied(),
                peer_hashes.get(centre.as_str()).copied(),
            );
            if own_hash.unwrap_or_default() == peer_hash.unwrap_or_default() {
                self.hash_mismatches.remove(&centre);
                continue;
            }
            let previous_mismatch = self
                .hash_mismatches
                .insert(centre.clone(), own_hash.unwrap_or_default());
            if (previous_mismatch == own_hash || own_hash.is_none()) && !differing.contains(&centre)
            {
                differing.push(centre);
            }
        }
        if !differing.is_empty() {
            let records: Vec<MemberRecord> = differing
                .iter()
                .flat_map(|centre| self.table.data_centre_records(centre))
                .cloned()
                .collect();
            self.send_table_copy(from, &records, &differing);
        }
    }
}
