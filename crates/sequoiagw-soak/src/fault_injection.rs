//! Injection of the scheduled faults into a running fleet.

use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::StoreMode;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::caller_load::LoadContext;
use crate::fault_plan::FaultKind;
use crate::fault_plan::FaultPlan;
use crate::fault_plan::ScheduledDeparture;
use crate::fault_plan::ScheduledFault;
use crate::fault_plan::ScheduledRestore;
use crate::guarantee_checker::GuaranteeKind;
use crate::loopback_proxy::ProxyMode;
use crate::node_process::wait_for_exit;
use crate::stopped_pipeline::check_pipeline;
use crate::stopped_pipeline::PIPELINE_LEAD;

/// Time within which a process must exit after SIGTERM: its grace period and a second.
const EXIT_TIMEOUT: Duration = Duration::from_secs(7);
/// Pause between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which a backend server may get new requests after its leave notice was acknowledged.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time for which a backend server goes on answering after the store is back.
const DEPARTED_TIME: Duration = Duration::from_secs(5);
/// Delay of data on links during [`FaultKind::LinkDelay`].
const LINK_DELAY: Duration = Duration::from_millis(60);

/// Injects all faults, which may overlap, and returns when the last one has ended.
pub(crate) async fn inject_faults(context: &LoadContext, plan: &FaultPlan) {
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

/// Lets the store be away for a moment and come back from an older copy.
pub(crate) async fn restore_store(context: LoadContext, restore: Option<ScheduledRestore>) {
    let Some(restore) = restore else {
        return;
    };
    sleep(restore.copied_at).await;
    let copy = context.fleet.store.copy();
    sleep(restore.copy_age).await;
    println!("{restore}");
    context.faults.begin();
    context.fleet.store.set_mode(StoreMode::Unresponsive);
    sleep(restore.outage).await;
    context.fleet.restore_store(copy);
    context.fleet.store.set_mode(StoreMode::Serving);
    context.faults.end();
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
        let number = fault.at.as_millis() as u64;
        let pipeline = check_pipeline(context.clone(), node_index, number);
        let pipeline = tokio::task::spawn_local(pipeline);
        sleep(PIPELINE_LEAD).await;
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
        if let Err(error) = pipeline.await {
            eprintln!("pipeline_failed node={node_index} error={error}");
        }
        sleep(RESTART_DELAY).await;
    }
    restart_process(context, node_index);
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
        if acknowledged {
            check_late_work(context, node_index, incarnation, drained_at);
        }
    }
    node.backend.restart();
    node.backend_fault_active.set(false);
}

/// Reports the runs of an incarnation of a node's backend server that started too late after its
/// departure was acknowledged.
fn check_late_work(
    context: &LoadContext,
    node_index: usize,
    incarnation: u64,
    acknowledged_at: Instant,
) {
    let is_late = |run: &&BackendRun| {
        run.incarnation == incarnation && run.at > acknowledged_at + DRAIN_LIMIT
    };
    let runs = context.fleet.nodes[node_index].backend.all_runs();
    for run in runs.iter().filter(is_late) {
        let mut checker = context.checker.borrow_mut();
        checker.add_violation(
            GuaranteeKind::LateWork,
            &run.id,
            &format!("at node {node_index}"),
        );
    }
}

/// Lets a backend server leave, kills its node's process or all of them while the store is away, and lets
/// a heartbeat from before arrive at the next one. What was acknowledged must bind it.
pub(crate) async fn depart_backend(context: LoadContext, departure: Option<ScheduledDeparture>) {
    let Some(departure) = departure else {
        return;
    };
    sleep(departure.at).await;
    let node_index = departure.node_index % context.fleet.nodes.len();
    let node = &context.fleet.nodes[node_index];
    if node.backend_fault_active.replace(true) {
        return;
    }
    println!("{departure}");
    context.faults.begin();
    if departure.store_away_first {
        context.fleet.store.set_mode(StoreMode::Unresponsive);
    }
    sleep(departure.leave_delay).await;
    let incarnation = node.backend.incarnation();
    let acknowledged = node.backend.leave(node.heartbeat_address).await == Some(200);
    let left_at = Instant::now();
    context.fleet.store.set_mode(StoreMode::Unresponsive);
    sleep(departure.kill_delay).await;
    if departure.loses_all {
        let indices = 0..context.fleet.nodes.len();
        kill_processes(&context, indices).await;
    } else {
        kill_processes(&context, node_index..=node_index).await;
    }
    sleep(departure.heartbeat_delay).await;
    node.backend
        .send_late_heartbeat(node.heartbeat_address)
        .await;
    context.fleet.store.set_mode(StoreMode::Serving);
    sleep(DEPARTED_TIME).await;
    if acknowledged {
        check_late_work(&context, node_index, incarnation, left_at);
    }
    node.backend.restart();
    node.backend_fault_active.set(false);
    context.faults.end();
}

/// Kills the processes of some nodes and starts the next ones, except where another fault does so.
async fn kill_processes<Indices>(context: &LoadContext, indices: Indices)
where
    Indices: IntoIterator<Item = usize>,
{
    let nodes = &context.fleet.nodes;
    let is_free = |index: &usize| !nodes[*index].process_fault_active.replace(true);
    let killed: Vec<usize> = indices.into_iter().filter(is_free).collect();
    for index in &killed {
        nodes[*index].process.borrow_mut().kill();
    }
    sleep(RESTART_DELAY).await;
    for index in killed {
        restart_process(context, index);
    }
}

/// Starts the next process of a node.
fn restart_process(context: &LoadContext, node_index: usize) {
    let node = &context.fleet.nodes[node_index];
    context.checker.borrow_mut().reset_version(node_index);
    if let Err(error) = node.process.borrow_mut().start() {
        eprintln!("start_failed node={node_index} error={error:#}");
    }
    node.process_fault_active.set(false);
}
