//! Callers that keep sending requests over persistent connections while faults are injected.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_platform_standins::CallerOutcome;
use sequoiagw_platform_standins::CallerRequest;
use sequoiagw_platform_standins::PlatformCaller;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::guarantee_checker::CallRecord;
use crate::guarantee_checker::GuaranteeChecker;
use crate::soak_fleet::SoakFleet;

/// Bounds of the pause between two calls of one caller.
const MIN_CALL_INTERVAL_MS: u64 = 10;
const MAX_CALL_INTERVAL_MS: u64 = 80;
/// Time that a caller waits for an answer, as sent to the node.
pub(crate) const CALL_DEADLINE: Duration = Duration::from_secs(2);
/// Time past the deadline after which a call without an outcome counts as stuck.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Time for which the effects of a fault may last after its end.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Tracks the active faults, planned maintenance excluded, and when the last one ended.
#[derive(Debug, Default)]
pub(crate) struct FaultTracker {
    active: Cell<u32>,
    last_ended: Cell<Option<Instant>>,
}

impl FaultTracker {
    pub(crate) fn begin(&self) {
        self.active.set(self.active.get() + 1);
    }

    pub(crate) fn end(&self) {
        self.active.set(self.active.get() - 1);
        self.last_ended.set(Some(Instant::now()));
    }

    /// Whether a fault is active now, or the last one ended less than [`SETTLE_TIME`] before
    /// `started_at`, or after it.
    pub(crate) fn may_affect(&self, started_at: Instant) -> bool {
        let last_ended = self.last_ended.get();
        self.active.get() > 0 || last_ended.is_some_and(|ended| started_at < ended + SETTLE_TIME)
    }
}

/// State shared by all callers.
#[derive(Clone)]
pub(crate) struct LoadContext {
    pub(crate) fleet: SoakFleet,
    pub(crate) checker: Rc<RefCell<GuaranteeChecker>>,
    pub(crate) faults: Rc<FaultTracker>,
    pub(crate) running: Rc<Cell<bool>>,
}

/// Sends calls to one node until the load is stopped.
pub(crate) async fn run_caller(context: LoadContext, node: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut caller = PlatformCaller::new(context.fleet.nodes[node].caller_address);
    let mut sequence = 0u64;
    while context.running.get() {
        sequence += 1;
        let id = format!("c{node}-{seed:x}-{sequence}");
        match rng.random_range(0..10) {
            0 => check_version(&context, &mut caller, node, &id).await,
            1..=4 => call(&context, &mut caller, node, &id, true).await,
            _ => call(&context, &mut caller, node, &id, false).await,
        }
        let interval = rng.random_range(MIN_CALL_INTERVAL_MS..MAX_CALL_INTERVAL_MS);
        sleep(Duration::from_millis(interval)).await;
    }
}

async fn call(
    context: &LoadContext,
    caller: &mut PlatformCaller,
    node: usize,
    id: &str,
    idempotent: bool,
) {
    let (method, path) = if idempotent {
        ("GET", "/look/1")
    } else {
        ("POST", "/order/1")
    };
    let started_at = Instant::now();
    let outcome = caller.call(&caller_request(method, path, id)).await;
    context.checker.borrow_mut().record_call(CallRecord {
        id: id.to_owned(),
        node,
        idempotent,
        started_at,
        ended_at: Instant::now(),
        outcome,
        during_fault: context.faults.may_affect(started_at),
        during_replacement: context.fleet.nodes[node].process_fault_active.get(),
    });
}

/// Requests a route that exists only in the newest configuration version and later ones, and
/// records whether the node has it.
async fn check_version(context: &LoadContext, caller: &mut PlatformCaller, node: usize, id: &str) {
    let version = context.fleet.version.get();
    let process = &context.fleet.nodes[node];
    if let Some(is_present) = has_version(caller, version, id).await {
        // An answer received during a replacement may come from the old process or the new one.
        if !process.process_fault_active.get() {
            let mut checker = context.checker.borrow_mut();
            checker.record_version(node, version, is_present);
        }
    }
}

/// Whether a node has a configuration version in force; `None` if it gave no usable answer.
pub(crate) async fn has_version(
    caller: &mut PlatformCaller,
    version: u64,
    id: &str,
) -> Option<bool> {
    let path = format!("/v{version}/");
    match caller.call(&caller_request("GET", &path, id)).await {
        CallerOutcome::Answered { status: 404, .. } => Some(false),
        CallerOutcome::Answered { status: 200, .. } => Some(true),
        _ => None,
    }
}

fn caller_request<'a>(method: &'a str, path: &'a str, id: &'a str) -> CallerRequest<'a> {
    CallerRequest {
        method,
        path,
        id,
        deadline: CALL_DEADLINE,
        response_grace: RESPONSE_GRACE,
    }
}
