//! Choice among the targets of a service.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::target_view::DEFAULT_OCCUPANCY;
use crate::PickRequest;
use crate::PlacementRule;
use crate::TargetBalancer;
use crate::TargetInfo;

/// Load per slot by which a remote target must be less loaded to justify use of the link.
const SPILL_MARGIN: f64 = 0.5;
/// Targets of the local data centre among which a call's target is picked.
const SAMPLED_LOCAL_TARGETS: usize = 3;
/// Targets of the remote data centres that are considered beside the local ones.
const SAMPLED_REMOTE_TARGETS: usize = 2;

impl TargetBalancer {
    /// Chooses a target. A service's canary is chosen for its share of the calls.
    /// [`PlacementRule::Fastest`] picks the earliest expected answer.
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
        if let Some(canary) = self.pick_canary(request, rng, now) {
            return Ok(canary.clone());
        }
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

    /// Picks the service's canary for its share of the calls, unless it can't take this one.
    fn pick_canary(
        &self,
        request: &PickRequest<'_>,
        rng: &mut ChaCha8Rng,
        now: Instant,
    ) -> Option<&TargetInfo> {
        let canary = self.canaries.get(request.service)?;
        let node = canary.target.node;
        let view = self.views.get(&node);
        let is_available = !request.excluded.contains(&node)
            && !view.is_some_and(|view| {
                view.suspect || view.is_ejected(now) || view.is_queue_full_for(request.level, now)
            });
        (is_available && rng.random_bool(canary.share.clamp(0.0, 1.0))).then_some(&canary.target)
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
    /// answer or a large body, wait for the link of the target's host.
    pub(crate) fn expected_latency(
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
        let receive_wait = if request.large_body {
            view.receive_wait(now)
        } else {
            Duration::ZERO
        };
        view.expected_slot_wait(info.slots, request.level, now)
            + run_time
            + link_wait
            + receive_wait
            + view.failure_penalty(now)
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
