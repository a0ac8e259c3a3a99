//! Counters and log lines about single requests, shared by both kinds of node.

use sequoiagw_policy::AbandonRecord;
use sequoiagw_policy::EntryEvent;
use sequoiagw_policy::PlacementRecord;
use sequoiagw_policy::RefusalRecord;
use sequoiagw_policy::RetryRecord;
use sequoiagw_policy::UnreadableRecord;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::NodeId;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tracing::info;

use crate::NodeCounters;

/// Outcome of a call as a metric label: `served`, or the name of the error kind.
pub fn outcome_name(error: Option<&ErrorKind>) -> &'static str {
    error.map_or("served", |kind| kind.rule().name)
}

/// Counts an event of an entry, and logs it if it concerns a single request.
///
/// `name_of` returns the name of the node that received the previous attempt.
pub fn log_entry_event<Name>(event: &EntryEvent, counters: &NodeCounters, name_of: Name)
where
    Name: Fn(NodeId) -> Option<String>,
{
    match event {
        EntryEvent::Retried(retry) => log_retry(retry, counters, name_of),
        EntryEvent::Abandoned(abandoned) => log_abandoned(abandoned, name_of),
        EntryEvent::RetryBudgetExhausted => counters.count("retry.budget_spent"),
        EntryEvent::LateAnswer => counters.count("answer.late"),
        EntryEvent::UnreadableAnswer(answer) => log_unreadable(answer, counters, name_of),
        EntryEvent::TargetEjected => counters.count("target.ejected"),
    }
}

/// Counts and logs a retry; `name_of` returns the name of the node that received the previous
/// attempt.
fn log_retry<Name>(retry: &RetryRecord, counters: &NodeCounters, name_of: Name)
where
    Name: Fn(NodeId) -> Option<String>,
{
    counters.count(&format!("retried.{}", retry.reason.name()));
    let failed = retry.kind.map_or("none", |kind| kind.rule().name);
    let placement = PlacementLogFields::new(retry.placement, name_of);
    info!(
        target: REQUEST_LOG_TARGET,
        event = "call_retried", request = %retry.request_id, reason = retry.reason.name(), failed,
        tries = retry.attempts, target = %placement.target, expected_ms = placement.expected_ms,
        report_age_ms = placement.report_age_ms
    );
}

/// Counts and logs an answer that can't be delivered; `name_of` returns the name of its sender.
fn log_unreadable<Name>(answer: &UnreadableRecord, counters: &NodeCounters, name_of: Name)
where
    Name: Fn(NodeId) -> Option<String>,
{
    let reason = answer.error.name();
    counters.count_unreadable_answer(reason);
    let owner = name_of(answer.owner).unwrap_or_else(|| answer.owner.to_string());
    info!(
        target: REQUEST_LOG_TARGET,
        event = "answer_unreadable", request = %answer.request_id, reason, error = %answer.error, owner
    );
}

/// Logs a call whose caller has left; `name_of` returns the name of its target's node.
fn log_abandoned<Name>(abandoned: &AbandonRecord, name_of: Name)
where
    Name: Fn(NodeId) -> Option<String>,
{
    let placement = PlacementLogFields::new(abandoned.placement, name_of);
    let last_contact_ms = abandoned
        .last_contact_age
        .map_or(-1, |age| age.as_millis() as i64);
    let workspace = Some(&*abandoned.workspace).filter(|workspace| !workspace.is_empty());
    info!(
        target: REQUEST_LOG_TARGET,
        event = "call_abandoned", request = %abandoned.request_id, phase = abandoned.phase,
        target = %placement.target, tries = abandoned.attempts,
        total_ms = abandoned.age.as_millis() as u64, last_contact_ms, workspace
    );
}

/// Counts and logs a call that this node, as its owner, refused.
pub fn log_refusal(refusal: &RefusalRecord, counters: &NodeCounters) {
    let reason = refusal.kind.rule().name;
    counters.count(&format!("owner_refused.{reason}"));
    info!(
        target: REQUEST_LOG_TARGET,
        event = "owner_refused", request = %refusal.request_id, reason, rank = %refusal.level,
        expected_wait_ms = refusal.expected_wait.as_millis() as u64, waiting = refusal.waiting,
        running = refusal.running, slots = refusal.slots
    );
}

/// Placement of a call and the reasons for it, as log fields.
#[derive(Clone, Debug)]
pub struct PlacementLogFields {
    /// Name of the target's node; empty if no target was chosen.
    pub target: String,
    /// Expected time until the answer, in milliseconds.
    pub expected_ms: u64,
    /// Age of the load report that was used, in milliseconds; -1 if there was none.
    pub report_age_ms: i64,
}

impl PlacementLogFields {
    /// Converts a placement to log fields; `name_of` returns the name of its node.
    ///
    /// A node without a name is shown by its id.
    pub fn new<Name>(placement: Option<PlacementRecord>, name_of: Name) -> Self
    where
        Name: Fn(NodeId) -> Option<String>,
    {
        let Some(placement) = placement else {
            return Self {
                target: String::new(),
                expected_ms: 0,
                report_age_ms: -1,
            };
        };
        let age = placement
            .report_age
            .map_or(-1, |age| age.as_millis() as i64);
        Self {
            target: name_of(placement.node).unwrap_or_else(|| placement.node.to_string()),
            expected_ms: placement.expected_latency.as_millis() as u64,
            report_age_ms: age,
        }
    }
}
