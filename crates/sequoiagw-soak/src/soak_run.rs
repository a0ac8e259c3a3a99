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
use tokio::time::sleep;
use tokio::time::Instant;

use crate::caller_load::has_version;
use crate::caller_load::run_caller;
use crate::caller_load::LoadContext;
use crate::caller_load::CALL_DEADLINE;
use crate::fault_injection::depart_backend;
use crate::fault_injection::inject_faults;
use crate::fault_injection::restore_store;
use crate::fault_plan::FaultPlan;
use crate::guarantee_checker::GuaranteeChecker;
use crate::guarantee_checker::GuaranteeKind;
use crate::guarantee_checker::NamedLimit;
use crate::guarantee_checker::GUARANTEES;
use crate::refused_pipeline::run_pipelines;
use crate::soak_fleet::SoakFleet;

/// Time within which all nodes must become ready at the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a version must take effect on all nodes when no fault is active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(7);
/// Limit that a backend server names for a time, in requests per second.
const REQUEST_LIMIT: f64 = 3.0;
/// Number of callers at each node.
const CALLERS_PER_NODE: u64 = 2;

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
    let restore = tokio::task::spawn_local(restore_store(context.clone(), plan.restore));
    let departure = tokio::task::spawn_local(depart_backend(context.clone(), plan.departure));
    inject_faults(&context, &plan).await;
    restore.await?;
    departure.await?;
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
    {
        let mut checker = context.checker.borrow_mut();
        checker.check_runs(&runs);
        checker.check_service(&runs, CALL_DEADLINE);
        checker.check_retries(&runs);
    }
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
        let pipelines = run_pipelines(context.clone(), node, seed * 10_000 + node as u64);
        callers.push(tokio::task::spawn_local(pipelines));
    }
    callers
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
