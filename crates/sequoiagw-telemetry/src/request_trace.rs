//! Rebuilds the course of a request from the log lines of all nodes.

use std::fmt;

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::ERROR_KINDS;

use crate::LogLine;

/// Log lines of a request and its nested calls, in order of time.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    request: String,
    lines: Vec<LogLine>,
    /// Lines that show the state of the involved nodes before the request's last line.
    node_states: Vec<LogLine>,
}

/// Events that change the state of a node. A trace shows the last of each before the request's
/// last line.
const STATE_EVENTS: &[&str] = &[
    "version_activated",
    "store_lost",
    "store_regained",
    "slots_offered",
    "backend_leaves",
    "request_limit_changed",
    "watchers_lost",
    "leave_started",
    "node_started",
];

impl RequestTrace {
    /// Selects the lines of `request` from those of all nodes.
    pub fn new(request: &str, mut all: Vec<LogLine>) -> Self {
        all.sort_by(|left, right| left.time.cmp(&right.time));
        let nested = format!("{request}.");
        let belongs_to_request = |line: &LogLine| {
            let id = line.field("request");
            id == request || id.starts_with(&nested)
        };
        let lines: Vec<LogLine> = all
            .iter()
            .filter(|line| belongs_to_request(line))
            .cloned()
            .collect();
        let node_states = node_states_before_end(&all, &lines);
        Self {
            request: request.to_owned(),
            lines,
            node_states,
        }
    }

    /// Whether no line names the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Explains the outcome of the request in a sentence or two.
    pub fn cause(&self) -> String {
        let names_request = |line: &&LogLine| line.field("request") == self.request;
        let end = self.lines.iter().rev().filter(names_request).find(|line| {
            matches!(
                line.event.as_str(),
                "call_refused" | "call_served" | "call_abandoned"
            )
        });
        let Some(end) = end else {
            return "No node logged the outcome: the request was served and not sampled, its caller \
                    disconnected, or its node was lost."
                .to_owned();
        };
        if end.event == "call_served" {
            return self.explain_answer(end);
        }
        if end.event == "call_abandoned" {
            return explain_abandoned(end);
        }
        let reason = end.field("reason");
        let help = find_kind(reason).map_or("", |kind| kind.rule().help);
        let run_state = match end.field("ran") {
            "no" => "it did not run",
            _ => "whether it ran is unknown",
        };
        let owner_failure = self.owner_failure();
        format!("{reason}: {help} For this request {run_state}.{owner_failure}")
    }

    /// Explains the outcome of a request that the backend server answered. An error status may be
    /// due to a refused nested call.
    fn explain_answer(&self, end: &LogLine) -> String {
        let status = end.field("status");
        if !status.starts_with('5') {
            return format!(
                "Served with status {status} after {} ms: {} ms until a slot was free, {} ms at \
                 the backend server.",
                end.field("total_ms"),
                end.field("wait_ms"),
                end.field("run_ms")
            );
        }
        let nested = self
            .lines
            .iter()
            .find(|line| line.event == "call_refused" && line.field("request") != self.request);
        match nested {
            Some(line) => format!(
                "The backend server returned status {status} after its call {} was refused at {}: {}.",
                line.field("request"),
                line.node,
                line.field("reason")
            ),
            None => format!("The backend server returned status {status}; no nested call was logged as refused."),
        }
    }

    /// Describes the last failure that the owner or its backend client logged.
    fn owner_failure(&self) -> String {
        let owner_events = ["run_failed", "backend_refused", "owner_refused"];
        let failure = self
            .lines
            .iter()
            .rev()
            .find(|line| owner_events.contains(&line.event.as_str()));
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

/// For each node of the request, the last line of each state event up to the request's last line.
fn node_states_before_end(all: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let Some(last) = lines.last() else {
        return Vec::new();
    };
    let is_relevant = |line: &&LogLine| {
        line.time <= last.time
            && lines
                .iter()
                .any(|request_line| request_line.node == line.node)
            && STATE_EVENTS.contains(&line.event.as_str())
    };
    let mut latest: Vec<LogLine> = Vec::new();
    for line in all.iter().filter(is_relevant) {
        latest.retain(|earlier| (&earlier.node, &earlier.event) != (&line.node, &line.event));
        latest.push(line.clone());
    }
    latest
}

/// Returns the error kind that the logs show under this name.
fn find_kind(name: &str) -> Option<ErrorKind> {
    let mut kinds = ERROR_KINDS.iter().copied();
    kinds.find(|kind| kind.rule().name == name)
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.request)?;
        writeln!(formatter, "state of its nodes before:")?;
        for line in &self.node_states {
            write_line(formatter, line)?;
        }
        writeln!(formatter, "log lines of the request:")?;
        for line in &self.lines {
            write_line(formatter, line)?;
        }
        writeln!(formatter, "cause: {}", self.cause())
    }
}

fn write_line(formatter: &mut fmt::Formatter<'_>, line: &LogLine) -> fmt::Result {
    write!(formatter, "  {} {} {}", line.time, line.node, line.event)?;
    for (name, value) in &line.fields {
        if !matches!(name.as_str(), "ts" | "event" | "level") {
            write!(formatter, " {name}={value}")?;
        }
    }
    writeln!(formatter)
}

/// Explains a call whose caller left before the reply.
fn explain_abandoned(end: &LogLine) -> String {
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
