//! The edge at which readiness is asked and the backend server's heartbeats arrive.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sequoiagw_http::serve_connection;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_http::ServerLimits;
use sequoiagw_http::ServerPhase;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::info;
use tracing::warn;

use crate::Heartbeat;
use crate::HeartbeatOutcome;
use crate::LocalCall;
use crate::MeshCore;
use crate::MeshHandle;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limits of calls on the node's own addresses.
const LIMITS: ServerLimits = ServerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(60),
};

/// Server for the platform and the backend server beside the node.
#[derive(Clone)]
pub struct LocalEdge {
    handle: MeshHandle,
    phase: watch::Receiver<ServerPhase>,
}

impl LocalEdge {
    /// Builds the edge of a node.
    pub fn new(handle: MeshHandle, phase: watch::Receiver<ServerPhase>) -> Self {
        Self { handle, phase }
    }

    /// Takes connections for good.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let edge = self.clone();
                    let phase = self.phase.clone();
                    tokio::task::spawn_local(async move {
                        let handler = |request| std::future::ready(edge.answer(&request));
                        serve_connection(stream, || LIMITS, phase, handler).await;
                    });
                }
                Err(error) => {
                    warn!(event = "accept_failed", error = %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn answer(&self, request: &HttpRequest) -> HttpReply {
        match self.handle.wire().read_call(request) {
            LocalCall::Metrics => HttpReply::text(200, &self.handle.counters().metrics_text()),
            LocalCall::Readiness if self.handle.read(MeshCore::is_ready) => HttpReply::empty(200),
            LocalCall::Readiness => HttpReply::empty(503),
            LocalCall::Heartbeat(beat) => self.take_heartbeat(&beat),
            LocalCall::Leave(instance) => {
                info!(event = "backend_leaves", instance = %instance);
                self.handle
                    .with_core(|core, now| core.on_leave_notice(&instance, unix_ms(), now));
                HttpReply::json(200, "{}")
            }
            LocalCall::Other(reply) => reply,
        }
    }

    fn take_heartbeat(&self, beat: &Heartbeat) -> HttpReply {
        let outcome = self
            .handle
            .with_core(|core, now| core.on_heartbeat(beat, now));
        match outcome {
            HeartbeatOutcome::Accepted => HttpReply::json(200, "{}"),
            HeartbeatOutcome::Stale => {
                info!(event = "heartbeat_late", instance = %beat.instance, sequence = beat.sequence);
                HttpReply::json(200, "{}")
            }
            HeartbeatOutcome::Foreign => {
                warn!(event = "heartbeat_foreign", instance = %beat.instance, service = %beat.service);
                HttpReply::empty(404)
            }
        }
    }
}

/// Time of day in Unix milliseconds, which backend servers on the same host read too.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
