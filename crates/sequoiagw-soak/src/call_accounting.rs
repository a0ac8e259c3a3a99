//! Checks of what callers got against what the backend servers could have given them.

use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use tokio::time::Instant;

use crate::guarantee_checker::is_not_run_status;
use crate::guarantee_checker::CallRecord;
use crate::guarantee_checker::GuaranteeChecker;
use crate::guarantee_checker::GuaranteeKind;

/// Longest time from the end of a run until its caller has the answer.
const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Part of a caller's time after which a refusal comes too late for it to return.
const HELD_FRACTION: f64 = 0.75;
/// Time within which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries that are allowed in a window for each request in it.
const RETRY_RATIO: f64 = 0.2;
/// Retries that are allowed in a window beyond that.
const RETRY_EXTRA: f64 = 56.0;

impl GuaranteeChecker {
    /// Checks each call that no fault may have affected: that a ready answer was delivered, that a
    /// failure was offered to a backend server, and that a refusal came early.
    pub fn check_service(&mut self, runs: &[BackendRun], deadline: Duration) {
        let mut runs_by_id: HashMap<&str, Vec<&BackendRun>> = HashMap::new();
        for run in runs {
            runs_by_id.entry(&run.id).or_default().push(run);
        }
        let calm = |call: &&CallRecord| !call.during_fault && !call.during_replacement;
        let mut found = Vec::new();
        for call in self.calls().iter().filter(calm) {
            let runs = runs_by_id.get(call.id.as_str());
            let runs = runs.map_or(&[] as &[&BackendRun], Vec::as_slice);
            if let Some(kind) = service_violation(call, runs, deadline) {
                found.push((kind, call.id.clone(), format!("outcome={:?}", call.outcome)));
            }
        }
        for (kind, id, detail) in found {
            self.add_violation(kind, &id, &detail);
        }
    }

    /// Checks the runs beyond the first of each request against the budget for retries.
    pub fn check_retries(&mut self, runs: &[BackendRun]) {
        let mut seen: HashMap<&str, u32> = HashMap::new();
        let mut sorted: Vec<&BackendRun> = runs.iter().collect();
        sorted.sort_unstable_by_key(|run| run.at);
        let retries: Vec<Instant> = sorted
            .iter()
            .filter(|run| {
                let count = seen.entry(&run.id).or_default();
                *count += 1;
                *count > 1
            })
            .map(|run| run.at)
            .collect();
        let mut found = Vec::new();
        for first in &retries {
            let window = *first..*first + RETRY_WINDOW;
            let count = retries.iter().filter(|at| window.contains(at)).count();
            let allowed = RETRY_RATIO * self.requests_around(*first) as f64 + RETRY_EXTRA;
            if count as f64 > allowed {
                found.push(format!("retries={count} allowed={allowed}"));
            }
        }
        if let Some(detail) = found.first() {
            self.add_violation(GuaranteeKind::ExcessRetries, "all nodes", detail);
        }
    }

    /// Calls that started in the [`RETRY_WINDOW`] from `start` on, the one before it, or the one
    /// between, whichever has the most.
    fn requests_around(&self, start: Instant) -> usize {
        let starts = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW]
            .into_iter()
            .filter_map(|earlier| start.checked_sub(earlier));
        let counts = starts.map(|from| {
            let window = from..from + RETRY_WINDOW;
            let is_within = |call: &&CallRecord| window.contains(&call.started_at);
            self.calls().iter().filter(is_within).count()
        });
        counts.max().unwrap_or(0)
    }
}

fn service_violation(
    call: &CallRecord,
    runs: &[&BackendRun],
    deadline: Duration,
) -> Option<GuaranteeKind> {
    let CallerOutcome::Answered { status, .. } = call.outcome else {
        return None;
    };
    if status == 200 {
        return None;
    }
    let deliverable_until = (call.started_at + deadline).checked_sub(DELIVERY_TIME)?;
    let is_ready = |run: &&BackendRun| run.answered_at.is_some_and(|at| at <= deliverable_until);
    let time_taken = call.ended_at.duration_since(call.started_at);
    if runs.iter().any(is_ready) {
        Some(GuaranteeKind::LostAnswer)
    } else if matches!(status, 500 | 502 | 504) && runs.is_empty() {
        Some(GuaranteeKind::UntriedFailure)
    } else if is_not_run_status(status) && time_taken >= deadline.mul_f64(HELD_FRACTION) {
        Some(GuaranteeKind::HeldRefusal)
    } else {
        None
    }
}
