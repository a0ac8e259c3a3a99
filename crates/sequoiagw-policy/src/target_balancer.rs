//! Load balancing: the targets and their observed state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::target_view::TargetView;
use crate::AnswerSizes;
use crate::CanaryTarget;
use crate::PickRequest;
use crate::PlacementRecord;
use crate::RunTimes;
use crate::TargetInfo;

/// Consecutive failures after which a target is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection; each consecutive one takes this much longer.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest ejection, in multiples of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_MULTIPLE: u32 = 10;

/// Weight of a new answer in the moving average of a target's failure ratio.
const FAILURE_RATIO_WEIGHT: f64 = 0.1;

/// Chooses targets for calls by what this entry has observed of each.
#[derive(Debug)]
pub struct TargetBalancer {
    pub(crate) data_centre: String,
    services: BTreeMap<String, Vec<TargetInfo>>,
    pub(crate) canaries: HashMap<String, CanaryTarget>,
    pub(crate) views: HashMap<NodeId, TargetView>,
    pub(crate) run_times: RunTimes,
    pub(crate) answer_sizes: AnswerSizes,
}

impl TargetBalancer {
    /// Creates a balancer without targets for an entry in `data_centre`.
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            services: BTreeMap::new(),
            canaries: HashMap::new(),
            views: HashMap::new(),
            run_times: RunTimes::default(),
            answer_sizes: AnswerSizes::default(),
        }
    }

    /// Replaces the targets of all services.
    pub fn set_targets(&mut self, services: BTreeMap<String, Vec<TargetInfo>>) {
        let canaries = &self.canaries;
        let present = |node: &NodeId| {
            let listed = services.values().flatten();
            let canaries = canaries.values().map(|canary| &canary.target);
            listed.chain(canaries).any(|info| info.node == *node)
        };
        self.views
            .retain(|node, view| view.in_flight > 0 || present(node));
        self.run_times.retain_targets(|node| present(&node));
        self.services = services;
    }

    /// Sets or removes the target that gets a share (0 to 1) of a service's calls;
    /// [`Self::set_targets`] leaves it out. Set before the targets, so that what has been observed
    /// of the target is kept.
    pub fn set_canary(&mut self, service: &str, canary: Option<CanaryTarget>) {
        match canary {
            Some(canary) => self.canaries.insert(service.to_owned(), canary),
            None => self.canaries.remove(service),
        };
    }

    /// Targets of a service.
    pub fn targets(&self, service: &str) -> &[TargetInfo] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Targets of all services, and their canaries.
    fn all_targets(&self) -> impl Iterator<Item = &TargetInfo> {
        let canaries = self.canaries.values().map(|canary| &canary.target);
        self.services.values().flatten().chain(canaries)
    }

    /// Boot of a node that offers a service, `None` if it offers none.
    pub fn boot(&self, node: NodeId) -> Option<u64> {
        let info = self.all_targets().find(|info| info.node == node);
        info.map(|info| info.boot)
    }

    /// Record for the logs of why a target was chosen.
    pub fn placement_record(
        &self,
        target: &TargetInfo,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> PlacementRecord {
        let report = self.views.get(&target.node).and_then(|view| view.report);
        PlacementRecord {
            node: target.node,
            expected_latency: self.expected_latency(target, request, now),
            report_age: report.map(|(_, time)| now.saturating_duration_since(time)),
        }
    }

    /// Whether a node offers any service.
    pub fn is_target(&self, node: NodeId) -> bool {
        self.all_targets().any(|info| info.node == node)
    }

    /// Other nodes in the data centre of `node`, empty if that is the local data centre.
    pub fn remote_data_centre_peers(&self, node: NodeId) -> Vec<NodeId> {
        let data_centre = self
            .all_targets()
            .find(|info| info.node == node)
            .map(|info| &info.data_centre);
        let Some(data_centre) = data_centre.filter(|data_centre| **data_centre != self.data_centre)
        else {
            return Vec::new();
        };
        self.all_targets()
            .filter(|info| info.data_centre == *data_centre && info.node != node)
            .map(|info| info.node)
            .collect()
    }

    /// Records a message from a node, which is no longer suspect.
    pub fn on_contact(&mut self, node: NodeId) {
        if let Some(view) = self.views.get_mut(&node) {
            view.suspect = false;
        }
    }

    /// Marks a node as suspect: it gets no calls while another target is left, until
    /// [`Self::on_contact`].
    pub fn mark_suspect(&mut self, node: NodeId) {
        self.views.entry(node).or_default().suspect = true;
    }

    /// Records how long a call of a route occupied its slot at a target.
    pub fn record_occupancy(&mut self, node: NodeId, route: &str, time: Duration, now: Instant) {
        self.run_times.record(node, route, time, now);
    }

    /// Records the size of a route's answer in bytes.
    pub fn record_answer_size(&mut self, route: &str, bytes: usize) {
        self.answer_sizes.record(route, bytes);
    }

    /// Records an answer of a target; `failed` says whether it was a failure. Ends the series of
    /// consecutive failures and ejections either way.
    pub fn on_answer(&mut self, node: NodeId, failed: bool, now: Instant) {
        let view = self.views.entry(node).or_default();
        view.last_answer = Some(now);
        let sample = if failed { 1.0 } else { 0.0 };
        view.failure_ratio += (sample - view.failure_ratio) * FAILURE_RATIO_WEIGHT;
        view.consecutive_failures = 0;
        view.consecutive_ejections = 0;
    }

    /// Counts a dispatch to a target.
    pub fn on_dispatch(&mut self, node: NodeId) {
        let view = self.views.entry(node).or_default();
        view.in_flight += 1;
        view.dispatched_since_report += 1;
    }

    /// Counts the end of a dispatch to a target, whatever its outcome.
    pub fn on_dispatch_ended(&mut self, node: NodeId) {
        if let Some(view) = self.views.get_mut(&node) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Stores a load report that came with an answer.
    pub fn on_load_report(&mut self, node: NodeId, report: LoadReport, now: Instant) {
        let view = self.views.entry(node).or_default();
        view.report = Some((report, now));
        view.dispatched_since_report = 0;
    }

    /// Records a failure caused by the target and returns whether the target is ejected by it.
    pub fn on_failure(&mut self, node: NodeId, now: Instant) -> bool {
        let view = self.views.entry(node).or_default();
        view.consecutive_failures += 1;
        if view.consecutive_failures < EJECTION_THRESHOLD || view.is_ejected(now) {
            return false;
        }
        view.consecutive_ejections = (view.consecutive_ejections + 1).min(MAX_EJECTION_MULTIPLE);
        view.ejected_until = Some(now + BASE_EJECTION_TIME * view.consecutive_ejections);
        true
    }
}
