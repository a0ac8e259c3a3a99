//! The way to the backend server beside the node: HTTP over kept connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use sequoiagw_http::find_header;
use sequoiagw_http::is_connection_header;
use sequoiagw_http::ExchangeError;
use sequoiagw_http::HttpConnection;
use sequoiagw_http::HttpResponse;
use sequoiagw_http::ResponseHead;
use sequoiagw_node::EventSender;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::HeaderField;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::info;

use crate::HeaderNames;

/// Time that a connection to a process on the same machine may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Time after which a connection with a silent peer ends.
const PEER_SILENCE: Duration = Duration::from_secs(5);
/// Idle time up to which a connection is used again.
const REUSE_TIME: Duration = Duration::from_secs(3);
/// Largest answer taken, in bytes.
const ANSWER_LIMIT: u64 = 16 * 1024 * 1024;
/// Connections kept unused.
const IDLE_CONNECTIONS: usize = 64;
/// Status of a backend server that isn't the one that a request expects.
const STATUS_MISDIRECTED: u16 = 421;

#[derive(Default)]
struct BackendState {
    idle: Vec<HttpConnection>,
    runs: HashMap<RunId, AbortHandle>,
}

/// Client of the backend server.
#[derive(Clone)]
pub struct MeshBackend {
    address: SocketAddr,
    names: HeaderNames,
    state: Rc<RefCell<BackendState>>,
    events: EventSender,
}

impl MeshBackend {
    /// Builds a client that reports the ends of runs to `events`.
    pub fn new(address: SocketAddr, names: HeaderNames, events: EventSender) -> Self {
        Self {
            address,
            names,
            state: Rc::default(),
            events,
        }
    }

    /// Runs a call at the process named `instance`.
    pub fn run(&self, request: RunRequest, instance: String) {
        let client = self.clone();
        let run = request.run;
        let task = tokio::task::spawn_local(async move {
            let result = client.perform(&request, &instance).await;
            client.finish(run, result);
        });
        self.state
            .borrow_mut()
            .runs
            .insert(run, task.abort_handle());
    }

    /// Aborts a run by closing its connection; its end is still reported.
    pub fn abort(&self, run: RunId) {
        let task = self.state.borrow_mut().runs.remove(&run);
        if let Some(task) = task {
            task.abort();
            self.finish(run, BackendResult::Aborted);
        }
    }

    fn finish(&self, run: RunId, result: BackendResult) {
        self.state.borrow_mut().runs.remove(&run);
        let event = sequoiagw_node::CoreEvent::BackendDone(run, result);
        // The receiver is gone only when the node has stopped.
        let _ = self.events.send(event);
    }

    async fn perform(&self, request: &RunRequest, instance: &str) -> BackendResult {
        let kept = self.take_idle();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match HttpConnection::connect(self.address, CONNECT_TIME, PEER_SILENCE).await {
                Ok(connection) => connection,
                Err(error) => {
                    info!(target: REQUEST_LOG_TARGET, event = "backend_refused", request = %request.dispatch.request_id, error = %error);
                    return BackendResult::Refused;
                }
            },
        };
        let dispatch = &request.dispatch;
        let bytes = self.request_bytes(request, instance);
        let is_own = |head: &ResponseHead| self.is_answer_to(head, &dispatch.request_id);
        let result = connection
            .exchange(&dispatch.method, &bytes, ANSWER_LIMIT, is_own)
            .await;
        match result {
            Ok(response) => {
                self.keep(connection);
                self.read_answer(response)
            }
            Err(error) => {
                info!(target: REQUEST_LOG_TARGET, event = "run_failed", request = %dispatch.request_id, error = %error);
                match error {
                    ExchangeError::Broken => BackendResult::Broken,
                    ExchangeError::Truncated => BackendResult::Truncated,
                }
            }
        }
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut state = self.state.borrow_mut();
        while let Some(connection) = state.idle.pop() {
            if connection.is_reusable(REUSE_TIME) {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, connection: HttpConnection) {
        let mut state = self.state.borrow_mut();
        if state.idle.len() < IDLE_CONNECTIONS && connection.is_reusable(REUSE_TIME) {
            state.idle.push(connection);
        }
    }

    /// Whether an answer belongs to this request: backend servers repeat its identity. An
    /// answer without one can only be a refusal that isn't tied to a request.
    fn is_answer_to(&self, head: &ResponseHead, request_id: &str) -> bool {
        match find_header(&head.headers, self.names.request_id) {
            Some(echoed) => echoed == request_id,
            None => true,
        }
    }

    fn request_bytes(&self, request: &RunRequest, instance: &str) -> BytesMut {
        let dispatch = &request.dispatch;
        let names = &self.names;
        let own = |name: &str| {
            [names.deadline, names.expected_instance]
                .iter()
                .any(|set| set.eq_ignore_ascii_case(name))
        };
        let mut headers: Vec<HeaderField> = dispatch
            .headers
            .iter()
            .filter(|field| !own(&field.name))
            .cloned()
            .collect();
        let left = request.deadline.saturating_duration_since(Instant::now());
        let set = [
            (names.deadline, left.as_millis().max(1).to_string()),
            (names.expected_instance, instance.to_owned()),
        ];
        for (name, value) in set {
            let name = name.to_owned();
            headers.push(HeaderField { name, value });
        }
        HttpConnection::write_request(&dispatch.method, &dispatch.path, &headers, &dispatch.body)
    }

    fn read_answer(&self, response: HttpResponse) -> BackendResult {
        let status = response.head.status;
        if response.header(self.names.not_run).is_some() {
            return BackendResult::Shed;
        }
        if status == STATUS_MISDIRECTED {
            return BackendResult::Refused;
        }
        let is_own = response.header(self.names.request_id).is_some()
            && response.header(self.names.signature).is_some()
            && response.header("content-encoding").is_none();
        if !is_own {
            // Not what a backend server that ran the request sends.
            return BackendResult::Truncated;
        }
        let headers = response
            .head
            .headers
            .into_iter()
            .filter(|field| !is_connection_header(&field.name))
            .collect();
        BackendResult::Answered {
            status,
            headers,
            body: response.body,
        }
    }
}
