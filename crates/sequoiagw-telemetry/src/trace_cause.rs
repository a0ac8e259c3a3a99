//! Explains how a request ended, from its log lines and those of its relatives.

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::ERROR_KINDS;

use crate::LogLine;

/// Events that end a call at its entry.
const END_EVENTS: &[&str] = &["call_refused", "call_served", "call_abandoned"];
/// Events in which an owner or its backend client says why a call failed.
const OWNER_EVENTS: &[&str] = &["run_failed", "backend_refused", "owner_refused"];
/// Status with which a backend server answers at the deadline.
const STATUS_TIMEOUT: &str = "504";

/// Id of the call whose run made the nested call `request`, `None` if `request` isn't nested.
pub(crate) fn parent_of(request: &str) -> Option<&str> {
    request.rsplit_once('.').map(|(parent, _)| parent)
}

/// Whether `id` is the request itself, or a call that its run made, directly or not.
pub(crate) fn is_nested_in(id: &str, request: &str) -> bool {
    let nested = id.strip_prefix(request);
    nested.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Explains requests from log lines, which are in order of time for each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TraceCause<'a> {
    lines: &'a [&'a LogLine],
}

impl<'a> TraceCause<'a> {
    pub(crate) fn new(lines: &'a [&'a LogLine]) -> Self {
        Self { lines }
    }

    /// Explains the outcome of a request in a sentence or two.
    pub(crate) fn explain(&self, request: &str) -> String {
        let Some(end) = self.end_of(request) else {
            return "No node logged the outcome: the request was served and not sampled, its caller \
                    disconnected, or its node was lost."
                .to_owned();
        };
        let cause = match end.event.as_str() {
            "call_served" => self.explain_answer(end),
            "call_abandoned" => self.explain_abandoned(end),
            _ => self.explain_refusal(end),
        };
        match end.field("workspace") {
            "" => cause,
            workspace => format!("{cause} Its caller is of the workspace {workspace}."),
        }
    }

    /// Line that ends a request at its entry.
    fn end_of(&self, request: &str) -> Option<&'a LogLine> {
        let mut ends = self.lines.iter().rev().copied();
        ends.find(|line| {
            line.field("request") == request && END_EVENTS.contains(&line.event.as_str())
        })
    }

    /// Ends of the calls that the run of a request made itself.
    fn nested_ends(&self, request: &str) -> Vec<&'a LogLine> {
        let lines = self.lines.iter().copied();
        let ends = lines.filter(|line| {
            parent_of(line.field("request")) == Some(request)
                && END_EVENTS.contains(&line.event.as_str())
        });
        ends.collect()
    }

    fn explain_refusal(&self, end: &LogLine) -> String {
        let reason = end.field("reason");
        let help = find_kind(reason).map_or("", |kind| kind.rule().help);
        let run_state = match end.field("ran") {
            "no" => "it did not run",
            _ => "whether it ran is unknown",
        };
        let owner_failure = self.owner_failure(end.field("request"));
        let crashes = self.crashes_of(end.field("request"));
        format!("{reason}: {help} For this request {run_state}.{crashes}{owner_failure}")
    }

    /// Describes the crashes because of which a request was held back.
    fn crashes_of(&self, request: &str) -> String {
        let mut lines = self.lines.iter();
        let held = lines.find(|line| line.event == "call_held" && line.field("request") == request);
        held.map_or_else(String::new, |line| {
            format!(
                " The request with digest {} ended the backend processes {} within {} ms, and had \
                 been held back for {} ms.",
                line.field("digest"),
                line.field("servers"),
                line.field("crash_span_ms"),
                line.field("held_ms")
            )
        })
    }

    /// Explains the outcome of a request that the backend server answered. An error status may be
    /// due to a nested call.
    fn explain_answer(&self, end: &LogLine) -> String {
        let status = end.field("status");
        if status.starts_with('5') {
            return format!(
                "The backend server returned {}.",
                self.describe_failure(end)
            );
        }
        format!(
            "Served with status {status} after {} ms: {} ms until a slot was free, {} ms at the \
             backend server.",
            end.field("total_ms"),
            end.field("wait_ms"),
            end.field("run_ms")
        )
    }

    /// Status of a failed run, and what led to it.
    fn describe_failure(&self, end: &LogLine) -> String {
        let status = end.field("status");
        let run_ms = end.field("run_ms");
        let nested = self.nested_ends(end.field("request"));
        if let Some(failed) = nested.iter().find_map(|line| describe_failed_call(line)) {
            return format!("status {status} after its call {failed}");
        }
        let open = nested.iter().find(|line| line.event == "call_abandoned");
        match (open.map(|line| describe_open_call(line)), status) {
            (Some(open), STATUS_TIMEOUT) => {
                format!("status {status} at the deadline, after {run_ms} ms, while {open}")
            }
            (Some(open), _) => format!("status {status} after {run_ms} ms, while {open}"),
            (None, STATUS_TIMEOUT) => format!("status {status} at the deadline, after {run_ms} ms"),
            (None, _) => format!(
                "status {status} after {run_ms} ms; none of its calls was logged as failed, so the \
                 failure is its own"
            ),
        }
    }

    /// Explains a call whose caller left before the reply. The caller of a nested call is the run
    /// that made it.
    fn explain_abandoned(&self, end: &LogLine) -> String {
        let waiting = describe_waiting(end);
        let Some(parent) = parent_of(end.field("request")) else {
            return waiting;
        };
        let run_end = match self.run_end(parent, &end.time) {
            None => "whose end no node logged".to_owned(),
            Some(line) if line.event == "call_served" => {
                format!("which ended with {}", self.describe_failure(line))
            }
            Some(line) if line.event == "call_retried" => {
                format!("which failed ({}) and was retried", line.field("failed"))
            }
            Some(line) => format!("which {} logged as {}", line.node, line.event),
        };
        format!("{waiting} Its caller was a run of its parent {parent}, {run_end}.")
    }

    /// First line from `time` on in which the entry of a request says that a run of it has ended.
    fn run_end(&self, request: &str, time: &str) -> Option<&'a LogLine> {
        let mut lines = self.lines.iter().copied();
        lines.find(|line| {
            let event = line.event.as_str();
            line.field("request") == request
                && line.time.as_str() >= time
                && (event == "call_retried" || END_EVENTS.contains(&event))
        })
    }

    /// Describes the last failure that the owner or its backend client logged for a request.
    fn owner_failure(&self, request: &str) -> String {
        let mut lines = self.lines.iter().rev();
        let failure = lines.find(|line| {
            is_nested_in(line.field("request"), request)
                && OWNER_EVENTS.contains(&line.event.as_str())
        });
        match failure {
            Some(line) => {
                let detail = match line.field("error") {
                    "" => line.field("reason"),
                    error => error,
                };
                format!(" {} saw {}: {detail}.", line.node, line.event)
            }
            None => String::new(),
        }
    }
}

/// Describes a nested call that was refused or answered with a server error; `None` for others.
fn describe_failed_call(end: &LogLine) -> Option<String> {
    let request = end.field("request");
    let status = end.field("status");
    match end.event.as_str() {
        "call_refused" => {
            let reason = end.field("reason");
            Some(format!("{request} was refused at {}: {reason}", end.node))
        }
        "call_served" if status.starts_with('5') => {
            Some(format!("{request} was answered with status {status}"))
        }
        _ => None,
    }
}

/// Describes a nested call that had no reply yet.
fn describe_open_call(end: &LogLine) -> String {
    let request = end.field("request");
    match end.field("target") {
        "" => format!("its call {request} waited for a target"),
        target => format!("its call {request} was open at {target}"),
    }
}

/// Describes what an abandoned call was waiting for.
fn describe_waiting(end: &LogLine) -> String {
    let total_ms = end.field("total_ms");
    let target = end.field("target");
    match end.field("phase") {
        "not_dispatched" => {
            format!("The caller left after {total_ms} ms, while no target had the call.")
        }
        "" => "The caller left before the reply.".to_owned(),
        _ if end.field("last_contact_ms") == "-1" => format!(
            "The caller left after {total_ms} ms, while {target} had the call; no message from \
             {target} had arrived."
        ),
        _ => format!(
            "The caller left after {total_ms} ms, while {target} had the call; the last message \
             from {target} was {} ms old.",
            end.field("last_contact_ms")
        ),
    }
}

/// Returns the error kind that the logs show under this name.
fn find_kind(name: &str) -> Option<ErrorKind> {
    let mut kinds = ERROR_KINDS.iter().copied();
    kinds.find(|kind| kind.rule().name == name)
}
