//! The state machine of membership.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::JoinRequest;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::ProbeAnswer;
use sequoiagw_protocol::ProbeMessage;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_protocol::TableRecords;
use sequoiagw_protocol::VersionMark;
use tokio::time::Instant;

use crate::probe_round::ProbeRound;
use crate::update_queue::UpdateQueue;
use crate::MemberTable;

/// Time between two probes of one node.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which other members are asked to probe as well.
const RELAY_AFTER: Duration = Duration::from_millis(600);
/// Members asked to probe as well.
const RELAY_COUNT: usize = 2;
/// Time without an answer after which a member is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1600);
/// Time after which a suspected member counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Time for which lost members and leavers are remembered.
const DEPARTED_MEMORY: Duration = Duration::from_secs(600);
/// Time between two repairs with one peer of the own data centre, and with each other
/// data centre's bridges.
const REPAIR_PERIOD: Duration = Duration::from_secs(5);
/// Time between two tries to join.
const JOIN_PERIOD: Duration = Duration::from_secs(1);
/// Longest pause between two tries, in multiples of [`JOIN_PERIOD`].
const JOIN_BACKOFF_LIMIT: u32 = 10;
/// Delay before updates are passed on, so that a burst of them shares a message.
const FORWARD_DELAY: Duration = Duration::from_millis(50);
/// Peers to whom a fresh update is passed on.
const FORWARD_FANOUT: usize = 3;
/// Members of each data centre that exchange updates with the others.
const BRIDGE_COUNT: usize = 2;
/// Records in one message.
const RECORDS_PER_MESSAGE: usize = 200;

/// What membership wants done.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message to a member.
    Send(NodeId, FrameBody),
    /// Send a message to an address whose node isn't known yet.
    SendTo(NodeAddress, FrameBody),
    /// The table changed for this member.
    Changed(NodeId),
    /// A member is lost or has left.
    Departed(NodeId),
    /// A peer of the own data centre told its versions.
    Versions(NodeId, VersionMark),
    /// No entry point answers: read them from the platform's store.
    EntryPointsWanted,
}

/// State of membership at one node.
#[derive(Debug)]
pub struct MembershipMachine {
    own: MemberRecord,
    versions: VersionMark,
    seeds: Vec<NodeAddress>,
    table: MemberTable,
    updates: UpdateQueue,
    fresh: BTreeMap<NodeId, MemberRecord>,
    probe_order: Vec<NodeId>,
    probe: Option<ProbeRound>,
    relays: HashMap<u64, (NodeId, u64)>,
    sequence: u64,
    mismatches: BTreeMap<String, u64>,
    heard_centres: BTreeMap<String, Instant>,
    joined: bool,
    join_tries: u32,
    next_join: Instant,
    next_probe: Instant,
    next_repair: Instant,
    next_forward: Option<Instant>,
    rng: ChaCha8Rng,
    actions: Vec<MembershipAction>,
}

impl MembershipMachine {
    /// Builds the machine for a node that starts with `own` as its record.
    pub fn new(
        own: MemberRecord,
        seeds: Vec<NodeAddress>,
        mut rng: ChaCha8Rng,
        now: Instant,
    ) -> Self {
        let mut table = MemberTable::default();
        table.merge(&own, now);
        let spread = |rng: &mut ChaCha8Rng, period: Duration| {
            now + period.mul_f64(rng.random_range(0.0..1.0))
        };
        let next_probe = spread(&mut rng, PROBE_PERIOD);
        let next_repair = spread(&mut rng, REPAIR_PERIOD);
        let next_join = spread(&mut rng, JOIN_PERIOD / 10);
        Self {
            own,
            versions: VersionMark::default(),
            seeds,
            table,
            updates: UpdateQueue::default(),
            fresh: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: HashMap::new(),
            sequence: 0,
            mismatches: BTreeMap::new(),
            heard_centres: BTreeMap::new(),
            joined: false,
            join_tries: 0,
            next_join,
            next_probe,
            next_repair,
            next_forward: None,
            rng,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// The table.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Whether a peer has sent its table, or there is nobody to ask.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Time since each other data centre was heard.
    pub fn heard_centres(&self) -> &BTreeMap<String, Instant> {
        &self.heard_centres
    }

    /// Sets the versions told with each probe.
    pub fn set_versions(&mut self, versions: VersionMark) {
        self.versions = versions;
    }

    /// Adds entry points, as read from the platform's store. Only ones that weren't known
    /// are tried at once; otherwise a node that can't join would ask the store without end.
    pub fn add_seeds(&mut self, seeds: &[NodeAddress], now: Instant) {
        let known = self.seeds.len();
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
        if self.seeds.len() > known {
            self.next_join = self.next_join.min(now);
        }
    }

    /// Changes the own record and spreads it.
    pub fn announce<Change>(&mut self, change: Change, now: Instant)
    where
        Change: FnOnce(&mut MemberRecord),
    {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.own.revision += 1;
            self.spread_own(now);
        }
    }

    /// Tells every reachable member at once that this node drains or leaves.
    pub fn push_to_all(&mut self) {
        let records = TableRecords {
            records: vec![self.own.clone()],
            ..TableRecords::default()
        };
        let all: Vec<NodeId> = self
            .table
            .data_centres()
            .flat_map(|centre| self.table.reachable(centre))
            .map(|record| NodeId::from(record.node))
            .filter(|node| node.get() != self.own.node)
            .collect();
        for node in all {
            self.send(node, FrameBody::Records(records.clone()));
        }
    }

    /// Takes a message about membership; others are ignored.
    pub fn on_message(&mut self, from: NodeId, body: FrameBody, now: Instant) {
        if let Some(record) = self.table.get(from) {
            if record.data_centre != self.own.data_centre {
                self.heard_centres.insert(record.data_centre.clone(), now);
            }
        }
        match body {
            FrameBody::Probe(probe) => self.on_probe(from, &probe, now),
            FrameBody::ProbeAnswer(answer) => self.on_probe_answer(from, &answer, now),
            FrameBody::Join(join) => self.on_join(join, now),
            FrameBody::Digest(digest) => self.on_digest(from, &digest),
            FrameBody::Records(records) => self.on_records(from, &records, now),
            _ => {}
        }
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        if !self.joined && now >= self.next_join {
            self.try_join(now);
        }
        self.check_probe(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD.mul_f64(self.rng.random_range(0.9..1.1));
            self.start_probe(now);
            self.expire(now);
        }
        if now >= self.next_repair {
            self.next_repair = now + REPAIR_PERIOD.mul_f64(self.rng.random_range(0.8..1.2));
            self.send_digests();
        }
        if self.next_forward.is_some_and(|time| now >= time) {
            self.next_forward = None;
            self.forward_fresh();
        }
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_probe.min(self.next_repair);
        if !self.joined {
            wake = wake.min(self.next_join);
        }
        if let Some(probe) = &self.probe {
            let next = if probe.relayed {
                SUSPECT_AFTER
            } else {
                RELAY_AFTER
            };
            wake = wake.min(probe.sent + next);
        }
        self.next_forward.map_or(wake, |forward| wake.min(forward))
    }

    /// Lowest members in service of a data centre, which link it to the others; while
    /// none is in service, the lowest ones that can be reached.
    pub fn bridges(&self, data_centre: &str) -> Vec<NodeId> {
        let id = |record: &MemberRecord| NodeId::from(record.node);
        let ready: Vec<NodeId> = self
            .table
            .ready(data_centre)
            .take(BRIDGE_COUNT)
            .map(id)
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        self.table
            .reachable(data_centre)
            .take(BRIDGE_COUNT)
            .map(id)
            .collect()
    }

    fn own_id(&self) -> NodeId {
        NodeId::from(self.own.node)
    }

    fn send(&mut self, node: NodeId, body: FrameBody) {
        self.actions.push(MembershipAction::Send(node, body));
    }

    fn spread_own(&mut self, now: Instant) {
        let record = self.own.clone();
        self.table.merge(&record, now);
        self.actions.push(MembershipAction::Changed(self.own_id()));
        self.spread(record, now);
    }

    fn spread(&mut self, record: MemberRecord, now: Instant) {
        self.updates.add(record.clone());
        self.fresh.insert(NodeId::from(record.node), record);
        self.next_forward.get_or_insert(now + FORWARD_DELAY);
    }

    /// Takes a record from a peer and spreads it if it is news.
    fn take_record(&mut self, record: &MemberRecord, now: Instant) {
        if self.merge_record(record, now) {
            self.spread(record.clone(), now);
        }
    }

    /// Takes a record from a peer; tells whether it is news.
    fn merge_record(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.node == self.own.node {
            self.refute(record, now);
            return false;
        }
        let node = NodeId::from(record.node);
        let before = self.table.get(node).map(MemberRecord::state);
        let departed = matches!(record.state(), MemberState::Lost | MemberState::Left);
        // News of a departure matters only where the member is known; otherwise those who
        // have forgotten it and those who haven't would tell each other for ever.
        if (departed && before.is_none()) || !self.table.merge(record, now) {
            return false;
        }
        self.actions.push(MembershipAction::Changed(node));
        if departed && before != Some(record.state()) {
            self.actions.push(MembershipAction::Departed(node));
        }
        true
    }

    /// Answers a record on this very node that it didn't write.
    fn refute(&mut self, record: &MemberRecord, now: Instant) {
        let wrong = record.boot == self.own.boot
            && record.revision >= self.own.revision
            && record.state() != self.own.state();
        if wrong {
            self.own.revision = record.revision + 1;
            self.spread_own(now);
        }
    }

    fn try_join(&mut self, now: Instant) {
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
            self.actions.push(MembershipAction::EntryPointsWanted);
        }
        if let Some(seed) = others.choose(&mut self.rng) {
            let join = JoinRequest {
                record: Some(self.own.clone()),
            };
            self.actions
                .push(MembershipAction::SendTo(*seed, FrameBody::Join(join)));
        }
    }

    fn on_join(&mut self, join: JoinRequest, now: Instant) {
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
    fn send_news(&mut self, node: NodeId, records: &[MemberRecord]) {
        for chunk in records.chunks(RECORDS_PER_MESSAGE) {
            let body = TableRecords {
                records: chunk.to_vec(),
                ..TableRecords::default()
            };
            self.send(node, FrameBody::Records(body));
        }
    }

    /// Sends a copy of a part of the table, and asks for the same part in return.
    fn send_copy(&mut self, node: NodeId, records: &[MemberRecord], wanted: &[String]) {
        let mut wanted = wanted.to_vec();
        let mut chunks = records.chunks(RECORDS_PER_MESSAGE);
        // The question goes along even when there is nothing to send.
        let mut chunk = chunks.next();
        while chunk.is_some() || !wanted.is_empty() {
            let records = chunk.map(<[MemberRecord]>::to_vec).unwrap_or_default();
            let body = TableRecords {
                records,
                wanted: std::mem::take(&mut wanted),
                copy: true,
            };
            self.send(node, FrameBody::Records(body));
            chunk = chunks.next();
        }
    }

    /// Takes records. News is passed on, and so is a copy from another data centre, which
    /// is news to this one; a copy from nearby only fills gaps in this table.
    fn on_records(&mut self, from: NodeId, records: &TableRecords, now: Instant) {
        let near = self
            .table
            .get(from)
            .is_none_or(|record| record.data_centre == self.own.data_centre);
        let pass_on = !records.copy || (self.joined && !near);
        for record in &records.records {
            if pass_on {
                self.take_record(record, now);
            } else {
                self.merge_record(record, now);
            }
        }
        self.joined |= records
            .records
            .iter()
            .any(|record| record.node == from.get());
        if !records.wanted.is_empty() {
            let own: Vec<MemberRecord> = records
                .wanted
                .iter()
                .flat_map(|centre| self.table.centre(centre))
                .cloned()
                .collect();
            self.send_copy(from, &own, &[]);
        }
    }

    fn start_probe(&mut self, now: Instant) {
        if self.probe.is_some() {
            return;
        }
        let Some(node) = self.next_probed() else {
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.probe = Some(ProbeRound {
            node,
            sequence,
            sent: now,
            relayed: false,
        });
        self.send_probe(node, sequence, 0);
    }

    fn send_probe(&mut self, node: NodeId, sequence: u64, relay_to: u64) {
        let updates = self.updates.take();
        let versions = Some(self.versions);
        let probe = ProbeMessage {
            sequence,
            relay_to,
            updates,
            versions,
        };
        self.send(node, FrameBody::Probe(probe));
    }

    /// Goes through the own data centre in random order, each member once a round.
    fn next_probed(&mut self) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.probe_order.pop() {
                let reachable = self.table.get(node).is_some_and(|record| {
                    !matches!(record.state(), MemberState::Lost | MemberState::Left)
                });
                if reachable {
                    return Some(node);
                }
            }
            self.probe_order = self.near_peers();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Reachable peers of the own data centre.
    fn near_peers(&self) -> Vec<NodeId> {
        self.table
            .reachable(&self.own.data_centre)
            .map(|record| NodeId::from(record.node))
            .filter(|node| node.get() != self.own.node)
            .collect()
    }

    fn check_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe else {
            return;
        };
        let age = now - probe.sent;
        if age >= SUSPECT_AFTER {
            self.probe = None;
            self.suspect(probe.node, now);
        } else if age >= RELAY_AFTER && !probe.relayed {
            self.probe = Some(ProbeRound {
                relayed: true,
                ..probe
            });
            let mut peers = self.near_peers();
            peers.retain(|node| *node != probe.node);
            let relays: Vec<NodeId> = peers
                .choose_multiple(&mut self.rng, RELAY_COUNT)
                .copied()
                .collect();
            for relay in relays {
                self.send_probe(relay, probe.sequence, probe.node.get());
            }
        }
    }

    fn suspect(&mut self, node: NodeId, now: Instant) {
        self.conclude(node, MemberState::Suspect, now);
    }

    fn conclude(&mut self, node: NodeId, state: MemberState, now: Instant) {
        if let Some(record) = self.table.get(node) {
            let mut record = record.clone();
            record.set_state(state);
            self.take_record(&record, now);
        }
    }

    fn expire(&mut self, now: Instant) {
        if let Some(limit) = now.checked_sub(LOST_AFTER) {
            for node in self.table.since_before(MemberState::Suspect, limit) {
                // Only peers of the same data centre can tell a loss from a cut link.
                let near = self
                    .table
                    .get(node)
                    .is_some_and(|record| record.data_centre == self.own.data_centre);
                if near {
                    self.conclude(node, MemberState::Lost, now);
                }
            }
        }
        if let Some(limit) = now.checked_sub(DEPARTED_MEMORY) {
            for state in [MemberState::Lost, MemberState::Left] {
                for node in self.table.since_before(state, limit) {
                    self.table.remove(node);
                    self.actions.push(MembershipAction::Changed(node));
                }
            }
        }
    }

    fn on_probe(&mut self, from: NodeId, probe: &ProbeMessage, now: Instant) {
        self.take_gossip(from, &probe.updates, probe.versions, now);
        let relay_to = NodeId::from(probe.relay_to);
        if probe.relay_to == 0 || relay_to == self.own_id() {
            let mut updates = self.updates.take();
            updates.extend(self.doubt_about(from));
            let answer = ProbeAnswer {
                sequence: probe.sequence,
                probed: self.own.node,
                updates,
                versions: Some(self.versions),
            };
            self.send(from, FrameBody::ProbeAnswer(answer));
            return;
        }
        self.sequence += 1;
        self.relays.insert(self.sequence, (from, probe.sequence));
        let sequence = self.sequence;
        self.send_probe(relay_to, sequence, 0);
    }

    /// The record of a prober that is taken for gone, so that it can refute it.
    fn doubt_about(&self, node: NodeId) -> Option<MemberRecord> {
        let record = self.table.get(node)?;
        let doubted = matches!(record.state(), MemberState::Suspect | MemberState::Lost);
        doubted.then(|| record.clone())
    }

    fn on_probe_answer(&mut self, from: NodeId, answer: &ProbeAnswer, now: Instant) {
        self.take_gossip(from, &answer.updates, answer.versions, now);
        let probed = NodeId::from(answer.probed);
        if let Some((asker, sequence)) = self.relays.remove(&answer.sequence) {
            let relayed = ProbeAnswer {
                sequence,
                probed: answer.probed,
                ..ProbeAnswer::default()
            };
            self.send(asker, FrameBody::ProbeAnswer(relayed));
            return;
        }
        let answered = self
            .probe
            .is_some_and(|probe| probe.sequence == answer.sequence && probe.node == probed);
        if answered {
            self.probe = None;
        }
    }

    fn take_gossip(
        &mut self,
        from: NodeId,
        updates: &[MemberRecord],
        versions: Option<VersionMark>,
        now: Instant,
    ) {
        for record in updates {
            self.take_record(record, now);
        }
        if let Some(versions) = versions {
            self.actions
                .push(MembershipAction::Versions(from, versions));
        }
    }

    /// Passes fresh updates on: to some peers nearby, and across as a bridge.
    fn forward_fresh(&mut self) {
        let fresh: Vec<MemberRecord> = std::mem::take(&mut self.fresh).into_values().collect();
        let mut peers = self.near_peers();
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
        for far in self.far_bridges() {
            self.send_news(far, &own);
        }
    }

    /// One bridge of each other data centre, chosen at random.
    fn far_bridges(&mut self) -> Vec<NodeId> {
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
    fn send_digests(&mut self) {
        let digest = TableDigest {
            hashes: self.table.table_hashes(),
        };
        let peers = self.near_peers();
        if let Some(peer) = peers.choose(&mut self.rng).copied() {
            self.send(peer, FrameBody::Digest(digest.clone()));
        }
        if self.bridges(&self.own.data_centre).contains(&self.own_id()) {
            self.knock_at_seed();
            for far in self.far_bridges() {
                self.send(far, FrameBody::Digest(digest.clone()));
                let versions = Some(self.versions);
                let probe = ProbeMessage {
                    versions,
                    ..ProbeMessage::default()
                };
                self.send(far, FrameBody::Probe(probe));
            }
        }
    }

    /// Joins an entry point that isn't a known member, so that groups of nodes that
    /// started apart, or were apart for long, find each other.
    fn knock_at_seed(&mut self) {
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
            self.actions
                .push(MembershipAction::SendTo(*seed, FrameBody::Join(join)));
        }
    }

    /// Repairs a data centre's records once its hash differs in two digests running: an
    /// update on its way explains a single difference.
    fn on_digest(&mut self, from: NodeId, digest: &TableDigest) {
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
                .flat_map(|centre| self.table.centre(centre))
                .cloned()
                .collect();
            self.send_copy(from, &records, &wanted);
        }
    }
}
