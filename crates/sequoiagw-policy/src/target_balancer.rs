//! What an entry knows of the targets, and the choice among them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::target_state::TargetState;
use crate::target_state::FIRST_HOLD;
use crate::PlacementRecord;
use crate::PlacementRule;
use crate::RunTimes;

/// Load per slot by which another data centre must be better to be worth the link.
const SPILL_MARGIN: f64 = 0.5;
/// Failures in a row after which a target is ejected.
const EJECT_FAILURES: u32 = 3;
/// Time of the first ejection; each further one takes longer.
const EJECT_TIME: Duration = Duration::from_secs(2);
/// Longest ejection, in multiples of [`EJECT_TIME`].
const EJECT_MULTIPLE_LIMIT: u32 = 10;

/// Weight of a new answer in a target's share of failures.
const ERROR_WEIGHT: f64 = 0.1;

/// A target as membership announces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo {
    /// Owning node.
    pub node: NodeId,
    /// Its boot.
    pub boot: u64,
    /// Data centre.
    pub data_centre: String,
    /// Slots announced.
    pub slots: u32,
}

/// What a call asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Route.
    pub route: &'a str,
    /// Rank level.
    pub level: RankLevel,
    /// Targets tried already.
    pub excluded: &'a [NodeId],
    /// Load per slot above which other data centres are weighed.
    pub spill_load: f64,
    /// Whether a report of a full queue may refuse the call.
    pub refuse_early: bool,
    /// How the target is chosen.
    pub placement_rule: PlacementRule,
    /// Advantage in time by which a target in another data centre must be better.
    pub remote_penalty: Duration,
    /// Time to an answer of the own data centre up to which no other one is weighed.
    pub acceptable_local_latency: Duration,
    /// Time left within which an answer is worth most.
    pub remaining_latency_target: Duration,
}

/// All targets by service, with what this entry has seen of each.
#[derive(Debug)]
pub struct TargetBalancer {
    data_centre: String,
    services: BTreeMap<String, Vec<TargetInfo>>,
    views: HashMap<NodeId, TargetState>,
    runs: RunTimes,
}

impl TargetBalancer {
    /// Builds an empty board for an entry in `data_centre`.
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            services: BTreeMap::new(),
            views: HashMap::new(),
            runs: RunTimes::default(),
        }
    }

    /// Replaces the targets of all services.
    pub fn set_targets(&mut self, services: BTreeMap<String, Vec<TargetInfo>>) {
        let present = |node: &NodeId| services.values().flatten().any(|info| info.node == *node);
        self.views
            .retain(|node, view| view.in_flight > 0 || present(node));
        self.runs.retain_targets(|node| present(&node));
        self.services = services;
    }

    /// Targets of a service.
    pub fn targets(&self, service: &str) -> &[TargetInfo] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Chooses a target: two random ones of the own data centre, the less loaded of them,
    /// and one from elsewhere only when that is worth the link.
    ///
    /// Errors: [`ErrorKind::TargetMissing`] without a target,
    /// [`ErrorKind::FleetOverloaded`] when every target said just now that it has no room.
    pub fn pick(
        &self,
        request: &PickRequest<'_>,
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> Result<TargetInfo, ErrorKind> {
        let usable = self.usable_targets(request, now);
        if usable.is_empty() {
            return Err(ErrorKind::TargetMissing);
        }
        if request.placement_rule == PlacementRule::Fastest {
            return self.fastest(&usable, request, rng, now);
        }
        let open: Vec<&TargetInfo> = usable
            .into_iter()
            .filter(|info| !(request.refuse_early && self.refuses(info, request.level, now)))
            .collect();
        if open.is_empty() {
            return Err(ErrorKind::FleetOverloaded);
        }
        let (near, far): (Vec<&TargetInfo>, Vec<&TargetInfo>) = open
            .into_iter()
            .partition(|info| info.data_centre == self.data_centre);
        let near = self.better_of_two(&near, rng, now);
        let must_spill = near.is_none_or(|(_, load)| load > request.spill_load);
        let far = if must_spill {
            self.better_of_two(&far, rng, now)
        } else {
            None
        };
        let choice = match (near, far) {
            (Some((_, near_load)), Some((far, load))) if load + SPILL_MARGIN < near_load => far,
            (Some((near, _)), _) => near,
            (None, Some((far, _))) => far,
            (None, None) => return Err(ErrorKind::TargetMissing),
        };
        Ok(choice.clone())
    }

    /// The target that is expected to answer first, among those not known to be full for
    /// good; near equals are drawn, so that entries don't all choose the same one. The own
    /// data centre's best one is taken if its answer comes early enough.
    fn fastest(
        &self,
        usable: &[&TargetInfo],
        request: &PickRequest<'_>,
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> Result<TargetInfo, ErrorKind> {
        let mut best: Option<(Duration, &TargetInfo)> = None;
        let mut near: Option<(Duration, &TargetInfo)> = None;
        for info in usable {
            if self.refuses(info, request.level, now) {
                continue;
            }
            let spread = rng.random_range(0.95..1.05);
            let mut time = self.answer_time(info, request, now).mul_f64(spread);
            if info.data_centre == self.data_centre {
                near = earlier(near, time, info);
            } else {
                time += request.remote_penalty;
            }
            best = earlier(best, time, info);
        }
        let near = near.filter(|(time, _)| *time <= request.acceptable_local_latency);
        let Some((_, chosen)) = near.or(best) else {
            return Err(ErrorKind::FleetOverloaded);
        };
        let view = self.views.get(&chosen.node);
        if view.is_some_and(|view| {
            view.is_hopeless(request.level, request.remaining_latency_target, now)
        }) {
            return Err(ErrorKind::FleetOverloaded);
        }
        Ok(chosen.clone())
    }

    /// Expected time to an answer: until a slot is free, the run itself, and what failures
    /// add.
    fn answer_time(&self, info: &TargetInfo, request: &PickRequest<'_>, now: Instant) -> Duration {
        let run = self.runs.expected_run_time(info.node, request.route, now);
        let run = run.unwrap_or(FIRST_HOLD);
        let Some(view) = self.views.get(&info.node) else {
            return run;
        };
        view.slot_time(info.slots, request.level, now) + run + view.failure_penalty(now)
    }

    /// Boot of a node that offers a service.
    pub fn boot(&self, node: NodeId) -> Option<u64> {
        let mut all = self.services.values().flatten();
        all.find(|info| info.node == node).map(|info| info.boot)
    }

    /// What decided for a target, to be logged.
    pub fn placement_record(
        &self,
        target: &TargetInfo,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> PlacementRecord {
        let report = self.views.get(&target.node).and_then(|view| view.report);
        PlacementRecord {
            node: target.node,
            expected_latency: self.answer_time(target, request, now),
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

    /// The other nodes of a node's data centre, unless that is the own one.
    pub fn remote_data_centre_peers(&self, node: NodeId) -> Vec<NodeId> {
        let all = || self.services.values().flatten();
        let centre = all()
            .find(|info| info.node == node)
            .map(|info| &info.data_centre);
        let Some(centre) = centre.filter(|centre| **centre != self.data_centre) else {
            return Vec::new();
        };
        all()
            .filter(|info| info.data_centre == *centre && info.node != node)
            .map(|info| info.node)
            .collect()
    }

    /// Notes that a node was heard.
    pub fn on_contact(&mut self, node: NodeId) {
        if let Some(view) = self.views.get_mut(&node) {
            view.suspect = false;
        }
    }

    /// Notes that a node was asked and has not been heard since.
    pub fn mark_suspect(&mut self, node: NodeId) {
        self.views.entry(node).or_default().suspect = true;
    }

    /// Notes how long a call of a route held its slot at a target.
    pub fn record_occupancy(&mut self, node: NodeId, route: &str, time: Duration, now: Instant) {
        self.runs.record(node, route, time, now);
    }

    /// Notes that a target answered, and whether its answer was a failure.
    pub fn on_answer(&mut self, node: NodeId, failed: bool, now: Instant) {
        let view = self.views.entry(node).or_default();
        view.answered = Some(now);
        let seen = if failed { 1.0 } else { 0.0 };
        view.error_share += (seen - view.error_share) * ERROR_WEIGHT;
        view.failures = 0;
        view.ejections = 0;
    }

    /// Counts a call sent to a target.
    pub fn on_dispatch(&mut self, node: NodeId) {
        let view = self.views.entry(node).or_default();
        view.in_flight += 1;
        view.sent_since_report += 1;
    }

    /// Counts a call that is over, whatever became of it.
    pub fn on_dispatch_ended(&mut self, node: NodeId) {
        if let Some(view) = self.views.get_mut(&node) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Takes a load report that came with an answer.
    pub fn on_load_report(&mut self, node: NodeId, report: LoadReport, now: Instant) {
        let view = self.views.entry(node).or_default();
        view.report = Some((report, now));
        view.sent_since_report = 0;
    }

    /// Notes a failure that speaks against the target; tells whether it is ejected now.
    pub fn on_failure(&mut self, node: NodeId, now: Instant) -> bool {
        let view = self.views.entry(node).or_default();
        view.failures += 1;
        if view.failures < EJECT_FAILURES || view.is_ejected(now) {
            return false;
        }
        view.ejections = (view.ejections + 1).min(EJECT_MULTIPLE_LIMIT);
        view.ejected_until = Some(now + EJECT_TIME * view.ejections);
        true
    }

    /// Targets left after ejection, which never takes more than half of a service.
    fn usable_targets(&self, request: &PickRequest<'_>, now: Instant) -> Vec<&TargetInfo> {
        let all: Vec<&TargetInfo> = self
            .targets(request.service)
            .iter()
            .filter(|info| !request.excluded.contains(&info.node))
            .collect();
        let heard: Vec<&TargetInfo> = all
            .iter()
            .copied()
            .filter(|info| !self.views.get(&info.node).is_some_and(|view| view.suspect))
            .collect();
        let all = if heard.is_empty() { all } else { heard };
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

    fn refuses(&self, info: &TargetInfo, level: RankLevel, now: Instant) -> bool {
        self.views
            .get(&info.node)
            .is_some_and(|view| view.refuses(level, now))
    }

    fn load_of(&self, info: &TargetInfo, now: Instant) -> f64 {
        self.views
            .get(&info.node)
            .map_or(0.0, |view| view.load(info.slots, now))
    }

    fn better_of_two<'a>(
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

fn earlier<'a>(
    best: Option<(Duration, &'a TargetInfo)>,
    time: Duration,
    info: &'a TargetInfo,
) -> Option<(Duration, &'a TargetInfo)> {
    match best {
        Some((least, _)) if least <= time => best,
        _ => Some((time, info)),
    }
}
