//! The edge at which callers' HTTP requests arrive.

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
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

/// Time in which a connection has to send the whole head of a request.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Time in which a body has to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Largest head of a request in bytes.
const HEAD_LIMIT: usize = 32 * 1024;
/// Headers that a request may have.
const HEADER_LIMIT: usize = 64;
/// Connections that callers may hold open at one node.
const CONNECTION_LIMIT: usize = 4096;
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;
/// Longest deadline that a caller may ask for, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 600_000;
/// Seconds after which a refused caller may come again.
const RETRY_AFTER_S: &str = "1";
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type EdgeResponse = Response<Full<Bytes>>;

/// A refusal before the call began, with what was wrong.
struct EdgeRefusal {
    kind: ErrorKind,
    detail: Option<String>,
}

impl From<ErrorKind> for EdgeRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, detail: None }
    }
}

/// Server for callers.
#[derive(Clone)]
pub struct HttpEdge {
    handle: NodeHandle,
    counters: NodeCounters,
    closing: Rc<watch::Sender<bool>>,
}

impl HttpEdge {
    /// Builds the edge of a node.
    pub fn new(handle: NodeHandle) -> Self {
        let counters = handle.counters();
        let (closing, _) = watch::channel(false);
        Self {
            handle,
            counters,
            closing: Rc::new(closing),
        }
    }

    /// Lets each connection finish its request and closes it.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        self.closing.closed().await;
    }

    /// Takes connections until the edge is closed.
    pub async fn accept(&self, listener: TcpListener) {
        let connections = Arc::new(Semaphore::new(CONNECTION_LIMIT));
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                        self.counters.count_refusal("too_many_connections");
                        continue;
                    };
                    let edge = self.clone();
                    tokio::task::spawn_local(async move {
                        edge.serve(stream, peer.ip()).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!(event = "accept_failed", error = %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream, peer: IpAddr) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let service =
            service_fn(
                |request| async move { Ok::<_, Infallible>(self.answer(request, peer).await) },
            );
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_LIMIT)
            .max_headers(HEADER_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.subscribe();
        let result = tokio::select! {
            result = connection.as_mut() => result,
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            self.counters.count("connection.failed");
            debug!(event = "connection_failed", error = %error);
        }
    }

    async fn answer(&self, request: Request<Incoming>, peer: IpAddr) -> EdgeResponse {
        let started = Instant::now();
        let request_id =
            header(&request, REQUEST_ID_HEADER).map_or_else(new_request_id, str::to_owned);
        let (response, series) = match self.begin(request, &request_id, peer).await {
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

    /// Reads a request and finds how it is to be treated.
    async fn begin(
        &self,
        request: Request<Incoming>,
        request_id: &str,
        peer: IpAddr,
    ) -> Result<(CallSpec, CallRequest), EdgeRefusal> {
        let (ready, snapshot) = self
            .handle
            .read(|core| (core.is_ready(), core.snapshot().cloned()));
        let (Some(snapshot), true) = (snapshot, ready) else {
            return Err(ErrorKind::NodeUnready.into());
        };
        let route = snapshot
            .find_route(request.method().as_str(), request.uri().path())
            .ok_or(ErrorKind::RouteUnknown)?;
        let spec = requested_spec(route, &request)?;
        let call_request = read_request(request, route, request_id, peer).await?;
        Ok((spec, call_request))
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn new_request_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn invalid(detail: &str) -> EdgeRefusal {
    EdgeRefusal {
        kind: ErrorKind::RequestInvalid,
        detail: Some(detail.to_owned()),
    }
}

/// How a request is to be treated: as its route says, within what its caller asks for.
fn requested_spec(
    route: &CompiledRoute,
    request: &Request<Incoming>,
) -> Result<CallSpec, EdgeRefusal> {
    let mut spec = call_spec(route);
    if let Some(text) = header(request, TIMEOUT_HEADER) {
        let asked: u64 = text
            .parse()
            .ok()
            .filter(|asked| (1..=DEADLINE_LIMIT_MS).contains(asked))
            .ok_or_else(|| invalid("x-request-timeout-ms takes 1 to 600000 milliseconds"))?;
        spec.timeout = spec.timeout.min(Duration::from_millis(asked));
    }
    if let Some(asked) = header(request, PRIORITY_HEADER).and_then(parse_urgency) {
        spec.level = spec.level.lowered_to(asked);
    }
    Ok(spec)
}

async fn read_request(
    request: Request<Incoming>,
    route: &CompiledRoute,
    request_id: &str,
    peer: IpAddr,
) -> Result<CallRequest, EdgeRefusal> {
    // An idempotent call needs no key: running it again does no harm.
    let key = if route.idempotent {
        ""
    } else {
        header(&request, IDEMPOTENCY_KEY_HEADER).unwrap_or("")
    };
    if key.len() > KEY_LIMIT || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(invalid(
            "idempotency-key takes 1 to 128 visible ASCII characters",
        ));
    }
    let caller_hash = header(&request, CALLER_HEADER).map_or_else(
        || xxh3_64(peer.to_string().as_bytes()),
        |name| xxh3_64(name.as_bytes()),
    );
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
    let body = read_body(request.into_body(), route.settings.max_body_bytes).await?;
    let request_id = request_id.to_owned();
    Ok(CallRequest {
        method,
        path,
        headers,
        body,
        idempotency_key: key,
        caller_hash,
        request_id,
    })
}

async fn read_body(body: Incoming, limit: u64) -> Result<Bytes, EdgeRefusal> {
    let limited = Limited::new(body, limit as usize);
    match timeout(BODY_TIME, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge.into()),
        Ok(Err(_)) => Err(invalid("the body broke off")),
        Err(_) => Err(invalid("the body took longer than 10 s")),
    }
}

fn reply_response(reply: CallerReply) -> EdgeResponse {
    match reply.outcome {
        Ok(answer) => served_response(answer),
        Err(kind) => refusal_response(kind, None),
    }
}

fn served_response(answer: ServedAnswer) -> EdgeResponse {
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

fn refusal_response(kind: ErrorKind, detail: Option<&str>) -> EdgeResponse {
    let rule = kind.rule();
    let body = ProblemBody::for_kind(kind, detail).to_json();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(rule.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_MEDIA_TYPE));
    let ran = match rule.ran {
        RunState::No => "no",
        RunState::Unknown => "unknown",
        RunState::Yes => "yes",
    };
    headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
    if rule.status == 503 {
        headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

fn with_request_id(mut response: EdgeResponse, request_id: &str) -> EdgeResponse {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
