//! Handle of a node that runs on the current thread's runtime.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::FleetReport;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::StoreRequest;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::reply_table::wait_for_reply;
use crate::BackendAnnouncement;
use crate::CoreAction;
use crate::CoreEvent;
use crate::EventSender;
use crate::FleetStatus;
use crate::NodeCore;
use crate::NodeCounters;
use crate::NodeDependencies;
use crate::NodeIdentity;
use crate::NodeStatus;
use crate::ReplyTable;
use crate::StoreTag;

/// Time that a fleet query waits for the collectors' reports.
const FLEET_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of a node, for tasks that wait for it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct NodeProgress {
    pub(crate) version: u64,
    pub(crate) ready: bool,
    pub(crate) stopped: bool,
}

struct NodeInner {
    core: NodeCore,
    dependencies: NodeDependencies,
    replies: ReplyTable,
    events: EventSender,
    watch_task: Option<AbortHandle>,
    report_senders: HashMap<u64, UnboundedSender<FleetReport>>,
    next_query_id: u64,
    counters: NodeCounters,
    progress: watch::Sender<NodeProgress>,
}

/// Handle of a running node. Clones refer to the same node.
#[derive(Clone)]
pub struct NodeHandle {
    inner: Rc<RefCell<NodeInner>>,
}

impl NodeHandle {
    /// Creates a node. It makes progress only while the future returned by [`Self::run`] is polled.
    pub fn new(
        identity: NodeIdentity,
        dependencies: NodeDependencies,
        events: EventSender,
        counters: NodeCounters,
    ) -> Self {
        let core = NodeCore::new(identity, counters.clone(), Instant::now());
        let (progress, _) = watch::channel(NodeProgress::default());
        let inner = NodeInner {
            core,
            dependencies,
            replies: ReplyTable::default(),
            events,
            watch_task: None,
            report_senders: HashMap::new(),
            next_query_id: 0,
            counters,
            progress,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Drives the node until it has stopped.
    pub async fn run(&self, mut receiver: UnboundedReceiver<CoreEvent>) {
        loop {
            let wake = self.inner.borrow().core.next_wake();
            tokio::select! {
                biased;
                event = receiver.recv() => match event {
                    Some(event) => self.with_core(|core, now| core.handle(event, now)),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => {
                    self.with_core(NodeCore::on_tick);
                }
            }
            if self.inner.borrow().progress.borrow().stopped {
                return;
            }
        }
    }

    /// Makes a call and returns its reply. Dropping the future cancels the call.
    pub async fn call(&self, spec: CallSpec, request: CallRequest) -> CallerReply {
        let level = spec.level;
        let (call, receiver) = {
            let mut inner = self.inner.borrow_mut();
            let call = inner.core.begin_call(spec, request, Instant::now());
            (call, inner.replies.open(call))
        };
        self.execute_actions();
        wait_for_reply(receiver, level, || self.cancel(call)).await
    }

    /// Announces the backend server. The announcement expires after 5 seconds, so it should be
    /// repeated about every second.
    pub fn announce(&self, announcement: BackendAnnouncement) {
        self.with_core(|core, now| core.handle(CoreEvent::BackendAnnounced(announcement), now));
    }

    /// Withdraws the announcement of the backend server.
    pub fn withdraw(&self) {
        self.with_core(|core, now| core.handle(CoreEvent::BackendWithdrawn, now));
    }

    /// Starts draining the node.
    pub fn drain(&self) {
        self.with_core(NodeCore::drain);
    }

    /// Waits until the node accepts requests from callers.
    pub async fn wait_ready(&self) {
        let mut progress = self.inner.borrow().progress.subscribe();
        let _ = progress.wait_for(|progress| progress.ready).await;
    }

    /// Waits until `version` or a later one is active.
    pub async fn wait_version(&self, version: u64) {
        let mut progress = self.inner.borrow().progress.subscribe();
        let _ = progress
            .wait_for(|progress| progress.version >= version)
            .await;
    }

    /// Waits until the node has stopped.
    pub async fn wait_stopped(&self) {
        let mut progress = self.inner.borrow().progress.subscribe();
        let _ = progress.wait_for(|progress| progress.stopped).await;
    }

    /// Counters of the node.
    pub fn counters(&self) -> NodeCounters {
        self.inner.borrow().counters.clone()
    }

    /// Client of the platform's store.
    pub fn store(&self) -> Rc<dyn PlatformStore> {
        Rc::clone(&self.inner.borrow().dependencies.store)
    }

    /// Status of the node and its members.
    pub fn status(&self) -> NodeStatus {
        let inner = self.inner.borrow();
        NodeStatus::of(&inner.core, &inner.counters, Instant::now())
    }

    /// Queries a collector of each data centre for the active versions and returns the status of the
    /// fleet. Data centres without a report within a second are marked unreachable.
    pub async fn fleet_status(&self) -> FleetStatus {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let query_id = {
            let mut inner = self.inner.borrow_mut();
            inner.next_query_id += 1;
            let query_id = inner.next_query_id;
            inner.report_senders.insert(query_id, sender);
            query_id
        };
        let query_count = self
            .inner
            .borrow_mut()
            .core
            .query_fleet(query_id, Instant::now());
        self.execute_actions();
        let mut reports = Vec::with_capacity(query_count);
        let deadline = Instant::now() + FLEET_QUERY_TIMEOUT;
        while reports.len() < query_count {
            match timeout_at(deadline, receiver.recv()).await {
                Ok(Some(report)) => reports.push(report),
                _ => break,
            }
        }
        self.inner.borrow_mut().report_senders.remove(&query_id);
        self.read(|core| FleetStatus::of(core.members(), &reports))
    }

    /// Calls a function with the node's state machine.
    pub fn read<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&NodeCore) -> Output,
    {
        read(&self.inner.borrow().core)
    }

    fn cancel(&self, call: u64) {
        self.inner.borrow_mut().replies.remove(call);
        self.with_core(|core, now| core.cancel_call(call, now));
    }

    fn with_core<Step>(&self, step: Step)
    where
        Step: FnOnce(&mut NodeCore, Instant),
    {
        step(&mut self.inner.borrow_mut().core, Instant::now());
        self.execute_actions();
    }

    /// Carries out the actions that the state machine requested.
    fn execute_actions(&self) {
        let actions = self.inner.borrow_mut().core.take_actions();
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&self, action: CoreAction) {
        let mut inner = self.inner.borrow_mut();
        match action {
            CoreAction::Send(address, frame) => inner.dependencies.links.send(address, *frame),
            CoreAction::Withdraw(dispatch) => inner.dependencies.links.withdraw(dispatch),
            CoreAction::ResetLink(address) => inner.dependencies.links.reset(address),
            CoreAction::Run(request) => {
                if let Some(address) = inner
                    .core
                    .backend()
                    .map(|announcement| announcement.address.clone())
                {
                    inner.dependencies.backend.run(&address, *request);
                } else {
                    let event = CoreEvent::RunFinished(request.run, BackendResult::Refused);
                    let _ = inner.events.send(event);
                }
            }
            CoreAction::Abort(run) => inner.dependencies.backend.abort(run),
            CoreAction::Store(tag, request) => inner.call_store(tag, request),
            CoreAction::Watch(revision) => inner.start_watch(revision),
            CoreAction::Unwatch => inner.stop_watch(),
            CoreAction::Reply(call, reply) => inner.replies.resolve(call, reply),
            CoreAction::Report(report) => {
                if let Some(sender) = inner.report_senders.get(&report.query_id) {
                    let _ = sender.send(report);
                }
            }
            CoreAction::Activated(config) => {
                let ready = inner.core.is_ready();
                inner.progress.send_modify(|progress| {
                    progress.version = config.version;
                    progress.ready = ready;
                });
            }
            CoreAction::Stopped => {
                inner.stop_watch();
                inner
                    .progress
                    .send_modify(|progress| progress.stopped = true);
            }
        }
    }
}

impl NodeInner {
    fn call_store(&self, tag: StoreTag, request: StoreRequest) {
        self.counters.count(&format!("store.{}", request.kind()));
        let sent = Instant::now();
        let call = self.dependencies.store.call(request.clone());
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let reply = call.await;
            let _ = events.send(CoreEvent::StoreReplied {
                tag,
                request,
                reply,
                sent,
            });
        });
    }

    fn start_watch(&mut self, revision: u64) {
        self.stop_watch();
        self.counters.count("store.watch");
        let mut updates = self
            .dependencies
            .store
            .watch(sequoiagw_distribution::HEAD_KEY, revision);
        let events = self.events.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                let update = updates.recv().await;
                let ended = !matches!(update, Some(Ok(_)));
                let _ = events.send(CoreEvent::WatchUpdated(update));
                if ended {
                    return;
                }
            }
        });
        self.watch_task = Some(task.abort_handle());
    }

    fn stop_watch(&mut self) {
        if let Some(task) = self.watch_task.take() {
            task.abort();
        }
    }
}
