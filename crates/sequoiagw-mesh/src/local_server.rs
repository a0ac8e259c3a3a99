//! HTTP server for readiness checks, metrics, and heartbeats of the backend server.

use std::fmt::Write;
use std::time::Duration;

use sequoiagw_http::serve_connection;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_http::ServerLimits;
use sequoiagw_http::ServerPhase;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::connection_acceptor::accept_connections;
use crate::wait_until_departure_stored;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use crate::HeartbeatPhase;
use crate::LocalRequest;
use crate::MeshCore;
use crate::MeshHandle;
use crate::TargetIncarnation;

/// Limits of requests to the node's own addresses.
const LIMITS: ServerLimits = ServerLimits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 64 * 1024,
    request_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};

/// HTTP server for the platform and the backend server next to the node.
#[derive(Clone)]
pub struct LocalServer {
    handle: MeshHandle,
    phase: watch::Receiver<ServerPhase>,
    /// Memory of the process for bodies, for the metrics.
    budget: BufferBudget,
}

impl LocalServer {
    /// Builds the server of a node.
    pub fn new(
        handle: MeshHandle,
        phase: watch::Receiver<ServerPhase>,
        budget: BufferBudget,
    ) -> Self {
        Self {
            handle,
            phase,
            budget,
        }
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(self, listener: TcpListener) {
        accept_connections(listener, |stream| {
            let server = self.clone();
            tokio::task::spawn_local(async move { server.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, stream: TcpStream) {
        let handler = |request| self.handle_request(request);
        // Requests to a node's own addresses are few and small.
        let budget = BufferBudget::unlimited();
        serve_connection(stream, || LIMITS, budget, self.phase.clone(), handler).await;
    }

    async fn handle_request(&self, request: HttpRequest) -> HttpReply {
        match self.handle.platform_format().parse_local_request(&request) {
            LocalRequest::Metrics => HttpReply::text(200, &self.metrics_page()),
            LocalRequest::Readiness if self.handle.read(MeshCore::is_ready) => {
                HttpReply::empty(200)
            }
            LocalRequest::Readiness => HttpReply::empty(503),
            LocalRequest::Heartbeat(heartbeat) => self.handle_heartbeat(&heartbeat).await,
            LocalRequest::LeaveNotice(departing) => {
                let current = self
                    .handle
                    .read(|core| core.target().incarnation().cloned());
                info!(
                    event = "backend_leaves",
                    instance = %departing.instance,
                    born_ms = departing.born_ms,
                    current = current.as_ref().map(|current| current.instance.as_str()),
                    current_born_ms = current.as_ref().map(|current| current.born_ms),
                );
                self.handle
                    .with_core(|core, now| core.on_leave_notice(departing.clone(), now));
                self.acknowledge_departure(&departing).await
            }
            LocalRequest::Other(reply) => reply,
        }
    }

    /// Counters, latencies, the time for which each request has been held back, and the stages of
    /// roll-outs.
    fn metrics_page(&self) -> String {
        let mut page = self.handle.counters().metrics_text();
        let _ = writeln!(
            page,
            "sequoiagw_body_bytes {}\nsequoiagw_body_refusals_total {}",
            self.budget.used(),
            self.budget.refusals()
        );
        for held in self.handle.read(|core| core.held_requests(Instant::now())) {
            let _ = writeln!(
                page,
                "sequoiagw_request_held_seconds{{digest=\"{}\"}} {}",
                held.digest,
                held.held_for.as_secs()
            );
        }
        let _ = self
            .handle
            .read(|core| core.write_rollout_metrics(&mut page));
        page
    }

    async fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> HttpReply {
        let outcome = self
            .handle
            .with_core(|core, now| core.on_heartbeat(heartbeat, now));
        match outcome {
            HeartbeatOutcome::Accepted => {}
            HeartbeatOutcome::Stale => {
                info!(
                    event = "heartbeat_late",
                    instance = %heartbeat.instance,
                    born_ms = heartbeat.born_ms,
                    sequence = heartbeat.sequence
                );
            }
            HeartbeatOutcome::Foreign => {
                warn!(event = "heartbeat_foreign", instance = %heartbeat.instance, service = %heartbeat.service);
                return HttpReply::empty(404);
            }
        }
        match heartbeat.phase {
            HeartbeatPhase::Ready => HttpReply::json(200, "{}"),
            // Also of a late heartbeat: only a departure that binds is acknowledged.
            HeartbeatPhase::Draining => self.acknowledge_departure(&heartbeat.incarnation()).await,
        }
    }

    /// Acknowledges that an incarnation leaves once this outlives all processes; a refusal tells the backend
    /// server to say it again. It gets no more work in either case.
    async fn acknowledge_departure(&self, departing: &TargetIncarnation) -> HttpReply {
        if wait_until_departure_stored(&self.handle, departing).await {
            HttpReply::json(200, "{}")
        } else {
            HttpReply::empty(503)
        }
    }
}
