//! Load balancing: the targets, their observed state and the choice among them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::target_view::TargetView;
use crate::target_view::DEFAULT_OCCUPANCY;
use crate::AnswerSizes;
use crate::PlacementRecord;
use crate::PlacementRule;
use crate::RunTimes;

/// Load per slot by which a remote target must be less loaded to justify use of the link.
const SPILL_MARGIN: f64 = 0.5;
/// Targets of the local data centre among which a call's target is picked.
const SAMPLED_LOCAL_TARGETS: usize = 3;
/// Targets of the remote data centres that are considered beside the local ones.
const SAMPLED_REMOTE_TARGETS: usize = 2;
/// Consecutive failures after which a target is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection; each consecutive one takes this much longer.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest ejection, in multiples of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_MULTIPLE: u32 = 10;

/// Weight of a new answer in the moving average of a target's failure ratio.
const FAILURE_RATIO_WEIGHT: f64 = 0.1;

/// A target as announced by membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo {
    /// Node that owns the target.
    pub node: NodeId,
    /// Boot of the node.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: String,
    /// Number of slots announced.
    pub slots: u32,
}

/// Properties of a call that decide the choice of its target.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Route.
    pub route: &'a str,
    /// Rank level.
    pub level: RankLevel,
    /// Nodes that must not be chosen, because the call has tried them.
    pub excluded: &'a [NodeId],
    /// Load per slot of the local target above which remote ones are considered.
    pub spill_load: f64,
    /// Whether the call is refused without a dispatch if recent load reports say that no queue has
    /// room for it. [`PlacementRule::Fastest`] always refuses such a call.
    pub refuse_early: bool,
    /// Rule by which the target is chosen.
    pub placement_rule: PlacementRule,
    /// Time by which a remote target must be expected to answer sooner than a local one.
    pub remote_penalty: Duration,
    /// Expected time to a local answer up to which no remote target is considered.
    pub acceptable_local_latency: Duration,
    /// Time left of the call's latency target.
    pub remaining_latency_target: Duration,
}

/// Chooses targets for calls by what this entry has observed of each.
#[derive(Debug)]
pub struct TargetBalancer {
    data_centre: String,
    services: BTreeMap<String, Vec<TargetInfo>>,
    views: HashMap<NodeId, TargetView>,
    run_times: RunTimes,
    answer_sizes: AnswerSizes,
}

impl TargetBalancer {
    /// Creates a balancer without targets for an entry in `data_centre`.
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            services: BTreeMap::new(),
            views: HashMap::new(),
            run_times: RunTimes::default(),
            answer_sizes: AnswerSizes::default(),
        }
    }

    /// Replaces the targets of all services.
    pub fn set_targets(&mut self, services: BTreeMap<String, Vec<TargetInfo>>) {
        let present = |node: &NodeId| services.values().flatten().any(|info| info.node == *node);
        self.views
            .retain(|node, view| view.in_flight > 0 || present(node));
        self.run_times.retain_targets(|node| present(&node));
        self.services = services;
    }

    /// Targets of a service.
    pub fn targets(&self, service: &str) -> &[TargetInfo] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Chooses a target. [`PlacementRule::Fastest`] picks the earliest expected answer.
    /// [`PlacementRule::Spill`] picks the less loaded of two random local targets. It picks a
    /// remote one, chosen likewise, if there is no local one or if the remote one is less loaded
    /// by enough to justify use of the link.
    ///
    /// Errors: [`ErrorKind::TargetMissing`] without a target,
    /// [`ErrorKind::FleetOverloaded`] if recent load reports say that no target has room for the
    /// call or, under `Fastest`, that the best target would miss the latency target.
    pub fn pick(
        &self,
        request: &PickRequest<'_>,
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> Result<TargetInfo, ErrorKind> {
        let eligible = self.eligible_targets(request, now);
        if eligible.is_empty() {
            return Err(ErrorKind::TargetMissing);
        }
        if request.placement_rule == PlacementRule::Fastest {
            return self.pick_fastest(&eligible, request, rng, now);
        }
        let with_room: Vec<&TargetInfo> = eligible
            .into_iter()
            .filter(|info| {
                !(request.refuse_early && self.is_queue_full_for(info, request.level, now))
            })
            .collect();
        if with_room.is_empty() {
            return Err(ErrorKind::FleetOverloaded);
        }
        let (local, remote): (Vec<&TargetInfo>, Vec<&TargetInfo>) = with_room
            .into_iter()
            .partition(|info| info.data_centre == self.data_centre);
        let local = self.less_loaded_of_two(&local, rng, now);
        let may_spill = local.is_none_or(|(_, load)| load > request.spill_load);
        let remote = if may_spill {
            self.less_loaded_of_two(&remote, rng, now)
        } else {
            None
        };
        let choice = match (local, remote) {
            (Some((_, local_load)), Some((remote, remote_load)))
                if remote_load + SPILL_MARGIN < local_load =>
            {
                remote
            }
            (Some((local, _)), _) => local,
            (None, Some((remote, _))) => remote,
            (None, None) => return Err(ErrorKind::TargetMissing),
        };
        Ok(choice.clone())
    }

    /// Picks the target that is expected to answer first, among a random sample of those without a
    /// recent report of a full queue. Jitter decides between nearly equal targets. The best local
    /// target is preferred if its answer is expected within `acceptable_local_latency`.
    ///
    /// Serves fleets in which each entry sees a target only now and then. What the entries have
    /// seen is old and much alike, so without sampling all of them choose the same few targets.
    fn pick_fastest(
        &self,
        eligible: &[&TargetInfo],
        request: &PickRequest<'_>,
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> Result<TargetInfo, ErrorKind> {
        let with_room = eligible
            .iter()
            .copied()
            .filter(|info| !self.is_queue_full_for(info, request.level, now));
        let (locals, remotes): (Vec<&TargetInfo>, Vec<&TargetInfo>) =
            with_room.partition(|info| info.data_centre == self.data_centre);
        let sampled_locals = locals.choose_multiple(rng, SAMPLED_LOCAL_TARGETS);
        let sampled_remotes = remotes.choose_multiple(rng, SAMPLED_REMOTE_TARGETS);
        let sample: Vec<&TargetInfo> = sampled_locals.chain(sampled_remotes).copied().collect();
        let mut best: Option<(Duration, &TargetInfo)> = None;
        let mut local: Option<(Duration, &TargetInfo)> = None;
        for info in sample {
            let jitter = rng.random_range(0.95..1.05);
            let mut time = self.expected_latency(info, request, now).mul_f64(jitter);
            if info.data_centre == self.data_centre {
                local = earlier_answer(local, time, info);
            } else {
                time += request.remote_penalty;
            }
            best = earlier_answer(best, time, info);
        }
        let local = local.filter(|(time, _)| *time <= request.acceptable_local_latency);
        let Some((_, chosen)) = local.or(best) else {
            return Err(ErrorKind::FleetOverloaded);
        };
        let view = self.views.get(&chosen.node);
        if view.is_some_and(|view| {
            view.would_miss_latency_target(request.level, request.remaining_latency_target, now)
        }) {
            return Err(ErrorKind::FleetOverloaded);
        }
        Ok(chosen.clone())
    }

    /// Expected time to an answer: wait for a slot, run time, failure penalty and, for a large
    /// answer, wait for the link of the target's host.
    fn expected_latency(
        &self,
        info: &TargetInfo,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> Duration {
        let run_time = self
            .run_times
            .expected_run_time(info.node, request.route, now);
        let run_time = run_time.unwrap_or(DEFAULT_OCCUPANCY);
        let Some(view) = self.views.get(&info.node) else {
            return run_time;
        };
        let link_wait = if self.answer_sizes.is_large(request.route) {
            view.link_wait(now)
        } else {
            Duration::ZERO
        };
        view.expected_slot_wait(info.slots, request.level, now)
            + run_time
            + link_wait
            + view.failure_penalty(now)
    }

    /// Boot of a node that offers a service, `None` if it offers none.
    pub fn boot(&self, node: NodeId) -> Option<u64> {
        let mut all = self.services.values().flatten();
        all.find(|info| info.node == node).map(|info| info.boot)
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
        self.services
            .values()
            .flatten()
            .any(|info| info.node == node)
    }

    /// Other nodes in the data centre of `node`, empty if that is the local data centre.
    pub fn remote_data_centre_peers(&self, node: NodeId) -> Vec<NodeId> {
        let all = || self.services.values().flatten();
        let data_centre = all()
            .find(|info| info.node == node)
            .map(|info| &info.data_centre);
        let Some(data_centre) = data_centre.filter(|data_centre| **data_centre != self.data_centre)
        else {
            return Vec::new();
        };
        all()
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

    /// Targets of the service that are not excluded, suspect or ejected. Suspects are used if no
    /// other target is left, and ejected ones if more than half are ejected.
    fn eligible_targets(&self, request: &PickRequest<'_>, now: Instant) -> Vec<&TargetInfo> {
        let all: Vec<&TargetInfo> = self
            .targets(request.service)
            .iter()
            .filter(|info| !request.excluded.contains(&info.node))
            .collect();
        let responsive: Vec<&TargetInfo> = all
            .iter()
            .copied()
            .filter(|info| !self.views.get(&info.node).is_some_and(|view| view.suspect))
            .collect();
        let all = if responsive.is_empty() {
            all
        } else {
            responsive
        };
        let healthy: Vec<&TargetInfo> = all
            .iter()
            .copied()
            .filter(|info| {
                !self
                    .views
                    .get(&info.node)
                    .is_some_and(|view| view.is_ejected(now))
            })
            .collect();
        if healthy.len() * 2 < all.len() {
            all
        } else {
            healthy
        }
    }

    fn is_queue_full_for(&self, info: &TargetInfo, level: RankLevel, now: Instant) -> bool {
        self.views
            .get(&info.node)
            .is_some_and(|view| view.is_queue_full_for(level, now))
    }

    fn load_of(&self, info: &TargetInfo, now: Instant) -> f64 {
        self.views
            .get(&info.node)
            .map_or(0.0, |view| view.load(info.slots, now))
    }

    fn less_loaded_of_two<'a>(
        &self,
        targets: &[&'a TargetInfo],
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> Option<(&'a TargetInfo, f64)> {
        let count = targets.len();
        if count == 0 {
            return None;
        }
        let first = rng.random_range(0..count);
        let mut best = (targets[first], self.load_of(targets[first], now));
        if count > 1 {
            let second = (first + rng.random_range(1..count)) % count;
            let load = self.load_of(targets[second], now);
            if load < best.1 {
                best = (targets[second], load);
            }
        }
        Some(best)
    }
}

fn earlier_answer<'a>(
    best: Option<(Duration, &'a TargetInfo)>,
    time: Duration,
    info: &'a TargetInfo,
) -> Option<(Duration, &'a TargetInfo)> {
    match best {
        Some((least, _)) if least <= time => best,
        _ => Some((time, info)),
    }
}
