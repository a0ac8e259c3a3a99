//! Callers that go on using their connections whatever happens to the node.

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

/// Time between two calls of one caller.
const SHORTEST_GAP_MS: u64 = 10;
const LONGEST_GAP_MS: u64 = 80;
/// Time that a caller waits, told to the node.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which a call without an end is stuck.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after the end of a fault for which its effects may last.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Faults that aren't planned work, by when the last one ended.
#[derive(Debug, Default)]
pub(crate) struct FaultWatch {
    active: Cell<u32>,
    ended: Cell<Option<Instant>>,
}

impl FaultWatch {
    pub(crate) fn begin(&self) {
        self.active.set(self.active.get() + 1);
    }

    pub(crate) fn end(&self) {
        self.active.set(self.active.get() - 1);
        self.ended.set(Some(Instant::now()));
    }

    /// Whether a fault lasts or has ended only just before `began`.
    fn touches(&self, began: Instant) -> bool {
        let recent = self.ended.get();
        self.active.get() > 0 || recent.is_some_and(|ended| began < ended + SETTLE_TIME)
    }
}

/// What all callers share.
#[derive(Clone)]
pub(crate) struct LoadContext {
    pub(crate) fleet: SoakFleet,
    pub(crate) checker: Rc<RefCell<GuaranteeChecker>>,
    pub(crate) faults: Rc<FaultWatch>,
    pub(crate) running: Rc<Cell<bool>>,
}

/// Makes calls at one node until the load ends.
pub(crate) async fn run_caller(context: LoadContext, node: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut caller = PlatformCaller::new(context.fleet.nodes[node].callers);
    let mut number = 0u64;
    while context.running.get() {
        number += 1;
        let id = format!("c{node}-{seed:x}-{number}");
        match rng.random_range(0..10) {
            0 => ask_version(&context, &mut caller, node, &id).await,
            1..=4 => call(&context, &mut caller, node, &id, true).await,
            _ => call(&context, &mut caller, node, &id, false).await,
        }
        let gap = rng.random_range(SHORTEST_GAP_MS..LONGEST_GAP_MS);
        sleep(Duration::from_millis(gap)).await;
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
    let began = Instant::now();
    let end = caller.call(&text_of(method, path, id)).await;
    context.checker.borrow_mut().record_call(CallRecord {
        id: id.to_owned(),
        node,
        idempotent,
        began,
        ended: Instant::now(),
        end,
        during_fault: context.faults.touches(began),
        during_replacement: context.fleet.nodes[node].handled.get(),
    });
}

/// Asks for what only the newest version and later ones have.
async fn ask_version(context: &LoadContext, caller: &mut PlatformCaller, node: usize, id: &str) {
    let asked = context.fleet.version.get();
    let process = &context.fleet.nodes[node];
    if let Some(is_there) = has_version(caller, asked, id).await {
        // An answer that came while the process was during_replacement may be either one's.
        if !process.handled.get() {
            let mut checker = context.checker.borrow_mut();
            checker.record_version(node, asked, is_there);
        }
    }
}

/// Whether a node acts on a version; `None` when it doesn't tell.
pub(crate) async fn has_version(
    caller: &mut PlatformCaller,
    version: u64,
    id: &str,
) -> Option<bool> {
    let path = format!("/v{version}/");
    match caller.call(&text_of("GET", &path, id)).await {
        CallerOutcome::Answered { status: 404, .. } => Some(false),
        CallerOutcome::Answered { status: 200, .. } => Some(true),
        _ => None,
    }
}

fn text_of<'a>(method: &'a str, path: &'a str, id: &'a str) -> CallerRequest<'a> {
    CallerRequest {
        method,
        path,
        id,
        deadline: DEADLINE,
        response_grace: PATIENCE,
    }
}
