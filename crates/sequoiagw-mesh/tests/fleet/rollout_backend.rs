//! Backend server of a software version, in the memory of the test.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_mesh::BackendRuns;
use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::EventSender;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::FinalStatus;
use tokio::time::sleep;
use tokio::time::Instant;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a run takes.
const RUN_TIME: Duration = Duration::from_millis(20);
/// Slots of each backend server.
const SLOTS: u32 = 12;

/// What a backend server does with its runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quality {
    /// All runs succeed.
    Good,
    /// Every second run fails.
    Failing,
}

/// A backend server. Clones share its state.
#[derive(Clone)]
pub struct RolloutBackend {
    version: &'static str,
    quality: Quality,
    running: Rc<Cell<bool>>,
    sequence: Rc<Cell<u64>>,
    /// Starts of all runs.
    starts: Rc<RefCell<Vec<Instant>>>,
    open_runs: Rc<Cell<u32>>,
}

impl RolloutBackend {
    /// A backend server that is running.
    pub fn new(version: &'static str, quality: Quality) -> Self {
        Self {
            version,
            quality,
            running: Rc::new(Cell::new(true)),
            sequence: Rc::default(),
            starts: Rc::default(),
            open_runs: Rc::default(),
        }
    }

    /// Software version.
    pub fn version(&self) -> &'static str {
        self.version
    }

    /// Client of a node whose event loop is `events`.
    pub fn connect(&self, events: EventSender) -> Box<dyn BackendRuns> {
        let backend = self.clone();
        Box::new(ConnectedBackend { backend, events })
    }

    /// Starts of all runs so far.
    pub fn starts(&self) -> Vec<Instant> {
        self.starts.borrow().clone()
    }

    /// Number of runs that haven't ended.
    pub fn open_runs(&self) -> u32 {
        self.open_runs.get()
    }

    /// Stops the process, which sends no heartbeats any more.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// Sends heartbeats to a node without end, from `delay` on.
    pub async fn send_heartbeats(self, handle: MeshHandle, delay: Duration) {
        sleep(delay).await;
        loop {
            if self.running.get() {
                let heartbeat = self.heartbeat(&handle);
                handle.with_core(|core, now| core.on_heartbeat(&heartbeat, now));
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn heartbeat(&self, handle: &MeshHandle) -> Heartbeat {
        self.sequence.set(self.sequence.get() + 1);
        let backend = handle.read(|core| core.settings().backend.clone());
        Heartbeat {
            instance: "press-1".to_owned(),
            born_ms: Some(1),
            sequence: self.sequence.get(),
            service: backend.service,
            address: backend.address.to_string(),
            slots: SLOTS,
            phase: HeartbeatPhase::Ready,
            warmup_left: Duration::ZERO,
            version: self.version.to_owned(),
        }
    }

    fn status(&self) -> u16 {
        match self.quality {
            Quality::Failing if self.starts.borrow().len() % 2 == 0 => 500,
            Quality::Good | Quality::Failing => 200,
        }
    }
}

/// A node's access to its backend server.
struct ConnectedBackend {
    backend: RolloutBackend,
    events: EventSender,
}

impl BackendRuns for ConnectedBackend {
    fn run(&self, request: RunRequest, _instance: String) {
        let backend = self.backend.clone();
        let events = self.events.clone();
        backend.starts.borrow_mut().push(Instant::now());
        backend.open_runs.set(backend.open_runs.get() + 1);
        let status = FinalStatus::try_from(backend.status()).expect("a final status");
        tokio::task::spawn_local(async move {
            sleep(RUN_TIME).await;
            backend.open_runs.set(backend.open_runs.get() - 1);
            let result = BackendResult::Answered {
                status,
                headers: Vec::new(),
                body: Bytes::new(),
            };
            // The node's process may have ended.
            let _ = events.send(CoreEvent::RunFinished(request.run, result));
        });
    }

    fn abort(&self, _run: RunId) {}
}
