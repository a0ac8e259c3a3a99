//! Checks what callers and backend servers observed against the system's guarantees.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use tokio::time::Instant;

/// A guarantee that the soak test checks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum GuaranteeKind {
    /// A non-idempotent request runs at most once.
    DoubleRun,
    /// A request that is answered with "not run" has not run.
    FalseNotRun,
    /// A caller receives the complete answer to its own request.
    WrongAnswer,
    /// Planned maintenance cuts off no request.
    CutRequest,
    /// A node's process never returns to an older configuration version.
    Revert,
    /// A draining backend server gets no new request once the drain limit has passed.
    LateWork,
    /// A backend server gets no more requests than the limit that it names allows.
    OverLimit,
    /// Every request gets an outcome, and every process that is told to stop exits in time.
    Stuck,
    /// After the last fault, the newest configuration version takes effect on all nodes in time.
    Behind,
    /// A process that wasn't told to stop keeps running.
    Ended,
    /// An answer that a backend server has given in time reaches its caller.
    LostAnswer,
    /// A request that fails without being refused was offered to a backend server.
    UntriedFailure,
    /// A refusal comes while its caller has time to return.
    HeldRefusal,
    /// Requests run again no more often than the budget for retries allows.
    ExcessRetries,
}

/// All guarantees, with their names in the report.
pub(crate) const GUARANTEES: &[(GuaranteeKind, &str)] = &[
    (GuaranteeKind::DoubleRun, "double_runs"),
    (GuaranteeKind::FalseNotRun, "false_not_run"),
    (GuaranteeKind::WrongAnswer, "wrong_answers"),
    (GuaranteeKind::CutRequest, "cut_requests"),
    (GuaranteeKind::Revert, "reverts"),
    (GuaranteeKind::LateWork, "late_work"),
    (GuaranteeKind::OverLimit, "over_limit"),
    (GuaranteeKind::Stuck, "stuck"),
    (GuaranteeKind::Behind, "behind"),
    (GuaranteeKind::Ended, "ended"),
    (GuaranteeKind::LostAnswer, "lost_answers"),
    (GuaranteeKind::UntriedFailure, "untried_failures"),
    (GuaranteeKind::HeldRefusal, "held_refusals"),
    (GuaranteeKind::ExcessRetries, "excess_retries"),
];

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct GuaranteeViolation {
    pub kind: GuaranteeKind,
    /// Identifies the affected request or node.
    pub subject: String,
    pub detail: String,
}

impl fmt::Display for GuaranteeViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            subject,
            detail,
        } = self;
        write!(formatter, "broken {kind:?} subject={subject} {detail}")
    }
}

/// Time for which a backend server names a limit before it must be kept.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Time within which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests that may arrive in a window, relative to the limit.
const LIMIT_RATIO: f64 = 1.5;
/// Requests that may arrive in a window beyond that.
const LIMIT_EXTRA: f64 = 5.0;

/// A limit that a backend server named for a time.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    pub node: usize,
    /// Requests per second.
    pub per_s: f64,
    pub from: Instant,
    pub until: Instant,
}

/// A finished call as its caller observed it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub node: usize,
    pub idempotent: bool,
    pub started_at: Instant,
    pub ended_at: Instant,
    pub outcome: CallerOutcome,
    /// Whether a fault other than planned maintenance may have affected the call.
    pub during_fault: bool,
    /// Whether the node's process was being replaced or was paused when the call ended. If a
    /// request and the close of its connection cross, the request counts as not read unless it ran.
    pub during_replacement: bool,
}

/// HTTP statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a status guarantees that a request has not run and never will.
pub(crate) fn is_not_run_status(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Collects observations and the violations found in them.
#[derive(Debug, Default)]
pub struct GuaranteeChecker {
    calls: Vec<CallRecord>,
    violations: Vec<GuaranteeViolation>,
    /// Newest version observed at each node since the start of its current process.
    newest_versions: HashMap<usize, u64>,
}

impl GuaranteeChecker {
    /// Records a finished call and checks its answer.
    pub fn record_call(&mut self, record: CallRecord) {
        self.check_answer(&record);
        if !record.during_fault && record.outcome == CallerOutcome::TimedOut {
            self.add_violation(GuaranteeKind::Stuck, &record.id, "no outcome");
        }
        self.calls.push(record);
    }

    /// Records whether a node has a route that exists only in `version` and later ones.
    pub fn record_version(&mut self, node: usize, version: u64, is_present: bool) {
        let newest = self.newest_versions.entry(node).or_default();
        if is_present {
            *newest = version.max(*newest);
        } else if version <= *newest {
            let detail =
                format!("version {version} is missing after version {newest} was observed");
            self.add_violation(GuaranteeKind::Revert, &format!("node {node}"), &detail);
        }
    }

    /// Resets the newest version of a node whose process ended, since the next process may start
    /// from an older one.
    pub fn reset_version(&mut self, node: usize) {
        self.newest_versions.remove(&node);
    }

    /// Records a violation.
    pub fn add_violation(&mut self, kind: GuaranteeKind, subject: &str, detail: &str) {
        self.violations.push(GuaranteeViolation {
            kind,
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        });
    }

    /// Checks all calls against the runs recorded by the backend servers.
    pub fn check_runs(&mut self, runs: &[BackendRun]) {
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for run in runs {
            *counts.entry(&run.id).or_default() += 1;
        }
        let mut new_violations = Vec::new();
        for call in &self.calls {
            let count = counts.get(call.id.as_str()).copied().unwrap_or(0);
            let was_cut = call.outcome == CallerOutcome::ConnectionClosed && !call.during_fault;
            if was_cut && (count > 0 || !call.during_replacement) {
                new_violations.push((GuaranteeKind::CutRequest, call.id.clone(), count));
            }
            if call.idempotent {
                continue;
            }
            if count > 1 {
                new_violations.push((GuaranteeKind::DoubleRun, call.id.clone(), count));
            }
            let refused = matches!(call.outcome, CallerOutcome::Answered { status, .. } if is_not_run_status(status));
            if refused && count > 0 {
                new_violations.push((GuaranteeKind::FalseNotRun, call.id.clone(), count));
            }
        }
        for (kind, id, count) in new_violations {
            self.add_violation(kind, &id, &format!("runs={count}"));
        }
    }

    /// Checks the runs of one backend server against a limit that it named. Each incarnation counts
    /// on its own, from [`LIMIT_GRACE`] after its first run under the limit.
    pub fn check_limit(&mut self, limit: NamedLimit, runs: &[BackendRun]) {
        let mut arrivals: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
        for run in runs {
            if (limit.from..limit.until).contains(&run.at) {
                arrivals.entry(run.incarnation).or_default().push(run.at);
            }
        }
        let allowed = LIMIT_RATIO * limit.per_s * LIMIT_WINDOW.as_secs_f64() + LIMIT_EXTRA;
        for times in arrivals.values_mut() {
            times.sort_unstable();
            let binding_from = times[0] + LIMIT_GRACE;
            let bound: Vec<Instant> = times
                .iter()
                .copied()
                .filter(|at| *at >= binding_from)
                .collect();
            let most = bound
                .iter()
                .map(|first| {
                    bound
                        .iter()
                        .filter(|at| (*first..*first + LIMIT_WINDOW).contains(at))
                        .count()
                })
                .max()
                .unwrap_or(0);
            if most as f64 > allowed {
                let subject = format!("node {}", limit.node);
                let detail = format!("arrived={most} allowed={allowed}");
                self.add_violation(GuaranteeKind::OverLimit, &subject, &detail);
            }
        }
    }

    /// Violations found so far.
    pub fn violations(&self) -> &[GuaranteeViolation] {
        &self.violations
    }

    /// Number of calls by outcome.
    pub fn outcome_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for call in &self.calls {
            let name = match &call.outcome {
                CallerOutcome::Answered { status: 200, .. } => "served",
                CallerOutcome::Answered { status, .. } if is_not_run_status(*status) => "refused",
                CallerOutcome::Answered { .. }
                | CallerOutcome::ConnectionClosed
                | CallerOutcome::TimedOut => "unknown",
                CallerOutcome::ConnectFailed => "unsent",
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// All recorded calls.
    pub(crate) fn calls(&self) -> &[CallRecord] {
        &self.calls
    }

    /// Number of recorded calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call was recorded.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn check_answer(&mut self, record: &CallRecord) {
        let CallerOutcome::Answered {
            status: 200,
            signed,
            body,
            ..
        } = &record.outcome
        else {
            return;
        };
        if !signed || *body != record.id {
            let detail = format!("signed={signed} body={body}");
            self.add_violation(GuaranteeKind::WrongAnswer, &record.id, &detail);
        }
    }
}
