//! An in-memory backend server, connected through the node's backend interface.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use sequoiagw_node::BackendClient;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::EventSender;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::FinalStatus;
use tokio::task::AbortHandle;

use crate::BackendModel;
use crate::ModelAnswer;

/// An in-memory backend server.
pub struct MemoryBackend {
    model: BackendModel,
    events: EventSender,
    runs: Rc<RefCell<HashMap<RunId, AbortHandle>>>,
}

impl MemoryBackend {
    /// Connects a simulated server to a node, which receives results through `events`.
    pub fn new(model: BackendModel, events: EventSender) -> Self {
        Self {
            model,
            events,
            runs: Rc::default(),
        }
    }
}

impl BackendClient for MemoryBackend {
    fn run(&self, _address: &str, request: RunRequest) {
        let model = self.model.clone();
        let events = self.events.clone();
        let runs = Rc::clone(&self.runs);
        let run = request.run;
        let task = tokio::task::spawn_local(async move {
            let dispatch = &request.dispatch;
            // Requests with the same idempotency key are retries of one action, so the key identifies
            // it if there is one.
            let id = if dispatch.key.is_empty() {
                &dispatch.request_id
            } else {
                &dispatch.key
            };
            let result = match model.serve(id, &dispatch.path).await {
                ModelAnswer::Answered(body) => BackendResult::Answered {
                    status: FinalStatus::OK,
                    headers: Vec::new(),
                    body: Bytes::from(body),
                },
                ModelAnswer::Shed => BackendResult::Shed,
                ModelAnswer::Broken => BackendResult::Broken,
            };
            runs.borrow_mut().remove(&run);
            let _ = events.send(CoreEvent::RunFinished(run, result));
        });
        self.runs.borrow_mut().insert(run, task.abort_handle());
    }

    fn abort(&self, run: RunId) {
        if let Some(task) = self.runs.borrow_mut().remove(&run) {
            task.abort();
            let _ = self
                .events
                .send(CoreEvent::RunFinished(run, BackendResult::Aborted));
        }
    }
}
