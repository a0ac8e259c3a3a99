//! The node's decisions, joined: membership, versions, holder, claims, entry and owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::SnapshotTable;
use sequoiagw_distribution::ClaimAction;
use sequoiagw_distribution::ClaimCommitter;
use sequoiagw_distribution::HolderAction;
use sequoiagw_distribution::HolderIdentity;
use sequoiagw_distribution::HolderMachine;
use sequoiagw_distribution::HolderSight;
use sequoiagw_distribution::StoreKeys;
use sequoiagw_distribution::VersionAction;
use sequoiagw_distribution::VersionMachine;
use sequoiagw_distribution::VersionPeers;
use sequoiagw_membership::MemberTable;
use sequoiagw_membership::MembershipAction;
use sequoiagw_membership::MembershipMachine;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerAction;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSetup;
use sequoiagw_policy::TargetInfo;
use sequoiagw_protocol::ClaimReply;
use sequoiagw_protocol::ClaimRequest;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FleetQuery;
use sequoiagw_protocol::FleetReport;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::RankLevel;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::BackendInfo;
use crate::CoreAction;
use crate::CoreEvent;
use crate::CounterBoard;
use crate::StoreTag;

/// Time without a renewed announcement after which a backend server counts as gone.
const ANNOUNCEMENT_LIFE: Duration = Duration::from_secs(5);
/// Time a leaver stays after its last call, so that its peers learn of it first.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Length prefix and version byte of a frame, in bytes.
const FRAME_OVERHEAD: usize = 5;

/// Who a node is, from its settings.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name, unique in the fleet.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for inner links.
    pub address: NodeAddress,
    /// Entry points.
    pub seeds: Vec<NodeAddress>,
    /// Boot number, higher than that of any earlier process of this name.
    pub boot: u64,
    /// Seed of the node's random numbers.
    pub seed: u64,
}

/// State of a node.
pub struct NodeCore {
    identity: NodeIdentity,
    node: NodeId,
    membership: MembershipMachine,
    versions: VersionMachine,
    holder: HolderMachine,
    committer: ClaimCommitter,
    entry: EntryMachine,
    owner: OwnerMachine,
    snapshot: Option<Arc<SnapshotTable>>,
    backend: Option<BackendInfo>,
    backend_until: Option<Instant>,
    boots: HashMap<NodeId, u64>,
    own_frames: VecDeque<FrameBody>,
    members_changed: bool,
    draining: bool,
    linger_until: Option<Instant>,
    stopped: bool,
    counters: CounterBoard,
    actions: Vec<CoreAction>,
}

impl NodeCore {
    /// Builds a node that knows nothing yet.
    pub fn new(identity: NodeIdentity, counters: CounterBoard, now: Instant) -> Self {
        let node = NodeId::from_name(&identity.name);
        let mut rng = ChaCha8Rng::seed_from_u64(identity.seed);
        let mut child = || ChaCha8Rng::seed_from_u64(rng.random());
        let centre = identity.data_centre.clone();
        let record = MemberRecord {
            node: node.get(),
            boot: identity.boot,
            revision: 1,
            state: MemberState::Joining.into(),
            address: identity.address.to_string(),
            data_centre: centre.clone(),
            name: identity.name.clone(),
            ..MemberRecord::default()
        };
        let holder_identity = HolderIdentity {
            name: identity.name.clone(),
            address: identity.address,
            data_centre: centre.clone(),
        };
        let membership = MembershipMachine::new(record, identity.seeds.clone(), child(), now);
        Self {
            node,
            membership,
            versions: VersionMachine::new(node, &centre, child(), now),
            holder: HolderMachine::new(holder_identity, child()),
            committer: ClaimCommitter::default(),
            entry: EntryMachine::new(&centre, child()),
            owner: OwnerMachine::new(node, identity.boot, empty_setup()),
            snapshot: None,
            backend: None,
            backend_until: None,
            boots: HashMap::new(),
            own_frames: VecDeque::new(),
            members_changed: true,
            draining: false,
            linger_until: None,
            stopped: false,
            counters,
            actions: Vec::new(),
            identity,
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Who the node is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Version in force.
    pub fn snapshot(&self) -> Option<&Arc<SnapshotTable>> {
        self.snapshot.as_ref()
    }

    /// Members known.
    pub fn members(&self) -> &MemberTable {
        self.membership.table()
    }

    /// Own record.
    pub fn record(&self) -> &MemberRecord {
        self.membership.own()
    }

    /// Newest version held, in force or not.
    pub fn held_version(&self) -> u64 {
        self.versions.held().map_or(0, |held| held.version)
    }

    /// Seat held as a watch holder.
    pub fn seat(&self) -> Option<u32> {
        self.holder.seat()
    }

    /// Time since each other data centre was heard, at its bridges.
    pub fn heard_centres(&self) -> &BTreeMap<String, Instant> {
        self.membership.heard_centres()
    }

    /// Whether the node takes callers' requests.
    pub fn is_ready(&self) -> bool {
        self.versions.is_ready() && !self.stopped
    }

    /// Whether the node is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Backend server announced now.
    pub fn backend(&self) -> Option<&BackendInfo> {
        self.backend.as_ref()
    }

    /// Calls that aren't over, as entry and as owner.
    pub fn open_calls(&self) -> usize {
        self.entry.open_calls() + self.owner.open_calls()
    }

    /// Load of the own target.
    pub fn load(&self) -> sequoiagw_protocol::LoadReport {
        self.owner.load()
    }

    /// Starts a caller's call; [`CoreAction::Reply`] follows under the number returned.
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

    /// Asks one collector of each data centre for its report; tells how many were asked.
    pub fn ask_fleet(&mut self, number: u64, now: Instant) -> usize {
        let centres: Vec<String> = self.members().data_centres().map(str::to_owned).collect();
        let mut asked = 0;
        for centre in centres {
            if let Some(collector) = self.membership.bridges(&centre).first().copied() {
                asked += 1;
                self.send(collector, FrameBody::FleetQuery(FleetQuery { number }));
            }
        }
        self.settle(now);
        asked
    }

    /// Starts to leave: no new work, running work finishes, then [`CoreAction::Stopped`].
    pub fn drain(&mut self, now: Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        info!(event = "drain_started", node = %self.identity.name);
        self.owner.drain(now);
        self.membership
            .announce(|own| own.set_state(MemberState::Draining), now);
        self.membership.push_to_all();
        self.members_changed = true;
        self.settle(now);
    }

    /// Takes an event.
    pub fn handle(&mut self, event: CoreEvent, now: Instant) {
        match event {
            CoreEvent::Frame { frame, bytes } => self.on_frame(frame, bytes, now),
            CoreEvent::LinkLost(address) => {
                self.counters.count("link.lost");
                for node in self.nodes_at(address) {
                    self.entry.on_link_lost(node, now);
                }
            }
            CoreEvent::Undelivered(address, frames) => self.on_undelivered(address, &frames, now),
            CoreEvent::Stored {
                tag,
                request,
                reply,
                sent,
            } => {
                self.on_stored(tag, &request, reply, sent, now);
            }
            CoreEvent::Watched(update) => self.on_watched(update, now),
            CoreEvent::BackendDone(run, result) => self.owner.on_result(run, result, now),
            CoreEvent::Announced(info) => {
                self.backend_until = Some(now + ANNOUNCEMENT_LIFE);
                self.set_backend(Some(info), now);
            }
            CoreEvent::Withdrawn => self.set_backend(None, now),
        }
        self.settle(now);
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        self.membership.on_tick(now);
        self.versions.on_tick(now);
        self.holder.on_tick(now);
        self.committer.on_tick(now);
        self.entry.on_tick(now);
        self.owner.on_tick(now);
        if self.backend_until.is_some_and(|until| now >= until) {
            warn!(event = "backend_silent", node = %self.identity.name);
            self.set_backend(None, now);
        }
        self.settle(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Instant {
        let others = [
            self.versions.next_wake(),
            self.holder.next_wake(),
            self.committer.next_wake(),
            self.entry.next_wake(),
            self.owner.next_wake(),
            self.backend_until,
            self.linger_until.filter(|_| !self.stopped),
        ];
        let wake = self.membership.next_wake();
        others.into_iter().flatten().fold(wake, Instant::min)
    }

    fn on_frame(&mut self, frame: PeerFrame, bytes: usize, now: Instant) {
        let from = frame.sender_id();
        self.counters.frame_bytes(frame.kind(), bytes);
        let known = self.boots.get(&from).copied().unwrap_or(0);
        if frame.boot < known {
            // A late frame of a process that is gone.
            self.counters.count("frame.stale_boot");
            return;
        }
        if frame.boot > known {
            self.boots.insert(from, frame.boot);
            if known > 0 {
                self.entry.on_node_lost(from, Some(frame.boot), now);
            }
        }
        self.entry.on_heard(from, now);
        if let Some(body) = frame.body {
            self.on_body(from, frame.boot, body, now);
        }
    }

    fn on_body(&mut self, from: NodeId, boot: u64, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Probe(_)
            | FrameBody::ProbeAnswer(_)
            | FrameBody::Join(_)
            | FrameBody::Digest(_)
            | FrameBody::Records(_) => self.membership.on_message(from, body, now),
            FrameBody::Delta(_)
            | FrameBody::Full(_)
            | FrameBody::ConfigRequest(_)
            | FrameBody::ConfigBusy(_)
            | FrameBody::Versions(_)
            | FrameBody::Activate(_) => self.versions.on_message(from, body, now),
            FrameBody::Dispatch(dispatch) => self.owner.on_dispatch(from, boot, dispatch, now),
            FrameBody::Answer(answer) => {
                if answer.entry_boot == self.identity.boot {
                    self.entry.on_answer(from, boot, answer, now);
                } else {
                    self.counters.count("answer.other_boot");
                }
            }
            FrameBody::Query(query) => self.owner.on_query(from, boot, query, now),
            FrameBody::Cancel(cancel) => self.owner.on_cancel(from, boot, cancel.call, now),
            FrameBody::Claim(request) => self.on_claims(from, request, now),
            FrameBody::ClaimReply(reply) => self.on_claim_reply(&reply, now),
            FrameBody::FleetQuery(query) => {
                let report = FleetReport {
                    number: query.number,
                    data_centre: self.identity.data_centre.clone(),
                    nodes: self.versions.known_versions(),
                };
                self.send(from, FrameBody::FleetReport(report));
            }
            FrameBody::FleetReport(report) => self.actions.push(CoreAction::Report(report)),
            FrameBody::Hello(_) => {}
        }
    }

    fn on_undelivered(&mut self, address: NodeAddress, frames: &[PeerFrame], now: Instant) {
        self.counters.count("link.refused");
        for node in self.nodes_at(address) {
            for frame in frames {
                match &frame.body {
                    Some(FrameBody::Dispatch(dispatch)) => {
                        self.entry.on_undelivered(dispatch.call, node, now);
                    }
                    Some(FrameBody::Claim(request)) => {
                        for claim in &request.claims {
                            self.owner.on_claim(&claim.key, None, now);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn on_stored(
        &mut self,
        tag: StoreTag,
        request: &StoreRequest,
        reply: Result<StoreReply, StoreError>,
        sent: Instant,
        now: Instant,
    ) {
        if let Err(error) = &reply {
            self.counters.count("store.failed");
            warn!(event = "store_failed", node = %self.identity.name, call = request.kind(), error = %error);
        }
        match tag {
            StoreTag::Holder => self.holder.on_reply(request, reply, sent, now),
            StoreTag::Claims => self.committer.on_reply(request, reply, now),
            StoreTag::EntryPoints => self.on_entry_points(reply, now),
            StoreTag::Current => self.on_current(reply, now),
            StoreTag::History(version) => self.on_history(version, reply, now),
        }
    }

    fn on_entry_points(&mut self, reply: Result<StoreReply, StoreError>, now: Instant) {
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            return;
        };
        let seeds: Vec<NodeAddress> = entries
            .iter()
            .filter_map(|entry| serde_json::from_str::<serde_json::Value>(&entry.value).ok())
            .filter_map(|value| NodeAddress::parse(value.get("address")?.as_str()?))
            .collect();
        self.membership.add_seeds(&seeds, now);
    }

    fn on_current(&mut self, reply: Result<StoreReply, StoreError>, now: Instant) {
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            self.holder.on_version_unread(self.held_version());
            return;
        };
        let stored = entries
            .first()
            .map(|entry| AcceptedConfig::from_json(&entry.value));
        match stored.transpose() {
            Ok(stored) => self.versions.on_stored(stored.as_ref(), now),
            Err(error) => {
                self.counters.refused(error.name());
                warn!(event = "stored_version_refused", node = %self.identity.name, error = %error);
            }
        }
    }

    fn on_history(&mut self, version: u64, reply: Result<StoreReply, StoreError>, now: Instant) {
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            self.holder.on_version_unread(self.held_version());
            return;
        };
        let entry = entries
            .first()
            .and_then(|entry| serde_json::from_str::<AcceptedConfig>(&entry.value).ok())
            .filter(|entry| entry.version == version);
        let applied = entry.is_some_and(|entry| self.versions.on_stored_changes(&entry, now));
        if !applied {
            self.read_current();
        }
    }

    fn on_watched(&mut self, update: Option<Result<WatchUpdate, StoreError>>, now: Instant) {
        match update {
            Some(Ok(WatchUpdate::Changed(entry))) => self.holder.on_watched(&entry.value),
            Some(Ok(WatchUpdate::Started | WatchUpdate::Deleted)) => {}
            Some(Err(error)) => {
                warn!(event = "watch_failed", node = %self.identity.name, error = %error);
                self.holder.on_watch_lost(now);
            }
            None => self.holder.on_watch_lost(now),
        }
    }

    fn on_claims(&mut self, from: NodeId, request: ClaimRequest, now: Instant) {
        if self.holder.seat().is_some() {
            self.committer.on_claims(from, &request.claims, now);
            return;
        }
        let failed = request.claims.into_iter().map(|claim| claim.key).collect();
        let reply = ClaimReply {
            standing: Vec::new(),
            failed,
        };
        self.send(from, FrameBody::ClaimReply(reply));
    }

    fn on_claim_reply(&mut self, reply: &ClaimReply, now: Instant) {
        for claim in &reply.standing {
            self.owner.on_claim(&claim.key, Some(claim), now);
        }
        for key in &reply.failed {
            self.owner.on_claim(key, None, now);
        }
    }

    /// Hands a claim to the own committer or to a holder: those of the own data centre go
    /// first, and each further try asks another one.
    fn claim(&mut self, claim: KeyClaim, tries: u32, now: Instant) {
        if self.holder.seat().is_some() && tries == 0 {
            self.committer.on_claims(self.node, &[claim], now);
            return;
        }
        let holders = self.holders();
        let near = holders.iter().filter(|(near, _)| *near).count().max(1);
        // The claim's number spreads claims over the holders nearby.
        let first = claim.nonce as usize % near;
        let place = if (tries as usize) < near {
            (first + tries as usize) % near
        } else {
            tries as usize
        };
        match holders.get(place % holders.len().max(1)).copied() {
            Some((_, holder)) => {
                let request = ClaimRequest {
                    claims: vec![claim],
                };
                self.send(holder, FrameBody::Claim(request));
            }
            None => self.owner.on_claim(&claim.key, None, now),
        }
    }

    /// Holders with whether they are nearby, the near ones first.
    fn holders(&self) -> Vec<(bool, NodeId)> {
        let centre = &self.identity.data_centre;
        let mut holders: Vec<(bool, NodeId)> = self
            .members()
            .records()
            .filter(|record| record.seat > 0 && record.state() == MemberState::Ready)
            .map(|record| (record.data_centre == *centre, NodeId::from(record.node)))
            .collect();
        holders.sort_by_key(|(near, node)| (!near, *node));
        holders
    }

    fn set_backend(&mut self, info: Option<BackendInfo>, now: Instant) {
        if info.is_none() {
            self.backend_until = None;
        }
        if self.backend == info {
            return;
        }
        self.backend = info;
        let backend = self.backend.clone();
        self.membership.announce(
            |own| {
                own.service = backend
                    .as_ref()
                    .map_or_else(String::new, |info| info.service.clone());
                own.slots = backend.as_ref().map_or(0, |info| info.slots);
            },
            now,
        );
        self.configure_owner(now);
    }

    /// Settles what the machines want of each other until nothing is left to do.
    fn settle(&mut self, now: Instant) {
        loop {
            if std::mem::take(&mut self.members_changed) {
                self.on_members_changed(now);
            }
            let mut idle = self.settle_membership(now);
            idle &= self.settle_versions(now);
            idle &= self.settle_holder(now);
            idle &= self.settle_claims(now);
            idle &= self.settle_entry();
            idle &= self.settle_owner(now);
            while let Some(body) = self.own_frames.pop_front() {
                idle = false;
                self.on_body(self.node, self.identity.boot, body, now);
            }
            if idle && !self.members_changed {
                break;
            }
        }
        self.check_stopped(now);
    }

    fn settle_membership(&mut self, now: Instant) -> bool {
        let actions = self.membership.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                MembershipAction::Send(node, body) => self.send(node, body),
                MembershipAction::SendTo(address, body) => self.send_to(address, body),
                MembershipAction::Changed(_) => self.members_changed = true,
                MembershipAction::Departed(node) => {
                    self.counters.count("member.departed");
                    self.entry.on_node_lost(node, None, now);
                }
                MembershipAction::Versions(from, mark) => {
                    let record = self.members().get(from);
                    let near = record
                        .is_some_and(|record| record.data_centre == self.identity.data_centre);
                    self.versions.on_mark(from, near, mark, now);
                }
                MembershipAction::EntryPointsWanted => {
                    let prefix = StoreKeys::holders_prefix();
                    let request = StoreRequest::ReadPrefix { prefix };
                    self.actions
                        .push(CoreAction::Store(StoreTag::EntryPoints, request));
                }
            }
        }
        idle
    }

    fn settle_versions(&mut self, now: Instant) -> bool {
        let actions = self.versions.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                VersionAction::Send(node, body) => self.send(node, body),
                VersionAction::Activate(snapshot) => self.activate(snapshot, now),
                VersionAction::Marked(mark) => self.membership.set_versions(mark),
                VersionAction::Refused(version, error) => {
                    self.counters.refused(error.name());
                    warn!(
                        event = "version_refused", node = %self.identity.name, version,
                        reason = error.name(), error = %error
                    );
                    self.membership
                        .announce(|own| own.refused_version = version, now);
                }
                VersionAction::ReadStore => self.read_current(),
                VersionAction::FullCopyDeferred => self.counters.count("config.full_deferred"),
            }
        }
        idle
    }

    fn settle_holder(&mut self, now: Instant) -> bool {
        let actions = self.holder.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                HolderAction::Call(request) => {
                    self.actions
                        .push(CoreAction::Store(StoreTag::Holder, request));
                }
                HolderAction::Watch(revision) => self.actions.push(CoreAction::Watch(revision)),
                HolderAction::Unwatch => self.actions.push(CoreAction::Unwatch),
                HolderAction::ReadVersion(version) => self.read_version(version),
                HolderAction::Seated(seat) => {
                    info!(event = "seat_changed", node = %self.identity.name, seat = ?seat);
                    self.membership
                        .announce(|own| own.seat = seat.map_or(0, |seat| seat + 1), now);
                }
            }
        }
        idle
    }

    fn settle_claims(&mut self, now: Instant) -> bool {
        let actions = self.committer.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                ClaimAction::Call(request) => {
                    self.actions
                        .push(CoreAction::Store(StoreTag::Claims, request));
                }
                ClaimAction::Reply(node, reply) if node == self.node => {
                    self.on_claim_reply(&reply, now);
                }
                ClaimAction::Reply(node, reply) => self.send(node, FrameBody::ClaimReply(reply)),
            }
        }
        idle
    }

    fn settle_entry(&mut self) -> bool {
        let actions = self.entry.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                EntryAction::Send(node, body) => self.send(node, body),
                EntryAction::ResetLink(node) => {
                    self.counters.count("link.reset");
                    if let Some(address) = self.members().address(node) {
                        self.actions.push(CoreAction::ResetLink(address));
                    }
                }
                EntryAction::Reply(call, reply) => {
                    if let Err(kind) = reply.outcome {
                        self.counters.refused(kind.rule().name);
                    }
                    self.actions.push(CoreAction::Reply(call, reply));
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

    fn settle_owner(&mut self, now: Instant) -> bool {
        let actions = self.owner.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                OwnerAction::Answer(node, answer) => self.send(node, FrameBody::Answer(answer)),
                OwnerAction::Run(request) => self.actions.push(CoreAction::Run(request)),
                OwnerAction::Abort(run) => self.actions.push(CoreAction::Abort(run)),
                OwnerAction::Claim(claim, tries) => self.claim(claim, tries, now),
                OwnerAction::Refused(kind) => {
                    self.counters
                        .count(&format!("owner_refused.{}", kind.rule().name));
                }
            }
        }
        idle
    }

    fn activate(&mut self, snapshot: Arc<SnapshotTable>, now: Instant) {
        info!(event = "version_activated", node = %self.identity.name, version = snapshot.version);
        self.counters.count("config.activated");
        let windows = snapshot
            .routes()
            .iter()
            .map(|route| route.limits.key_window);
        if let Some(window) = windows.max() {
            self.committer.set_window(window);
        }
        self.snapshot = Some(Arc::clone(&snapshot));
        self.configure_owner(now);
        if self.versions.is_ready() && self.record().state() == MemberState::Joining {
            self.membership
                .announce(|own| own.set_state(MemberState::Ready), now);
        }
        self.actions.push(CoreAction::Activated(snapshot));
    }

    fn configure_owner(&mut self, now: Instant) {
        let mut setup = empty_setup();
        if let Some(info) = &self.backend {
            setup.service.clone_from(&info.service);
            setup.slots = info.slots;
        }
        if let Some(snapshot) = &self.snapshot {
            let centre = &self.identity.data_centre;
            let (queue, reserved) =
                snapshot.target_limits(centre, &setup.service, &self.identity.name);
            setup.queue_limit = queue as usize;
            setup.reserved_slots = reserved as u32;
            setup.shares = snapshot.shares;
            if let Some((level, _)) = snapshot.rank_names().first_key_value() {
                setup.most_urgent = *level;
            }
            let windows = snapshot
                .routes()
                .iter()
                .map(|route| route.limits.key_window);
            setup.key_window = windows.max().unwrap_or(setup.key_window);
        }
        self.owner.reconfigure(setup, now);
    }

    fn on_members_changed(&mut self, now: Instant) {
        let centre = self.identity.data_centre.clone();
        let table = self.membership.table();
        let others = |record: &&MemberRecord| record.node != self.node.get();
        let id = |record: &MemberRecord| NodeId::from(record.node);
        let bridges = self.membership.bridges(&centre);
        let peers = VersionPeers {
            voters: table.ready(&centre).filter(others).map(id).collect(),
            near: table.reachable(&centre).filter(others).map(id).collect(),
            far: table
                .data_centres()
                .filter(|other| *other != centre)
                .map(|other| self.membership.bridges(other))
                .collect(),
            bridge: bridges.contains(&self.node) || bridges.is_empty(),
            joined: self.membership.has_joined(),
        };
        let sight = self.holder_sight(&peers.voters);
        let targets = targets_by_service(table);
        let seated = table.records().filter(|record| record.seat > 0).count();
        self.committer.set_committers(seated as u32);
        self.entry.board_mut().set_targets(targets);
        self.versions.set_peers(peers, now);
        self.holder.set_sight(sight, now);
    }

    fn holder_sight(&self, voters: &BTreeSet<NodeId>) -> HolderSight {
        let in_service = self.record().state() == MemberState::Ready || voters.is_empty();
        let seats = self
            .members()
            .reachable(&self.identity.data_centre)
            .filter(|record| record.node != self.node.get() && record.seat > 0);
        HolderSight {
            held_seats: seats.fold(0, |bits, record| bits | 1 << (record.seat - 1).min(31)),
            place: voters.iter().filter(|node| **node < self.node).count(),
            eligible: in_service && !self.draining,
        }
    }

    fn check_stopped(&mut self, now: Instant) {
        if !self.draining || self.stopped {
            return;
        }
        if self.open_calls() > 0 {
            self.linger_until = None;
            return;
        }
        let until = *self.linger_until.get_or_insert(now + LINGER_TIME);
        if now < until {
            return;
        }
        self.stopped = true;
        self.membership
            .announce(|own| own.set_state(MemberState::Left), now);
        self.membership.push_to_all();
        self.settle_membership(now);
        info!(event = "drain_finished", node = %self.identity.name);
        self.actions.push(CoreAction::Stopped);
    }

    fn read_current(&mut self) {
        let request = StoreRequest::Read {
            key: StoreKeys::current(),
        };
        self.actions
            .push(CoreAction::Store(StoreTag::Current, request));
    }

    /// Reads the next version's changes, or the whole when there is a gap.
    fn read_version(&mut self, version: u64) {
        if self.held_version() + 1 == version {
            let request = StoreRequest::Read {
                key: StoreKeys::history(version),
            };
            self.actions
                .push(CoreAction::Store(StoreTag::History(version), request));
        } else if self.held_version() < version {
            self.read_current();
        }
    }

    fn send(&mut self, node: NodeId, body: FrameBody) {
        if node == self.node {
            self.own_frames.push_back(body);
            return;
        }
        if let Some(address) = self.members().address(node) {
            self.send_to(address, body);
        } else {
            self.counters.count("frame.no_address");
        }
    }

    fn send_to(&mut self, address: NodeAddress, body: FrameBody) {
        let frame = PeerFrame::new(self.node, self.identity.boot, body);
        self.counters
            .frame_bytes(frame.kind(), frame.encoded_len() + FRAME_OVERHEAD);
        self.actions
            .push(CoreAction::Send(address, Box::new(frame)));
    }

    fn nodes_at(&self, address: NodeAddress) -> Vec<NodeId> {
        let text = address.to_string();
        let here = self
            .members()
            .records()
            .filter(|record| record.address == text);
        here.map(|record| NodeId::from(record.node)).collect()
    }
}

fn targets_by_service(table: &MemberTable) -> BTreeMap<String, Vec<TargetInfo>> {
    let mut services: BTreeMap<String, Vec<TargetInfo>> = BTreeMap::new();
    for record in table.records() {
        let serving = matches!(record.state(), MemberState::Ready | MemberState::Suspect);
        if serving && !record.service.is_empty() && record.slots > 0 {
            services
                .entry(record.service.clone())
                .or_default()
                .push(TargetInfo {
                    node: NodeId::from(record.node),
                    boot: record.boot,
                    data_centre: record.data_centre.clone(),
                    slots: record.slots,
                });
        }
    }
    services
}

fn empty_setup() -> OwnerSetup {
    OwnerSetup {
        service: String::new(),
        slots: 0,
        queue_limit: 0,
        reserved_slots: 0,
        shares: [0.0; RankLevel::COUNT],
        most_urgent: RankLevel::MOST_URGENT,
        key_window: Duration::from_secs(900),
    }
}
