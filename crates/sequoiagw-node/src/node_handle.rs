//! A running node on the current thread's runtime.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FleetReport;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::StoreRequest;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::BackendInfo;
use crate::CoreAction;
use crate::CoreEvent;
use crate::EventSender;
use crate::FleetStatus;
use crate::NodeCore;
use crate::NodeCounters;
use crate::NodeEdges;
use crate::NodeIdentity;
use crate::NodeStatus;
use crate::StoreTag;

/// Time that collectors get to report.
const FLEET_TIME: Duration = Duration::from_secs(1);

/// Version in force and whether the node has stopped, for those who wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct NodeProgress {
    pub(crate) version: u64,
    pub(crate) ready: bool,
    pub(crate) stopped: bool,
}

struct NodeInner {
    core: NodeCore,
    edges: NodeEdges,
    replies: HashMap<u64, oneshot::Sender<CallerReply>>,
    events: EventSender,
    watch_task: Option<AbortHandle>,
    reports: HashMap<u64, UnboundedSender<FleetReport>>,
    next_report: u64,
    counters: NodeCounters,
    progress: watch::Sender<NodeProgress>,
}

/// Handle of a running node; clones share it.
#[derive(Clone)]
pub struct NodeHandle {
    inner: Rc<RefCell<NodeInner>>,
}

/// Cancels a call whose caller stops waiting.
struct CallGuard {
    handle: NodeHandle,
    call: Option<u64>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.handle.cancel(call);
        }
    }
}

impl NodeHandle {
    /// Starts a node; the future returned by [`Self::run`] drives it.
    pub fn new(
        identity: NodeIdentity,
        edges: NodeEdges,
        events: EventSender,
        counters: NodeCounters,
    ) -> Self {
        let core = NodeCore::new(identity, counters.clone(), Instant::now());
        let (progress, _) = watch::channel(NodeProgress::default());
        let inner = NodeInner {
            core,
            edges,
            replies: HashMap::new(),
            events,
            watch_task: None,
            reports: HashMap::new(),
            next_report: 0,
            counters,
            progress,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Drives the node until it has left.
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

    /// Makes a call and waits for its reply. Dropping the future cancels the call.
    pub async fn call(&self, spec: CallSpec, request: CallRequest) -> CallerReply {
        let level = spec.level;
        let (sender, receiver) = oneshot::channel();
        let call = {
            let mut inner = self.inner.borrow_mut();
            let call = inner.core.begin_call(spec, request, Instant::now());
            inner.replies.insert(call, sender);
            call
        };
        self.act();
        let mut guard = CallGuard {
            handle: self.clone(),
            call: Some(call),
        };
        let reply = receiver.await;
        guard.call = None;
        reply.unwrap_or_else(|_| CallerReply::not_attempted(ErrorKind::TargetLost, level))
    }

    /// Announces the backend server; to be repeated every second or so.
    pub fn announce(&self, info: BackendInfo) {
        self.with_core(|core, now| core.handle(CoreEvent::Announced(info), now));
    }

    /// Takes the announcement back.
    pub fn withdraw(&self) {
        self.with_core(|core, now| core.handle(CoreEvent::Withdrawn, now));
    }

    /// Starts to leave.
    pub fn drain(&self) {
        self.with_core(NodeCore::drain);
    }

    /// Waits until the node takes callers' requests.
    pub async fn wait_ready(&self) {
        let mut progress = self.inner.borrow().progress.subscribe();
        let _ = progress.wait_for(|progress| progress.ready).await;
    }

    /// Waits until a version or a later one is in force.
    pub async fn wait_version(&self, version: u64) {
        let mut progress = self.inner.borrow().progress.subscribe();
        let _ = progress
            .wait_for(|progress| progress.version >= version)
            .await;
    }

    /// Waits until the node has left.
    pub async fn wait_stopped(&self) {
        let mut progress = self.inner.borrow().progress.subscribe();
        let _ = progress.wait_for(|progress| progress.stopped).await;
    }

    /// Counters of the node.
    pub fn counters(&self) -> NodeCounters {
        self.inner.borrow().counters.clone()
    }

    /// The platform's store.
    pub fn store(&self) -> Rc<dyn PlatformStore> {
        Rc::clone(&self.inner.borrow().edges.store)
    }

    /// What operators are shown.
    pub fn status(&self) -> NodeStatus {
        let inner = self.inner.borrow();
        NodeStatus::of(&inner.core, &inner.counters, Instant::now())
    }

    /// Versions in force at every node, asked of each data centre's collector. Data
    /// centres that give no answer within a second are left out.
    pub async fn fleet(&self) -> FleetStatus {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let number = {
            let mut inner = self.inner.borrow_mut();
            inner.next_report += 1;
            let number = inner.next_report;
            inner.reports.insert(number, sender);
            number
        };
        let asked = self
            .inner
            .borrow_mut()
            .core
            .ask_fleet(number, Instant::now());
        self.act();
        let mut reports = Vec::with_capacity(asked);
        let limit = Instant::now() + FLEET_TIME;
        while reports.len() < asked {
            match timeout_at(limit, receiver.recv()).await {
                Ok(Some(report)) => reports.push(report),
                _ => break,
            }
        }
        self.inner.borrow_mut().reports.remove(&number);
        self.read(|core| FleetStatus::of(core.members(), &reports))
    }

    /// Looks at the core.
    pub fn read<Look, Seen>(&self, look: Look) -> Seen
    where
        Look: FnOnce(&NodeCore) -> Seen,
    {
        look(&self.inner.borrow().core)
    }

    fn cancel(&self, call: u64) {
        self.inner.borrow_mut().replies.remove(&call);
        self.with_core(|core, now| core.cancel_call(call, now));
    }

    fn with_core<Step>(&self, step: Step)
    where
        Step: FnOnce(&mut NodeCore, Instant),
    {
        step(&mut self.inner.borrow_mut().core, Instant::now());
        self.act();
    }

    /// Does what the core decided.
    fn act(&self) {
        let actions = self.inner.borrow_mut().core.take_actions();
        for action in actions {
            self.act_on(action);
        }
    }

    fn act_on(&self, action: CoreAction) {
        let mut inner = self.inner.borrow_mut();
        match action {
            CoreAction::Send(address, frame) => inner.edges.links.send(address, *frame),
            CoreAction::ResetLink(address) => inner.edges.links.reset(address),
            CoreAction::Run(request) => {
                if let Some(address) = inner.core.backend().map(|info| info.address.clone()) {
                    inner.edges.backend.run(&address, *request);
                } else {
                    let done = CoreEvent::BackendDone(request.run, BackendResult::Refused);
                    let _ = inner.events.send(done);
                }
            }
            CoreAction::Abort(run) => inner.edges.backend.abort(run),
            CoreAction::Store(tag, request) => inner.call_store(tag, request),
            CoreAction::Watch(revision) => inner.start_watch(revision),
            CoreAction::Unwatch => inner.stop_watch(),
            CoreAction::Reply(call, reply) => {
                if let Some(sender) = inner.replies.remove(&call) {
                    let _ = sender.send(reply);
                }
            }
            CoreAction::Report(report) => {
                if let Some(sender) = inner.reports.get(&report.query_id) {
                    let _ = sender.send(report);
                }
            }
            CoreAction::Activated(snapshot) => {
                let ready = inner.core.is_ready();
                inner.progress.send_modify(|progress| {
                    progress.version = snapshot.version;
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
        let call = self.edges.store.call(request.clone());
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let reply = call.await;
            let _ = events.send(CoreEvent::Stored {
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
            .edges
            .store
            .watch(sequoiagw_distribution::HEAD_KEY, revision);
        let events = self.events.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                let update = updates.recv().await;
                let over = !matches!(update, Some(Ok(_)));
                let _ = events.send(CoreEvent::Watched(update));
                if over {
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
