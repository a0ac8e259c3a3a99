//! The state machine of membership.

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

/// Time between two probes of one node.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which other members are asked to probe as well.
pub(crate) const RELAY_AFTER: Duration = Duration::from_millis(600);
/// Time without an answer after which a member is suspected.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_millis(1600);
/// Time between two repairs with one peer of the own data centre, and with each other
/// data centre's bridges.
const REPAIR_PERIOD: Duration = Duration::from_secs(5);
/// Time between two tries to join.
pub(crate) const JOIN_PERIOD: Duration = Duration::from_secs(1);
/// Delay before updates are passed on, so that a burst of them shares a message.
const FORWARD_DELAY: Duration = Duration::from_millis(50);
/// Members of each data centre that exchange updates with the others.
const BRIDGE_COUNT: usize = 2;

/// State of membership at one node.
#[derive(Debug)]
pub struct MembershipMachine {
    pub(crate) own: MemberRecord,
    pub(crate) versions: VersionStatus,
    pub(crate) seeds: Vec<NodeAddress>,
    pub(crate) table: MemberTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) fresh: BTreeMap<NodeId, MemberRecord>,
    pub(crate) probe_order: Vec<NodeId>,
    pub(crate) probe: Option<ProbeRound>,
    pub(crate) relays: HashMap<u64, (NodeId, u64)>,
    pub(crate) sequence: u64,
    pub(crate) mismatches: BTreeMap<String, u64>,
    pub(crate) last_contact_by_data_centre: BTreeMap<String, Instant>,
    pub(crate) joined: bool,
    pub(crate) join_tries: u32,
    pub(crate) next_join: Instant,
    pub(crate) next_probe: Instant,
    pub(crate) next_repair: Instant,
    pub(crate) next_forward: Option<Instant>,
    pub(crate) early_knocks: u32,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<MembershipAction>,
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
            versions: VersionStatus::default(),
            seeds,
            table,
            updates: UpdateQueue::default(),
            fresh: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: HashMap::new(),
            sequence: 0,
            mismatches: BTreeMap::new(),
            last_contact_by_data_centre: BTreeMap::new(),
            joined: false,
            join_tries: 0,
            next_join,
            next_probe,
            next_repair,
            next_forward: None,
            early_knocks: 0,
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
    pub fn last_contact_by_data_centre(&self) -> &BTreeMap<String, Instant> {
        &self.last_contact_by_data_centre
    }

    /// Sets the versions told with each probe.
    pub fn set_versions(&mut self, versions: VersionStatus) {
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
    pub fn broadcast_own_record(&mut self) {
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
            self.knock_early();
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

    pub(crate) fn own_id(&self) -> NodeId {
        NodeId::from(self.own.node)
    }

    pub(crate) fn send(&mut self, node: NodeId, body: FrameBody) {
        self.actions.push(MembershipAction::Send(node, body));
    }

    fn spread_own(&mut self, now: Instant) {
        let record = self.own.clone();
        self.table.merge(&record, now);
        self.actions
            .push(MembershipAction::RecordChanged(self.own_id()));
        self.spread(record, now);
    }

    pub(crate) fn spread(&mut self, record: MemberRecord, now: Instant) {
        self.updates.add(record.clone());
        self.fresh.insert(NodeId::from(record.node), record);
        self.next_forward.get_or_insert(now + FORWARD_DELAY);
    }

    /// Takes a record from a peer and spreads it if it is news.
    pub(crate) fn take_record(&mut self, record: &MemberRecord, now: Instant) {
        if self.merge_record(record, now) {
            self.spread(record.clone(), now);
        }
    }

    /// Takes a record from a peer; tells whether it is news.
    pub(crate) fn merge_record(&mut self, record: &MemberRecord, now: Instant) -> bool {
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
        self.actions.push(MembershipAction::RecordChanged(node));
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
}
