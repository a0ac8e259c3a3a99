//! One run: the fleet, its load, the faults and the checks.

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
use crate::guarantee_checker::GUARANTEES;
use crate::loopback_proxy::ProxyMode;
use crate::node_process::wait_for_end;
use crate::soak_fleet::SoakFleet;

/// Time in which all nodes have to be ready at the start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time in which a process that was told to leave has to end, its grace and a second.
const LEAVE_LIMIT: Duration = Duration::from_secs(7);
/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Time in which a version has to be in force everywhere once it is calm.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);
/// Time for which a backend server may get work after its leaving was acknowledged.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Callers at each node.
const CALLERS: u64 = 2;
/// Delay of slow links.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    pub seed: u64,
    pub seconds: u64,
    pub nodes: usize,
    pub program: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct SoakReport {
    seed: u64,
    faults: usize,
    folder: PathBuf,
    checker: GuaranteeChecker,
}

impl SoakReport {
    /// Whether a promise broke.
    pub fn has_violations(&self) -> bool {
        !self.checker.violations().is_empty()
    }

    /// Promises that broke.
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

/// Runs one seed.
///
/// Errors: the fleet can't be started.
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
    let time = Duration::from_secs(options.seconds);
    let plan = FaultPlan::draw(options.seed, time, options.nodes);
    play(&context, &plan).await;
    check_in_force(&context).await;
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
    let checker = context.checker.take();
    if checker.violations().is_empty() {
        // Nobody needs the logs of a run that kept its promises.
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
    let until = Instant::now() + START_LIMIT;
    for node in fleet.nodes.iter() {
        loop {
            let mut caller = PlatformCaller::new(node.ready);
            let text = CallerRequest {
                method: "GET",
                path: "/readiness",
                id: "-",
                deadline: Duration::from_secs(1),
                response_grace: Duration::ZERO,
            };
            let end = caller.call(&text).await;
            if matches!(end, CallerOutcome::Answered { status: 200, .. }) {
                break;
            }
            eyre::ensure!(Instant::now() < until, "a node is never ready");
            sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

fn start_callers(context: &LoadContext, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
    let mut callers = Vec::new();
    for node in 0..context.fleet.nodes.len() {
        for number in 0..CALLERS {
            let seed = seed * 10_000 + node as u64 * CALLERS + number;
            let caller = run_caller(context.clone(), node, seed);
            callers.push(tokio::task::spawn_local(caller));
        }
    }
    callers
}

/// Plays all faults, which may overlap, and returns when the last one is over.
async fn play(context: &LoadContext, plan: &FaultPlan) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for fault in &plan.faults {
        tokio::time::sleep_until(start + fault.at).await;
        println!("{fault}");
        let context = context.clone();
        let fault = *fault;
        tasks.push(tokio::task::spawn_local(async move {
            strike(&context, &fault).await;
        }));
    }
    for task in tasks {
        if let Err(error) = task.await {
            eprintln!("fault_failed error={error}");
        }
    }
}

async fn strike(context: &LoadContext, fault: &ScheduledFault) {
    if !fault.kind.is_planned_maintenance() {
        context.faults.begin();
    }
    let node_index = fault.node_index % context.fleet.nodes.len();
    match fault.kind {
        FaultKind::Kill | FaultKind::Terminate => replace_process(context, node_index, fault).await,
        FaultKind::Pause => pause_process(context, node_index, fault.time).await,
        FaultKind::Hangup => context.fleet.nodes[node_index]
            .process
            .borrow()
            .signal("HUP"),
        FaultKind::BackendCrash | FaultKind::BackendDrain => {
            replace_backend(context, node_index, fault).await;
        }
        FaultKind::ConfigChange => context.fleet.change_config(),
        _ => disturb_links(context, node_index, fault).await,
    }
    if !fault.kind.is_planned_maintenance() {
        context.faults.end();
    }
}

async fn disturb_links(context: &LoadContext, node_index: usize, fault: &ScheduledFault) {
    let node = &context.fleet.nodes[node_index];
    let store = &context.fleet.store;
    match fault.kind {
        FaultKind::LinkDelay => node.peer_proxy.set_mode(ProxyMode::Delayed(LINK_DELAY)),
        FaultKind::LinkSilent => node.peer_proxy.set_mode(ProxyMode::Silent),
        FaultKind::LinkOneWay => node.peer_proxy.set_mode(ProxyMode::OneWay),
        FaultKind::LinkReset => node.peer_proxy.reset_all(),
        FaultKind::StoreCut => node.store_proxy.set_mode(ProxyMode::Silent),
        FaultKind::StoreSilent => store.set_mode(StoreMode::Unresponsive),
        FaultKind::StoreRefusing => store.set_mode(StoreMode::Refusing),
        FaultKind::StoreLosing => store.set_mode(StoreMode::LosingAnswers),
        _ => {}
    }
    sleep(fault.time).await;
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
    if node.handled.replace(true) {
        return;
    }
    if fault.kind == FaultKind::Kill {
        node.process.borrow_mut().kill();
        sleep(fault.time).await;
    } else {
        node.process.borrow().signal("TERM");
        let ended = || node.process.borrow_mut().has_ended();
        if !wait_for_end(LEAVE_LIMIT, ended).await {
            node.process.borrow_mut().kill();
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(
                GuaranteeKind::Stuck,
                &format!("node {node_index}"),
                "never ended",
            );
        }
        sleep(RESTART_PAUSE).await;
    }
    context.checker.borrow_mut().reset_version(node_index);
    if let Err(error) = node.process.borrow_mut().start() {
        eprintln!("start_failed node={node_index} error={error:#}");
    }
    node.handled.set(false);
}

async fn pause_process(context: &LoadContext, node_index: usize, time: Duration) {
    let node = &context.fleet.nodes[node_index];
    if node.handled.replace(true) {
        return;
    }
    node.process.borrow().signal("STOP");
    sleep(time).await;
    node.process.borrow().signal("CONT");
    node.handled.set(false);
}

async fn replace_backend(context: &LoadContext, node_index: usize, fault: &ScheduledFault) {
    let node = &context.fleet.nodes[node_index];
    if node.backend_handled.replace(true) {
        return;
    }
    if fault.kind == FaultKind::BackendCrash {
        node.backend.crash();
        sleep(fault.time).await;
    } else {
        let incarnation = node.backend.incarnation();
        // One that nobody acknowledges binds nobody, and the backend server leaves all the same.
        let acknowledged = node.backend.drain(node.heartbeats).await;
        let since = Instant::now();
        sleep(DRAIN_LIMIT + fault.time).await;
        let is_late =
            |run: &&BackendRun| run.incarnation == incarnation && run.at > since + DRAIN_LIMIT;
        let late = |run: &&BackendRun| acknowledged && is_late(run);
        for run in node.backend.all_runs().iter().filter(late) {
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(
                GuaranteeKind::LateWork,
                &run.id,
                &format!("at node {node_index}"),
            );
        }
    }
    node.backend.restart();
    node.backend_handled.set(false);
}

/// Writes one more version now that it is calm, and waits until all nodes act on it.
async fn check_in_force(context: &LoadContext) {
    sleep(crate::caller_load::SETTLE_TIME).await;
    context.fleet.change_config();
    let version = context.fleet.version.get();
    let until = Instant::now() + IN_FORCE_LIMIT;
    for (number, node) in context.fleet.nodes.iter().enumerate() {
        let mut caller = PlatformCaller::new(node.callers);
        let mut question = 0;
        loop {
            question += 1;
            let id = format!("force-{number}-{question}");
            if has_version(&mut caller, version, &id).await == Some(true) {
                break;
            }
            if Instant::now() >= until {
                let mut checker = context.checker.borrow_mut();
                let subject = format!("node {number}");
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

/// No process may have ended by itself.
fn check_processes(context: &LoadContext) {
    for (number, node) in context.fleet.nodes.iter().enumerate() {
        if node.process.borrow_mut().has_ended() {
            let mut checker = context.checker.borrow_mut();
            checker.add_violation(GuaranteeKind::Ended, &format!("node {number}"), "by itself");
        }
    }
}
