//! Log lines about requests that both kinds of node write.

use sequoiagw_policy::EntryEvent;
use sequoiagw_policy::PlacementRecord;
use sequoiagw_policy::RefusalRecord;
use sequoiagw_policy::RetryRecord;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tracing::info;

use crate::CounterBoard;

/// Name of what became of a call, for metrics.
pub fn outcome_name(error: Option<&ErrorKind>) -> &'static str {
    error.map_or("served", |kind| kind.rule().name)
}

/// Counts what an entry noted, and logs it where it is about one request; `name_of` names the
/// node where a call was tried before.
pub fn log_entry_note<Name>(note: &EntryEvent, counters: &CounterBoard, name_of: Name)
where
    Name: Fn(NodeId) -> Option<String>,
{
    match note {
        EntryEvent::Retried(retry) => log_retry(retry, counters, name_of),
        EntryEvent::RetryBudgetExhausted => counters.count("retry.budget_spent"),
        EntryEvent::LateAnswer => counters.count("answer.late"),
        EntryEvent::TargetEjected => counters.count("target.ejected"),
    }
}

/// Counts and logs a retry; `name_of` names the node where the try before was made.
fn log_retry<Name>(note: &RetryRecord, counters: &CounterBoard, name_of: Name)
where
    Name: Fn(NodeId) -> Option<String>,
{
    counters.count(&format!("retried.{}", note.reason.name()));
    let failed = note.kind.map_or("none", |kind| kind.rule().name);
    let placed = PlacementWords::new(note.placement, name_of);
    info!(
        target: REQUEST_LOG_TARGET,
        event = "call_retried", request = %note.request_id, reason = note.reason.name(), failed,
        tries = note.attempts, target = %placed.target, expected_ms = placed.expected_ms,
        report_age_ms = placed.report_age_ms
    );
}

/// Counts and logs a call that this node refused for its target.
pub fn log_refusal(note: &RefusalRecord, counters: &CounterBoard) {
    let reason = note.kind.rule().name;
    counters.count(&format!("owner_refused.{reason}"));
    info!(
        target: REQUEST_LOG_TARGET,
        event = "owner_refused", request = %note.request_id, reason, rank = %note.level,
        expected_wait_ms = note.expected_wait.as_millis() as u64, waiting = note.waiting,
        running = note.running, slots = note.slots
    );
}

/// Why a call was placed where it was, as fields of a line.
#[derive(Clone, Debug)]
pub struct PlacementWords {
    /// Name of the target's node, empty without one.
    pub target: String,
    /// Time to the answer that was expected.
    pub expected_ms: u64,
    /// Age of the load report that was used, -1 without one.
    pub report_age_ms: i64,
}

impl PlacementWords {
    /// Puts a placement into words; `name_of` names its node.
    pub fn new<Name>(placed: Option<PlacementRecord>, name_of: Name) -> Self
    where
        Name: Fn(NodeId) -> Option<String>,
    {
        let Some(note) = placed else {
            return Self {
                target: String::new(),
                expected_ms: 0,
                report_age_ms: -1,
            };
        };
        let age = note.report_age.map_or(-1, |age| age.as_millis() as i64);
        Self {
            target: name_of(note.node).unwrap_or_else(|| note.node.to_string()),
            expected_ms: note.expected_latency.as_millis() as u64,
            report_age_ms: age,
        }
    }
}
