//! Queued calls and runs at the owner.

use std::time::Duration;

use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::WaitLimit;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::acceptable_local_latency;
use crate::owner_call::OwnerCall;
use crate::owner_call::OwnerState;
use crate::rank_queue::SHARED_FLOW;
use crate::remote_penalty;
use crate::BackendResult;
use crate::CallId;
use crate::KeyState;
use crate::OwnerAction;
use crate::OwnerMachine;
use crate::PushOutcome;
use crate::QueuedCall;
use crate::RunId;
use crate::RunRequest;
use crate::SlotRule;

/// Time after its deadline for which a keyed call may keep running, so that a retry with the
/// same key finds the answer.
const KEYED_RUN_GRACE: Duration = Duration::from_secs(5);
/// Wait up to which a call always counts as short under [`WaitLimit::Short`], where another target
/// may have a free slot sooner.
const MIN_SHORT_WAIT: Duration = Duration::from_millis(40);
/// Fraction of the latency target, or of the time left for a short route, within which the
/// answer must be expected for a call to be queued. A queue that grows beyond the latency
/// target makes every call late during an overload.
const TIMELY_FRACTION: f64 = 0.9;
/// Lower bound of the mean slot occupancy in estimates, in seconds.
const MIN_OCCUPANCY_S: f64 = 0.001;
/// Lower bound of the fraction of freed slots that a level is estimated to get.
const MIN_SLOT_SHARE: f64 = 0.05;
/// Runs that an owner starts before the first answer of its backend server.
const UNKNOWN_BACKEND_RUNS: u32 = 4;
/// At most one slot in this many may be reserved.
const RESERVED_SLOTS_DIVISOR: u32 = 4;

impl OwnerMachine {
    /// Starts a call, queues it, or refuses it when the queue is full or its wait too long.
    pub(crate) fn enqueue(&mut self, id: CallId, now: Instant) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let latest_start = self.latest_start(call, now);
        let expected_wait = self.expected_wait_of(&call.dispatch, now);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = OwnerState::Queued;
        let queued = QueuedCall {
            id,
            level: RankLevel::new(call.dispatch.rank.min(7) as u8),
            flow: flow_of(&call.dispatch),
            due: due_time_of(call, now),
            deadline: latest_start,
        };
        let has_free_slot = self.queue.is_empty() && self.may_run(queued.level, now);
        let slot_wait = if has_free_slot {
            Duration::ZERO
        } else {
            expected_wait
        };
        if !self.is_wait_acceptable(id, queued.level, slot_wait, now) {
            self.refuse(id, ErrorKind::QueueFull, now);
            return;
        }
        if has_free_slot {
            self.run(id, now);
            return;
        }
        match self.queue.push(queued) {
            PushOutcome::Accepted => {}
            PushOutcome::Evicted(victim) => self.refuse(victim, ErrorKind::QueueFull, now),
            PushOutcome::Full => self.refuse(id, ErrorKind::QueueFull, now),
        }
    }

    /// Whether the expected wait for a slot and for the host's link is within the limit that the
    /// entry sent with the call. A call that waits for neither is always accepted.
    fn is_wait_acceptable(
        &self,
        id: CallId,
        level: RankLevel,
        slot_wait: Duration,
        now: Instant,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let dispatch = &call.dispatch;
        let wait = slot_wait + self.link_wait_of(&dispatch.route);
        if wait.is_zero() {
            return true;
        }
        let expected_latency = wait + self.occupancy.route_mean(&dispatch.route, now);
        let latency_target = Duration::from_millis(u64::from(dispatch.latency_target_ms));
        let remaining = call.deadline.saturating_duration_since(now);
        match dispatch.wait_limit() {
            WaitLimit::Deadline => true,
            WaitLimit::Short => {
                let short_wait = wait <= remote_penalty(latency_target, level).max(MIN_SHORT_WAIT);
                let early_answer =
                    expected_latency <= acceptable_local_latency(latency_target, level);
                (short_wait || early_answer) && expected_latency <= latency_target.min(remaining)
            }
            // A short call adds little to the queue, and its caller may be a run that occupies
            // a slot at another target. It may miss its latency target but not its deadline.
            WaitLimit::LatencyTarget if self.occupancy.is_short_route(&dispatch.route) => {
                expected_latency <= remaining.mul_f64(TIMELY_FRACTION)
            }
            WaitLimit::LatencyTarget => {
                expected_latency <= latency_target.mul_f64(TIMELY_FRACTION).min(remaining)
            }
        }
    }

    /// Estimated wait for the host's link after a run of this route. Serves loads of large answers,
    /// which leave slots free while the link is occupied.
    fn link_wait_of(&self, route: &str) -> Duration {
        if self.answer_sizes.is_large(route) {
            self.link_wait
        } else {
            Duration::ZERO
        }
    }

    /// Estimated wait for a slot at this level, behind the queued calls of this and the more
    /// urgent levels and the more urgent calls that are expected to arrive meanwhile.
    fn expected_wait(&self, level: RankLevel, now: Instant) -> Duration {
        let ahead = self.queue.queued_up_to(level) as f64 + 1.0;
        Duration::from_secs_f64(ahead / self.available_per_s(level, now))
    }

    /// Like [`Self::expected_wait`], behind only those queued calls of the level that are served
    /// before this new one.
    pub(crate) fn expected_wait_of(&self, dispatch: &CallDispatch, now: Instant) -> Duration {
        let level = RankLevel::new(dispatch.rank.min(7) as u8);
        let flow = flow_of(dispatch);
        let due = now + Duration::from_millis(u64::from(dispatch.latency_target_ms));
        let ahead = self.queue.queued_ahead(level, flow, due) as f64 + 1.0;
        let wait = Duration::from_secs_f64(ahead / self.available_per_s(level, now));
        wait.max(self.own_flow_wait(dispatch, level, flow, now))
    }

    /// Estimated rate at which slots become free for calls of this level, per second.
    fn available_per_s(&self, level: RankLevel, now: Instant) -> f64 {
        let slots = f64::from(self.limiter.allowed().max(1));
        let freed_per_s = slots / self.occupancy.mean(now).as_secs_f64().max(MIN_OCCUPANCY_S);
        let freed_per_s = self
            .pacer
            .rate()
            .map_or(freed_per_s, |rate| rate.min(freed_per_s));
        let urgent_per_s = self.start_rates.more_urgent_rate(level, now);
        (freed_per_s - urgent_per_s).max(freed_per_s * MIN_SLOT_SHARE)
    }

    /// Estimated time until the queued calls of a workspace have had their turns, zero for a call
    /// without a workspace. Calls of other flows that arrive meanwhile have turns in between.
    fn own_flow_wait(
        &self,
        dispatch: &CallDispatch,
        level: RankLevel,
        flow: u64,
        now: Instant,
    ) -> Duration {
        let own = self.queue.queued_in_flow(level, flow);
        if dispatch.workspace.is_empty() || own == 0 {
            return Duration::ZERO;
        }
        let slots = f64::from(self.usable_slots(now).max(1));
        let available = self.flow_slots.available_to(level, flow, slots, now);
        let available = available.max(slots * MIN_SLOT_SHARE);
        let occupancy = self.occupancy.route_mean(&dispatch.route, now);
        occupancy.mul_f64(own as f64 / available)
    }

    /// Estimated wait of each level, zero where a call would start at once. A call of a workspace
    /// with few queued calls waits for a shorter time.
    pub(crate) fn expected_waits(&self, now: Instant) -> [Duration; RankLevel::COUNT] {
        let mut waits = [Duration::ZERO; RankLevel::COUNT];
        for (index, wait) in (0..).zip(&mut waits) {
            let level = RankLevel::new(index);
            if !self.queue.is_empty() || !self.may_run(level, now) {
                *wait = self.expected_wait(level, now);
            }
        }
        waits
    }

    /// Latest time at which a queued call may start: early enough to be answered by its deadline,
    /// or the deadline itself under [`WaitLimit::Deadline`].
    fn latest_start(&self, call: &OwnerCall, now: Instant) -> Instant {
        if call.dispatch.wait_limit() == WaitLimit::Deadline {
            return call.deadline;
        }
        let occupancy = self.occupancy.route_mean(&call.dispatch.route, now);
        call.deadline.checked_sub(occupancy).unwrap_or(now).max(now)
    }

    /// Least urgent level that may start a run now, `None` when no slot is free.
    ///
    /// Reserved slots are kept free for the most urgent level as long as no call of that level
    /// is queued. Once one is queued, the shares of the queue apply to every slot. Otherwise
    /// an overload of the most urgent level would run on the reserved slots and leave the
    /// other levels less than their shares.
    pub(crate) fn least_urgent_runnable_level(&self) -> Option<RankLevel> {
        let free = self.free_slots();
        let reserved = self
            .settings
            .reserved_slots
            .min(self.limiter.allowed() / RESERVED_SLOTS_DIVISOR);
        if free == 0 {
            None
        } else if free > reserved || self.queue.has_queued_at(self.settings.most_urgent) {
            Some(RankLevel::LEAST_URGENT)
        } else {
            Some(self.settings.most_urgent)
        }
    }

    /// Slots in which runs may start. An owner that has just started doesn't know yet whether its
    /// backend server names a limit.
    fn free_slots(&self) -> u32 {
        let free = self.limiter.free();
        if self.backend_known || self.settings.slot_rule == SlotRule::Adaptive {
            return free;
        }
        free.min(UNKNOWN_BACKEND_RUNS.saturating_sub(self.limiter.running()))
    }

    /// Whether a call of this level may start a run now.
    pub(crate) fn may_run(&self, level: RankLevel, now: Instant) -> bool {
        let has_slot = self
            .least_urgent_runnable_level()
            .is_some_and(|least_urgent| level <= least_urgent);
        has_slot && self.pacer.allows_start(now)
    }

    /// Slots that can be in use: those allowed, or as many as the limit on starts keeps busy.
    pub(crate) fn usable_slots(&self, now: Instant) -> u32 {
        let allowed = self.limiter.allowed();
        self.pacer.rate().map_or(allowed, |rate| {
            let busy = rate * self.occupancy.mean(now).as_secs_f64();
            allowed.min((busy.ceil() as u32).max(1))
        })
    }

    /// Starts queued calls as long as slots are free and the limit on starts allows it.
    pub(crate) fn start_runs(&mut self, now: Instant) {
        self.paused_until = None;
        while let Some(least_urgent) = self.least_urgent_runnable_level() {
            if self.queue.is_empty() {
                break;
            }
            if let Some(next_start) = self.pacer.next_start(now) {
                self.paused_until = Some(next_start);
                break;
            }
            let Some(id) = self.queue.pop(least_urgent) else {
                break;
            };
            if self.calls.get(&id).is_some_and(|call| call.deadline <= now) {
                self.refuse(id, ErrorKind::DeadlineQueued, now);
            } else {
                self.run(id, now);
            }
        }
    }

    /// Starts the run of a call.
    pub(crate) fn run(&mut self, id: CallId, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        call.state = OwnerState::Running(run);
        call.slot_wait = now.saturating_duration_since(call.received_at);
        let grace = if call.dispatch.key.is_empty() {
            Duration::ZERO
        } else {
            KEYED_RUN_GRACE
        };
        let deadline = call.deadline.max(now) + grace;
        let mut dispatch = call.dispatch.clone();
        dispatch.remaining_ms = (call.deadline.saturating_duration_since(now)).as_millis() as u32;
        self.limiter.acquire();
        self.occupancy.record_start(run, &dispatch.route, now);
        let level = RankLevel::new(dispatch.rank.min(7) as u8);
        self.start_rates.record(level, now);
        let flow = flow_of(&dispatch);
        if flow == SHARED_FLOW || !dispatch.workspace.is_empty() {
            let occupancy = self.occupancy.route_mean(&dispatch.route, now);
            self.flow_slots.record(level, flow, occupancy, now);
        }
        self.pacer.record_start(now);
        self.runs.insert(run, id);
        self.run_deadlines.insert((deadline, run));
        self.actions.push(OwnerAction::Run(Box::new(RunRequest {
            run,
            dispatch,
            deadline,
        })));
    }

    /// The call of a run that hasn't ended.
    pub fn running_dispatch(&self, run: RunId) -> Option<&CallDispatch> {
        let call = self.calls.get(self.runs.get(&run)?)?;
        Some(&call.dispatch)
    }

    /// Number that the next run gets; later runs have higher ones.
    pub fn next_run(&self) -> RunId {
        RunId(self.next_run)
    }

    /// Handles the result of a run.
    pub fn on_result(&mut self, run: RunId, result: BackendResult, now: Instant) {
        let Some(id) = self.runs.remove(&run) else {
            return;
        };
        self.run_deadlines.retain(|(_, other)| *other != run);
        if let Some(call) = self.calls.get_mut(&id) {
            call.occupancy = self.occupancy.record_end(run, &call.dispatch.route, now);
        }
        self.backend_known |= result.is_response();
        match result {
            BackendResult::Answered { .. } => self.limiter.release_answered(),
            BackendResult::Shed => self.limiter.release_shed(now),
            _ => self.limiter.release(),
        }
        if let (Some(call), BackendResult::Answered { body, .. }) = (self.calls.get(&id), &result) {
            self.answer_sizes.record(&call.dispatch.route, body.len());
        }
        let key = self.calls.get(&id).and_then(OwnerCall::scoped_key);
        let outcome = result.into_outcome();
        if let Some(key) = key {
            self.keys.set_state(&key, key_state_for(&outcome));
        }
        self.finish(id, &outcome, now);
        self.start_runs(now);
    }
}

/// Time at which a call's answer is due, by which queued calls of a level are ordered.
///
/// It is the end of the latency target where the sender sets one. Short calls, for which other
/// runs may wait, thus start before calls of the same rank with longer latency targets.
fn due_time_of(call: &OwnerCall, now: Instant) -> Instant {
    match call.dispatch.wait_limit() {
        WaitLimit::Deadline => call.deadline,
        _ => now + Duration::from_millis(u64::from(call.dispatch.latency_target_ms)),
    }
}

/// Flow of a call for fair queueing: its workspace, or else its route and caller. Other calls with
/// a latency target are in the shared flow, so that due times order all of them within their level.
pub(crate) fn flow_of(dispatch: &CallDispatch) -> u64 {
    if !dispatch.workspace.is_empty() {
        return xxh3_64(dispatch.workspace.as_bytes());
    }
    if dispatch.wait_limit() != WaitLimit::Deadline {
        return SHARED_FLOW;
    }
    xxh3_64_with_seed(dispatch.route.as_bytes(), dispatch.caller_hash)
}

fn key_state_for(outcome: &CallOutcome) -> KeyState {
    match outcome {
        CallOutcome::Served(answer) => KeyState::Answered(answer.clone()),
        CallOutcome::Refused(refused) => match ErrorKind::from_code(refused.kind) {
            Some(kind) if kind.rule().retry_safe => KeyState::NotRun,
            _ => KeyState::AnswerLost,
        },
        CallOutcome::Redirect(_) | CallOutcome::Pending(_) => KeyState::AnswerLost,
    }
}
