//! State machine for cluster membership.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::TableRecords;
use sequoiagw_protocol::VersionStatus;
use tokio::time::Instant;

use crate::probe_round::ProbeRound;
use crate::update_queue::UpdateQueue;
use crate::MemberTable;
use crate::MembershipAction;

/// Interval at which a node probes one other member.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer after which other members are asked to relay the probe.
pub(crate) const RELAY_DELAY: Duration = Duration::from_millis(600);
/// Time without an answer after which the probed member becomes a suspect.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Interval between table digests sent to one local peer and, by bridges, to one bridge
/// of each remote data centre.
const REPAIR_INTERVAL: Duration = Duration::from_secs(5);
/// Base delay between two join attempts.
pub(crate) const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before new updates are forwarded, so that a burst of updates shares one message.
const FORWARD_DELAY: Duration = Duration::from_millis(50);
/// Number of members per data centre that exchange updates with other data centres.
const BRIDGE_COUNT: usize = 2;

/// Membership state of one node.
#[derive(Debug)]
pub struct MembershipMachine {
    pub(crate) own: MemberRecord,
    pub(crate) own_versions: VersionStatus,
    pub(crate) seeds: Vec<NodeAddress>,
    pub(crate) table: MemberTable,
    /// Updates to attach to probes and probe answers.
    pub(crate) piggyback_queue: UpdateQueue,
    /// Updates to forward at `next_forward`.
    pub(crate) pending_forward: BTreeMap<NodeId, MemberRecord>,
    pub(crate) probe_order: Vec<NodeId>,
    pub(crate) probe: Option<ProbeRound>,
    /// Probes relayed for other members: the sequence number used here, mapped to the
    /// requesting node and its own sequence number.
    pub(crate) relayed_probes: HashMap<u64, (NodeId, u64)>,
    pub(crate) last_sequence: u64,
    /// Own hash of each data centre whose hash differed from the peer's in the latest digest that
    /// covered it.
    pub(crate) hash_mismatches: BTreeMap<String, u64>,
    /// Time of the last message from each remote data centre.
    pub(crate) last_contact_by_data_centre: BTreeMap<String, Instant>,
    pub(crate) joined: bool,
    pub(crate) join_attempts: u32,
    pub(crate) next_join: Instant,
    pub(crate) next_probe: Instant,
    pub(crate) next_repair: Instant,
    pub(crate) next_forward: Option<Instant>,
    /// Probe ticks counted towards `STARTUP_JOIN_LIMIT`.
    pub(crate) startup_joins: u32,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<MembershipAction>,
}

impl MembershipMachine {
    /// Creates the state machine for a node whose own record is `own`.
    ///
    /// The first timers start at a random phase, so that nodes started together don't act
    /// at the same time.
    pub fn new(
        own: MemberRecord,
        seeds: Vec<NodeAddress>,
        mut rng: ChaCha8Rng,
        now: Instant,
    ) -> Self {
        let mut table = MemberTable::default();
        table.merge(&own, now);
        let random_phase = |rng: &mut ChaCha8Rng, period: Duration| {
            now + period.mul_f64(rng.random_range(0.0..1.0))
        };
        let next_probe = random_phase(&mut rng, PROBE_INTERVAL);
        let next_repair = random_phase(&mut rng, REPAIR_INTERVAL);
        let next_join = random_phase(&mut rng, JOIN_RETRY_INTERVAL / 10);
        Self {
            own,
            own_versions: VersionStatus::default(),
            seeds,
            table,
            piggyback_queue: UpdateQueue::default(),
            pending_forward: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: HashMap::new(),
            last_sequence: 0,
            hash_mismatches: BTreeMap::new(),
            last_contact_by_data_centre: BTreeMap::new(),
            joined: false,
            join_attempts: 0,
            next_join,
            next_probe,
            next_repair,
            next_forward: None,
            startup_joins: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// Drains the actions queued since the previous call.
    pub fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Table of all known members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Record that this node announces about itself.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Whether a peer has sent records that include its own, as in answer to a join request.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Time of the last message received from each remote data centre.
    pub fn last_contact_by_data_centre(&self) -> &BTreeMap<String, Instant> {
        &self.last_contact_by_data_centre
    }

    /// Sets the configuration versions that are reported with each probe.
    pub fn set_versions(&mut self, versions: VersionStatus) {
        self.own_versions = versions;
    }

    /// Adds seed addresses read from the platform's store.
    ///
    /// The next join attempt is brought forward only if an address is new. Otherwise a node
    /// that can't join would read the store in an endless loop.
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

    /// Changes this node's own record and, if it differs, publishes a new revision.
    pub fn announce<Change>(&mut self, change: Change, now: Instant)
    where
        Change: FnOnce(&mut MemberRecord),
    {
        let previous = self.own.clone();
        change(&mut self.own);
        if self.own != previous {
            self.own.revision += 1;
            self.publish_own_record(now);
        }
    }

    /// Sends this node's own record to every reachable member at once, as when it drains or
    /// leaves.
    pub fn broadcast_own_record(&mut self) {
        let records = TableRecords {
            records: vec![self.own.clone()],
            ..TableRecords::default()
        };
        let recipients: Vec<NodeId> = self
            .table
            .data_centres()
            .flat_map(|centre| self.table.reachable(centre))
            .map(|record| NodeId::from(record.node))
            .filter(|node| node.get() != self.own.node)
            .collect();
        for node in recipients {
            self.send(node, FrameBody::Records(records.clone()));
        }
    }

    /// Handles a membership message; other message types are ignored.
    pub fn on_message(&mut self, from: NodeId, body: FrameBody, now: Instant) {
        if let Some(record) = self.table.get(from) {
            if record.data_centre != self.own.data_centre {
                self.last_contact_by_data_centre
                    .insert(record.data_centre.clone(), now);
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

    /// Runs all timers that are due.
    pub fn on_tick(&mut self, now: Instant) {
        if !self.joined && now >= self.next_join {
            self.try_join(now);
        }
        self.check_probe_timeouts(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
            self.start_probe(now);
            self.expire_members(now);
            self.join_unknown_seed_at_startup();
        }
        if now >= self.next_repair {
            self.next_repair = now + REPAIR_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
            self.send_digests();
        }
        if self.next_forward.is_some_and(|time| now >= time) {
            self.next_forward = None;
            self.forward_updates();
        }
    }

    /// Next time at which [`Self::on_tick`] must be called.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_probe.min(self.next_repair);
        if !self.joined {
            wake = wake.min(self.next_join);
        }
        if let Some(probe) = &self.probe {
            let next = if probe.relayed {
                PROBE_TIMEOUT
            } else {
                RELAY_DELAY
            };
            wake = wake.min(probe.sent + next);
        }
        self.next_forward.map_or(wake, |forward| wake.min(forward))
    }

    /// Nodes that connect a data centre to the others: the members in service with the
    /// lowest node identities or, while none is in service, the lowest reachable ones.
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

    pub(crate) fn own_id(&self) -> NodeId {
        NodeId::from(self.own.node)
    }

    pub(crate) fn send(&mut self, node: NodeId, body: FrameBody) {
        self.actions.push(MembershipAction::Send(node, body));
    }

    fn publish_own_record(&mut self, now: Instant) {
        let record = self.own.clone();
        self.table.merge(&record, now);
        self.actions
            .push(MembershipAction::RecordChanged(self.own_id()));
        self.queue_update(record, now);
    }

    pub(crate) fn queue_update(&mut self, record: MemberRecord, now: Instant) {
        self.piggyback_queue.add(record.clone());
        self.pending_forward
            .insert(NodeId::from(record.node), record);
        self.next_forward.get_or_insert(now + FORWARD_DELAY);
    }

    /// Merges a record and queues it for other members if it changed the table.
    pub(crate) fn apply_record(&mut self, record: &MemberRecord, now: Instant) {
        if self.merge_record(record, now) {
            self.queue_update(record.clone(), now);
        }
    }

    /// Merges a record into the table; returns whether the table changed.
    pub(crate) fn merge_record(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.node == self.own.node {
            self.refute(record, now);
            return false;
        }
        let node = NodeId::from(record.node);
        let previous_state = self.table.get(node).map(MemberRecord::state);
        let departed = matches!(record.state(), MemberState::Lost | MemberState::Left);
        // A departure of an unknown member is ignored. Otherwise nodes that have removed
        // the record and nodes that still keep it would send it to each other forever.
        if (departed && previous_state.is_none()) || !self.table.merge(record, now) {
            return false;
        }
        self.actions.push(MembershipAction::RecordChanged(node));
        if departed && previous_state != Some(record.state()) {
            self.actions.push(MembershipAction::Departed(node));
        }
        true
    }

    /// Refutes a record about this node that another member changed, by publishing a higher
    /// revision.
    fn refute(&mut self, record: &MemberRecord, now: Instant) {
        let contradicts_own = record.boot == self.own.boot
            && record.revision >= self.own.revision
            && record.state() != self.own.state();
        if contradicts_own {
            self.own.revision = record.revision + 1;
            self.publish_own_record(now);
        }
    }
}
