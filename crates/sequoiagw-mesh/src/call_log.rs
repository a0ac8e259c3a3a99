//! What became of a caller's request, as a log line and latencies.

use std::time::Duration;

use sequoiagw_node::outcome_name;
use sequoiagw_node::PlacementWords;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::ServedAnswer;
use sequoiagw_telemetry::is_sampled;
use sequoiagw_telemetry::LatencySeries;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::time::Instant;
use tracing::info;

use crate::MeshHandle;
use crate::MeshRoute;

/// A request that is being served, as it is to be logged.
pub(crate) struct CallLog<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) route: &'a MeshRoute,
    pub(crate) service: String,
    /// Time until its deadline.
    pub(crate) allowed: Duration,
    /// Version by which it is treated.
    pub(crate) version: u64,
    pub(crate) began: Instant,
}

impl CallLog<'_> {
    /// Notes the end: latencies always, a line for all but most of the answers that are no
    /// failures.
    pub(crate) fn end(&self, reply: &CallerReply, handle: &MeshHandle) {
        let total = self.began.elapsed();
        self.note_latencies(reply, total, handle);
        let name_of = |node| handle.read(|core| core.directory().name(node));
        let placed = || PlacementWords::new(reply.placement, name_of);
        match &reply.outcome {
            Err(kind) => self.log_refusal(*kind, reply, &placed(), total),
            Ok(answer) if answer.status >= 500 || is_sampled(self.request_id) => {
                self.log_answer(answer, reply, &placed(), total);
            }
            Ok(_) => {}
        }
    }

    fn note_latencies(&self, reply: &CallerReply, total: Duration, handle: &MeshHandle) {
        let counters = handle.counters();
        let outcome = outcome_name(reply.outcome.as_ref().err());
        let note = |name, latency| {
            let series = LatencySeries {
                name,
                route: self.route.name.clone(),
                level: reply.level.get(),
                outcome,
            };
            counters.latency(&series, latency);
        };
        note("call", total);
        if reply.outcome.is_ok() {
            note("slot_wait", reply.slot_wait);
            note("run", reply.occupancy);
            note(
                "added",
                total.saturating_sub(reply.slot_wait + reply.occupancy),
            );
        }
    }

    fn log_refusal(
        &self,
        kind: ErrorKind,
        reply: &CallerReply,
        placed: &PlacementWords,
        total: Duration,
    ) {
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_refused", request = self.request_id, reason = kind.rule().name,
            ran = %kind.rule().ran, tries = reply.attempts, route = %self.route.name,
            rank = %self.route.level, allowed_ms = self.allowed.as_millis() as u64,
            total_ms = total.as_millis() as u64, service = %self.service, target = %placed.target,
            expected_ms = placed.expected_ms, report_age_ms = placed.report_age_ms,
            version = self.version
        );
    }

    fn log_answer(
        &self,
        answer: &ServedAnswer,
        reply: &CallerReply,
        placed: &PlacementWords,
        total: Duration,
    ) {
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_served", request = self.request_id, status = answer.status,
            tries = reply.attempts, route = %self.route.name, rank = %self.route.level,
            allowed_ms = self.allowed.as_millis() as u64, total_ms = total.as_millis() as u64,
            wait_ms = reply.slot_wait.as_millis() as u64, run_ms = reply.occupancy.as_millis() as u64,
            service = %self.service, target = %placed.target, expected_ms = placed.expected_ms,
            report_age_ms = placed.report_age_ms, version = self.version
        );
    }
}
