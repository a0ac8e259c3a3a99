//! Node state machine: combines membership, configuration versions, the watch holder role, claims,
//! the entry role and the owner role.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_config::CompiledConfig;
use sequoiagw_distribution::ClaimCommitter;
use sequoiagw_distribution::HolderIdentity;
use sequoiagw_distribution::HolderMachine;
use sequoiagw_distribution::VersionMachine;
use sequoiagw_membership::MemberTable;
use sequoiagw_membership::MembershipMachine;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_protocol::FleetQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FrameKind;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::BackendAnnouncement;
use crate::CallMachines;
use crate::CoreAction;
use crate::CoreEvent;
use crate::NodeCounters;

/// Time without a new announcement after which the backend server is treated as gone.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);

/// Identity of a node, taken from its settings.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name that is unique in the fleet.
    pub name: String,
    /// Data centre that the node runs in.
    pub data_centre: String,
    /// Address at which the node accepts links from other nodes.
    pub address: NodeAddress,
    /// Addresses of nodes through which the node joins the fleet.
    pub seeds: Vec<NodeAddress>,
    /// Boot number, higher than that of any earlier process with this node name.
    pub boot: u64,
    /// Seed of the node's random number generators.
    pub seed: u64,
}

/// State machine of a node; it does no I/O and returns [`CoreAction`]s instead.
pub struct NodeCore {
    pub(crate) identity: NodeIdentity,
    pub(crate) node: NodeId,
    pub(crate) membership: MembershipMachine,
    pub(crate) versions: VersionMachine,
    pub(crate) holder: HolderMachine,
    pub(crate) committer: ClaimCommitter,
    pub(crate) calls: CallMachines,
    pub(crate) active_config: Option<Arc<CompiledConfig>>,
    pub(crate) backend: Option<BackendAnnouncement>,
    pub(crate) backend_expiry: Option<Instant>,
    /// Processes of the backend server that were announced to this node.
    pub(crate) backend_processes: u64,
    /// When the hash of the known crashes is sent next, and how often it was.
    pub(crate) next_crash_sync: (Instant, usize),
    pub(crate) peer_boots: HashMap<NodeId, u64>,
    pub(crate) loopback_frames: VecDeque<FrameBody>,
    pub(crate) members_changed: bool,
    pub(crate) draining: bool,
    pub(crate) linger_until: Option<Instant>,
    pub(crate) stopped: bool,
    pub(crate) counters: NodeCounters,
    pub(crate) actions: Vec<CoreAction>,
}

impl NodeCore {
    /// Creates the state machine of a node that has no members and no configuration version yet.
    pub fn new(identity: NodeIdentity, counters: NodeCounters, now: Instant) -> Self {
        let node = NodeId::from_name(&identity.name);
        let mut rng = ChaCha8Rng::seed_from_u64(identity.seed);
        let mut new_rng = || ChaCha8Rng::seed_from_u64(rng.random());
        let data_centre = identity.data_centre.clone();
        let record = MemberRecord {
            node: node.get(),
            boot: identity.boot,
            revision: 1,
            state: MemberState::Joining.into(),
            address: identity.address.to_string(),
            data_centre: data_centre.clone(),
            name: identity.name.clone(),
            ..MemberRecord::default()
        };
        let holder_identity = HolderIdentity {
            name: identity.name.clone(),
            address: identity.address,
            data_centre: data_centre.clone(),
        };
        let membership = MembershipMachine::new(record, identity.seeds.clone(), new_rng(), now);
        Self {
            node,
            membership,
            versions: VersionMachine::new(node, &data_centre, new_rng(), now),
            holder: HolderMachine::new(holder_identity, new_rng()),
            committer: ClaimCommitter::default(),
            calls: CallMachines::new(
                EntryMachine::new(&data_centre, new_rng()),
                OwnerMachine::new(node, identity.boot, OwnerSettings::default()),
                counters.clone(),
            ),
            active_config: None,
            backend: None,
            backend_expiry: None,
            backend_processes: 0,
            next_crash_sync: (now, 0),
            peer_boots: HashMap::new(),
            loopback_frames: VecDeque::new(),
            members_changed: true,
            draining: false,
            linger_until: None,
            stopped: false,
            counters,
            actions: Vec::new(),
            identity,
        }
    }

    /// Returns the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<CoreAction> {
        std::mem::take(&mut self.actions)
    }

    /// Identity of the node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Active configuration version.
    pub fn active_config(&self) -> Option<&Arc<CompiledConfig>> {
        self.active_config.as_ref()
    }

    /// Table of the known members.
    pub fn members(&self) -> &MemberTable {
        self.membership.table()
    }

    /// Member record of this node.
    pub fn record(&self) -> &MemberRecord {
        self.membership.own()
    }

    /// Number of the newest version that the node holds, active or not; 0 without one.
    pub fn held_version(&self) -> u64 {
        self.versions.held().map_or(0, |held| held.version)
    }

    /// Watch holder seat that the node occupies.
    pub fn seat(&self) -> Option<u32> {
        self.holder.seat()
    }

    /// Time of the last contact with each remote data centre; only bridges have it.
    pub fn last_contact_by_data_centre(&self) -> &BTreeMap<String, Instant> {
        self.membership.last_contact_by_data_centre()
    }

    /// Whether the node accepts requests from callers.
    pub fn is_ready(&self) -> bool {
        self.versions.is_ready() && !self.stopped
    }

    /// Whether the node is draining or has stopped.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Backend server that is currently announced.
    pub fn backend(&self) -> Option<&BackendAnnouncement> {
        self.backend.as_ref()
    }

    /// Number of unfinished calls in the entry role and the owner role.
    pub fn open_calls(&self) -> usize {
        self.calls.open_calls()
    }

    /// Load of this node's target.
    pub fn load(&self, now: Instant) -> sequoiagw_protocol::LoadReport {
        self.calls.owner.load(now)
    }

    /// Starts a call for a caller and returns its id, under which [`CoreAction::Reply`] follows.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.calls.begin_call(spec, request, now);
        self.process_actions(now);
        call
    }

    /// Cancels a call whose caller has disconnected.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.calls.cancel_call(call, now);
        self.process_actions(now);
    }

    /// Queries one collector of each data centre for its report and returns the number of queries.
    pub fn query_fleet(&mut self, query_id: u64, now: Instant) -> usize {
        let data_centres: Vec<String> = self.members().data_centres().map(str::to_owned).collect();
        let mut query_count = 0;
        for data_centre in data_centres {
            if let Some(collector) = self.membership.bridges(&data_centre).first().copied() {
                query_count += 1;
                self.send(collector, FrameBody::FleetQuery(FleetQuery { query_id }));
            }
        }
        self.process_actions(now);
        query_count
    }

    /// Starts draining: new calls are refused, open calls finish, and [`CoreAction::Stopped`] follows.
    pub fn drain(&mut self, now: Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        info!(event = "drain_started", node = %self.identity.name);
        self.calls.owner.drain(now);
        self.membership
            .announce(|own| own.set_state(MemberState::Draining), now);
        self.membership.broadcast_own_record();
        self.members_changed = true;
        self.process_actions(now);
    }

    /// Handles an event.
    pub fn handle(&mut self, event: CoreEvent, now: Instant) {
        match event {
            CoreEvent::Frame { frame, bytes } => self.on_frame(frame, bytes, now),
            CoreEvent::PartReceived { node, bytes } => {
                self.counters.add_frame_bytes(FrameKind::Call, bytes);
                self.calls.entry.on_contact(node, now);
            }
            // Boots are taken from member records and frames instead.
            CoreEvent::LinkEstablished { .. } => {}
            CoreEvent::LinkLost(address) => {
                self.counters.count("link.lost");
                for node in self.nodes_at(address) {
                    self.calls.entry.on_link_lost(node, now);
                }
            }
            CoreEvent::Undelivered(address, frames) => self.on_undelivered(address, &frames, now),
            CoreEvent::DispatchUnsent(dispatch) => {
                self.calls.entry.on_dispatch_unsent(dispatch, now);
            }
            CoreEvent::DispatchRefused(dispatch) => {
                self.calls.entry.on_dispatch_refused(dispatch, now);
            }
            CoreEvent::DispatchWithdrawn(dispatch) => {
                self.calls.entry.on_dispatch_withdrawn(dispatch);
            }
            CoreEvent::StoreReplied {
                tag,
                request,
                reply,
                sent,
            } => {
                self.on_store_reply(tag, &request, reply, sent, now);
            }
            CoreEvent::WatchUpdated(update) => self.on_watch_update(update, now),
            CoreEvent::RunFinished(run, result) => self.calls.on_run_finished(run, result, now),
            CoreEvent::BackendAnnounced(announcement) => {
                self.backend_expiry = Some(now + ANNOUNCEMENT_TTL);
                self.on_backend_process();
                self.set_backend(Some(announcement), now);
            }
            CoreEvent::BackendWithdrawn => {
                self.calls.crashes.set_server(None);
                self.set_backend(None, now);
            }
            // Backend servers of the project's own interface name no limit.
            CoreEvent::BackendNoticed(_) => self.counters.count("backend.notice_unexpected"),
        }
        self.process_actions(now);
    }

    /// Handles everything that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) {
        self.membership.on_tick(now);
        self.versions.on_tick(now);
        self.holder.on_tick(now);
        self.committer.on_tick(now);
        self.calls.on_tick(now);
        self.send_crash_news(now);
        self.sync_crashes(now);
        if self.backend_expiry.is_some_and(|until| now >= until) {
            warn!(event = "backend_silent", node = %self.identity.name);
            self.set_backend(None, now);
        }
        self.process_actions(now);
    }

    /// Time at which [`Self::on_tick`] has to be called next.
    pub fn next_wake(&self) -> Instant {
        let wakes = [
            self.versions.next_wake(),
            self.holder.next_wake(),
            self.committer.next_wake(),
            self.calls.next_wake(),
            self.backend_expiry,
            self.linger_until.filter(|_| !self.stopped),
            self.crash_sync_due(),
        ];
        let wake = self.membership.next_wake();
        wakes.into_iter().flatten().fold(wake, Instant::min)
    }
}
