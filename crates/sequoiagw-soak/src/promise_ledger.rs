//! What callers and backend servers saw, held against what is promised.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use sequoiagw_platform_standins::BackendRun;
use sequoiagw_platform_standins::CallerOutcome;
use tokio::time::Instant;

/// A promise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PromiseKind {
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
pub(crate) const PROMISES: &[(PromiseKind, &str)] = &[
    (PromiseKind::DoubleRun, "double_runs"),
    (PromiseKind::FalseNotRun, "false_not_run"),
    (PromiseKind::WrongAnswer, "wrong_answers"),
    (PromiseKind::CutRequest, "cut_requests"),
    (PromiseKind::Revert, "reverts"),
    (PromiseKind::LateWork, "late_work"),
    (PromiseKind::Stuck, "stuck"),
    (PromiseKind::Behind, "behind"),
    (PromiseKind::Ended, "ended"),
];

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct BrokenPromise {
    pub kind: PromiseKind,
    /// Request, node or backend server concerned.
    pub subject: String,
    pub detail: String,
}

impl fmt::Display for BrokenPromise {
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
    pub disturbed: bool,
    /// Whether the node's process was being replaced when the call ended. A request that
    /// crosses the close of its connection counts as not read, unless it ran.
    pub replaced: bool,
}

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Everything seen.
#[derive(Debug, Default)]
pub struct PromiseLedger {
    calls: Vec<CallRecord>,
    broken: Vec<BrokenPromise>,
    /// Newest version seen at each node in the life of its process.
    versions: HashMap<usize, u64>,
}

impl PromiseLedger {
    /// Notes a call that is over.
    pub fn note_call(&mut self, record: CallRecord) {
        self.check_answer(&record);
        if !record.disturbed && record.end == CallerOutcome::TimedOut {
            self.add(PromiseKind::Stuck, &record.id, "no end");
        }
        self.calls.push(record);
    }

    /// A node was asked for what only version `asked` and later ones have.
    pub fn note_version(&mut self, node: usize, asked: u64, is_there: bool) {
        let seen = self.versions.entry(node).or_default();
        if is_there {
            *seen = asked.max(*seen);
        } else if asked <= *seen {
            let detail = format!("version {asked} is gone after {seen} was seen");
            self.add(PromiseKind::Revert, &format!("node {node}"), &detail);
        }
    }

    /// A node's process ended: its successor may start from an older version.
    pub fn forget_version(&mut self, node: usize) {
        self.versions.remove(&node);
    }

    /// Notes a broken promise.
    pub fn add(&mut self, kind: PromiseKind, subject: &str, detail: &str) {
        self.broken.push(BrokenPromise {
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
            let is_cut = call.end == CallerOutcome::ConnectionClosed && !call.disturbed;
            if is_cut && (count > 0 || !call.replaced) {
                found.push((PromiseKind::CutRequest, call.id.clone(), count));
            }
            if call.idempotent {
                continue;
            }
            if count > 1 {
                found.push((PromiseKind::DoubleRun, call.id.clone(), count));
            }
            let refused = matches!(call.end, CallerOutcome::Answered { status, .. } if NOT_RUN.contains(&status));
            if refused && count > 0 {
                found.push((PromiseKind::FalseNotRun, call.id.clone(), count));
            }
        }
        for (kind, id, count) in found {
            self.add(kind, &id, &format!("runs={count}"));
        }
    }

    /// Promises broken so far.
    pub fn broken(&self) -> &[BrokenPromise] {
        &self.broken
    }

    /// Number of calls by what became of them.
    pub fn ends(&self) -> BTreeMap<&'static str, usize> {
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
            self.add(PromiseKind::WrongAnswer, &record.id, &detail);
        }
    }
}
