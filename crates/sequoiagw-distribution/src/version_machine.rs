//! The state machine that takes versions, spreads them and puts them in force.
//!
//! A version is put in force at a node only when a majority of its data centre's voters
//! holds it. A fresh process asks a majority of them what they hold before it is ready.
//! The two majorities share a member, so the process learns of whatever the earlier
//! process on its host may have acted on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::ConfigError;
use sequoiagw_config::SettingTree;
use sequoiagw_config::SnapshotTable;
use sequoiagw_protocol::ConfigBusy;
use sequoiagw_protocol::ConfigDelta;
use sequoiagw_protocol::ConfigFull;
use sequoiagw_protocol::ConfigRequest;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::NodeVersions;
use sequoiagw_protocol::VersionActivate;
use sequoiagw_protocol::VersionMark;
use sequoiagw_protocol::VersionReport;
use tokio::time::Instant;

use crate::version_holding::write_changes;
use crate::HeldVersion;

/// Peers to whom a fresh version or an activation is pushed.
const PUSH_FANOUT: usize = 4;
/// Deltas kept for peers that are behind.
const DELTA_LOG_LENGTH: usize = 64;
/// Versions held that aren't in force yet.
const STAGED_LIMIT: usize = 16;
/// Time between two reports while a held version isn't in force.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Members that count together who holds what.
const COLLECTOR_COUNT: usize = 2;
/// Reports after which the next members in the order count, in case these can't be heard.
const COLLECTOR_ROUNDS: usize = 2;
/// Time between two reports otherwise, so that a lost one is made up for.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// Time a request for configuration may stay unanswered.
const REQUEST_TIME: Duration = Duration::from_millis(700);
/// Least time between two full copies sent by one node.
const FULL_COPY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds of questions of a fresh process.
const QUERY_PERIOD: Duration = Duration::from_secs(1);
/// Rounds of questions after which a fresh process reads the store.
const QUERY_ROUNDS: u32 = 2;

/// What the machine has to know of the members, as membership has it now.
#[derive(Clone, Debug, Default)]
pub struct VersionPeers {
    /// Voters of the own data centre besides this node: members in service.
    pub voters: BTreeSet<NodeId>,
    /// Reachable members of the own data centre besides this node.
    pub near: Vec<NodeId>,
    /// Bridges of each other data centre.
    pub far: Vec<Vec<NodeId>>,
    /// Whether this node links its data centre to the others.
    pub bridge: bool,
    /// Whether the member table has been received from a peer.
    pub joined: bool,
}

/// What the machine wants done.
#[derive(Clone, Debug)]
pub enum VersionAction {
    /// Send a message.
    Send(NodeId, FrameBody),
    /// Put a version in force.
    Activate(Arc<SnapshotTable>),
    /// The versions told to peers changed.
    Marked(VersionMark),
    /// A version was refused; the last good one stays in force.
    Refused(u64, ConfigError),
    /// Read the newest version from the platform's store.
    ReadStore,
    /// Count a full copy that was put off.
    FullCopyDeferred,
}

/// What a peer reported.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    held: u64,
    active: u64,
    voter: bool,
}

/// State of versions at one node.
#[derive(Debug)]
pub struct VersionMachine {
    node: NodeId,
    data_centre: String,
    peers: VersionPeers,
    held: Option<HeldVersion>,
    staged: BTreeMap<u64, Arc<SnapshotTable>>,
    active: u64,
    /// Version known to be held by a majority of the data centre.
    goal: u64,
    /// Version a fresh process has to have in force before it is ready.
    floor: Option<u64>,
    /// Version that couldn't be taken.
    refused: u64,
    log: VecDeque<ConfigDelta>,
    reports: BTreeMap<NodeId, PeerReport>,
    answers: BTreeMap<NodeId, VersionMark>,
    query_rounds: u32,
    next_query: Option<Instant>,
    next_report: Option<Instant>,
    /// Reports sent since the version held last came, while it isn't in force.
    report_rounds: usize,
    request: Option<(NodeId, Instant)>,
    last_full_copy: Option<Instant>,
    rng: ChaCha8Rng,
    actions: Vec<VersionAction>,
}

impl VersionMachine {
    /// Builds the machine of a fresh process.
    pub fn new(node: NodeId, data_centre: &str, rng: ChaCha8Rng, now: Instant) -> Self {
        Self {
            node,
            data_centre: data_centre.to_owned(),
            peers: VersionPeers::default(),
            held: None,
            staged: BTreeMap::new(),
            active: 0,
            goal: 0,
            floor: None,
            refused: 0,
            log: VecDeque::new(),
            reports: BTreeMap::new(),
            answers: BTreeMap::new(),
            query_rounds: 0,
            next_query: Some(now),
            next_report: None,
            report_rounds: 0,
            request: None,
            last_full_copy: None,
            rng,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<VersionAction> {
        std::mem::take(&mut self.actions)
    }

    /// Version in force, 0 when none.
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Newest version held.
    pub fn held(&self) -> Option<&HeldVersion> {
        self.held.as_ref()
    }

    /// Whether the process has a version in force that is no older than what its host may
    /// have acted on before.
    pub fn is_ready(&self) -> bool {
        self.active > 0 && self.floor.is_some_and(|floor| self.active >= floor)
    }

    /// Versions of the data centre's nodes, as far as they reported here.
    pub fn known_versions(&self) -> Vec<NodeVersions> {
        let others = self.reports.iter().map(|(node, report)| NodeVersions {
            node: node.get(),
            held: report.held,
            active: report.active,
        });
        let own = NodeVersions {
            node: self.node.get(),
            held: self.held_version(),
            active: self.active,
        };
        others.chain([own]).collect()
    }

    /// Takes the members as they are now.
    pub fn set_peers(&mut self, peers: VersionPeers, now: Instant) {
        self.reports.retain(|node, _| peers.near.contains(node));
        self.peers = peers;
        self.count_holders(now);
        self.check_answers(now);
    }

    /// Takes the newest version as read from the store, or its absence.
    pub fn on_stored(&mut self, stored: Option<&AcceptedConfig>, now: Instant) {
        let version = stored.map_or(0, |stored| stored.version);
        if self.floor.is_none() {
            self.set_floor(version);
        }
        let Some(stored) = stored else {
            return;
        };
        if version <= self.held_version() || version == self.refused {
            self.advance(now);
            return;
        }
        let delta = ConfigDelta {
            base: version - 1,
            version,
            checksum: stored.checksum.clone(),
            changes: write_changes(&stored.changes),
            accepted_ms: stored.accepted_ms,
        };
        let built = HeldVersion::build(
            version,
            &stored.checksum,
            stored.accepted_ms,
            stored.tree.clone(),
            &self.data_centre,
        );
        match built {
            Ok(built) => self.hold(built, Some(delta), None, now),
            Err(error) => self.refuse(version, error),
        }
    }

    /// Takes a version's changes as read from the store; tells whether they applied.
    pub fn on_stored_changes(&mut self, entry: &AcceptedConfig, now: Instant) -> bool {
        let delta = ConfigDelta {
            base: entry.version - 1,
            version: entry.version,
            checksum: entry.checksum.clone(),
            changes: write_changes(&entry.changes),
            accepted_ms: entry.accepted_ms,
        };
        self.take_delta(delta, None, now)
    }

    /// Takes a message about versions; others are ignored.
    pub fn on_message(&mut self, from: NodeId, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Delta(delta) => {
                let version = delta.version;
                if !self.take_delta(delta, Some(from), now) && version > self.held_version() {
                    self.request_from(from, false, now);
                }
            }
            FrameBody::Full(full) => self.on_full(from, &full, now),
            FrameBody::ConfigRequest(request) => self.on_request(from, request, now),
            FrameBody::ConfigBusy(_) => self.on_busy(from, now),
            FrameBody::Versions(report) => self.on_report(from, report, now),
            FrameBody::Activate(activate) if activate.data_centre == self.data_centre => {
                self.raise_goal(activate.version, now);
                self.fetch_if_behind(from, activate.version, now);
            }
            _ => {}
        }
    }

    /// Takes the versions that a peer told with a probe.
    pub fn on_mark(&mut self, from: NodeId, near: bool, mark: VersionMark, now: Instant) {
        if near {
            self.raise_goal(mark.active, now);
        }
        self.fetch_if_behind(from, mark.held, now);
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        if self.request.is_some_and(|(_, until)| now >= until) {
            self.request = None;
        }
        if self.next_query.is_some_and(|time| now >= time) {
            self.ask_peers(now);
        }
        if self.next_report.is_some_and(|time| now >= time) {
            self.report(now);
        }
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let request = self.request.map(|(_, until)| until);
        [request, self.next_query, self.next_report]
            .into_iter()
            .flatten()
            .min()
    }

    fn held_version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.version)
    }

    fn mark(&self) -> VersionMark {
        VersionMark {
            held: self.held_version(),
            active: self.active,
        }
    }

    fn send(&mut self, node: NodeId, body: FrameBody) {
        self.actions.push(VersionAction::Send(node, body));
    }

    fn take_delta(&mut self, delta: ConfigDelta, from: Option<NodeId>, now: Instant) -> bool {
        if delta.version <= self.held_version() {
            return true;
        }
        let Some(held) = &self.held else {
            return false;
        };
        match held.apply(&delta, &self.data_centre) {
            Ok(built) => {
                self.hold(built, Some(delta), from, now);
                true
            }
            Err(ConfigError::Base { .. }) => false,
            Err(error) => {
                self.refuse(delta.version, error);
                true
            }
        }
    }

    fn on_full(&mut self, from: NodeId, full: &ConfigFull, now: Instant) {
        self.request = None;
        if full.version <= self.held_version() || full.version == self.refused {
            return;
        }
        let built = SettingTree::from_json(&full.canonical).and_then(|tree| {
            let centre = &self.data_centre;
            HeldVersion::build(full.version, &full.checksum, full.accepted_ms, tree, centre)
        });
        match built {
            Ok(built) => self.hold(built, None, Some(from), now),
            Err(error) => self.refuse(full.version, error),
        }
    }

    fn refuse(&mut self, version: u64, error: ConfigError) {
        if version > self.refused {
            self.refused = version;
            self.actions.push(VersionAction::Refused(version, error));
        }
    }

    /// Takes a checked version and passes it on.
    fn hold(
        &mut self,
        built: HeldVersion,
        delta: Option<ConfigDelta>,
        from: Option<NodeId>,
        now: Instant,
    ) {
        self.staged
            .insert(built.version, Arc::clone(&built.snapshot));
        while self.staged.len() > STAGED_LIMIT {
            self.staged.pop_first();
        }
        self.held = Some(built);
        self.report_rounds = 0;
        self.request = None;
        let push = match delta {
            Some(delta) => {
                self.log.push_back(delta.clone());
                if self.log.len() > DELTA_LOG_LENGTH {
                    self.log.pop_front();
                }
                FrameBody::Delta(delta)
            }
            None => FrameBody::Versions(self.own_report(false)),
        };
        self.push_near(&push, from);
        if self.peers.bridge {
            self.push_far(&push);
        }
        self.actions.push(VersionAction::Marked(self.mark()));
        self.count_holders(now);
        self.advance(now);
        self.report(now);
    }

    fn push_near(&mut self, body: &FrameBody, except: Option<NodeId>) {
        let near: Vec<NodeId> = self
            .peers
            .near
            .iter()
            .copied()
            .filter(|node| Some(*node) != except)
            .collect();
        let chosen: Vec<NodeId> = near
            .choose_multiple(&mut self.rng, PUSH_FANOUT)
            .copied()
            .collect();
        for node in chosen {
            self.send(node, body.clone());
        }
    }

    fn push_far(&mut self, body: &FrameBody) {
        let far = self.peers.far.clone();
        for bridges in far {
            if let Some(bridge) = bridges.choose(&mut self.rng) {
                self.send(*bridge, body.clone());
            }
        }
    }

    fn own_report(&self, query: bool) -> VersionReport {
        VersionReport {
            held: self.held_version(),
            active: self.active,
            query,
            voter: self.is_ready(),
        }
    }

    /// Tells the collectors what this node holds, often while it isn't in force.
    fn report(&mut self, now: Instant) {
        let behind = self.active < self.held_version();
        self.report_rounds = if behind { self.report_rounds + 1 } else { 0 };
        let period = if behind {
            REPORT_PERIOD
        } else {
            REFRESH_PERIOD
        };
        self.next_report = Some(now + period.mul_f64(self.rng.random_range(0.8..1.2)));
        let report = FrameBody::Versions(self.own_report(false));
        let own = self.node;
        for collector in self.collectors().into_iter().filter(|node| *node != own) {
            self.send(collector, report.clone());
        }
        self.count_holders(now);
    }

    /// The lowest members in service, or those next in the order when they gave no sign.
    fn collectors(&self) -> Vec<NodeId> {
        let mut order: Vec<NodeId> = self.peers.voters.iter().copied().collect();
        if self.is_ready() {
            order.push(self.node);
            order.sort_unstable();
        }
        let turn = self.report_rounds.saturating_sub(1) / COLLECTOR_ROUNDS;
        let start = turn * COLLECTOR_COUNT % order.len().max(1);
        order
            .iter()
            .cycle()
            .skip(start)
            .take(COLLECTOR_COUNT.min(order.len()))
            .copied()
            .collect()
    }

    fn on_report(&mut self, from: NodeId, report: VersionReport, now: Instant) {
        let near = self.peers.near.contains(&from);
        if near {
            let held = PeerReport {
                held: report.held,
                active: report.active,
                voter: report.voter,
            };
            self.reports.insert(from, held);
            self.raise_goal(report.active, now);
            if report.voter && self.floor.is_none() {
                let mark = VersionMark {
                    held: report.held,
                    active: report.active,
                };
                self.answers.insert(from, mark);
                self.check_answers(now);
            }
        }
        if report.query {
            let answer = FrameBody::Versions(self.own_report(false));
            self.send(from, answer);
        } else if near && report.active < self.active && report.held >= self.active {
            // The peer holds what is in force here and wasn't told.
            let activate = self.activate_body(self.active);
            self.send(from, activate);
        }
        self.fetch_if_behind(from, report.held, now);
        self.count_holders(now);
    }

    fn activate_body(&self, version: u64) -> FrameBody {
        FrameBody::Activate(VersionActivate {
            version,
            data_centre: self.data_centre.clone(),
        })
    }

    /// Finds the newest version that a majority of the voters holds.
    fn count_holders(&mut self, now: Instant) {
        let own = if self.is_ready() {
            Some(self.held_version())
        } else {
            None
        };
        let mut held: Vec<u64> = self
            .peers
            .voters
            .iter()
            .map(|node| self.reports.get(node).filter(|report| report.voter))
            .map(|report| report.map_or(0, |report| report.held))
            .chain(own)
            .collect();
        if held.is_empty() {
            // No voter is left or has ever been: what the store says is taken as it is.
            held.push(self.floor.map_or(0, |_| self.held_version()));
        }
        held.sort_unstable_by(|one, other| other.cmp(one));
        let majority = held.len() / 2 + 1;
        let version = held[majority - 1];
        let in_force = self
            .reports
            .values()
            .map(|report| report.active)
            .max()
            .unwrap_or(0);
        self.raise_goal(version.max(in_force), now);
    }

    fn raise_goal(&mut self, version: u64, now: Instant) {
        if version > self.goal {
            self.goal = version;
            self.advance(now);
        }
    }

    /// Puts the newest staged version in force that a majority holds.
    fn advance(&mut self, now: Instant) {
        if self.floor.is_none() {
            return;
        }
        let next = self.staged.range(..=self.goal).next_back();
        let Some((version, snapshot)) = next.map(|(version, table)| (*version, Arc::clone(table)))
        else {
            return;
        };
        if version <= self.active || self.floor.is_some_and(|floor| version < floor) {
            return;
        }
        self.active = version;
        self.staged = self.staged.split_off(&version);
        self.actions.push(VersionAction::Activate(snapshot));
        self.actions.push(VersionAction::Marked(self.mark()));
        let activate = self.activate_body(version);
        self.push_near(&activate, None);
        self.report(now);
    }

    fn fetch_if_behind(&mut self, from: NodeId, version: u64, now: Instant) {
        if version > self.held_version() && version != self.refused && self.request.is_none() {
            self.request_from(from, false, now);
        }
    }

    fn request_from(&mut self, node: NodeId, full: bool, now: Instant) {
        // A node that isn't a known member yet can't be sent to, and would only block
        // requests to others.
        let known = self.peers.near.contains(&node) || self.peers.far.concat().contains(&node);
        if self.request.is_some() || !known {
            return;
        }
        self.request = Some((node, now + REQUEST_TIME));
        let held = self.held_version();
        self.send(node, FrameBody::ConfigRequest(ConfigRequest { held, full }));
    }

    fn on_request(&mut self, from: NodeId, request: ConfigRequest, now: Instant) {
        let Some(held) = &self.held else {
            return;
        };
        if request.held >= held.version {
            return;
        }
        let chain = self.chain_from(request.held);
        if let (Some(chain), false) = (chain, request.full) {
            for delta in chain {
                self.send(from, FrameBody::Delta(delta));
            }
            return;
        }
        let spent = self
            .last_full_copy
            .is_some_and(|last| now - last < FULL_COPY_INTERVAL);
        if spent {
            let retry_ms = FULL_COPY_INTERVAL.as_millis() as u32;
            self.actions.push(VersionAction::FullCopyDeferred);
            self.send(from, FrameBody::ConfigBusy(ConfigBusy { retry_ms }));
            return;
        }
        self.last_full_copy = Some(now);
        let full = FrameBody::Full(held.to_full());
        self.send(from, full);
    }

    /// Logged deltas that lead from `version` to the version held.
    fn chain_from(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        if version == 0 {
            return None;
        }
        let start = self.log.iter().position(|delta| delta.base == version)?;
        let chain: Vec<ConfigDelta> = self.log.iter().skip(start).cloned().collect();
        let linked = chain.windows(2).all(|pair| pair[0].version == pair[1].base);
        linked.then_some(chain)
    }

    /// The peer sends no full copy now: asks another one that may hold it.
    fn on_busy(&mut self, from: NodeId, now: Instant) {
        self.request = None;
        let others: Vec<NodeId> = self
            .peers
            .near
            .iter()
            .copied()
            .filter(|node| *node != from)
            .collect();
        if let Some(node) = others.choose(&mut self.rng) {
            self.request_from(*node, false, now);
        }
    }

    /// A fresh process asks its data centre's voters what they hold.
    fn ask_peers(&mut self, now: Instant) {
        if self.floor.is_some() {
            self.next_query = None;
            return;
        }
        let wait = QUERY_PERIOD.mul_f64(self.rng.random_range(0.7..1.3));
        self.next_query = Some(now + wait);
        self.query_rounds += 1;
        let unanswered: Vec<NodeId> = self
            .peers
            .voters
            .iter()
            .copied()
            .filter(|node| !self.answers.contains_key(node))
            .collect();
        let query = FrameBody::Versions(self.own_report(true));
        for node in unanswered {
            self.send(node, query.clone());
        }
        if self.query_rounds > QUERY_ROUNDS {
            self.actions.push(VersionAction::ReadStore);
        }
    }

    /// Ends the questions when a majority of the voters has answered.
    fn check_answers(&mut self, now: Instant) {
        if self.floor.is_some() {
            return;
        }
        let voters = &self.peers.voters;
        if voters.is_empty() || !self.peers.joined {
            return;
        }
        let answered: Vec<VersionMark> = voters
            .iter()
            .filter_map(|node| self.answers.get(node).copied())
            .collect();
        if answered.len() < voters.len() / 2 + 1 {
            if self.query_rounds <= 1 && answered.is_empty() {
                self.next_query = Some(now);
            }
            return;
        }
        let floor = answered.iter().map(|mark| mark.held).max().unwrap_or(0);
        self.set_floor(floor);
        for mark in answered {
            self.raise_goal(mark.active, now);
        }
        self.advance(now);
    }

    fn set_floor(&mut self, version: u64) {
        self.floor = Some(version);
        self.next_query = None;
        self.answers.clear();
    }
}
