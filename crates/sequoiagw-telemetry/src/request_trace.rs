//! Rebuilds the course of a request from the log lines of all nodes.

use std::fmt;

use crate::trace_cause::is_nested_in;
use crate::trace_cause::parent_of;
use crate::trace_cause::TraceCause;
use crate::LogLine;

/// Log lines of a request and its relatives, in order of time.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    request: String,
    /// Lines of the request and its nested calls.
    lines: Vec<LogLine>,
    /// Lines of the request's parent and that one's other nested calls.
    relatives: Vec<LogLine>,
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
        let is_own = |line: &&LogLine| is_nested_in(line.field("request"), request);
        let lines: Vec<LogLine> = all.iter().filter(is_own).cloned().collect();
        let is_relative = |line: &&LogLine| {
            let parent = parent_of(request);
            parent.is_some_and(|parent| is_nested_in(line.field("request"), parent))
        };
        let relatives = all.iter().filter(|line| !is_own(line)).filter(is_relative);
        Self {
            request: request.to_owned(),
            relatives: relatives.cloned().collect(),
            node_states: node_states_before_end(&all, &lines),
            lines,
        }
    }

    /// Whether no line names the request or its nested calls.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Explains the outcome of the request in a sentence or two.
    pub fn cause(&self) -> String {
        let lines: Vec<&LogLine> = self.lines.iter().chain(&self.relatives).collect();
        TraceCause::new(&lines).explain(&self.request)
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

impl fmt::Display for RequestTrace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.request)?;
        writeln!(formatter, "state of its nodes before:")?;
        write_lines(formatter, &self.node_states)?;
        writeln!(formatter, "log lines of the request:")?;
        write_lines(formatter, &self.lines)?;
        if !self.relatives.is_empty() {
            writeln!(
                formatter,
                "log lines of its parent and that one's other calls:"
            )?;
            write_lines(formatter, &self.relatives)?;
        }
        writeln!(formatter, "cause: {}", self.cause())
    }
}

fn write_lines(formatter: &mut fmt::Formatter<'_>, lines: &[LogLine]) -> fmt::Result {
    lines
        .iter()
        .try_for_each(|line| write_line(formatter, line))
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
