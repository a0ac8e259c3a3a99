//! The node's decisions, joined: the fleet's directory, versions, entry and owner.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::CounterBoard;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::RunId;
use sequoiagw_policy::SlotRule;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_telemetry::REQUEST_TARGET;
use tokio::time::Instant;
use tracing::info;

use crate::FleetDirectory;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use crate::MeshAction;
use crate::MeshRoute;
use crate::MeshSettings;
use crate::MeshVersion;
use crate::NodeRegistration;
use crate::TargetMonitor;
use crate::TrafficSplitter;
use crate::WatcherMonitor;

/// Calls that may wait at a target, in multiples of its slots.
const QUEUE_FACTOR: u32 = 20;
/// Part of the allowed share of repeats that nodes use. Calls of repeated runs count as repeats
/// at the service that they call, where they may be as many as that service's own requests.
const SHARE_PART: f64 = 0.45;

/// A node's way to the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StorePath {
    /// Calls are answered.
    Answering,
    /// Calls fail.
    Failing,
    /// Calls fail, and this process has joined through its peers.
    Bypassed,
}

/// State of a node.
pub struct MeshCore {
    pub(crate) settings: MeshSettings,
    pub(crate) node: NodeId,
    pub(crate) boot: u64,
    pub(crate) entry: EntryMachine,
    pub(crate) owner: OwnerMachine,
    pub(crate) directory: FleetDirectory,
    pub(crate) target: TargetMonitor,
    pub(crate) version: Option<Rc<MeshVersion>>,
    /// Versions that were in force before, oldest first.
    pub(crate) kept_versions: VecDeque<Rc<MeshVersion>>,
    pub(crate) splits: TrafficSplitter,
    pub(crate) watchers: WatcherMonitor,
    pub(crate) boots: HashMap<NodeId, u64>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) own_frames: VecDeque<FrameBody>,
    /// Slots offered now, 0 when the backend server takes no work.
    pub(crate) offered: u32,
    pub(crate) draining: bool,
    pub(crate) refusing: bool,
    pub(crate) store_path: StorePath,
    pub(crate) counters: CounterBoard,
    pub(crate) actions: Vec<MeshAction>,
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
            owner: OwnerMachine::new(node, boot, OwnerSettings::default()),
            directory: FleetDirectory::default(),
            target: TargetMonitor::new(&backend.service, &address, backend.heartbeat_interval),
            version: None,
            kept_versions: VecDeque::new(),
            splits: TrafficSplitter::default(),
            watchers: WatcherMonitor::with_startup_grace(Instant::now()),
            boots: HashMap::new(),
            rng,
            own_frames: VecDeque::new(),
            offered: 0,
            draining: false,
            refusing: false,
            store_path: StorePath::Answering,
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
    pub fn active_version(&self) -> Option<&Rc<MeshVersion>> {
        self.version.as_ref()
    }

    /// Nodes known.
    pub fn directory(&self) -> &FleetDirectory {
        &self.directory
    }

    /// The backend server beside this node.
    pub fn target(&self) -> &TargetMonitor {
        &self.target
    }

    /// Whether the node takes callers' requests.
    pub fn is_ready(&self) -> bool {
        self.version.is_some() && !self.directory.is_empty() && !self.draining
    }

    /// Whether the node is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Notes whether this node's calls to the store fail.
    pub fn set_store_failing(&mut self, failing: bool) {
        self.store_path = match (self.store_path, failing) {
            // What peers told holds until the entries are read.
            (StorePath::Bypassed, _) => StorePath::Bypassed,
            (_, true) => StorePath::Failing,
            (_, false) => StorePath::Answering,
        };
    }

    /// Calls that aren't over, as entry and as owner.
    pub fn open_calls(&self) -> usize {
        self.entry.open_calls() + self.owner.open_calls()
    }

    /// The node's entry as it should stand in the store.
    pub fn own_registration(&self) -> NodeRegistration {
        NodeRegistration {
            name: self.settings.name.clone(),
            boot: self.boot,
            address: self.settings.peer_address.to_string(),
            data_centre: self.settings.data_centre.clone(),
            service: self.settings.backend.service.clone(),
            slots: if self.draining { 0 } else { self.offered },
            link_mbps: self.settings.link_mbps,
            leaving: self.target.leaving().cloned(),
        }
    }

    /// Chooses the service that a route's next request goes to.
    pub fn choose_service(&mut self, route: &MeshRoute) -> String {
        self.splits.choose(route, &mut self.rng).to_owned()
    }

    /// Starts a caller's call; [`MeshAction::Reply`] follows under the number returned.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.entry.begin_call(spec, request, now);
        self.settle(now);
        call
    }

    /// The caller of a call has gone.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.counters.refused(ErrorKind::CallerGone.rule().name);
        if let Some(request) = self.entry.request_id(call) {
            info!(target: REQUEST_TARGET, event = "call_abandoned", request);
        }
        self.entry.on_caller_gone(call);
        self.settle(now);
    }

    /// Share of a service's requests that this node may repeat.
    pub fn node_retry_ratio(&self) -> f64 {
        self.settings.retry_budget.ratio * SHARE_PART
    }

    /// Takes a heartbeat of the backend server.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let outcome = self.target.on_heartbeat(beat, now);
        self.offer_target(now);
        outcome
    }

    /// The backend server is going, at a time by the host's clock.
    pub fn on_leave_notice(&mut self, instance: &str, unix_ms: u64, now: Instant) {
        self.target.on_leave_notice(instance, unix_ms);
        self.offer_target(now);
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
        if self.directory.expire(now, |node| entry.last_contact(node)) {
            self.counters.count("directory.expired");
            self.directory_changed(now);
        }
        self.settle(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let silent = self
            .target
            .heartbeat_deadline()
            .filter(|_| self.offered > 0);
        let times = [
            self.entry.next_wake(),
            self.owner.next_wake(),
            silent,
            self.directory.next_expiry(now),
        ];
        times.into_iter().flatten().min()
    }

    /// Starts to leave: work that waits goes elsewhere, what runs is finished.
    pub fn drain(&mut self, now: Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.owner.drain(now);
        self.actions.push(MeshAction::RegistrationChanged);
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
    pub(crate) fn offer_target(&mut self, now: Instant) {
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
        let setup = OwnerSettings {
            service,
            slots,
            queue_limit: (slots * QUEUE_FACTOR) as usize,
            slot_rule: SlotRule::Fixed,
            ..OwnerSettings::default()
        };
        self.owner.reconfigure(setup, now);
        if slots == 0 {
            self.owner.refuse_queued(now);
        }
        self.actions.push(MeshAction::RegistrationChanged);
        if self.store_path == StorePath::Bypassed {
            self.announce_to_all(now);
        }
        self.settle(now);
    }
}
