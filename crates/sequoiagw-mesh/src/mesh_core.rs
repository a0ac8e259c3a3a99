//! Node state machine: combines the fleet directory, configuration versions, the entry role and
//! the owner role.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::CallMachines;
use sequoiagw_node::NodeCounters;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerAttempt;
use sequoiagw_policy::EntryMachine;
use sequoiagw_policy::OwnerMachine;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::RefusedCallers;
use sequoiagw_policy::RunId;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;

use crate::node_quotas::NodeQuotas;
use crate::node_rollouts::NodeRollouts;
use crate::DepartureList;
use crate::DepartureRecovery;
use crate::FleetDirectory;
use crate::LeavePlan;
use crate::MeshAction;
use crate::MeshRoute;
use crate::MeshSettings;
use crate::MeshVersion;
use crate::NodeRegistration;
use crate::TargetIncarnation;
use crate::TargetMonitor;
use crate::TrafficSplitter;
use crate::WatcherMonitor;

/// Fraction of the allowed retry ratio that nodes use. Retried runs make their calls again, and
/// these calls count as retries at the service that receives them. There they can be as many as the
/// service's own requests.
const RETRY_RATIO_FRACTION: f64 = 0.45;

/// State of a node's access to the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreAccess {
    /// The store answers calls.
    Available,
    /// Calls to the store fail.
    Failing,
    /// Calls to the store fail, and this process got its state from its peers instead.
    Bypassed,
}

/// State machine of a node; it does no I/O and returns [`MeshAction`]s instead.
pub struct MeshCore {
    pub(crate) settings: MeshSettings,
    pub(crate) node: NodeId,
    pub(crate) boot: u64,
    pub(crate) started_at: Instant,
    pub(crate) calls: CallMachines,
    pub(crate) directory: FleetDirectory,
    pub(crate) target: TargetMonitor,
    /// Departure that the store has in this node's registration.
    pub(crate) stored_departure: Option<TargetIncarnation>,
    pub(crate) departure_recovery: DepartureRecovery,
    /// Departures of the backend server next to each other node, as that node told them.
    pub(crate) peer_departures: HashMap<NodeId, DepartureList>,
    pub(crate) active_version: Option<Rc<MeshVersion>>,
    /// Versions that were active before the current one, oldest first.
    pub(crate) previous_versions: VecDeque<Rc<MeshVersion>>,
    pub(crate) traffic_splitter: TrafficSplitter,
    pub(crate) refused_callers: RefusedCallers,
    /// `None` if workspaces have no quotas here.
    pub(crate) quotas: Option<NodeQuotas>,
    pub(crate) watchers: WatcherMonitor,
    /// Whether this node was a watcher as of the last change of the directory.
    pub(crate) was_watcher: bool,
    /// Boot of each node as of the last change of the directory.
    pub(crate) known_boots: HashMap<NodeId, u64>,
    pub(crate) rng: ChaCha8Rng,
    /// Frames that this node sends to itself.
    pub(crate) loopback_frames: VecDeque<FrameBody>,
    /// Slots offered now, 0 when the backend server accepts no work.
    pub(crate) offered_slots: u32,
    /// Requests per second that the backend server takes, `None` without a limit.
    pub(crate) request_limit: Option<f64>,
    pub(crate) draining: bool,
    /// Set while the node leaves.
    pub(crate) leave_plan: Option<LeavePlan>,
    pub(crate) store_access: StoreAccess,
    /// Latest known era of the store.
    pub(crate) store_era: StoreEra,
    /// `None` where roll-outs are off.
    pub(crate) rollouts: Option<Box<NodeRollouts>>,
    pub(crate) counters: NodeCounters,
    pub(crate) actions: Vec<MeshAction>,
}

impl MeshCore {
    /// Creates a node with an empty directory and no configuration version.
    ///
    /// `boot` must differ from that of any other process.
    pub fn new(settings: MeshSettings, boot: u64, counters: NodeCounters) -> Self {
        let node = NodeId::from_name(&settings.name);
        let mut rng = ChaCha8Rng::seed_from_u64(boot ^ node.get());
        let entry_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let backend = &settings.backend;
        let address = backend.address.to_string();
        let quotas = settings
            .quota
            .map(|quota| NodeQuotas::new(quota, &settings, boot, Instant::now()));
        Self {
            node,
            boot,
            started_at: Instant::now(),
            calls: CallMachines::new(
                EntryMachine::new(&settings.data_centre, entry_rng),
                OwnerMachine::new(node, boot, OwnerSettings::default()),
                counters.clone(),
            ),
            directory: FleetDirectory::default(),
            target: TargetMonitor::new(&backend.service, &address, backend.heartbeat_interval),
            stored_departure: None,
            departure_recovery: DepartureRecovery::new(settings.first_fleet_start, Instant::now()),
            peer_departures: HashMap::new(),
            active_version: None,
            previous_versions: VecDeque::new(),
            traffic_splitter: TrafficSplitter::default(),
            refused_callers: RefusedCallers::default(),
            quotas,
            watchers: WatcherMonitor::with_startup_grace(Instant::now()),
            was_watcher: false,
            known_boots: HashMap::new(),
            rng,
            loopback_frames: VecDeque::new(),
            offered_slots: 0,
            request_limit: None,
            draining: false,
            leave_plan: None,
            store_access: StoreAccess::Available,
            store_era: StoreEra::default(),
            rollouts: NodeRollouts::for_settings(&settings),
            counters,
            actions: Vec::new(),
            settings,
        }
    }

    /// Returns the actions queued since the previous call and clears the queue.
    pub fn take_actions(&mut self) -> Vec<MeshAction> {
        std::mem::take(&mut self.actions)
    }

    /// Settings of the node.
    pub fn settings(&self) -> &MeshSettings {
        &self.settings
    }

    /// Counters of the node.
    pub fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    /// Random number that identifies this start of the node.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Active version of the configuration, `None` until the first one arrives.
    pub fn active_version(&self) -> Option<&Rc<MeshVersion>> {
        self.active_version.as_ref()
    }

    /// Directory of the fleet's nodes.
    pub fn directory(&self) -> &FleetDirectory {
        &self.directory
    }

    /// Monitor of the backend server next to this node.
    pub fn target(&self) -> &TargetMonitor {
        &self.target
    }

    /// Whether the node accepts callers' requests.
    pub fn is_ready(&self) -> bool {
        self.active_version.is_some() && !self.directory.is_empty() && !self.draining
    }

    /// Whether the node is draining before it stops.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Records whether this node's calls to the store fail.
    pub fn set_store_failing(&mut self, failing: bool) {
        self.store_access = match (self.store_access, failing) {
            // State received from peers stays valid until the registrations are read.
            (StoreAccess::Bypassed, _) => StoreAccess::Bypassed,
            (_, true) => StoreAccess::Failing,
            (_, false) => StoreAccess::Available,
        };
    }

    /// Records the era of the store. The node's registration has to be written again in each.
    pub fn set_store_era(&mut self, era: StoreEra) {
        if era != self.store_era {
            self.store_era = era;
            self.actions.push(MeshAction::RegistrationChanged);
        }
    }

    /// Sets the time until the large frames that wait at this host have been sent.
    pub fn set_link_wait(&mut self, link_wait: Duration) {
        self.calls.owner.set_link_wait(link_wait);
    }

    /// Sets the time until the large dispatches that are offered to this host have been received.
    pub fn set_receive_wait(&mut self, receive_wait: Duration) {
        self.calls.owner.set_receive_wait(receive_wait);
    }

    /// Number of unfinished calls, as entry and as owner.
    pub fn open_calls(&self) -> usize {
        self.calls.open_calls()
    }

    /// Registration that the store should hold for this node.
    pub fn own_registration(&self) -> NodeRegistration {
        NodeRegistration {
            name: self.settings.name.clone(),
            boot: self.boot,
            address: self.settings.peer_address.to_string(),
            data_centre: self.settings.data_centre.clone(),
            service: self.settings.backend.service.clone(),
            slots: if self.draining { 0 } else { self.offered_slots },
            link_mbps: self.settings.link_mbps,
            leaving: self.target.latest_departure().cloned(),
            store_era: self.store_era,
            backend_version: self.registered_version(),
            departures_known: self.believes_heartbeats(),
            stopping: self.draining,
        }
    }

    /// Chooses the service for the next request of a route.
    pub fn choose_service(&mut self, route: &MeshRoute) -> String {
        self.traffic_splitter
            .choose(route, &mut self.rng)
            .to_owned()
    }

    /// Time for which a caller with this time left has waited since its first attempt, zero for a
    /// first attempt.
    pub fn take_waited(
        &mut self,
        route: &MeshRoute,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        self.refused_callers
            .take_waited(&route.name, time_left, now)
    }

    /// Records the refusal of a caller that may return.
    pub fn record_refused_caller(
        &mut self,
        route: &MeshRoute,
        attempt: CallerAttempt,
        now: Instant,
    ) {
        self.refused_callers.record(&route.name, attempt, now);
    }

    /// Starts a caller's call and returns its number, which the later [`MeshAction::Reply`]
    /// carries.
    pub fn begin_call(&mut self, spec: CallSpec, request: CallRequest, now: Instant) -> u64 {
        let call = self.calls.begin_call(spec, request, now);
        self.process_actions(now);
        call
    }

    /// Cancels a call whose caller disconnected.
    pub fn cancel_call(&mut self, call: u64, now: Instant) {
        self.calls.cancel_call(call, now);
        self.process_actions(now);
    }

    /// Retries that this node may make for each request to a service.
    pub fn node_retry_ratio(&self) -> f64 {
        self.settings.retry_budget.ratio * RETRY_RATIO_FRACTION
    }

    /// Handles the result of a run at the backend server.
    pub fn on_run_finished(&mut self, run: RunId, result: BackendResult, now: Instant) {
        if matches!(result, BackendResult::Answered { .. }) {
            self.target.on_answer(now);
        }
        self.record_run_end(run, &result, now);
        let server = self.target.staying().map(TargetIncarnation::process);
        self.calls.crashes.set_server(server);
        self.calls.on_run_finished(run, result, now);
        self.process_rollout_actions();
        self.process_actions(now);
    }

    /// Handles everything that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) {
        self.calls.on_tick(now);
        self.send_crash_news(now);
        self.departure_recovery.on_tick(now);
        self.tick_quotas(now);
        self.update_slot_offer(now);
        let entry = &self.calls.entry;
        if self.directory.expire(now, |node| entry.last_contact(node)) {
            self.counters.count("directory.expired");
            self.on_directory_changed(now);
        }
        self.on_rollout_tick(now);
        self.process_actions(now);
    }

    /// Earliest time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let heartbeat_deadline = self
            .target
            .heartbeat_deadline()
            .filter(|_| self.offered_slots > 0);
        let times = [
            self.calls.next_wake(),
            heartbeat_deadline,
            self.departure_recovery.next_wake(),
            self.directory.next_expiry(now),
            self.next_rollout_wake(now),
            self.quota_wake(now),
        ];
        times.into_iter().flatten().min()
    }

    /// Starts draining: queued calls are sent to other targets, running ones finish here.
    pub fn drain(&mut self, now: Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.calls.owner.drain(now);
        self.actions.push(MeshAction::RegistrationChanged);
        if self.has_quotas() {
            // Counters leave a node out that stops, also while it can't write to the store.
            self.announce_registration(now);
        }
        self.process_actions(now);
    }

    /// Sets when this node stops: callers' requests that are open end before, and those that arrive and
    /// can't are refused.
    pub fn set_leave_plan(&mut self, plan: LeavePlan, now: Instant) {
        self.leave_plan = Some(plan);
        self.calls.entry.limit_deadlines(plan.answers_due, now);
    }

    /// Time that a caller's request may take, `None` if it is refused because the node stops.
    pub fn admitted_timeout(
        &self,
        timeout: Duration,
        latency_target: Duration,
        now: Instant,
    ) -> Option<Duration> {
        match &self.leave_plan {
            Some(plan) => plan.admitted_timeout(timeout, latency_target, now),
            None => Some(timeout),
        }
    }
}
