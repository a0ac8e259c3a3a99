//! The node's decisions, joined: the fleet's directory, versions, entry and owner.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::CounterBoard;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSetup;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_policy::SlotRule;
use sequoiagw_protocol::ConfigFull;
use sequoiagw_protocol::ConfigRequest;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_protocol::TableRecords;
use tokio::time::Instant;
use tracing::info;

use crate::EntryChange;
use crate::FleetDirectory;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use crate::MeshRoute;
use crate::MeshSettings;
use crate::MeshVersion;
use crate::NewsRecord;
use crate::NodeEntry;
use crate::SplitTable;
use crate::TargetRecord;

/// Calls that may wait at a target, in multiples of its slots.
const QUEUE_FACTOR: u32 = 20;
/// Part of the fleet's extra repeats that nodes use, so that estimates of the number of
/// nodes may be off.
const EXTRA_PART: f64 = 0.6;
/// Part of the allowed share of repeats that nodes use; calls of repeated runs count too.
const SHARE_PART: f64 = 0.6;

/// Nodes of each data centre that watch the entries in the store for the others.
const WATCHERS: usize = 2;

/// Something to be done at an edge of the node.
#[derive(Debug)]
pub enum MeshAction {
    /// Send a frame to a peer.
    Send(NodeAddress, Box<PeerFrame>),
    /// Replace the link to a peer.
    ResetLink(NodeAddress),
    /// Run a call at the backend server.
    Run(Box<RunRequest>),
    /// Abort a run.
    Abort(RunId),
    /// Answer a caller.
    Reply(u64, CallerReply),
    /// The node's own entry in the store has to be written again.
    EntryChanged,
    /// A peer has this newer configuration.
    ConfigOffered(bytes::Bytes),
}

fn records_body(records: Vec<MemberRecord>) -> FrameBody {
    FrameBody::Records(TableRecords {
        records,
        ..TableRecords::default()
    })
}

/// State of a node.
pub struct MeshCore {
    settings: MeshSettings,
    node: NodeId,
    boot: u64,
    entry: EntryMachine,
    owner: OwnerMachine,
    directory: FleetDirectory,
    target: TargetRecord,
    version: Option<Rc<MeshVersion>>,
    splits: SplitTable,
    news: NewsRecord,
    boots: HashMap<NodeId, u64>,
    rng: ChaCha8Rng,
    own_frames: VecDeque<FrameBody>,
    /// Slots offered now, 0 when the backend server takes no work.
    offered: u32,
    leaving: bool,
    refusing: bool,
    /// Whether this process has joined through its peers, because the store didn't answer.
    joined_past_store: bool,
    counters: CounterBoard,
    actions: Vec<MeshAction>,
}

impl MeshCore {
    /// Builds a node that knows nothing yet; `boot` differs from that of any other process.
    pub fn new(settings: MeshSettings, boot: u64, counters: CounterBoard) -> Self {
        let node = NodeId::from_name(&settings.name);
        let mut rng = ChaCha8Rng::seed_from_u64(boot ^ node.get());
        let entry_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let backend = &settings.backend;
        let address = backend.address.to_string();
        Self {
            node,
            boot,
            entry: EntryMachine::new(&settings.data_centre, entry_rng),
            owner: OwnerMachine::new(node, boot, OwnerSetup::default()),
            directory: FleetDirectory::default(),
            target: TargetRecord::new(&backend.service, &address, backend.heartbeat),
            version: None,
            splits: SplitTable::default(),
            news: NewsRecord::default(),
            boots: HashMap::new(),
            rng,
            own_frames: VecDeque::new(),
            offered: 0,
            leaving: false,
            refusing: false,
            joined_past_store: false,
            counters,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<MeshAction> {
        std::mem::take(&mut self.actions)
    }

    /// Settings of the node.
    pub fn settings(&self) -> &MeshSettings {
        &self.settings
    }

    /// Counters of the node.
    pub fn counters(&self) -> &CounterBoard {
        &self.counters
    }

    /// Number of the process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Version in force.
    pub fn version(&self) -> Option<&Rc<MeshVersion>> {
        self.version.as_ref()
    }

    /// Nodes known.
    pub fn directory(&self) -> &FleetDirectory {
        &self.directory
    }

    /// The backend server beside this node.
    pub fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// Whether the node takes callers' requests.
    pub fn is_ready(&self) -> bool {
        self.version.is_some() && !self.directory.is_empty() && !self.leaving
    }

    /// Whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Calls that aren't over, as entry and as owner.
    pub fn open_calls(&self) -> usize {
        self.entry.open_calls() + self.owner.open_calls()
    }

    /// The node's entry as it should stand in the store.
    pub fn own_entry(&self) -> NodeEntry {
        NodeEntry {
            name: self.settings.name.clone(),
            boot: self.boot,
            address: self.settings.peer_address.to_string(),
            data_centre: self.settings.data_centre.clone(),
            service: self.settings.backend.service.clone(),
            slots: if self.leaving { 0 } else { self.offered },
            leaving: self.target.leaving().cloned(),
        }
    }

    /// Takes a version unless a newer one is in force; tells whether it is in force now.
    pub fn take_version(&mut self, version: Rc<MeshVersion>) -> bool {
        let held = self.version.as_ref().map_or(0, |held| held.number);
        if version.number <= held && self.version.is_some() {
            return false;
        }
        info!(
            event = "version_activated",
            version = version.number,
            before = held
        );
        self.counters.count("config.activated");
        self.splits.clear();
        self.version = Some(version);
        true
    }

    /// Chooses the service that a route's next request goes to.
    pub fn choose_service(&mut self, route: &MeshRoute) -> String {
        self.splits.choose(route, &mut self.rng).to_owned()
    }

    /// Starts a caller's call; [`MeshAction::Reply`] follows under the number returned.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.entry.begin(spec, request, now);
        self.settle(now);
        call
    }

    /// The caller of a call has gone.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.counters.refused(ErrorKind::CallerGone.rule().name);
        self.entry.on_caller_gone(call);
        self.settle(now);
    }

    /// Share of a service's requests that this node may repeat.
    pub fn retry_share(&self) -> f64 {
        self.settings.repeats.share * SHARE_PART
    }

    /// Takes a heartbeat of the backend server.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let outcome = self.target.on_heartbeat(beat, now);
        self.offer_target(now);
        outcome
    }

    /// The backend server is going.
    pub fn on_leave(&mut self, instance: &str, now: Instant) {
        self.target.on_leave(instance);
        self.offer_target(now);
    }

    /// Takes all entries of the store.
    pub fn on_entries(&mut self, entries: Vec<(NodeEntry, u64)>, now: Instant) {
        let own = entries
            .iter()
            .find(|(entry, _)| entry.name == self.settings.name);
        if let Some(life) = own.and_then(|(entry, _)| entry.leaving.clone()) {
            self.target.remember_left(life);
        }
        self.joined_past_store = false;
        self.directory.replace(entries, now);
        self.directory_changed(now);
    }

    /// Takes changes of entries in the store.
    pub fn on_entry_changes(&mut self, changes: &[EntryChange], now: Instant) {
        let mut differs = false;
        for change in changes {
            match change {
                EntryChange::Written(entry, revision) => {
                    differs |= self.directory.put(entry.clone(), *revision);
                }
                EntryChange::Gone(node, revision) => {
                    self.directory.remove(*node, *revision, now);
                    self.counters.count("directory.lapsed");
                    differs |= *node == self.node;
                }
            }
        }
        if differs {
            self.directory_changed(now);
        }
    }

    /// Whether this node watches the nodes' entries in the store.
    pub fn watches_entries(&self, now: Instant) -> bool {
        self.is_watcher() || self.news.is_silent(now)
    }

    /// Whether the entries known differ for long from those that the watchers know.
    pub fn doubts_entries(&mut self) -> bool {
        self.news.take_doubt()
    }

    /// Passes changes of entries on to the other nodes of the data centre.
    pub fn tell_changes(&mut self, changes: &[EntryChange], now: Instant) {
        if self.is_watcher() {
            let records = changes.iter().map(EntryChange::to_record).collect();
            self.tell_data_centre(&records_body(records), now);
        }
    }

    /// Tells the data centre's nodes which entries a watcher knows; without an answering
    /// store only that it is there, for processes that start meanwhile.
    pub fn tell_digest(&mut self, store_answers: bool, now: Instant) {
        if !self.is_watcher() {
            return;
        }
        let hash = TableHash {
            data_centre: self.settings.data_centre.clone(),
            hash: self.directory.digest(),
        };
        let own = EntryChange::Written(self.own_entry(), 0).to_record();
        let digest = TableDigest {
            hashes: store_answers.then_some(hash).into_iter().collect(),
            sender: Some(own),
        };
        self.tell_data_centre(&FrameBody::Digest(digest), now);
    }

    fn is_watcher(&self) -> bool {
        let listed = self.directory.listed_in(&self.settings.data_centre);
        listed.take(WATCHERS).any(|node| node == self.node)
    }

    fn tell_data_centre(&mut self, body: &FrameBody, now: Instant) {
        let listed = self.directory.listed_in(&self.settings.data_centre);
        let others: Vec<NodeId> = listed.filter(|node| *node != self.node).collect();
        for node in others {
            self.send(node, body.clone());
        }
        self.settle(now);
    }

    /// A frame came from a peer.
    pub fn on_frame(&mut self, frame: PeerFrame, bytes: usize, now: Instant) {
        let from = frame.sender_id();
        self.counters.frame_bytes(frame.kind(), bytes);
        self.entry.on_heard(from, now);
        if let Some(body) = frame.body {
            self.on_body(from, frame.boot, body, now);
        }
        self.settle(now);
    }

    /// A link broke after it stood.
    pub fn on_link_lost(&mut self, address: NodeAddress, now: Instant) {
        self.counters.count("link.lost");
        for node in self.directory.nodes_at(address) {
            self.entry.on_link_lost(node, now);
        }
        self.settle(now);
    }

    /// Frames were never written to any link.
    pub fn on_undelivered(&mut self, address: NodeAddress, frames: &[PeerFrame], now: Instant) {
        self.counters.count("link.refused");
        for node in self.directory.nodes_at(address) {
            for frame in frames {
                match &frame.body {
                    Some(FrameBody::Dispatch(dispatch)) => {
                        self.entry.on_undelivered(dispatch.call, node, now);
                    }
                    Some(FrameBody::Query(query)) => {
                        self.entry.on_query_undelivered(query.call, node, now);
                    }
                    _ => {}
                }
            }
        }
        self.settle(now);
    }

    /// A run at the backend server is over.
    pub fn on_run_done(&mut self, run: RunId, result: BackendResult, now: Instant) {
        if matches!(result, BackendResult::Answered { .. }) {
            self.target.on_answer(now);
        }
        self.owner.on_result(run, result, now);
        self.settle(now);
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        self.entry.on_tick(now);
        self.owner.on_tick(now);
        self.offer_target(now);
        let entry = &self.entry;
        if self.directory.expire(now, |node| entry.heard_at(node)) {
            self.counters.count("directory.expired");
            self.directory_changed(now);
        }
        self.settle(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let silent = self.target.silent_at().filter(|_| self.offered > 0);
        let times = [
            self.entry.next_wake(),
            self.owner.next_wake(),
            silent,
            self.directory.next_expiry(now),
        ];
        times.into_iter().flatten().min()
    }

    /// Asks a peer drawn at random for a configuration newer than the one in force.
    pub fn ask_for_config(&mut self, now: Instant) {
        let others: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        if others.is_empty() {
            return;
        }
        let node = others[self.rng.random_range(0..others.len())];
        let held = self.version.as_ref().map_or(0, |held| held.number);
        if node != self.node {
            self.send(
                node,
                FrameBody::ConfigRequest(ConfigRequest { held, full: true }),
            );
        }
        self.settle(now);
    }

    /// Starts to leave: work that waits goes elsewhere, what runs is finished.
    pub fn leave(&mut self, now: Instant) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.owner.drain(now);
        self.actions.push(MeshAction::EntryChanged);
        self.settle(now);
    }

    /// Begins no new calls from now on: the process ends before they could be finished.
    pub fn refuse_callers(&mut self) {
        self.refusing = true;
    }

    /// Whether no new calls are begun.
    pub fn refuses_callers(&self) -> bool {
        self.refusing
    }

    /// Offers the backend server's slots, or takes the offer back.
    fn offer_target(&mut self, now: Instant) {
        let slots = self.target.serving(now).map_or(0, |(_, slots)| slots);
        if slots == self.offered {
            return;
        }
        info!(event = "slots_offered", slots, before = self.offered);
        self.offered = slots;
        let service = match slots {
            0 => String::new(),
            _ => self.settings.backend.service.clone(),
        };
        let setup = OwnerSetup {
            service,
            slots,
            queue_limit: (slots * QUEUE_FACTOR) as usize,
            slot_rule: SlotRule::Announced,
            ..OwnerSetup::default()
        };
        self.owner.reconfigure(setup, now);
        if slots == 0 {
            self.owner.refuse_waiting(now);
        }
        self.actions.push(MeshAction::EntryChanged);
        if self.joined_past_store {
            self.announce_to_all(now);
        }
        self.settle(now);
    }

    fn directory_changed(&mut self, now: Instant) {
        let boots: HashMap<NodeId, u64> = self.directory.boots().collect();
        for (node, boot) in &self.boots {
            let live = boots.get(node).copied();
            if live != Some(*boot) {
                self.entry.on_node_lost(*node, live, now);
            }
        }
        self.boots = boots;
        self.entry.board_mut().set_targets(self.directory.targets());
        let nodes = self.directory.len().max(1) as f64;
        let extra = self.settings.repeats.extra * EXTRA_PART / nodes;
        self.entry.set_saved_retries(extra);
        let written = self.directory.entry(&self.settings.name);
        if written != Some(&self.own_entry()) {
            self.actions.push(MeshAction::EntryChanged);
        }
        self.settle(now);
    }

    fn on_body(&mut self, from: NodeId, boot: u64, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Dispatch(dispatch) => self.owner.on_dispatch(from, boot, dispatch, now),
            FrameBody::Answer(answer) if answer.entry_boot == self.boot => {
                self.entry.on_answer(from, boot, answer, now);
            }
            FrameBody::Query(query) => self.owner.on_query(from, boot, query, now),
            FrameBody::Cancel(cancel) => self.owner.on_cancel(from, boot, cancel.call, now),
            FrameBody::ConfigRequest(request) => self.offer_config(from, request.held),
            FrameBody::Records(told) => {
                let asked = !told.wanted.is_empty();
                let records = told.records.into_iter();
                let changes: Vec<EntryChange> = records.map(EntryChange::from_record).collect();
                self.on_entry_changes(&changes, now);
                if asked {
                    let records = self.directory.records();
                    self.send(from, records_body(records));
                } else if self.joined_past_store {
                    self.announce_to_all(now);
                }
            }
            FrameBody::Digest(told) => {
                let own = self.directory.digest();
                for hash in told.hashes {
                    self.news.on_digest(hash.hash, own, now);
                }
                if let Some(sender) = told.sender.filter(|_| self.version.is_none()) {
                    self.ask_to_join(from, sender, now);
                }
            }
            FrameBody::Full(full) => {
                self.actions
                    .push(MeshAction::ConfigOffered(full.canonical.into()));
            }
            _ => self.counters.count("frame.unexpected"),
        }
    }

    /// Asks a peer for everything: this process has started while the store doesn't answer.
    fn ask_to_join(&mut self, peer: NodeId, record: MemberRecord, now: Instant) {
        info!(event = "peer_asked", peer = %record.name);
        self.counters.count("join.asked");
        self.on_entry_changes(&[EntryChange::from_record(record)], now);
        self.joined_past_store = true;
        self.send(
            peer,
            FrameBody::ConfigRequest(ConfigRequest {
                held: 0,
                full: true,
            }),
        );
        let wanted = vec![self.settings.data_centre.clone()];
        let ask = TableRecords {
            wanted,
            ..TableRecords::default()
        };
        self.send(peer, FrameBody::Records(ask));
    }

    /// Tells all nodes that this process has taken its predecessor's place, or what its
    /// backend server offers now, unless they know.
    fn announce_to_all(&mut self, now: Instant) {
        let entry = self.own_entry();
        if self.directory.entry(&entry.name) == Some(&entry) {
            return;
        }
        let revision = self.directory.revision(self.node) + 1;
        let own = EntryChange::Written(entry, revision);
        self.on_entry_changes(std::slice::from_ref(&own), now);
        let own = own.to_record();
        let nodes: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        for node in nodes {
            if node != self.node {
                self.send(node, records_body(vec![own.clone()]));
            }
        }
    }

    /// Passes the configuration on to a peer that holds an older one.
    fn offer_config(&mut self, to: NodeId, held: u64) {
        let Some(version) = self.version.clone().filter(|own| own.number > held) else {
            return;
        };
        let Ok(canonical) = String::from_utf8(version.source.to_vec()) else {
            return;
        };
        let full = ConfigFull {
            version: version.number,
            canonical,
            ..ConfigFull::default()
        };
        self.send(to, FrameBody::Full(full));
    }

    /// Settles what the machines want of each other until nothing is left to do.
    fn settle(&mut self, now: Instant) {
        loop {
            let mut idle = self.settle_entry(now);
            idle &= self.settle_owner();
            while let Some(body) = self.own_frames.pop_front() {
                idle = false;
                self.entry.on_heard(self.node, now);
                self.on_body(self.node, self.boot, body, now);
            }
            if idle {
                return;
            }
        }
    }

    fn settle_entry(&mut self, now: Instant) -> bool {
        let actions = self.entry.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                EntryAction::Send(node, body) => self.send_for_entry(node, body, now),
                EntryAction::ResetLink(node) => {
                    self.counters.count("link.reset");
                    if let Some(address) = self.directory.address(node) {
                        self.actions.push(MeshAction::ResetLink(address));
                    }
                }
                EntryAction::Reply(call, reply) => {
                    if let Err(kind) = reply.outcome {
                        self.counters.refused(kind.rule().name);
                    }
                    self.actions.push(MeshAction::Reply(call, reply));
                }
                EntryAction::Retried(reason) => {
                    self.counters.count(&format!("retried.{}", reason.name()));
                }
                EntryAction::BudgetSpent => self.counters.count("retry.budget_spent"),
                EntryAction::LateAnswer => self.counters.count("answer.late"),
                EntryAction::Ejected(_) => self.counters.count("target.ejected"),
            }
        }
        idle
    }

    fn settle_owner(&mut self) -> bool {
        let actions = self.owner.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                OwnerAction::Answer(node, answer) => self.send(node, FrameBody::Answer(answer)),
                OwnerAction::Run(request) => self.actions.push(MeshAction::Run(request)),
                OwnerAction::Abort(run) => self.actions.push(MeshAction::Abort(run)),
                // Calls carry no keys here, so nothing is claimed.
                OwnerAction::Claim(_, _) => self.counters.count("claim.unexpected"),
                OwnerAction::Refused(kind) => {
                    self.counters
                        .count(&format!("owner_refused.{}", kind.rule().name));
                }
            }
        }
        idle
    }

    fn send_for_entry(&mut self, node: NodeId, body: FrameBody, now: Instant) {
        let unknown = node != self.node && self.directory.address(node).is_none();
        match &body {
            FrameBody::Dispatch(dispatch) if unknown => {
                let number = dispatch.call;
                self.counters.count("frame.no_address");
                self.entry.on_undelivered(number, node, now);
            }
            _ => self.send(node, body),
        }
    }

    fn send(&mut self, node: NodeId, body: FrameBody) {
        if node == self.node {
            self.own_frames.push_back(body);
            return;
        }
        let Some(address) = self.directory.address(node) else {
            self.counters.count("frame.no_address");
            return;
        };
        let frame = PeerFrame::new(self.node, self.boot, body);
        self.counters.frame_bytes(frame.kind(), frame.encoded_len());
        self.actions
            .push(MeshAction::Send(address, Box::new(frame)));
    }
}
