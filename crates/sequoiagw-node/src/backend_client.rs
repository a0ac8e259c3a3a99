//! HTTP/1.1 client for the backend server on this host; it runs on the node's runtime.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind as IoErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use sequoiagw_http::BufferBudget;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::FinalStatus;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::answer_error::AnswerError;
use crate::body_reader::read_body;
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
/// Time limit for finding out whether the port of the backend server is closed.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest answer body in bytes.
const MAX_ANSWER_BYTES: u64 = 3 * 1024 * 1024;
/// Status with which a backend server rejects a request under overload, together with
/// [`NOT_RUN_HEADER`].
const STATUS_UNAVAILABLE: u16 = 503;

type BackendSender = SendRequest<Full<Bytes>>;

/// An unused connection.
struct IdleConnection {
    address: String,
    sender: BackendSender,
    idle_since: Instant,
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

/// HTTP client of the backend server on this host.
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
        let state = Rc::clone(&self.state);
        let events = self.events.clone();
        let budget = self.budget.clone();
        let counters = self.counters.clone();
        let address = address.to_owned();
        let run = request.run;
        let task = tokio::task::spawn_local(async move {
            let deadline = request.deadline;
            let pending = async {
                let sent = send_call(&state, &address, &request.dispatch, &budget).await;
                match sent {
                    Ok(result) => result,
                    Err(error) => {
                        error.record(&request.dispatch.request_id, &counters);
                        crashed_or(error.run_result(), &address).await
                    }
                }
            };
            // At the deadline the connection is dropped, which cancels the request.
            let result = timeout_at(deadline, pending)
                .await
                .unwrap_or(BackendResult::Aborted);
            state.borrow_mut().runs.remove(&run);
            let _ = events.send(CoreEvent::RunFinished(run, result));
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

/// Sends a call and reads its answer.
///
/// Errors: the answer can't be read; the connection isn't used again.
async fn send_call(
    state: &Rc<RefCell<BackendState>>,
    address: &str,
    dispatch: &CallDispatch,
    budget: &BufferBudget,
) -> Result<BackendResult, AnswerError> {
    let Some((mut sender, connection_use)) = take_connection(state, address).await else {
        return Ok(BackendResult::Refused);
    };
    let Ok(request) = request_builder(address, dispatch).body(Full::new(dispatch.body.clone()))
    else {
        return Ok(BackendResult::Refused);
    };
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(error) if error.is_parse() => return Err(AnswerError::Head(error)),
        Err(_) => return Ok(crashed_or(BackendResult::Broken, address).await),
    };
    let status = FinalStatus::try_from(response.status().as_u16())?;
    if is_refusal(&response) {
        // The connection isn't used again: the refusal may be written once more when its request is
        // sent again.
        return Ok(read_refusal(
            &response,
            &dispatch.request_id,
            connection_use,
        ));
    }
    let answer = read_answer(status, response, budget).await?;
    return_connection(state, address, sender);
    Ok(answer)
}

/// Takes an unused connection that is still usable, or opens a new one.
///
/// `None` means that no connection could be opened, so no request was sent.
async fn take_connection(
    state: &Rc<RefCell<BackendState>>,
    address: &str,
) -> Option<(BackendSender, ConnectionUse)> {
    loop {
        let idle = state.borrow_mut().idle.pop();
        let Some(idle) = idle else {
            break;
        };
        let usable = idle.address == address && idle.idle_since.elapsed() < IDLE_TIMEOUT;
        if usable && idle.sender.is_ready() {
            return Some((idle.sender, ConnectionUse::Reused));
        }
    }
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    sender.ready().await.ok()?;
    Some((sender, ConnectionUse::First))
}

/// Result of a run whose connection broke: [`BackendResult::Crashed`] if the process of the backend
/// server has ended, so that its port is closed, and `otherwise` if not.
async fn crashed_or(otherwise: BackendResult, address: &str) -> BackendResult {
    match timeout(END_CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == IoErrorKind::ConnectionRefused => BackendResult::Crashed,
        _ => otherwise,
    }
}

fn return_connection(state: &Rc<RefCell<BackendState>>, address: &str, sender: BackendSender) {
    let mut state = state.borrow_mut();
    if state.idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
        let address = address.to_owned();
        state.idle.push(IdleConnection {
            address,
            sender,
            idle_since: Instant::now(),
        });
    }
}

fn request_builder(address: &str, dispatch: &CallDispatch) -> Builder {
    let mut builder = Request::builder()
        .method(dispatch.method.as_str())
        .uri(dispatch.path.as_str())
        .header(HOST, address)
        .header(TIMEOUT_HEADER, dispatch.remaining_ms.to_string())
        .header(PRIORITY_HEADER, format!("u={}", dispatch.rank))
        .header(REQUEST_ID_HEADER, dispatch.request_id.as_str());
    for field in &dispatch.headers {
        builder = builder.header(field.name.as_str(), field.value.as_str());
    }
    builder
}

fn is_refusal(response: &Response<Incoming>) -> bool {
    response.status().as_u16() == STATUS_UNAVAILABLE
        && response.headers().contains_key(NOT_RUN_HEADER)
}

/// Result of a refusal. One that names no request is that of the only request sent on a new
/// connection; on a reused one it may be a late copy, and this request may have run.
fn read_refusal(
    response: &Response<Incoming>,
    request_id: &str,
    connection_use: ConnectionUse,
) -> BackendResult {
    let named = response.headers().get(REQUEST_ID_HEADER);
    match (named, connection_use) {
        (Some(named), _) if named.as_bytes() == request_id.as_bytes() => BackendResult::Shed,
        (None, ConnectionUse::First) => BackendResult::Shed,
        _ => BackendResult::Truncated,
    }
}

async fn read_answer(
    status: FinalStatus,
    response: Response<Incoming>,
    budget: &BufferBudget,
) -> Result<BackendResult, AnswerError> {
    let pairs = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    let headers = forwarded_headers(pairs);
    let body = read_body(response.into_body(), MAX_ANSWER_BYTES, budget).await?;
    Ok(BackendResult::Answered {
        status,
        headers,
        body,
    })
}
