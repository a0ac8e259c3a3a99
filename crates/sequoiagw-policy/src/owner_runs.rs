//! Waiting calls and runs at the owner.

use std::time::Duration;

use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::WaitLimit;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::acceptable_local_latency;
use crate::owner_call::OwnerCall;
use crate::owner_call::OwnerState;
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

/// Time for which a keyed call may run on past its deadline, so that a retry finds the answer.
const KEYED_GRACE: Duration = Duration::from_secs(5);
/// Wait that a sender accepts at least while another target may be free sooner.
const PROMPT_WAIT: Duration = Duration::from_millis(40);
/// Part of the aim within which an answer has to be expected for a call to wait. A queue
/// that is let grow past the aim makes every call late in a flood.
const TIMELY_PART: f64 = 0.9;
/// Time for which a call holds a slot at least, in seconds, for estimates.
const SHORTEST_HOLD_S: f64 = 0.001;
/// Part of the freed slots that a level is expected to get at least.
const LEAST_PART: f64 = 0.05;
/// Part of the slots that may be reserved at most.
const RESERVED_DIVISOR: u32 = 4;

impl OwnerMachine {
    pub(crate) fn enqueue(&mut self, id: CallId, now: Instant) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let latest_start = self.latest_start(call, now);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = OwnerState::Queued;
        let queued = QueuedCall {
            id,
            level: RankLevel::new(call.dispatch.rank.min(7) as u8),
            flow: flow_of(&call.dispatch),
            due: due_time(call, now),
            deadline: latest_start,
        };
        if self.queue.is_empty() && self.may_run(queued.level) {
            self.run(id, now);
            return;
        }
        if !self.wait_is_accepted(id, queued.level, now) {
            self.refuse(id, ErrorKind::QueueFull, now);
            return;
        }
        match self.queue.push(queued) {
            PushOutcome::Accepted => {}
            PushOutcome::Evicted(victim) => self.refuse(victim, ErrorKind::QueueFull, now),
            PushOutcome::Full => self.refuse(id, ErrorKind::QueueFull, now),
        }
    }

    /// Whether the expected wait for a slot is one that the call's sender accepts.
    fn wait_is_accepted(&self, id: CallId, level: RankLevel, now: Instant) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let dispatch = &call.dispatch;
        let wait = self.expected_wait(level, now);
        let answered = wait + self.occupancy.route_mean(&dispatch.route);
        let aim = Duration::from_millis(u64::from(dispatch.latency_target_ms));
        let left = call.deadline.saturating_duration_since(now);
        match dispatch.wait_limit() {
            WaitLimit::Deadline => true,
            WaitLimit::Short => {
                let soon = wait <= remote_penalty(aim, level).max(PROMPT_WAIT);
                let early = answered <= acceptable_local_latency(aim, level);
                (soon || early) && answered <= aim.min(left)
            }
            // A short call costs the queue little, and its caller may be a run that holds a
            // slot elsewhere: it may be late, but not in vain.
            WaitLimit::LatencyTarget if self.occupancy.is_short_route(&dispatch.route) => {
                answered <= left.mul_f64(TIMELY_PART)
            }
            WaitLimit::LatencyTarget => answered <= aim.mul_f64(TIMELY_PART).min(left),
        }
    }

    /// Time until a slot comes free for a call of this level, after those that wait before it
    /// and those that are more urgent and still to come.
    pub(crate) fn expected_wait(&self, level: RankLevel, now: Instant) -> Duration {
        let ahead = self.queue.queued_up_to(level) as f64 + 1.0;
        let slots = f64::from(self.limiter.allowed().max(1));
        let freed_per_s = slots / self.occupancy.mean().as_secs_f64().max(SHORTEST_HOLD_S);
        let urgent_per_s = self.start_rates.more_urgent_rate(level, now);
        let left_per_s = (freed_per_s - urgent_per_s).max(freed_per_s * LEAST_PART);
        Duration::from_secs_f64(ahead / left_per_s)
    }

    /// Expected waits of all levels, zero where a slot is free.
    pub(crate) fn expected_waits(&self, now: Instant) -> [Duration; RankLevel::COUNT] {
        let mut waits = [Duration::ZERO; RankLevel::COUNT];
        for (number, wait) in (0..).zip(&mut waits) {
            let level = RankLevel::new(number);
            if !self.queue.is_empty() || !self.may_run(level) {
                *wait = self.expected_wait(level, now);
            }
        }
        waits
    }

    /// When a call that waits has to start at the latest to be answered by its deadline.
    fn latest_start(&self, call: &OwnerCall, now: Instant) -> Instant {
        if call.dispatch.wait_limit() == WaitLimit::Deadline {
            return call.deadline;
        }
        let hold = self.occupancy.route_mean(&call.dispatch.route);
        call.deadline.checked_sub(hold).unwrap_or(now).max(now)
    }

    /// Least urgent level that may take a slot now, if any slot is free.
    ///
    /// The reserved slots stay free for the most urgent level as long as none of it waits.
    /// Once it waits, the queue's shares decide: a flood of the most urgent must not live
    /// off the slots reserved for it.
    pub(crate) fn runnable_level(&self) -> Option<RankLevel> {
        let free = self.limiter.free();
        let reserved = self
            .settings
            .reserved_slots
            .min(self.limiter.allowed() / RESERVED_DIVISOR);
        if free == 0 {
            None
        } else if free > reserved || self.queue.has_queued_at(self.settings.most_urgent) {
            Some(RankLevel::LEAST_URGENT)
        } else {
            Some(self.settings.most_urgent)
        }
    }

    pub(crate) fn may_run(&self, level: RankLevel) -> bool {
        self.runnable_level().is_some_and(|least| level <= least)
    }

    pub(crate) fn start_runs(&mut self, now: Instant) {
        while let Some(least) = self.runnable_level() {
            let Some(id) = self.queue.pop(least) else {
                break;
            };
            if self.calls.get(&id).is_some_and(|call| call.deadline <= now) {
                self.refuse(id, ErrorKind::DeadlineQueued, now);
            } else {
                self.run(id, now);
            }
        }
    }

    pub(crate) fn run(&mut self, id: CallId, now: Instant) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        call.state = OwnerState::Running(run);
        call.waited = now.saturating_duration_since(call.came);
        let grace = if call.dispatch.key.is_empty() {
            Duration::ZERO
        } else {
            KEYED_GRACE
        };
        let deadline = call.deadline.max(now) + grace;
        let mut dispatch = call.dispatch.clone();
        dispatch.remaining_ms = (call.deadline.saturating_duration_since(now)).as_millis() as u32;
        self.limiter.acquire();
        self.occupancy.record_start(run, now);
        let level = RankLevel::new(dispatch.rank.min(7) as u8);
        self.start_rates.record(level, now);
        self.runs.insert(run, id);
        self.run_deadlines.insert((deadline, run));
        self.actions.push(OwnerAction::Run(Box::new(RunRequest {
            run,
            dispatch,
            deadline,
        })));
    }

    /// Takes the result of a run.
    pub fn on_result(&mut self, run: RunId, result: BackendResult, now: Instant) {
        let Some(id) = self.runs.remove(&run) else {
            return;
        };
        self.run_deadlines.retain(|(_, other)| *other != run);
        if let Some(call) = self.calls.get_mut(&id) {
            call.held = self.occupancy.record_end(run, &call.dispatch.route, now);
        }
        match result {
            BackendResult::Answered { .. } => self.limiter.release_answered(),
            BackendResult::Shed => self.limiter.release_shed(now),
            _ => self.limiter.release(),
        }
        let key = self.calls.get(&id).and_then(OwnerCall::scoped_key);
        let outcome = result.into_outcome();
        if let Some(key) = key {
            self.keys.set_state(&key, key_state_after(&outcome));
        }
        self.finish(id, &outcome, now);
        self.start_runs(now);
    }
}

/// When a call's answer is due: within its aim where its sender names one, so that short
/// calls, for which other runs wait, go before patient ones of the same rank.
fn due_time(call: &OwnerCall, now: Instant) -> Instant {
    match call.dispatch.wait_limit() {
        WaitLimit::Deadline => call.deadline,
        _ => now + Duration::from_millis(u64::from(call.dispatch.latency_target_ms)),
    }
}

/// Calls of one kind from one caller; where due times order a level, it has a single flow.
fn flow_of(dispatch: &CallDispatch) -> u64 {
    if dispatch.wait_limit() != WaitLimit::Deadline {
        return 0;
    }
    xxh3_64_with_seed(dispatch.route.as_bytes(), dispatch.caller_hash)
}

fn key_state_after(outcome: &CallOutcome) -> KeyState {
    match outcome {
        CallOutcome::Served(answer) => KeyState::Answered(answer.clone()),
        CallOutcome::Refused(refused) => match ErrorKind::from_code(refused.kind) {
            Some(kind) if kind.rule().retry_safe => KeyState::NotRun,
            _ => KeyState::AnswerLost,
        },
        CallOutcome::Redirect(_) | CallOutcome::Pending(_) => KeyState::AnswerLost,
    }
}
