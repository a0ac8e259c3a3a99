//! HTTP server of the administration API, on its own address.
//!
//! Worker threads read requests and write replies; the requests themselves are handled on the
//! node's runtime.

use std::io::Read;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use subtle::ConstantTimeEq;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tracing::warn;

use crate::admin_service::handle_admin_request;
use crate::admin_service::AdminReply;
use crate::admin_service::AdminRequest;
use crate::BackendAnnouncement;
use crate::NodeHandle;

/// Largest number of requests served concurrently.
const WORKER_COUNT: usize = 4;
/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Time limit for the node's reply to a request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Request on its way from a worker to the node's runtime, with the channel for its reply.
struct AdminCall {
    request: AdminRequest,
    reply: mpsc::Sender<AdminReply>,
}

/// HTTP server of the administration API.
pub struct AdminApi {
    server: Arc<Server>,
    calls: UnboundedReceiver<AdminCall>,
}

/// State of a worker thread.
#[derive(Clone)]
struct AdminWorker {
    server: Arc<Server>,
    calls: UnboundedSender<AdminCall>,
    token: Arc<Option<String>>,
    own_ip: IpAddr,
}

impl AdminApi {
    /// Binds the address and starts the workers; without a token, changes are disabled.
    ///
    /// Errors: the address can't be bound.
    pub fn open(address: SocketAddr, token: Option<String>) -> eyre::Result<Self> {
        let server = Server::http(address).map_err(|error| {
            eyre::eyre!("admin_address {address} can't be bound: {error}; is it in use?")
        })?;
        let server = Arc::new(server);
        let (sender, calls) = tokio::sync::mpsc::unbounded_channel();
        let worker = AdminWorker {
            server: Arc::clone(&server),
            calls: sender,
            token: Arc::new(token),
            own_ip: address.ip(),
        };
        for _ in 0..WORKER_COUNT {
            let worker = worker.clone();
            std::thread::spawn(move || worker.run());
        }
        Ok(Self { server, calls })
    }

    /// Handles requests on the node's runtime until the server is dropped.
    pub async fn serve(mut self, handle: NodeHandle) {
        while let Some(call) = self.calls.recv().await {
            let handle = handle.clone();
            tokio::task::spawn_local(async move {
                let reply = handle_admin_request(&handle, call.request).await;
                let _ = call.reply.send(reply);
            });
        }
    }
}

impl Drop for AdminApi {
    fn drop(&mut self) {
        for _ in 0..WORKER_COUNT {
            self.server.unblock();
        }
    }
}

impl AdminWorker {
    fn run(&self) {
        while let Ok(mut request) = self.server.recv() {
            let reply = match self.parse_request(&mut request) {
                Ok(admin_request) => self.forward_to_node(admin_request),
                Err(reply) => reply,
            };
            if let Err(error) = request.respond(http_response(&reply)) {
                warn!(event = "admin_reply_failed", error = %error);
            }
        }
    }

    fn forward_to_node(&self, request: AdminRequest) -> AdminReply {
        let (reply, reply_receiver) = mpsc::channel();
        let node_stopping_reply =
            || AdminReply::problem(503, "node_stopping", "the node did not reply");
        if self.calls.send(AdminCall { request, reply }).is_err() {
            return node_stopping_reply();
        }
        reply_receiver
            .recv_timeout(REPLY_TIMEOUT)
            .unwrap_or_else(|_| node_stopping_reply())
    }

    fn parse_request(&self, request: &mut Request) -> Result<AdminRequest, AdminReply> {
        let path = request.url().split('?').next().unwrap_or("").to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => Ok(AdminRequest::Health),
            (Method::Get, "/readyz") => Ok(AdminRequest::Readiness),
            (Method::Get, "/v1/status") => Ok(AdminRequest::Status),
            (Method::Get, "/v1/fleet") => Ok(AdminRequest::Fleet),
            (Method::Get, "/v1/counters") => Ok(AdminRequest::Counters),
            (Method::Get, "/v1/config") => Ok(AdminRequest::ReadConfig),
            (Method::Get, "/v1/config/history") => Ok(AdminRequest::History),
            (Method::Put, "/v1/config") => {
                self.check_token(request)?;
                parse_change(request)
            }
            (Method::Post, "/v1/drain") => {
                self.check_token(request)?;
                Ok(AdminRequest::Drain)
            }
            (Method::Put, "/v1/backend") => {
                self.check_local(request)?;
                parse_announcement(request)
            }
            (Method::Delete, "/v1/backend") => {
                self.check_local(request)?;
                Ok(AdminRequest::Withdraw)
            }
            _ => Err(AdminReply::problem(
                404,
                "not_found",
                "no such path or method",
            )),
        }
    }

    /// Checks the bearer token that changes require, in constant time.
    fn check_token(&self, request: &Request) -> Result<(), AdminReply> {
        let Some(token) = self.token.as_ref() else {
            let detail = "changes are disabled: set admin_token in the node's settings";
            return Err(AdminReply::problem(403, "changes_off", detail));
        };
        let given = header_value(request, "authorization")
            .and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned))
            .unwrap_or_default();
        if bool::from(given.as_bytes().ct_eq(token.as_bytes())) {
            return Ok(());
        }
        Err(AdminReply::problem(
            401,
            "token_wrong",
            "send the token as Authorization: Bearer <token>",
        ))
    }

    /// Checks that a request about the backend server comes from the node's own host.
    fn check_local(&self, request: &Request) -> Result<(), AdminReply> {
        let local = request
            .remote_addr()
            .is_some_and(|peer| peer.ip().is_loopback() || peer.ip() == self.own_ip);
        if local {
            return Ok(());
        }
        let detail = "a backend server can announce or withdraw itself only from its own host";
        Err(AdminReply::problem(403, "not_local", detail))
    }
}

fn header_value(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Reads the body as text. A body whose stated length is over the limit is refused; one without a
/// stated length, such as a chunked one, is cut off at the limit.
fn read_body(request: &mut Request) -> Result<String, AdminReply> {
    if request
        .body_length()
        .is_some_and(|length| length as u64 > MAX_BODY_BYTES)
    {
        return Err(AdminReply::problem(
            413,
            "body_too_large",
            "the body is larger than 1 MB",
        ));
    }
    let mut body = String::new();
    let read = request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_string(&mut body);
    read.map_err(|error| AdminReply::problem(400, "request_invalid", &error.to_string()))?;
    Ok(body)
}

fn parse_announcement(request: &mut Request) -> Result<AdminRequest, AdminReply> {
    let body = read_body(request)?;
    let announcement: BackendAnnouncement = serde_json::from_str(&body)
        .map_err(|error| AdminReply::problem(422, "announcement_invalid", &error.to_string()))?;
    Ok(AdminRequest::Announce(announcement))
}

fn parse_change(request: &mut Request) -> Result<AdminRequest, AdminReply> {
    let base = header_value(request, "if-match")
        .and_then(|value| value.trim_matches('"').parse().ok())
        .ok_or_else(|| {
            let detail = "send If-Match with the version the change was made from";
            AdminReply::problem(428, "base_missing", detail)
        })?;
    let change_id = header_value(request, "x-change-id")
        .unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
    let author = header_value(request, "x-author").unwrap_or_else(|| "unnamed".to_owned());
    let message = header_value(request, "x-message").unwrap_or_default();
    let source = read_body(request)?;
    Ok(AdminRequest::WriteConfig {
        source,
        base,
        change_id,
        author,
        message,
    })
}

fn http_response(reply: &AdminReply) -> Response<std::io::Cursor<Vec<u8>>> {
    let mut response = Response::from_string(reply.body.clone()).with_status_code(reply.status);
    if let Ok(content_type) = Header::from_bytes("Content-Type", reply.content_type) {
        response.add_header(content_type);
    }
    let etag = reply.version.map(|version| format!("\"{version}\""));
    if let Some(Ok(etag)) = etag.map(|etag| Header::from_bytes("ETag", etag)) {
        response.add_header(etag);
    }
    response
}
