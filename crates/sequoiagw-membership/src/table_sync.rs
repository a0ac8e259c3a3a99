//! Joining, news and repair of member tables.

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

use crate::membership_machine::JOIN_PERIOD;
use crate::MembershipAction;
use crate::MembershipMachine;

/// Longest pause between two tries, in multiples of [`JOIN_PERIOD`].
const JOIN_BACKOFF_LIMIT: u32 = 10;
/// Peers to whom a fresh update is passed on.
const FORWARD_FANOUT: usize = 3;
/// Probes of a fresh process along with which it knocks at strange entry points.
const EARLY_KNOCKS: u32 = 10;
/// Records in one message.
const RECORDS_PER_MESSAGE: usize = 200;

impl MembershipMachine {
    pub(crate) fn try_join(&mut self, now: Instant) {
        self.join_tries += 1;
        let pause = JOIN_PERIOD * self.join_tries.min(JOIN_BACKOFF_LIMIT);
        self.next_join = now + pause.mul_f64(self.rng.random_range(0.5..1.5));
        let own = self.own.address.clone();
        let others: Vec<NodeAddress> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| seed.to_string() != own)
            .collect();
        if others.is_empty() || self.join_tries > 1 {
            self.actions.push(MembershipAction::ReadSeeds);
        }
        if let Some(seed) = others.choose(&mut self.rng) {
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
        self.take_record(&record, now);
        if node != self.own_id() {
            let records: Vec<MemberRecord> = self.table.records().cloned().collect();
            self.send_copy(node, &records, &[]);
        }
    }

    /// Sends news to be passed on.
    pub(crate) fn send_news(&mut self, node: NodeId, records: &[MemberRecord]) {
        for chunk in records.chunks(RECORDS_PER_MESSAGE) {
            let body = TableRecords {
                records: chunk.to_vec(),
                ..TableRecords::default()
            };
            self.send(node, FrameBody::Records(body));
        }
    }

    /// Sends a copy of a part of the table, and asks for the same part in return.
    pub(crate) fn send_copy(&mut self, node: NodeId, records: &[MemberRecord], wanted: &[String]) {
        let mut wanted = wanted.to_vec();
        let mut chunks = records.chunks(RECORDS_PER_MESSAGE);
        // The question goes along even when there is nothing to send.
        let mut chunk = chunks.next();
        while chunk.is_some() || !wanted.is_empty() {
            let records = chunk.map(<[MemberRecord]>::to_vec).unwrap_or_default();
            let body = TableRecords {
                records,
                requested_data_centres: std::mem::take(&mut wanted),
                is_table_copy: true,
            };
            self.send(node, FrameBody::Records(body));
            chunk = chunks.next();
        }
    }

    /// Takes records and passes on what is news. The copy with which a fresh process joins
    /// is news to that process alone.
    pub(crate) fn on_records(&mut self, from: NodeId, records: &TableRecords, now: Instant) {
        let pass_on = !records.is_table_copy || self.joined;
        for record in &records.records {
            if pass_on {
                self.take_record(record, now);
            } else {
                self.merge_record(record, now);
            }
        }
        let answered = records
            .records
            .iter()
            .any(|record| record.node == from.get());
        if answered && !self.joined {
            self.joined = true;
            // Only now are there peers to tell of this node.
            self.spread(self.own.clone(), now);
        }
        if !records.requested_data_centres.is_empty() {
            let own: Vec<MemberRecord> = records
                .requested_data_centres
                .iter()
                .flat_map(|centre| self.table.data_centre_records(centre))
                .cloned()
                .collect();
            self.send_copy(from, &own, &[]);
        }
    }

    /// Passes fresh updates on: to some peers nearby, and across as a bridge.
    pub(crate) fn forward_fresh(&mut self) {
        let fresh: Vec<MemberRecord> = std::mem::take(&mut self.fresh).into_values().collect();
        let mut peers = self.local_peers();
        peers.shuffle(&mut self.rng);
        peers.truncate(FORWARD_FANOUT);
        for peer in peers {
            self.send_news(peer, &fresh);
        }
        if !self.bridges(&self.own.data_centre).contains(&self.own_id()) {
            return;
        }
        // Each data centre speaks for its own members, so that nothing goes round.
        let own: Vec<MemberRecord> = fresh
            .into_iter()
            .filter(|record| record.data_centre == self.own.data_centre)
            .collect();
        for remote in self.remote_bridges() {
            self.send_news(remote, &own);
        }
    }

    /// One bridge of each other data centre, chosen at random.
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

    /// Compares tables with one peer nearby and, as a bridge, with each data centre.
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
            self.knock_at_seed();
            for remote in self.remote_bridges() {
                self.send(remote, FrameBody::Digest(digest.clone()));
                let versions = Some(self.versions);
                let probe = ProbeMessage {
                    versions,
                    ..ProbeMessage::default()
                };
                self.send(remote, FrameBody::Probe(probe));
            }
        }
    }

    /// Knocks with each of the first probes, so that nodes that all start at once find each
    /// other before the first repair.
    pub(crate) fn knock_early(&mut self) {
        if self.early_knocks >= EARLY_KNOCKS {
            return;
        }
        self.early_knocks += 1;
        if self.bridges(&self.own.data_centre).contains(&self.own_id()) {
            self.knock_at_seed();
        }
    }

    /// Joins an entry point that isn't a known member, so that groups of nodes that
    /// started apart, or were apart for long, find each other.
    pub(crate) fn knock_at_seed(&mut self) {
        let known: BTreeSet<NodeAddress> = self
            .table
            .data_centres()
            .flat_map(|centre| self.table.reachable(centre))
            .filter_map(|record| NodeAddress::parse(&record.address))
            .collect();
        let strange: Vec<NodeAddress> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !known.contains(seed))
            .collect();
        if let Some(seed) = strange.choose(&mut self.rng) {
            let join = JoinRequest {
                record: Some(self.own.clone()),
            };
            self.actions.push(MembershipAction::SendToAddress(
                *seed,
                FrameBody::Join(join),
            ));
        }
    }

    /// Repairs a data centre's records once its hash differs in two digests running: an
    /// update on its way explains a single difference.
    pub(crate) fn on_digest(&mut self, from: NodeId, digest: &TableDigest) {
        let own: BTreeMap<String, u64> = self
            .table
            .table_hashes()
            .into_iter()
            .map(|TableHash { data_centre, hash }| (data_centre, hash))
            .collect();
        let theirs: BTreeMap<&str, u64> = digest
            .hashes
            .iter()
            .map(|hash| (hash.data_centre.as_str(), hash.hash))
            .collect();
        let mut wanted = Vec::new();
        let centres: Vec<String> = own
            .keys()
            .cloned()
            .chain(theirs.keys().map(|centre| (*centre).to_owned()))
            .collect();
        for centre in centres {
            let (own, theirs) = (
                own.get(&centre).copied(),
                theirs.get(centre.as_str()).copied(),
            );
            if own.unwrap_or_default() == theirs.unwrap_or_default() {
                self.mismatches.remove(&centre);
                continue;
            }
            let seen = self
                .mismatches
                .insert(centre.clone(), own.unwrap_or_default());
            if (seen == own || own.is_none()) && !wanted.contains(&centre) {
                wanted.push(centre);
            }
        }
        if !wanted.is_empty() {
            let records: Vec<MemberRecord> = wanted
                .iter()
                .flat_map(|centre| self.table.data_centre_records(centre))
                .cloned()
                .collect();
            self.send_copy(from, &records, &wanted);
        }
    }
}
