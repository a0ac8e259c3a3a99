//! Where a call is sent, and what its owner is told of it.

use std::time::Duration;

use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::WaitLimit;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry_call::EntryCall;
use crate::entry_call::EntryPhase;
use crate::entry_silence::QUIET_TIME;
use crate::good_enough;
use crate::remote_penalty;
use crate::CallRequest;
use crate::EntryAction;
use crate::EntryMachine;
use crate::PickRequest;
use crate::PlacementRule;
use crate::TargetInfo;

/// Part of the remaining time kept back, so that the owner's word arrives before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Remaining time from which the margin is kept back.
const MARGIN_FROM: Duration = Duration::from_millis(200);

impl EntryMachine {
    pub(crate) fn dispatch(&mut self, call: u64, now: Instant) {
        let Some(entry) = self.calls.get(&call) else {
            return;
        };
        let request = PickRequest {
            service: &entry.spec.service,
            route: &entry.spec.route,
            level: entry.spec.level,
            tried: &entry.tried,
            rule: entry.spec.placement,
            remote_penalty: remote_penalty(entry.spec.aim, entry.spec.level),
            good_enough: good_enough(entry.spec.aim, entry.spec.level),
            aim: aim_left(entry, entry.tries, now),
            spill_load: entry.spec.spill_load,
            refuse_early: entry.tries == 0,
        };
        match self.board.pick(&request, &mut self.rng, now) {
            Ok(target) => {
                let note = self.board.placement_note(&target, &request, now);
                if let Some(entry) = self.calls.get_mut(&call) {
                    entry.placed = Some(note);
                }
                self.send_to(call, target, false, now);
            }
            Err(ErrorKind::TargetMissing) if !entry.tried.is_empty() => {
                self.forget_tried(call, now);
            }
            Err(kind) => self.reply(call, Err(kind)),
        }
    }

    pub(crate) fn send_to(
        &mut self,
        call: u64,
        target: TargetInfo,
        redirected: bool,
        now: Instant,
    ) {
        let number = self.take_number();
        let Some(entry) = self.calls.get_mut(&call) else {
            return;
        };
        let node = target.node;
        entry.dispatch = number;
        self.dispatches.insert(number, call);
        entry.tries += 1;
        entry.tried.push(node);
        entry.target = Some(target);
        let dispatch = dispatch_of(entry, redirected, now);
        self.board.sent(node);
        self.actions
            .push(EntryAction::Send(node, FrameBody::Dispatch(dispatch)));
        self.set_phase(call, EntryPhase::Waiting, now + QUIET_TIME);
    }
}

fn dispatch_of(entry: &EntryCall, redirected: bool, now: Instant) -> CallDispatch {
    let mut remaining = entry.deadline.saturating_duration_since(now);
    if remaining >= MARGIN_FROM {
        remaining -= DEADLINE_MARGIN;
    }
    let request = &entry.request;
    CallDispatch {
        call: entry.dispatch,
        service: entry.spec.service.clone(),
        route: entry.spec.route.clone(),
        rank: u32::from(entry.spec.level.get()),
        remaining_ms: remaining.as_millis() as u32,
        caller_hash: request.caller,
        key: request.key.clone(),
        fingerprint: fingerprint_of(request),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        request_id: request.request_id.clone(),
        target_boot: entry.target.as_ref().map_or(0, |target| target.boot),
        idempotent: entry.spec.idempotent,
        redirected,
        wait_limit: wait_rule_of(entry).into(),
        latency_target_ms: aim_left(entry, entry.tries.saturating_sub(1), now).as_millis() as u32,
    }
}

/// Time within which the answer is to be expected for the call to be worth a wait. One whose
/// earlier try was lost on its way is answered late rather than refused: it waits as long as
/// it may. `earlier` is the number of tries before the one that is being made.
fn aim_left(entry: &EntryCall, earlier: u32, now: Instant) -> Duration {
    if earlier > entry.full {
        entry.deadline.saturating_duration_since(now)
    } else {
        (entry.began + entry.spec.aim).saturating_duration_since(now)
    }
}

/// The first target is asked for a slot soon, the next one for an answer in time.
fn wait_rule_of(entry: &EntryCall) -> WaitLimit {
    match (entry.spec.placement, entry.full) {
        (PlacementRule::Spill, _) => WaitLimit::Deadline,
        (PlacementRule::Fastest, 0) => WaitLimit::Short,
        (PlacementRule::Fastest, _) => WaitLimit::LatencyTarget,
    }
}

/// Hash of method, path and body, by which another request under the same key is told.
fn fingerprint_of(request: &CallRequest) -> u64 {
    if request.key.is_empty() {
        return 0;
    }
    let seed = xxh3_64(request.method.as_bytes());
    let seed = xxh3_64_with_seed(request.path.as_bytes(), seed);
    xxh3_64_with_seed(&request.body, seed)
}
