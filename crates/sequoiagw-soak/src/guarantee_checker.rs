//! What callers and backend servers saw, held against what is promised.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use tokio::time::Instant;

/// A promise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum GuaranteeKind {
    /// A non-idempotent request runs at most once.
    DoubleRun,
    /// A refusal that says "not run" is true.
    FalseNotRun,
    /// A caller gets the whole answer to its own request.
    WrongAnswer,
    /// Planned work cuts no request.
    CutRequest,
    /// A process never returns to an older version.
    Revert,
    /// A leaving backend server gets no new work after its time.
    LateWork,
    /// A request gets an end.
    Stuck,
    /// Once it is calm, the newest version is in force everywhere.
    Behind,
    /// A process that wasn't told to end runs on.
    Ended,
}

/// All promises, with their names at the end of a run.
pub(crate) const GUARANTEES: &[(GuaranteeKind, &str)] = &[
    (GuaranteeKind::DoubleRun, "double_runs"),
    (GuaranteeKind::FalseNotRun, "false_not_run"),
    (GuaranteeKind::WrongAnswer, "wrong_answers"),
    (GuaranteeKind::CutRequest, "cut_requests"),
    (GuaranteeKind::Revert, "reverts"),
    (GuaranteeKind::LateWork, "late_work"),
    (GuaranteeKind::Stuck, "stuck"),
    (GuaranteeKind::Behind, "behind"),
    (GuaranteeKind::Ended, "ended"),
];

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct GuaranteeViolation {
    pub kind: GuaranteeKind,
    /// Request, node or backend server concerned.
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

/// A call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub node: usize,
    pub idempotent: bool,
    pub began: Instant,
    pub ended: Instant,
    pub end: CallerOutcome,
    /// Whether a fault that isn't planned work may have touched it.
    pub during_fault: bool,
    /// Whether the node's process was being replaced when the call ended. A request that
    /// crosses the close of its connection counts as not read, unless it ran.
    pub during_replacement: bool,
}

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Everything seen.
#[derive(Debug, Default)]
pub struct GuaranteeChecker {
    calls: Vec<CallRecord>,
    violations: Vec<GuaranteeViolation>,
    /// Newest version seen at each node in the life of its process.
    versions: HashMap<usize, u64>,
}

impl GuaranteeChecker {
    /// Notes a call that is over.
    pub fn record_call(&mut self, record: CallRecord) {
        self.check_answer(&record);
        if !record.during_fault && record.end == CallerOutcome::TimedOut {
            self.add_violation(GuaranteeKind::Stuck, &record.id, "no end");
        }
        self.calls.push(record);
    }

    /// A node was asked for what only version `asked` and later ones have.
    pub fn record_version(&mut self, node: usize, asked: u64, is_there: bool) {
        let seen = self.versions.entry(node).or_default();
        if is_there {
            *seen = asked.max(*seen);
        } else if asked <= *seen {
            let detail = format!("version {asked} is gone after {seen} was seen");
            self.add_violation(GuaranteeKind::Revert, &format!("node {node}"), &detail);
        }
    }

    /// A node's process ended: its successor may start from an older version.
    pub fn reset_version(&mut self, node: usize) {
        self.versions.remove(&node);
    }

    /// Notes a broken promise.
    pub fn add_violation(&mut self, kind: GuaranteeKind, subject: &str, detail: &str) {
        self.violations.push(GuaranteeViolation {
            kind,
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        });
    }

    /// Holds all calls against the runs that backend servers saw.
    pub fn check_runs(&mut self, runs: &[BackendRun]) {
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for run in runs {
            *counts.entry(&run.id).or_default() += 1;
        }
        let mut found = Vec::new();
        for call in &self.calls {
            let count = counts.get(call.id.as_str()).copied().unwrap_or(0);
            let is_cut = call.end == CallerOutcome::ConnectionClosed && !call.during_fault;
            if is_cut && (count > 0 || !call.during_replacement) {
                found.push((GuaranteeKind::CutRequest, call.id.clone(), count));
            }
            if call.idempotent {
                continue;
            }
            if count > 1 {
                found.push((GuaranteeKind::DoubleRun, call.id.clone(), count));
            }
            let refused = matches!(call.end, CallerOutcome::Answered { status, .. } if NOT_RUN.contains(&status));
            if refused && count > 0 {
                found.push((GuaranteeKind::FalseNotRun, call.id.clone(), count));
            }
        }
        for (kind, id, count) in found {
            self.add_violation(kind, &id, &format!("runs={count}"));
        }
    }

    /// Promises broken so far.
    pub fn violations(&self) -> &[GuaranteeViolation] {
        &self.violations
    }

    /// Number of calls by what became of them.
    pub fn outcome_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut ends = BTreeMap::new();
        for call in &self.calls {
            let name = match &call.end {
                CallerOutcome::Answered { status: 200, .. } => "served",
                CallerOutcome::Answered { status, .. } if NOT_RUN.contains(status) => "refused",
                CallerOutcome::Answered { .. }
                | CallerOutcome::ConnectionClosed
                | CallerOutcome::TimedOut => "unknown",
                CallerOutcome::ConnectFailed => "unsent",
            };
            *ends.entry(name).or_default() += 1;
        }
        ends
    }

    /// Number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call was noted.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn check_answer(&mut self, record: &CallRecord) {
        let CallerOutcome::Answered {
            status: 200,
            signed,
            body,
            ..
        } = &record.end
        else {
            return;
        };
        if !signed || *body != record.id {
            let detail = format!("signed={signed} body={body}");
            self.add_violation(GuaranteeKind::WrongAnswer, &record.id, &detail);
        }
    }
}
