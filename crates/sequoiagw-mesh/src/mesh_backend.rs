//! HTTP client of the backend server next to the node, with a pool of idle connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind as IoErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_http::find_header;
use sequoiagw_http::is_connection_header;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::EncodedRequest;
use sequoiagw_http::ExchangeError;
use sequoiagw_http::HttpConnection;
use sequoiagw_http::HttpResponse;
use sequoiagw_http::ResponseHead;
use sequoiagw_node::BackendNotice;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::EventSender;
use sequoiagw_node::NodeCounters;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::HeaderField;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::info;

use crate::BackendRuns;
use crate::HeaderNames;

/// Longest time to connect to a process on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to find out whether the port of a process on the same machine is closed.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a connection to an unresponsive peer is closed.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a connection may have been idle and still be reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
/// Largest number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Longest part of a path in a log line, in bytes.
const MAX_LOGGED_PATH_BYTES: usize = 120;
/// Status with which a backend server refuses a request that names another process.
const STATUS_MISDIRECTED: u16 = 421;

#[derive(Default)]
struct ClientState {
    idle: Vec<HttpConnection>,
    runs: HashMap<RunId, AbortHandle>,
    /// What the backend server said of itself last.
    last_notice: Option<BackendNotice>,
}

/// Client of the backend server.
#[derive(Clone)]
pub struct MeshBackend {
    address: SocketAddr,
    header_names: HeaderNames,
    state: Rc<RefCell<ClientState>>,
    events: EventSender,
    budget: BufferBudget,
    counters: NodeCounters,
}

impl BackendRuns for MeshBackend {
    fn run(&self, request: RunRequest, instance: String) {
        let client = self.clone();
        let run = request.run;
        let task = tokio::task::spawn_local(async move {
            let result = client.send_request(&request, &instance).await;
            client.finish(run, result);
        });
        self.state
            .borrow_mut()
            .runs
            .insert(run, task.abort_handle());
    }

    /// Closes the run's connection and reports the run as aborted.
    fn abort(&self, run: RunId) {
        let task = self.state.borrow_mut().runs.remove(&run);
        if let Some(task) = task {
            task.abort();
            self.finish(run, BackendResult::Aborted);
        }
    }
}

impl MeshBackend {
    /// Builds a client that reports the result of each run to `events`.
    pub fn new(address: SocketAddr, header_names: HeaderNames, events: EventSender) -> Self {
        Self {
            address,
            header_names,
            state: Rc::default(),
            events,
            budget: BufferBudget::unlimited(),
            counters: NodeCounters::default(),
        }
    }

    /// Sets what the bodies of responses may use of the process's memory.
    #[must_use]
    pub fn with_budget(mut self, budget: BufferBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Sets where answers that can't be read are counted.
    #[must_use]
    pub fn with_counters(mut self, counters: NodeCounters) -> Self {
        self.counters = counters;
        self
    }

    fn finish(&self, run: RunId, result: BackendResult) {
        self.state.borrow_mut().runs.remove(&run);
        let event = CoreEvent::RunFinished(run, result);
        // Sending fails only after the node has stopped.
        let _ = self.events.send(event);
    }

    async fn send_request(&self, request: &RunRequest, instance: &str) -> BackendResult {
        let idle_connection = self.take_idle_connection();
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => {
                match HttpConnection::connect(self.address, CONNECT_TIMEOUT, PEER_TIMEOUT).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        info!(target: REQUEST_LOG_TARGET, event = "backend_refused", request = %request.dispatch.request_id, error = %error);
                        return BackendResult::Refused;
                    }
                }
            }
        };
        connection.set_buffer_budget(self.budget.clone());
        let dispatch = &request.dispatch;
        let bytes = self.encode_request(request, instance);
        let is_expected = |head: &ResponseHead| self.is_response_to(head, &dispatch.request_id);
        let result = connection
            .exchange(&dispatch.method, &bytes, MAX_RESPONSE_BYTES, is_expected)
            .await;
        match result {
            Ok(response) => {
                self.counters.add_omitted_headers(&response.head);
                self.report_notice(&response, instance);
                let result = self.read_response(response);
                // A refusal may be written once more when its request is sent again.
                if !matches!(result, BackendResult::Shed | BackendResult::Refused) {
                    self.return_to_pool(connection);
                }
                result
            }
            Err(error) => {
                let backend_ended = self.has_ended().await;
                info!(
                    target: REQUEST_LOG_TARGET, event = "run_failed",
                    request = %dispatch.request_id, method = %dispatch.method,
                    path = logged_path(&dispatch.path), reason = error.name(), error = %error,
                    backend_ended, instance
                );
                if let ExchangeError::Unreadable(reason) = error {
                    self.counters.count_unreadable_answer(reason.name());
                }
                match error {
                    _ if backend_ended => BackendResult::Crashed,
                    ExchangeError::Broken => BackendResult::Broken,
                    ExchangeError::Truncated | ExchangeError::Unreadable(_) => {
                        BackendResult::Truncated
                    }
                }
            }
        }
    }

    /// Whether the process of the backend server has ended, so that its port is closed.
    async fn has_ended(&self) -> bool {
        match HttpConnection::connect(self.address, END_CHECK_TIMEOUT, PEER_TIMEOUT).await {
            Ok(connection) => {
                self.return_to_pool(connection);
                false
            }
            Err(error) => error.kind() == IoErrorKind::ConnectionRefused,
        }
    }

    fn take_idle_connection(&self) -> Option<HttpConnection> {
        let mut state = self.state.borrow_mut();
        while let Some(connection) = state.idle.pop() {
            if connection.is_reusable(MAX_IDLE_TIME) {
                return Some(connection);
            }
        }
        None
    }

    fn return_to_pool(&self, connection: HttpConnection) {
        let mut state = self.state.borrow_mut();
        if state.idle.len() < MAX_IDLE_CONNECTIONS && connection.is_reusable(MAX_IDLE_TIME) {
            state.idle.push(connection);
        }
    }

    /// Whether a response may belong to this request. Backend servers echo the request id.
    fn is_response_to(&self, head: &ResponseHead, request_id: &str) -> bool {
        match find_header(&head.headers, self.header_names.request_id) {
            Some(echoed) => echoed == request_id,
            None => true,
        }
    }

    fn encode_request(&self, request: &RunRequest, instance: &str) -> EncodedRequest {
        let dispatch = &request.dispatch;
        let header_names = &self.header_names;
        let is_set_here = |name: &str| {
            [header_names.deadline, header_names.expected_instance]
                .iter()
                .any(|header| header.eq_ignore_ascii_case(name))
        };
        let mut headers: Vec<HeaderField> = dispatch
            .headers
            .iter()
            .filter(|field| !is_set_here(&field.name))
            .cloned()
            .collect();
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        let added = [
            (
                header_names.deadline,
                time_left.as_millis().max(1).to_string(),
            ),
            (header_names.expected_instance, instance.to_owned()),
        ];
        for (name, value) in added {
            let name = name.to_owned();
            headers.push(HeaderField { name, value });
        }
        HttpConnection::encode_request(&dispatch.method, &dispatch.path, &headers, &dispatch.body)
    }

    /// Reports what the backend server says of itself if that has changed. A response
    /// without a signature doesn't end a limit.
    fn report_notice(&self, response: &HttpResponse, instance: &str) {
        if response.head.status == STATUS_MISDIRECTED {
            return;
        }
        let names = &self.header_names;
        let request_limit = response.header(names.request_limit).and_then(parse_limit);
        let leaving = response.header(names.leaving).is_some();
        let is_signed = response.header(names.signature).is_some();
        if request_limit.is_none() && !leaving && !is_signed {
            return;
        }
        let notice = BackendNotice {
            instance: instance.to_owned(),
            request_limit,
            leaving,
        };
        let mut state = self.state.borrow_mut();
        if state.last_notice.as_ref() != Some(&notice) {
            state.last_notice = Some(notice.clone());
            // Sending fails only after the node has stopped.
            let _ = self.events.send(CoreEvent::BackendNoticed(notice));
        }
    }

    fn read_response(&self, response: HttpResponse) -> BackendResult {
        // A response without an id may be a late one to another request, and then says nothing of
        // whether this one ran.
        let has_id = response.header(self.header_names.request_id).is_some();
        if has_id && response.header(self.header_names.not_run).is_some() {
            return BackendResult::Shed;
        }
        if has_id && response.head.status == STATUS_MISDIRECTED {
            return BackendResult::Refused;
        }
        let is_valid = has_id
            && response.header(self.header_names.signature).is_some()
            && response.header("content-encoding").is_none();
        if !is_valid {
            // The response of a backend server that ran the request always has the request's id
            // and a signature, and never a content encoding.
            return BackendResult::Truncated;
        }
        let headers = response
            .head
            .headers
            .into_iter()
            .filter(|field| !is_connection_header(&field.name))
            .collect();
        BackendResult::Answered {
            status: response.head.status,
            headers,
            body: response.body,
        }
    }
}

/// Start of a path without its query, short enough for a log line. A caller may have put a key into
/// the query by mistake.
fn logged_path(path: &str) -> &str {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    path.get(..MAX_LOGGED_PATH_BYTES).unwrap_or(path)
}

/// Parses a limit in requests per second; `None` if it isn't one.
fn parse_limit(value: &str) -> Option<f64> {
    let limit: f64 = value.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}
