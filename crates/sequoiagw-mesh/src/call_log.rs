//! Records the outcome of a caller's request as latencies and a log line.

use std::time::Duration;

use sequoiagw_node::outcome_name;
use sequoiagw_node::PlacementLogFields;
use sequoiagw_policy::CallerAnswer;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RankLevel;
use sequoiagw_telemetry::is_sampled;
use sequoiagw_telemetry::LatencySeries;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::time::Instant;
use tracing::info;

use crate::MeshHandle;
use crate::MeshRoute;

/// What is logged about a request that is being served.
pub(crate) struct CallLog<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) route: &'a MeshRoute,
    /// Rank level of the call.
    pub(crate) level: RankLevel,
    /// Name of the caller's workspace.
    pub(crate) workspace: Option<&'a str>,
    pub(crate) service: String,
    /// Time from the start of the request to its deadline.
    pub(crate) timeout: Duration,
    /// Configuration version under which the request is served.
    pub(crate) version: u64,
    pub(crate) started: Instant,
}

impl CallLog<'_> {
    /// Records the latencies and logs the outcome. Of the responses with a status below 500, only
    /// a sample is logged.
    pub(crate) fn finish(&self, reply: &CallerReply, handle: &MeshHandle) {
        let total = self.started.elapsed();
        self.record_latencies(reply, total, handle);
        let name_of = |node| handle.read(|core| core.directory().name(node));
        let placement = || PlacementLogFields::new(reply.placement, name_of);
        match &reply.outcome {
            Err(kind) => self.log_refusal(*kind, reply, &placement(), total),
            Ok(answer) if answer.status.is_server_error() || is_sampled(self.request_id) => {
                self.log_answer(answer, reply, &placement(), total);
            }
            Ok(_) => {}
        }
    }

    fn record_latencies(&self, reply: &CallerReply, total: Duration, handle: &MeshHandle) {
        let counters = handle.counters();
        let outcome = outcome_name(reply.outcome.as_ref().err());
        let record = |name, latency| {
            let series = LatencySeries {
                name,
                route: self.route.name.clone(),
                level: reply.level.get(),
                outcome,
            };
            counters.record_latency(&series, latency);
        };
        record("call", total);
        if reply.outcome.is_ok() {
            record("slot_wait", reply.slot_wait);
            record("run", reply.occupancy);
            record(
                "added",
                total.saturating_sub(reply.slot_wait + reply.occupancy),
            );
        }
    }

    fn log_refusal(
        &self,
        kind: ErrorKind,
        reply: &CallerReply,
        placement: &PlacementLogFields,
        total: Duration,
    ) {
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_refused", request = self.request_id, reason = kind.rule().name,
            ran = %kind.rule().ran, tries = reply.attempts, route = %self.route.name,
            rank = %self.level, allowed_ms = self.timeout.as_millis() as u64,
            total_ms = total.as_millis() as u64, service = %self.service, target = %placement.target,
            expected_ms = placement.expected_ms, report_age_ms = placement.report_age_ms,
            version = self.version, workspace = self.workspace
        );
    }

    fn log_answer(
        &self,
        answer: &CallerAnswer,
        reply: &CallerReply,
        placement: &PlacementLogFields,
        total: Duration,
    ) {
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_served", request = self.request_id, status = answer.status.get(),
            tries = reply.attempts, route = %self.route.name, rank = %self.level,
            allowed_ms = self.timeout.as_millis() as u64, total_ms = total.as_millis() as u64,
            wait_ms = reply.slot_wait.as_millis() as u64, run_ms = reply.occupancy.as_millis() as u64,
            service = %self.service, target = %placement.target, expected_ms = placement.expected_ms,
            report_age_ms = placement.report_age_ms, version = self.version, workspace = self.workspace
        );
    }
}
