//! HTTP server for requests from callers and from the backend server next to the node.

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_http::is_connection_header;
use sequoiagw_http::serve_connection;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_http::OpenReplies;
use sequoiagw_http::ServerLimits;
use sequoiagw_http::ServerPhase;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallSpec;
use sequoiagw_policy::CallerAttempt;
use sequoiagw_policy::PlacementRule;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RunState;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::call_log::CallLog;
use crate::caller_access::CallerAccess;
use crate::connection_acceptor::accept_connections;
use crate::retry_after_delay;
use crate::MeshHandle;
use crate::MeshRoute;
use crate::PermitRefusal;
use crate::Workspace;

/// Status of a refusal of a request that hasn't run; its caller may return.
const STATUS_RETRY: u16 = 503;
/// Largest number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1500;

/// HTTP server that turns requests into calls of the node.
#[derive(Clone)]
pub struct CallerServer {
    handle: MeshHandle,
    phase: watch::Receiver<ServerPhase>,
    budget: BufferBudget,
    /// Its reference count is the number of open connections plus two: the accept loop and the
    /// shutdown code each hold a clone of the server.
    open_handles: Rc<()>,
    open_replies: OpenReplies,
}

impl CallerServer {
    /// Builds the server of a node. The bodies of requests use a part of `budget`.
    pub fn new(
        handle: MeshHandle,
        phase: watch::Receiver<ServerPhase>,
        budget: BufferBudget,
    ) -> Self {
        Self {
            handle,
            phase,
            budget,
            open_handles: Rc::new(()),
            open_replies: OpenReplies::default(),
        }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        Rc::strong_count(&self.open_handles).saturating_sub(2)
    }

    /// Requests whose replies haven't been written whole.
    pub fn open_replies(&self) -> &OpenReplies {
        &self.open_replies
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(self, listener: TcpListener) {
        accept_connections(listener, |stream| {
            if self.open_connections() >= MAX_CONNECTIONS {
                self.handle.counters().count_refusal("too_many_connections");
                return;
            }
            let server = self.clone();
            tokio::task::spawn_local(async move { server.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, stream: TcpStream) {
        let limits = || self.limits();
        let handler = |request| self.handle_request(request);
        let budget = self.budget.clone();
        serve_connection(stream, limits, budget, self.phase.clone(), handler).await;
    }

    fn limits(&self) -> ServerLimits {
        let limits = self
            .handle
            .read(|core| core.active_version().map(|version| version.limits))
            .unwrap_or_default();
        ServerLimits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            request_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    async fn handle_request(&self, request: HttpRequest) -> HttpReply {
        let header_names = self.handle.platform_format().headers();
        let request_id = request
            .head
            .header(header_names.request_id)
            .map(str::to_owned);
        let Some(request_id) = request_id else {
            return refusal_reply(ErrorKind::RequestInvalid, None);
        };
        let open = self.open_replies.open(&request_id);
        let mut reply = self.answer_request(request, request_id).await;
        open.mark_unsent();
        reply.open = Some(Rc::new(open));
        reply
    }

    async fn answer_request(&self, request: HttpRequest, request_id: String) -> HttpReply {
        let header_names = *self.handle.platform_format().headers();
        let host = request.head.header("host").unwrap_or_default();
        let version = self.handle.read(|core| core.active_version().cloned());
        let Some(version) = version else {
            return self.refuse(ErrorKind::NodeUnready, &request_id, "", 0);
        };
        let Some(route) = version.find_route(host, &request.head.path).cloned() else {
            return self.refuse(ErrorKind::RouteUnknown, &request_id, "", version.number);
        };
        let access = CallerAccess::check(&version, &route, &request.head, &header_names);
        let access = match access {
            Ok(access) => access,
            Err(kind) => return self.refuse(kind, &request_id, &route.name, version.number),
        };
        let caller_timeout = request
            .head
            .header(header_names.deadline)
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_millis);
        let arrival = Instant::now();
        let timeout = caller_timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let admitted_timeout = self
            .handle
            .read(|core| core.admitted_timeout(timeout, route.latency_target, arrival));
        let Some(timeout) = admitted_timeout else {
            return self.refuse(
                ErrorKind::NodeStopping,
                &request_id,
                &route.name,
                version.number,
            );
        };
        if let Some(workspace) = access.workspace() {
            if let Err(refusal) = self.handle.acquire_permit(workspace).await {
                return self.refuse_permit(refusal, workspace, &request_id, &route.name);
            }
        }
        // Whole milliseconds: the timeout of a request that didn't wait stays exact, since a call of
        // just under 200 ms is sent to its owner without a margin for the answer.
        let permit_wait = Duration::from_millis(arrival.elapsed().as_millis() as u64);
        let timeout = timeout.saturating_sub(permit_wait);
        let spec = CallSpec {
            level: access.level(&route),
            ..self.call_spec(&route, caller_timeout, timeout)
        };
        let level = spec.level;
        let first_arrival = arrival.checked_sub(spec.waited).unwrap_or(arrival);
        let call = self.call_request(request, &request_id, &access);
        let log = CallLog {
            request_id: &request_id,
            route: &route,
            level,
            workspace: access.workspace().map(|workspace| &*workspace.name),
            service: spec.service.clone(),
            timeout: spec.timeout,
            version: version.number,
            started: arrival,
        };
        let reply = self.handle.call(spec, call).await;
        log.finish(&reply, &self.handle);
        match reply.outcome {
            Ok(answer) => HttpReply {
                status: answer.status.get(),
                headers: answer.headers,
                body: answer.body,
                open: None,
            },
            Err(kind) => {
                let refusal = refusal_reply(kind, Some(level));
                if let Some(time_left) = caller_timeout.filter(|_| refusal.status == STATUS_RETRY) {
                    let attempt = CallerAttempt {
                        arrival,
                        time_left,
                        first_arrival,
                    };
                    self.handle
                        .with_core(|core, now| core.record_refused_caller(&route, attempt, now));
                }
                refusal
            }
        }
    }

    fn call_spec(
        &self,
        route: &MeshRoute,
        caller_timeout: Option<Duration>,
        timeout: Duration,
    ) -> CallSpec {
        let (service, retry_budget_ratio) = self.handle.with_core(|core, _| {
            let service = core.choose_service(route);
            (service, core.node_retry_ratio())
        });
        let waited = caller_timeout.map_or(Duration::ZERO, |timeout| {
            self.handle
                .with_core(|core, now| core.take_waited(route, timeout, now))
        });
        CallSpec {
            service,
            route: route.name.clone(),
            level: route.level,
            idempotent: route.idempotent,
            max_retries: u64::from(route.max_attempts.saturating_sub(1)),
            retry_budget_ratio,
            spill_load: 1.0,
            timeout,
            placement_rule: PlacementRule::Fastest,
            latency_target: route.latency_target,
            waited,
            retries_server_errors: true,
        }
    }

    fn call_request(
        &self,
        request: HttpRequest,
        request_id: &str,
        access: &CallerAccess,
    ) -> CallRequest {
        let header_names = self.handle.platform_format().headers();
        let service = self
            .handle
            .read(|core| core.settings().backend.service.clone());
        let caller_name_hash = xxh3_64(service.as_bytes());
        let mut headers: Vec<HeaderField> = request
            .head
            .headers
            .into_iter()
            .filter(|field| !is_connection_header(&field.name))
            .filter(|field| !field.name.eq_ignore_ascii_case(header_names.caller_service))
            .filter(|field| access.forwards(&field.name, header_names))
            .collect();
        headers.push(HeaderField {
            name: header_names.caller_service.to_owned(),
            value: service,
        });
        headers.extend(access.workspace_header(header_names));
        CallRequest {
            method: request.head.method,
            path: request.head.path,
            headers,
            body: request.body,
            idempotency_key: String::new(),
            caller_hash: 0,
            caller_name_hash,
            workspace: access
                .workspace()
                .map(|workspace| workspace.name.clone())
                .unwrap_or_default(),
            request_id: request_id.to_owned(),
        }
    }

    /// Refuses a request of a workspace that got no permit.
    fn refuse_permit(
        &self,
        refusal: PermitRefusal,
        workspace: &Workspace,
        request_id: &str,
        route: &str,
    ) -> HttpReply {
        let rule = refusal.kind.rule();
        self.handle.counters().count_refusal(rule.name);
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_refused", request = request_id, reason = rule.name, ran = %rule.ran,
            tries = 0, route, workspace = %workspace.name,
            retry_after_ms = refusal.retry_after.as_millis() as u64
        );
        let mut reply = HttpReply::empty(rule.status);
        push_retry_after(&mut reply, refusal.retry_after);
        reply
    }

    fn refuse(&self, kind: ErrorKind, request_id: &str, route: &str, version: u64) -> HttpReply {
        self.handle.counters().count_refusal(kind.rule().name);
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_refused", request = request_id, reason = kind.rule().name,
            ran = %kind.rule().ran, tries = 0, route, version
        );
        refusal_reply(kind, None)
    }
}

/// Builds the reply to a request that got no response from a backend server.
fn refusal_reply(kind: ErrorKind, level: Option<RankLevel>) -> HttpReply {
    let rule = kind.rule();
    let status = match (rule.ran, rule.status) {
        (_, 400..=499) => rule.status,
        (RunState::No, _) => STATUS_RETRY,
        (_, status) => status,
    };
    let mut reply = HttpReply::empty(status);
    if status == STATUS_RETRY {
        let delay = retry_after_delay(kind, level);
        push_retry_after(&mut reply, delay);
    }
    reply
}

fn push_retry_after(reply: &mut HttpReply, delay: Duration) {
    reply.push_header("Retry-After", &format!("{:.3}", delay.as_secs_f64()));
}
