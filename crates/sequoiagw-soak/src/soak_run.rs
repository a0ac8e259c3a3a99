//! One soak run: starts the fleet and its load, injects the faults and checks the guarantees.

use std::cell::Cell;
use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use sequoiagw_platform_standins::CallerRequest;
use sequoiagw_platform_standins::PlatformCaller;
use sequoiagw_platform_standins::StoreMode;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::caller_load::has_version;
use crate::caller_load::run_caller;
use crate::caller_load::LoadContext;
use crate::fault_plan::FaultKind;
use crate::fault_plan::FaultPlan;
use crate::fault_plan::ScheduledFault;
use crate::guarantee_checker::GuaranteeChecker;
use crate::guarantee_checker::GuaranteeKind;
use crate::guarantee_checker::NamedLimit;
use crate::guarantee_checker::GUARANTEES;
use crate::loopback_proxy::ProxyMode;
use crate::node_process::wait_for_exit;
use crate::soak_fleet::SoakFleet;

/// Time within which all nodes must become ready at the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a process must exit after SIGTERM: its grace period and a second.
const EXIT_TIMEOUT: Duration = Duration::from_secs(7);
/// Pause between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time within which a version must take effect on all nodes when no fault is active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(7);
/// Time for which a backend server may get new requests after its leave notice was acknowledged.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Limit that a backend server names for a time, in requests per second.
const REQUEST_LIMIT: f64 = 3.0;
/// Number of callers at each node.
const CALLERS_PER_NODE: u64 = 2;
/// Delay of data on links during [`FaultKind::LinkDelay`].
const LINK_DELAY: Duration = Duration::from_millis(60);

/// Options of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the fault schedule and of the callers.
    pub seed: u64,
    /// Time for which faults are injected, in seconds.
    pub seconds: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Path of the node program under test.
    pub program: PathBuf,
}

/// Result of a soak run.
#[derive(Debug)]
pub struct SoakReport {
    seed: u64,
    faults: usize,
    folder: PathBuf,
    checker: GuaranteeChecker,
}

impl SoakReport {
    /// Whether a guarantee was violated.
    pub fn has_violations(&self) -> bool {
        !self.checker.violations().is_empty()
    }

    /// Recorded calls and violations.
    pub fn checker(&self) -> &GuaranteeChecker {
        &self.checker
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let violations = self.checker.violations();
        for violation in violations {
            writeln!(formatter, "{violation} logs={}", self.folder.display())?;
        }
        let (seed, faults, requests) = (self.seed, self.faults, self.checker.len());
        write!(formatter, "seed={seed} faults={faults} requests={requests}")?;
        for (name, count) in self.checker.outcome_counts() {
            write!(formatter, " {name}={count}")?;
        }
        write!(formatter, " broken={}", violations.len())?;
        for (kind, name) in GUARANTEES {
            let count = violations
                .iter()
                .filter(|violation| violation.kind == *kind)
                .count();
            write!(formatter, " {name}={count}")?;
        }
        Ok(())
    }
}

/// Runs the soak test with one seed.
///
/// Errors: the fleet cannot be started, a task fails, or the run's folder cannot be created or
/// removed.
pub async fn run_soak(options: SoakOptions) -> eyre::Result<SoakReport> {
    let folder = std::env::temp_dir().join(format!(
        "sequoiagw-soak-{}-{}",
        std::process::id(),
        options.seed
    ));
    std::fs::create_dir_all(&folder)?;
    let fleet = SoakFleet::start(&options, &folder).await?;
    wait_until_ready(&fleet).await?;
    let context = LoadContext {
        fleet,
        checker: Rc::default(),
        faults: Rc::default(),
        running: Rc::new(Cell::new(true)),
    };
    let callers = start_callers(&context, options.seed);
    let fault_time = Duration::from_secs(options.seconds);
    let plan = FaultPlan::generate(options.seed, fault_time, options.nodes);
    let limit = tokio::task::spawn_local(name_limit(context.clone(), options.seed, fault_time));
    inject_faults(&context, &plan).await;
    let limit = limit.await?;
    check_activation(&context).await;
    context.running.set(false);
    for caller in callers {
        caller.await?;
    }
    check_processes(&context);
    let runs: Vec<BackendRun> = context
        .fleet
        .nodes
        .iter()
        .flat_map(|node| node.backend.all_runs())
        .collect();
    context.checker.borrow_mut().check_runs(&runs);
    let limited_runs = context.fleet.nodes[limit.node].backend.all_runs();
    context
        .checker
        .borrow_mut()
        .check_limit(limit, &limited_runs);
    let checker = context.checker.take();
    if checker.violations().is_empty() {
        // The logs are needed only to investigate violations.
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(SoakReport {
        seed: options.seed,
        faults: plan.faults.len(),
        folder,
        checker,
    })
}

async fn wait_until_ready(fleet: &SoakFleet) -> eyre::Result<()> {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    for node in fleet.nodes.iter() {
        loop {
            let mut caller = PlatformCaller::new(node.readiness_address);
            let request = CallerRequest {
                method: "GET",
                path: "/readiness",
                id: "-",
                deadline: Duration::from_secs(1),
                response_grace: Duration::ZERO,
            };
            let outcome = caller.call(&request).await;
            if matches!(outcome, CallerOutcome::Answered { status: 200, .. }) {
                break;
            }
            eyre::ensure!(
                Instant::now() < deadline,
                "a node did not become ready in time"
            );
            sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

fn start_callers(context: &LoadContext, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
    let mut callers = Vec::new();
    for node in 0..context.fleet.nodes.len() {
        for caller_index in 0..CALLERS_PER_NODE {
            let caller_seed = seed * 10_000 + node as u64 * CALLERS_PER_NODE + caller_index;
            let caller = run_caller(context.clone(), node, caller_seed);
            callers.push(tokio::task::spawn_local(caller));
        }
    }
    callers
}

/// Injects all faults, which may overlap, and returns when the last one has ended.
async fn inject_faults(context: &LoadContext, plan: &FaultPlan) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for fault in &plan.faults {
        tokio::time::sleep_until(start + fault.at).await;
        println!("{fault}");
        let context = context.clone();
        let fault = *fault;
        tasks.push(tokio::task::spawn_local(async move {
            inject_fault(&context, &fault).await;
        }));
    }
    for task in tasks {
        if let Err(error) = task.await {
            eprintln!("fault_failed error={error}");
        }
    }
}

/// Lets one backend server name a limit for half of the run, whatever else happens to it.
async fn name_limit(context: LoadContext, seed: u64, fault_time: Duration) -> NamedLimit {
    let node = seed as usize % context.fleet.nodes.len();
    let backend = context.fleet.nodes[node].backend.clone();
    sleep(fault_time / 4).await;
    println!("node {node}'s backend server names a limit of {REQUEST_LIMIT} a second");
    backend.set_request_limit(Some(REQUEST_LIMIT));
    let from = Instant::now();
    sleep(fault_time / 2).await;
    backend.set_request_limit(None);
    NamedLimit {
        node,
        per_s: REQUEST_LIMIT,
        from,
        until: Instant::now(),
    }
}

async fn inject_fault(context: &LoadContext, fault: &ScheduledFault) {
    if !fault.kind.is_planned_maintenance() {
        context.faults.begin();
    }
    let node_index = fault.node_index % context.fleet.nodes.len();
    match fault.kind {
        FaultKind::Kill | FaultKind::Terminate => replace_process(context, node_index, fault).await,
        FaultKind::Pause => pause_process(context, node_index, fault.duration).await,
        FaultKind::Hangup => context.fleet.nodes[node_index]
            .process
            .borrow()
            .signal("HUP"),
        FaultKind::BackendCrash | FaultKind::BackendDrain => {
            replace_backend(context, node_index, fault).await;
        }
        FaultKind::ConfigChange => context.fleet.change_config(),
        _ => inject_link_or_store_fault(context, node_index, fault).await,
    }
    if !fault.kind.is_planned_maintenance() {
        context.faults.end();
    }
}

async fn inject_link_or_store_fault(
    context: &LoadContext,
    node_index: usize,
    fault: &ScheduledFault,
) {
    let node = &context.fleet.nodes[node_index];
    let store = &context.fleet.store;
    match fault.kind {
        FaultKind::LinkDelay => node.peer_proxy.set_mode(ProxyMode::Delayed(LINK_DELAY)),
        FaultKind::LinkSilent => node.peer_proxy.set_mode(ProxyMode::Stalled),
        FaultKind::LinkOneWay => node.peer_proxy.set_mode(ProxyMode::FromServerOnly),
        FaultKind::LinkReset => node.peer_proxy.reset_all(),
        FaultKind::StoreCut => node.store_proxy.set_mode(ProxyMode::Stalled),
        FaultKind::StoreSilent => store.set_mode(StoreMode::Unresponsive),
        FaultKind::StoreRefusing => store.set_mode(StoreMode::Refusing),
        FaultKind::StoreLosing => store.set_mode(StoreMode::LosingAnswers),
        _ => {}
    }
    sleep(fault.duration).await;
    match fault.kind {
        FaultKind::StoreSilent | FaultKind::StoreRefusing | FaultKind::StoreLosing => {
            store.set_mode(StoreMode::Serving);
        }
        FaultKind::StoreCut => node.store_proxy.set_mode(ProxyMode::Open),
        _ => node.peer_proxy.set_mode(ProxyMode::Open),
    }
}

async fn replace_process(context: &LoadContext, node_index: usize, fault: &ScheduledFault) {
    let node = &context.fleet.nodes[node_index];
    if node.process_fault_active.replace(true) {
        return;
    }
    if fault.kind == FaultKind::Kill {
        node.process.borrow_mut().kill();
        sleep(fault.duration).await;
    } else {
        node.process.borrow().signal("TERM");
        let has_exited = || node.process.borrow_mut().has_exited();
        if !wait_for_exit(EXIT_TIMEOUT, has_exited).await {
            node.process.borrow_mut().kill();
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(
                GuaranteeKind::Stuck,
                &format!("node {node_index}"),
                "did not exit in time",
            );
        }
        sleep(RESTART_DELAY).await;
    }
    context.checker.borrow_mut().reset_version(node_index);
    if let Err(error) = node.process.borrow_mut().start() {
        eprintln!("start_failed node={node_index} error={error:#}");
    }
    node.process_fault_active.set(false);
}

async fn pause_process(context: &LoadContext, node_index: usize, duration: Duration) {
    let node = &context.fleet.nodes[node_index];
    if node.process_fault_active.replace(true) {
        return;
    }
    node.process.borrow().signal("STOP");
    sleep(duration).await;
    node.process.borrow().signal("CONT");
    node.process_fault_active.set(false);
}

async fn replace_backend(context: &LoadContext, node_index: usize, fault: &ScheduledFault) {
    let node = &context.fleet.nodes[node_index];
    if node.backend_fault_active.replace(true) {
        return;
    }
    if fault.kind == FaultKind::BackendCrash {
        node.backend.crash();
        sleep(fault.duration).await;
    } else {
        let incarnation = node.backend.incarnation();
        // The limit applies only if the node acknowledged the leave notice. The backend server leaves
        // in either case.
        let acknowledged = node.backend.drain(node.heartbeat_address).await;
        let drained_at = Instant::now();
        sleep(DRAIN_LIMIT + fault.duration).await;
        let started_late =
            |run: &&BackendRun| run.incarnation == incarnation && run.at > drained_at + DRAIN_LIMIT;
        let violates_drain = |run: &&BackendRun| acknowledged && started_late(run);
        for run in node.backend.all_runs().iter().filter(violates_drain) {
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(
                GuaranteeKind::LateWork,
                &run.id,
                &format!("at node {node_index}"),
            );
        }
    }
    node.backend.restart();
    node.backend_fault_active.set(false);
}

/// Writes another configuration version after the last fault, and checks that it takes effect on
/// all nodes in time.
async fn check_activation(context: &LoadContext) {
    sleep(crate::caller_load::SETTLE_TIME).await;
    context.fleet.change_config();
    let version = context.fleet.version.get();
    let deadline = Instant::now() + ACTIVATION_TIMEOUT;
    for (index, node) in context.fleet.nodes.iter().enumerate() {
        let mut caller = PlatformCaller::new(node.caller_address);
        let mut attempt = 0;
        loop {
            attempt += 1;
            let id = format!("force-{index}-{attempt}");
            if has_version(&mut caller, version, &id).await == Some(true) {
                break;
            }
            if Instant::now() >= deadline {
                let mut checker = context.checker.borrow_mut();
                let subject = format!("node {index}");
                checker.add_violation(
                    GuaranteeKind::Behind,
                    &subject,
                    &format!("version {version}"),
                );
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Checks that no process has exited unexpectedly.
fn check_processes(context: &LoadContext) {
    for (index, node) in context.fleet.nodes.iter().enumerate() {
        if node.process.borrow_mut().has_exited() {
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(
                GuaranteeKind::Ended,
                &format!("node {index}"),
                "exited unexpectedly",
            );
        }
    }
}
