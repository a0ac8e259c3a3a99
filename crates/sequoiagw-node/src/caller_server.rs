//! HTTP/1.1 server for callers: reads requests, forwards them as calls and writes the replies.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use rand::Rng;
use sequoiagw_config::CompiledRoute;
use sequoiagw_http::close_gracefully;
use sequoiagw_http::BufferBudget;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;
use sequoiagw_protocol::ServedAnswer;
use sequoiagw_telemetry::LatencySeries;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::Instant;
use tracing::debug;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::body_reader::read_body;
use crate::body_reader::BodyError;
use crate::call_spec;
use crate::http_headers::forwarded_headers;
use crate::http_headers::parse_urgency;
use crate::http_headers::CALLER_HEADER;
use crate::http_headers::IDEMPOTENCY_KEY_HEADER;
use crate::http_headers::PRIORITY_HEADER;
use crate::http_headers::RAN_HEADER;
use crate::http_headers::REPLAYED_HEADER;
use crate::http_headers::REQUEST_ID_HEADER;
use crate::http_headers::TIMEOUT_HEADER;
use crate::outcome_name;
use crate::problem_body::PROBLEM_MEDIA_TYPE;
use crate::NodeCounters;
use crate::NodeHandle;
use crate::ProblemBody;

/// Time within which a connection has to send the whole head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the whole body of a request has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request head in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// Largest number of headers in a request.
const MAX_HEADER_COUNT: usize = 64;
/// Largest number of open caller connections at one node; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 4096;
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Longest timeout that a caller may request, in milliseconds.
const MAX_REQUESTED_TIMEOUT_MS: u64 = 600_000;
/// Value of `Retry-After` on 503 responses, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// The same for a request that is held back.
const HELD_RETRY_AFTER_SECONDS: &str = "60";
/// Delay after a failed accept, so that a lasting error, such as no free file descriptor,
/// doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

type CallerResponse = Response<Full<Bytes>>;

/// Refusal of a request before its call starts; `detail` replaces the standard help text of
/// the error kind.
struct RequestRefusal {
    kind: ErrorKind,
    detail: Option<String>,
}

impl From<ErrorKind> for RequestRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, detail: None }
    }
}

/// HTTP server for callers; clones share its connections.
#[derive(Clone)]
pub struct CallerServer {
    handle: NodeHandle,
    counters: NodeCounters,
    closing: Rc<watch::Sender<bool>>,
    budget: BufferBudget,
}

impl CallerServer {
    /// Builds the server of the node behind `handle`; it has no listener yet.
    pub fn new(handle: NodeHandle) -> Self {
        let counters = handle.counters();
        let (closing, _) = watch::channel(false);
        Self {
            handle,
            counters,
            closing: Rc::new(closing),
            budget: BufferBudget::unlimited(),
        }
    }

    /// Sets what the bodies of requests may use of the process's memory.
    #[must_use]
    pub fn with_budget(mut self, budget: BufferBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Stops accepting connections and closes each open one after its current request.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        self.closing.closed().await;
    }

    /// Accepts and serves connections until [`Self::close`] is called.
    pub async fn accept(&self, listener: TcpListener) {
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, caller_address)) => {
                    let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                        self.counters.count_refusal("too_many_connections");
                        continue;
                    };
                    let server = self.clone();
                    tokio::task::spawn_local(async move {
                        server.serve_connection(stream, caller_address.ip()).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!(event = "accept_failed", error = %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(&self, stream: TcpStream, caller_ip: IpAddr) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let service = service_fn(|request| {
            let response = self.handle_request(request, caller_ip);
            Box::pin(async move { Ok::<_, Infallible>(response.await) })
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REQUEST_HEAD_TIMEOUT)
            .max_buf_size(MAX_REQUEST_HEAD_BYTES)
            .max_headers(MAX_HEADER_COUNT)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = connection;
        let mut closing = self.closing.subscribe();
        let result = tokio::select! {
            result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
            _ = closing.wait_for(|closing| *closing) => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                poll_fn(|context| connection.poll_without_shutdown(context)).await
            }
        };
        if let Err(error) = result {
            self.counters.count("connection.failed");
            debug!(event = "connection_failed", error = %error);
        }
        let mut stream = connection.into_parts().io.into_inner();
        close_gracefully(&mut stream).await;
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        caller_ip: IpAddr,
    ) -> CallerResponse {
        let started = Instant::now();
        let request_id =
            header_value(&request, REQUEST_ID_HEADER).map_or_else(new_request_id, str::to_owned);
        let (response, series) = match self.prepare_call(request, &request_id, caller_ip).await {
            Ok((spec, call_request)) => {
                let route = spec.route.clone();
                let reply = self.handle.call(spec, call_request).await;
                let series = LatencySeries {
                    name: "call",
                    route,
                    level: reply.level.get(),
                    outcome: outcome_name(reply.outcome.as_ref().err()),
                };
                (reply_response(reply), series)
            }
            Err(refusal) => {
                self.counters.count_refusal(refusal.kind.rule().name);
                let series = LatencySeries {
                    name: "call",
                    route: String::new(),
                    level: 0,
                    outcome: outcome_name(Some(&refusal.kind)),
                };
                (
                    refusal_response(refusal.kind, refusal.detail.as_deref()),
                    series,
                )
            }
        };
        self.counters.record_latency(&series, started.elapsed());
        with_request_id(response, &request_id)
    }

    /// Matches a request to a route, reads its body and derives the specification of its call.
    ///
    /// Errors: the node is not ready, no route matches, or the request is invalid or too large.
    async fn prepare_call(
        &self,
        request: Request<Incoming>,
        request_id: &str,
        caller_ip: IpAddr,
    ) -> Result<(CallSpec, CallRequest), RequestRefusal> {
        let (ready, config) = self
            .handle
            .read(|core| (core.is_ready(), core.active_config().cloned()));
        let (Some(config), true) = (config, ready) else {
            return Err(ErrorKind::NodeUnready.into());
        };
        let route = config
            .find_route(request.method().as_str(), request.uri().path())
            .ok_or(ErrorKind::RouteUnknown)?;
        let spec = spec_for_request(route, &request)?;
        let call_request =
            read_call_request(request, route, request_id, caller_ip, &self.budget).await?;
        Ok((spec, call_request))
    }
}

fn header_value<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn new_request_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn invalid_request(detail: &str) -> RequestRefusal {
    RequestRefusal {
        kind: ErrorKind::RequestInvalid,
        detail: Some(detail.to_owned()),
    }
}

/// Specification of the call for a request.
///
/// The caller can shorten the timeout of the route and lower its rank, but not raise either.
fn spec_for_request(
    route: &CompiledRoute,
    request: &Request<Incoming>,
) -> Result<CallSpec, RequestRefusal> {
    let mut spec = call_spec(route);
    if let Some(text) = header_value(request, TIMEOUT_HEADER) {
        let requested_ms: u64 = text
            .parse()
            .ok()
            .filter(|requested_ms| (1..=MAX_REQUESTED_TIMEOUT_MS).contains(requested_ms))
            .ok_or_else(|| {
                invalid_request("x-request-timeout-ms takes 1 to 600000 milliseconds")
            })?;
        spec.timeout = spec.timeout.min(Duration::from_millis(requested_ms));
    }
    if let Some(requested) = header_value(request, PRIORITY_HEADER).and_then(parse_urgency) {
        spec.level = spec.level.lowered_to(requested);
    }
    Ok(spec)
}

async fn read_call_request(
    request: Request<Incoming>,
    route: &CompiledRoute,
    request_id: &str,
    caller_ip: IpAddr,
    budget: &BufferBudget,
) -> Result<CallRequest, RequestRefusal> {
    // The key is ignored on idempotent routes, where a second run is harmless.
    let key = if route.idempotent {
        ""
    } else {
        header_value(&request, IDEMPOTENCY_KEY_HEADER).unwrap_or("")
    };
    if key.len() > MAX_IDEMPOTENCY_KEY_BYTES || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(invalid_request(
            "idempotency-key takes 1 to 128 visible ASCII characters",
        ));
    }
    let name_hash = header_value(&request, CALLER_HEADER).map(|name| xxh3_64(name.as_bytes()));
    let caller_hash = name_hash.unwrap_or_else(|| xxh3_64(caller_ip.to_string().as_bytes()));
    let key = key.to_owned();
    let method = request.method().as_str().to_owned();
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let pairs = request
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    let headers = forwarded_headers(pairs);
    let max_bytes = route.settings.max_body_bytes;
    let body = read_request_body(request.into_body(), max_bytes, budget).await?;
    let request_id = request_id.to_owned();
    Ok(CallRequest {
        method,
        path,
        headers,
        body,
        idempotency_key: key,
        caller_hash,
        workspace: String::new(),
        caller_name_hash: name_hash.unwrap_or_default(),
        request_id,
    })
}

async fn read_request_body(
    body: Incoming,
    limit: u64,
    budget: &BufferBudget,
) -> Result<Bytes, RequestRefusal> {
    match timeout(BODY_TIMEOUT, read_body(body, limit, budget)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(ErrorKind::BodyTooLarge.into()),
        Ok(Err(BodyError::NoRoom)) => Err(ErrorKind::BodyUnbuffered.into()),
        Ok(Err(BodyError::Broken(_))) => Err(invalid_request(
            "the connection failed before the whole body arrived",
        )),
        Err(_) => Err(invalid_request("the body did not arrive within 10 s")),
    }
}

fn reply_response(reply: CallerReply) -> CallerResponse {
    match reply.outcome {
        Ok(answer) => served_response(answer),
        Err(kind) => refusal_response(kind, None),
    }
}

fn served_response(answer: ServedAnswer) -> CallerResponse {
    let status = u16::try_from(answer.status).unwrap_or(502);
    let mut builder = Response::builder().status(status).header(RAN_HEADER, "yes");
    if answer.replayed {
        builder = builder.header(REPLAYED_HEADER, "true");
    }
    for field in &answer.headers {
        builder = builder.header(field.name.as_str(), field.value.as_str());
    }
    builder
        .body(Full::new(answer.body))
        .unwrap_or_else(|_| refusal_response(ErrorKind::BackendBroken, None))
}

fn refusal_response(kind: ErrorKind, detail: Option<&str>) -> CallerResponse {
    let rule = kind.rule();
    let body = ProblemBody::for_kind(kind, detail).to_json();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(rule.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_MEDIA_TYPE));
    let run_state = match rule.ran {
        RunState::No => "no",
        RunState::Unknown => "unknown",
        RunState::Yes => "yes",
    };
    headers.insert(RAN_HEADER, HeaderValue::from_static(run_state));
    if rule.status == 503 {
        let seconds = match kind {
            ErrorKind::RequestHeld => HELD_RETRY_AFTER_SECONDS,
            _ => RETRY_AFTER_SECONDS,
        };
        headers.insert(RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    response
}

fn with_request_id(mut response: CallerResponse, request_id: &str) -> CallerResponse {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
