//! The backend server met over HTTP, on the node's own runtime.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::http_headers::forwarded_headers;
use crate::http_headers::NOT_RUN_HEADER;
use crate::http_headers::PRIORITY_HEADER;
use crate::http_headers::REQUEST_ID_HEADER;
use crate::http_headers::TIMEOUT_HEADER;
use crate::BackendServer;
use crate::CoreEvent;
use crate::EventSender;

/// Connections kept open to the backend server.
const IDLE_CONNECTIONS: usize = 128;
/// Time for which an unused connection is kept: shorter than servers usually keep theirs.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Time a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 3 * 1024 * 1024;
/// Status of an answer by which a backend server sheds work.
const STATUS_UNAVAILABLE: u16 = 503;

type BackendSender = SendRequest<Full<Bytes>>;

/// An unused connection.
struct IdleConnection {
    address: String,
    sender: BackendSender,
    since: Instant,
}

/// What the runs share.
#[derive(Default)]
struct BackendState {
    idle: Vec<IdleConnection>,
    runs: HashMap<RunId, AbortHandle>,
}

/// Client of the backend server on this host.
pub struct HttpBackend {
    state: Rc<RefCell<BackendState>>,
    events: EventSender,
}

impl HttpBackend {
    /// Builds the client.
    pub fn new(events: EventSender) -> Self {
        Self {
            state: Rc::default(),
            events,
        }
    }
}

impl BackendServer for HttpBackend {
    fn run(&self, address: &str, request: RunRequest) {
        let state = Rc::clone(&self.state);
        let events = self.events.clone();
        let address = address.to_owned();
        let run = request.run;
        let task = tokio::task::spawn_local(async move {
            let deadline = request.deadline;
            let running = run_call(&state, &address, &request.dispatch);
            // Past the deadline the connection is dropped, which cancels the request.
            let result = timeout_at(deadline, running)
                .await
                .unwrap_or(BackendResult::Aborted);
            state.borrow_mut().runs.remove(&run);
            let _ = events.send(CoreEvent::BackendDone(run, result));
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
                .send(CoreEvent::BackendDone(run, BackendResult::Aborted));
        }
    }
}

async fn run_call(
    state: &Rc<RefCell<BackendState>>,
    address: &str,
    dispatch: &CallDispatch,
) -> BackendResult {
    let Some(mut sender) = open_connection(state, address).await else {
        return BackendResult::Refused;
    };
    let Ok(request) = request_head(address, dispatch).body(Full::new(dispatch.body.clone())) else {
        return BackendResult::Refused;
    };
    let Ok(response) = sender.send_request(request).await else {
        return BackendResult::Broken;
    };
    let result = read_answer(response).await;
    keep_connection(state, address, sender);
    result
}

/// Takes an unused connection that still stands, or makes one.
async fn open_connection(
    state: &Rc<RefCell<BackendState>>,
    address: &str,
) -> Option<BackendSender> {
    loop {
        let idle = state.borrow_mut().idle.pop();
        let Some(idle) = idle else {
            break;
        };
        let usable = idle.address == address && idle.since.elapsed() < IDLE_TIME;
        if usable && idle.sender.is_ready() {
            return Some(idle.sender);
        }
    }
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    sender.ready().await.ok()?;
    Some(sender)
}

fn keep_connection(state: &Rc<RefCell<BackendState>>, address: &str, sender: BackendSender) {
    let mut state = state.borrow_mut();
    if state.idle.len() < IDLE_CONNECTIONS && !sender.is_closed() {
        let address = address.to_owned();
        state.idle.push(IdleConnection {
            address,
            sender,
            since: Instant::now(),
        });
    }
}

fn request_head(address: &str, dispatch: &CallDispatch) -> Builder {
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

async fn read_answer(response: Response<Incoming>) -> BackendResult {
    let status = response.status().as_u16();
    if status == STATUS_UNAVAILABLE && response.headers().contains_key(NOT_RUN_HEADER) {
        return BackendResult::Shed;
    }
    let pairs = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    let headers = forwarded_headers(pairs);
    match Limited::new(response.into_body(), ANSWER_LIMIT)
        .collect()
        .await
    {
        Ok(body) => BackendResult::Answered {
            status,
            headers,
            body: body.to_bytes(),
        },
        Err(_) => BackendResult::Truncated,
    }
}
