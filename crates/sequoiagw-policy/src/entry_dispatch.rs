//! Target selection for a call, and the dispatch message that its owner receives.

use std::time::Duration;

use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::WaitLimit;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::acceptable_local_latency;
use crate::entry_call::EntryCall;
use crate::entry_call::EntryPhase;
use crate::entry_failures::ANSWER_TIMEOUT;
use crate::remote_penalty;
use crate::CallRequest;
use crate::EntryAction;
use crate::EntryMachine;
use crate::PickRequest;
use crate::PlacementRule;
use crate::TargetInfo;

/// Subtracted from the remaining time sent to the owner, so that the owner's answer arrives
/// before the caller's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Shortest remaining time from which [`DEADLINE_MARGIN`] is subtracted.
const MIN_REMAINING_FOR_MARGIN: Duration = Duration::from_millis(200);

impl EntryMachine {
    pub(crate) fn dispatch(&mut self, call: u64, now: Instant) {
        let Some(entry_call) = self.calls.get(&call) else {
            return;
        };
        let request = PickRequest {
            service: &entry_call.spec.service,
            route: &entry_call.spec.route,
            level: entry_call.spec.level,
            excluded: &entry_call.tried_nodes,
            placement_rule: entry_call.spec.placement_rule,
            remote_penalty: remote_penalty(entry_call.spec.latency_target, entry_call.spec.level),
            acceptable_local_latency: acceptable_local_latency(
                entry_call.spec.latency_target,
                entry_call.spec.level,
            ),
            remaining_latency_target: remaining_latency_target(
                entry_call,
                entry_call.attempts,
                now,
            ),
            spill_load: entry_call.spec.spill_load,
            refuse_early: entry_call.attempts == 0,
        };
        match self.balancer.pick(&request, &mut self.rng, now) {
            Ok(target) => {
                let record = self.balancer.placement_record(&target, &request, now);
                if let Some(entry_call) = self.calls.get_mut(&call) {
                    entry_call.placement = Some(record);
                }
                self.send_dispatch(call, target, false, now);
            }
            Err(ErrorKind::TargetMissing) if !entry_call.tried_nodes.is_empty() => {
                self.start_next_round(call, now);
            }
            Err(kind) => self.reply(call, Err(kind)),
        }
    }

    pub(crate) fn send_dispatch(
        &mut self,
        call: u64,
        target: TargetInfo,
        redirected: bool,
        now: Instant,
    ) {
        let dispatch_id = self.allocate_id();
        let Some(entry_call) = self.calls.get_mut(&call) else {
            return;
        };
        let node = target.node;
        entry_call.dispatch_id = dispatch_id;
        self.calls_by_dispatch.insert(dispatch_id, call);
        entry_call.attempts += 1;
        entry_call.tried_nodes.push(node);
        entry_call.target = Some(target);
        let dispatch = dispatch_message(entry_call, redirected, now);
        self.balancer.on_dispatch(node);
        self.actions
            .push(EntryAction::Send(node, FrameBody::Dispatch(dispatch)));
        self.set_phase(call, EntryPhase::AwaitingAnswer, now + ANSWER_TIMEOUT);
    }
}

fn dispatch_message(entry_call: &EntryCall, redirected: bool, now: Instant) -> CallDispatch {
    let mut remaining = entry_call.deadline.saturating_duration_since(now);
    if remaining >= MIN_REMAINING_FOR_MARGIN {
        remaining -= DEADLINE_MARGIN;
    }
    let request = &entry_call.request;
    CallDispatch {
        call: entry_call.dispatch_id,
        service: entry_call.spec.service.clone(),
        route: entry_call.spec.route.clone(),
        rank: u32::from(entry_call.spec.level.get()),
        remaining_ms: remaining.as_millis() as u32,
        caller_hash: request.caller_hash,
        caller_name_hash: request.caller_name_hash,
        workspace: request.workspace.clone(),
        key: request.idempotency_key.clone(),
        fingerprint: request_fingerprint(request),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        request_id: request.request_id.clone(),
        target_boot: entry_call.target.as_ref().map_or(0, |target| target.boot),
        idempotent: entry_call.spec.idempotent,
        redirected,
        wait_limit: wait_limit(entry_call).into(),
        latency_target_ms: remaining_latency_target(
            entry_call,
            entry_call.attempts.saturating_sub(1),
            now,
        )
        .as_millis() as u32,
    }
}

/// Time left of the latency target, with which the balancer and the owner compare the expected
/// wait.
/// A call with an earlier attempt that failed for another reason than a full target is answered
/// late rather than refused, so it may wait up to its deadline. `earlier_attempts` counts the
/// attempts before the current one.
fn remaining_latency_target(
    entry_call: &EntryCall,
    earlier_attempts: u32,
    now: Instant,
) -> Duration {
    if earlier_attempts > entry_call.full_refusals {
        entry_call.deadline.saturating_duration_since(now)
    } else {
        let spec = &entry_call.spec;
        let latency_target = spec.latency_target.saturating_sub(spec.waited);
        (entry_call.started_at + latency_target).saturating_duration_since(now)
    }
}

/// Longest wait for a slot that the owner may accept. Under [`PlacementRule::Fastest`] it is short
/// until a full target has refused the call; from then on the answer may take the whole latency
/// target.
fn wait_limit(entry_call: &EntryCall) -> WaitLimit {
    match (entry_call.spec.placement_rule, entry_call.full_refusals) {
        (PlacementRule::Spill, _) => WaitLimit::Deadline,
        (PlacementRule::Fastest, 0) => WaitLimit::Short,
        (PlacementRule::Fastest, _) => WaitLimit::LatencyTarget,
    }
}

/// Hash of method, path and body, which detects a different request under the same idempotency
/// key; 0 without a key.
fn request_fingerprint(request: &CallRequest) -> u64 {
    if request.idempotency_key.is_empty() {
        return 0;
    }
    let seed = xxh3_64(request.method.as_bytes());
    let seed = xxh3_64_with_seed(request.path.as_bytes(), seed);
    xxh3_64_with_seed(&request.body, seed)
}
