//! HTTP/1.1 client for the backend server on this host; it runs on the node's runtime.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind as IoErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_http::BufferBudget;
use sequoiagw_http::EncodedRequest;
use sequoiagw_http::ExchangeError;
use sequoiagw_http::HttpConnection;
use sequoiagw_http::HttpResponse;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::HeaderField;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tracing::info;

use crate::http_headers::forwarded_headers;
use crate::http_headers::NOT_RUN_HEADER;
use crate::http_headers::PRIORITY_HEADER;
use crate::http_headers::REQUEST_ID_HEADER;
use crate::http_headers::TIMEOUT_HEADER;
use crate::BackendClient;
use crate::CoreEvent;
use crate::EventSender;
use crate::NodeCounters;

/// Largest number of unused connections kept open to the backend server.
const MAX_IDLE_CONNECTIONS: usize = 128;
/// Time for which an unused connection may be reused; shorter than the usual keep-alive timeout of
/// servers, which otherwise close a connection while a request is sent on it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection to an unresponsive peer is closed.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for finding out whether the port of the backend server is closed.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest answer body in bytes.
const MAX_ANSWER_BYTES: u64 = 3 * 1024 * 1024;
/// Status with which a backend server rejects a request under overload, together with
/// [`NOT_RUN_HEADER`].
const STATUS_UNAVAILABLE: u16 = 503;

/// An unused connection.
struct IdleConnection {
    address: SocketAddr,
    connection: HttpConnection,
}

/// Whether a connection has carried requests before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionUse {
    First,
    Reused,
}

/// State shared by all runs.
#[derive(Default)]
struct BackendState {
    idle: Vec<IdleConnection>,
    runs: HashMap<RunId, AbortHandle>,
}

/// HTTP client of the backend server on this host. Clones share their connections and runs.
#[derive(Clone)]
pub struct HttpBackend {
    state: Rc<RefCell<BackendState>>,
    events: EventSender,
    budget: BufferBudget,
    counters: NodeCounters,
}

impl HttpBackend {
    /// Builds a client that reports the end of each run to `events`.
    pub fn new(events: EventSender) -> Self {
        Self {
            state: Rc::default(),
            events,
            budget: BufferBudget::unlimited(),
            counters: NodeCounters::default(),
        }
    }

    /// Sets what the bodies of answers may use of the process's memory.
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
}

impl BackendClient for HttpBackend {
    fn run(&self, address: &str, request: RunRequest) {
        let client = self.clone();
        let address = address.parse();
        let run = request.run;
        let task = tokio::task::spawn_local(async move {
            let pending = async {
                match address {
                    Ok(address) => client.send_call(address, &request.dispatch).await,
                    Err(_) => BackendResult::Refused,
                }
            };
            // At the deadline the connection is dropped, which cancels the request.
            let result = timeout_at(request.deadline, pending)
                .await
                .unwrap_or(BackendResult::Aborted);
            client.state.borrow_mut().runs.remove(&run);
            let _ = client.events.send(CoreEvent::RunFinished(run, result));
        });
        self.state
            .borrow_mut()
            .runs
            .insert(run, task.abort_handle());
    }

    fn abort(&self, run: RunId) {
        let task = self.state.borrow_mut().runs.remove(&run);
        if let Some(task) = task {
            task.abort();
            let _ = self
                .events
                .send(CoreEvent::RunFinished(run, BackendResult::Aborted));
        }
    }
}

impl HttpBackend {
    /// Sends a call and reads its answer.
    async fn send_call(&self, address: SocketAddr, dispatch: &CallDispatch) -> BackendResult {
        let Some((mut connection, connection_use)) = self.take_connection(address).await else {
            return BackendResult::Refused;
        };
        connection.set_buffer_budget(self.budget.clone());
        let request = encode_request(address, dispatch);
        let exchanged = connection
            .exchange(&dispatch.method, &request, MAX_ANSWER_BYTES, |_| true)
            .await;
        let response = match exchanged {
            Ok(response) => response,
            Err(error) => {
                self.record_failure(error, &dispatch.request_id);
                return crashed_or(result_of(error), address).await;
            }
        };
        self.counters.add_omitted_headers(&response.head);
        if is_refusal(&response) {
            // The connection isn't used again: the refusal may be written once more when its request
            // is sent again.
            return read_refusal(&response, &dispatch.request_id, connection_use);
        }
        self.return_connection(address, connection);
        read_answer(response)
    }

    /// Takes an unused connection that is still usable, or opens a new one.
    ///
    /// `None` means that no connection could be opened, so no request was sent.
    async fn take_connection(
        &self,
        address: SocketAddr,
    ) -> Option<(HttpConnection, ConnectionUse)> {
        loop {
            let idle = self.state.borrow_mut().idle.pop();
            let Some(idle) = idle else {
                break;
            };
            if idle.address == address && idle.connection.is_reusable(IDLE_TIMEOUT) {
                return Some((idle.connection, ConnectionUse::Reused));
            }
        }
        let connection = HttpConnection::connect(address, CONNECT_TIMEOUT, PEER_TIMEOUT).await;
        Some((connection.ok()?, ConnectionUse::First))
    }

    fn return_connection(&self, address: SocketAddr, connection: HttpConnection) {
        let mut state = self.state.borrow_mut();
        if state.idle.len() < MAX_IDLE_CONNECTIONS && connection.is_reusable(IDLE_TIMEOUT) {
            state.idle.push(IdleConnection {
                address,
                connection,
            });
        }
    }

    /// Logs why a request got no answer, and counts an answer that can't be read.
    fn record_failure(&self, error: ExchangeError, request_id: &str) {
        if let ExchangeError::Unreadable(reason) = error {
            self.counters.count_unreadable_answer(reason.name());
        }
        info!(
            target: REQUEST_LOG_TARGET,
            event = "run_failed", request = request_id, reason = error.name(), error = %error
        );
    }
}

/// Result of a run whose exchange failed after part of the request was sent.
fn result_of(error: ExchangeError) -> BackendResult {
    match error {
        ExchangeError::Broken => BackendResult::Broken,
        ExchangeError::Truncated | ExchangeError::Unreadable(_) => BackendResult::Truncated,
    }
}

/// Result of a run whose connection broke: [`BackendResult::Crashed`] if the process of the backend
/// server has ended, so that its port is closed, and `otherwise` if not.
async fn crashed_or(otherwise: BackendResult, address: SocketAddr) -> BackendResult {
    match timeout(END_CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == IoErrorKind::ConnectionRefused => BackendResult::Crashed,
        _ => otherwise,
    }
}

fn encode_request(address: SocketAddr, dispatch: &CallDispatch) -> EncodedRequest {
    let own = [
        ("host", address.to_string()),
        (TIMEOUT_HEADER, dispatch.remaining_ms.to_string()),
        (PRIORITY_HEADER, format!("u={}", dispatch.rank)),
        (REQUEST_ID_HEADER, dispatch.request_id.clone()),
    ];
    let own = own.map(|(name, value)| HeaderField {
        name: name.to_owned(),
        value,
    });
    let headers = [&own, &dispatch.headers[..]].concat();
    HttpConnection::encode_request(&dispatch.method, &dispatch.path, &headers, &dispatch.body)
}

fn is_refusal(response: &HttpResponse) -> bool {
    response.head.status == STATUS_UNAVAILABLE && response.header(NOT_RUN_HEADER).is_some()
}

/// Result of a refusal. One that names no request is that of the only request sent on a new
/// connection; on a reused one it may be a late copy, and this request may have run.
fn read_refusal(
    response: &HttpResponse,
    request_id: &str,
    connection_use: ConnectionUse,
) -> BackendResult {
    // An id that isn't UTF-8 is among the omitted headers, and isn't that of this request.
    let is_complete = response.head.omitted_headers == 0;
    match (response.header(REQUEST_ID_HEADER), connection_use) {
        (Some(named), _) if named == request_id => BackendResult::Shed,
        (None, ConnectionUse::First) if is_complete => BackendResult::Shed,
        _ => BackendResult::Truncated,
    }
}

fn read_answer(response: HttpResponse) -> BackendResult {
    let names: Vec<String> = response
        .head
        .headers
        .iter()
        .map(|field| field.name.to_ascii_lowercase())
        .collect();
    let values = response.head.headers.iter().map(|field| &*field.value);
    BackendResult::Answered {
        status: response.head.status,
        headers: forwarded_headers(names.iter().map(String::as_str).zip(values)),
        body: response.body,
    }
}
