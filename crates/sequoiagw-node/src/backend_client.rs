//! The backend server met over HTTP.

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use tokio::time::Instant;
use ureq::http::request::Builder;
use ureq::http::Request;
use ureq::http::Response;
use ureq::Agent;
use ureq::AsSendBody;
use ureq::Body;

use crate::http_headers::passed_on;
use crate::http_headers::DEADLINE_HEADER;
use crate::http_headers::NOT_RUN_HEADER;
use crate::http_headers::PRIORITY_HEADER;
use crate::http_headers::REQUEST_ID_HEADER;
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
const ANSWER_LIMIT: u64 = 3 * 1024 * 1024;
/// Status of an answer by which a backend server sheds work.
const STATUS_UNAVAILABLE: u16 = 503;

/// Client of the backend server on this host.
#[derive(Debug)]
pub struct HttpBackend {
    agent: Agent,
    events: EventSender,
}

impl HttpBackend {
    /// Builds the client.
    pub fn new(events: EventSender) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_CONNECTIONS)
            .max_idle_age(IDLE_TIME)
            .max_redirects(0)
            .timeout_connect(Some(CONNECT_TIME))
            .build()
            .new_agent();
        Self { agent, events }
    }
}

impl BackendServer for HttpBackend {
    fn run(&self, address: &str, request: RunRequest) {
        let agent = self.agent.clone();
        let events = self.events.clone();
        let address = address.to_owned();
        tokio::task::spawn_blocking(move || {
            let result = run_blocking(&agent, &address, &request);
            let _ = events.send(CoreEvent::BackendDone(request.run, result));
        });
    }

    fn abort(&self, _run: RunId) {
        // The blocking client ends a run only at its deadline.
    }
}

fn run_blocking(agent: &Agent, address: &str, request: &RunRequest) -> BackendResult {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let dispatch = &request.dispatch;
    let builder = request_head(address, dispatch);
    let sent = if dispatch.body.is_empty() {
        builder
            .body(())
            .map(|request| run_request(agent, request, remaining))
    } else {
        builder
            .body(&dispatch.body[..])
            .map(|request| run_request(agent, request, remaining))
    };
    match sent {
        Ok(Ok(response)) => read_answer(response),
        Ok(Err(error)) => result_of(&error),
        Err(_) => BackendResult::Refused,
    }
}

fn run_request<Content>(
    agent: &Agent,
    request: Request<Content>,
    remaining: Duration,
) -> Result<Response<Body>, ureq::Error>
where
    Content: AsSendBody,
{
    agent.run(
        agent
            .configure_request(request)
            .timeout_global(Some(remaining))
            .build(),
    )
}

fn request_head(address: &str, dispatch: &CallDispatch) -> Builder {
    let mut builder = Request::builder()
        .method(dispatch.method.as_str())
        .uri(format!("http://{address}{}", dispatch.path))
        .header(DEADLINE_HEADER, dispatch.remaining_ms.to_string())
        .header(PRIORITY_HEADER, format!("u={}", dispatch.rank))
        .header(REQUEST_ID_HEADER, dispatch.request_id.as_str());
    for field in &dispatch.headers {
        builder = builder.header(field.name.as_str(), field.value.as_str());
    }
    builder
}

fn read_answer(mut response: Response<Body>) -> BackendResult {
    let status = response.status().as_u16();
    if status == STATUS_UNAVAILABLE && response.headers().contains_key(NOT_RUN_HEADER) {
        return BackendResult::Shed;
    }
    let pairs = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    let headers = passed_on(pairs);
    match response
        .body_mut()
        .with_config()
        .limit(ANSWER_LIMIT)
        .read_to_vec()
    {
        Ok(body) => BackendResult::Answered {
            status,
            headers,
            body: Bytes::from(body),
        },
        Err(ureq::Error::Timeout(_)) => BackendResult::Aborted,
        Err(_) => BackendResult::Truncated,
    }
}

/// Only a connection that was never made proves that nothing ran.
fn result_of(error: &ureq::Error) -> BackendResult {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => BackendResult::Refused,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            BackendResult::Refused
        }
        ureq::Error::Timeout(_) => BackendResult::Aborted,
        _ => BackendResult::Broken,
    }
}
