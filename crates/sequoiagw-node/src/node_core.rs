//! The node's decisions, joined: membership, versions, holder, claims, entry and owner.

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
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FleetQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::BackendInfo;
use crate::CoreAction;
use crate::CoreEvent;
use crate::NodeCounters;

/// Time without a renewed announcement after which a backend server counts as gone.
const ANNOUNCEMENT_LIFE: Duration = Duration::from_secs(5);

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
    pub(crate) identity: NodeIdentity,
    pub(crate) node: NodeId,
    pub(crate) membership: MembershipMachine,
    pub(crate) versions: VersionMachine,
    pub(crate) holder: HolderMachine,
    pub(crate) committer: ClaimCommitter,
    pub(crate) entry: EntryMachine,
    pub(crate) owner: OwnerMachine,
    pub(crate) snapshot: Option<Arc<CompiledConfig>>,
    pub(crate) backend: Option<BackendInfo>,
    pub(crate) backend_until: Option<Instant>,
    pub(crate) boots: HashMap<NodeId, u64>,
    pub(crate) own_frames: VecDeque<FrameBody>,
    pub(crate) members_changed: bool,
    pub(crate) draining: bool,
    pub(crate) linger_until: Option<Instant>,
    pub(crate) stopped: bool,
    pub(crate) counters: NodeCounters,
    pub(crate) actions: Vec<CoreAction>,
}

impl NodeCore {
    /// Builds a node that knows nothing yet.
    pub fn new(identity: NodeIdentity, counters: NodeCounters, now: Instant) -> Self {
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
            owner: OwnerMachine::new(node, identity.boot, OwnerSettings::default()),
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
    pub fn snapshot(&self) -> Option<&Arc<CompiledConfig>> {
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
    pub fn last_contact_by_data_centre(&self) -> &BTreeMap<String, Instant> {
        self.membership.last_contact_by_data_centre()
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
    pub fn load(&self, now: Instant) -> sequoiagw_protocol::LoadReport {
        self.owner.load(now)
    }

    /// Starts a caller's call; [`CoreAction::Reply`] follows under the number returned.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.entry.begin_call(spec, request, now);
        self.settle(now);
        call
    }

    /// The caller of a call has gone.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.counters
            .count_refusal(ErrorKind::CallerGone.rule().name);
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
                self.send(
                    collector,
                    FrameBody::FleetQuery(FleetQuery { query_id: number }),
                );
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
        self.membership.broadcast_own_record();
        self.members_changed = true;
        self.settle(now);
    }

    /// Takes an event.
    pub fn handle(&mut self, event: CoreEvent, now: Instant) {
        match event {
            CoreEvent::Frame { frame, bytes } => self.on_frame(frame, bytes, now),
            // Members announce their boots themselves here.
            CoreEvent::Greeted { .. } => {}
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
}
