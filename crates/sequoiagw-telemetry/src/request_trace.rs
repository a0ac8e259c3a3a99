//! What became of one request, told from the lines of all nodes.

use std::fmt;

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::ERROR_KINDS;

use crate::LogLine;

/// The lines of one request and its nested calls, in order of time.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    request: String,
    lines: Vec<LogLine>,
    /// Lines of the nodes concerned that say what they had lost or believed before.
    background: Vec<LogLine>,
}

/// Events that change what a node believes; the last of each before the request's end counts.
const BELIEFS: &[&str] = &[
    "version_activated",
    "store_lost",
    "store_regained",
    "slots_offered",
    "backend_leaves",
    "leave_started",
    "node_started",
];

impl RequestTrace {
    /// Picks the lines of `request` among those of all nodes.
    pub fn new(request: &str, mut all: Vec<LogLine>) -> Self {
        all.sort_by(|one, other| one.time.cmp(&other.time));
        let nested = format!("{request}.");
        let own = |line: &LogLine| {
            let id = line.field("request");
            id == request || id.starts_with(&nested)
        };
        let lines: Vec<LogLine> = all.iter().filter(|line| own(line)).cloned().collect();
        let background = background_of(&all, &lines);
        Self {
            request: request.to_owned(),
            lines,
            background,
        }
    }

    /// Whether any line names the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// What decided the request, in words.
    pub fn cause(&self) -> String {
        let own = |line: &&LogLine| line.field("request") == self.request;
        let end = self
            .lines
            .iter()
            .rev()
            .filter(own)
            .find(|line| matches!(line.event.as_str(), "call_refused" | "call_served"));
        let Some(end) = end else {
            return "No node logged its end: it was served and not sampled, its caller left, or \
                    its node was lost."
                .to_owned();
        };
        if end.event == "call_served" {
            return self.cause_of_answer(end);
        }
        let reason = end.field("reason");
        let help = kind_named(reason).map_or("", |kind| kind.rule().help);
        let ran = match end.field("ran") {
            "no" => "it did not run",
            _ => "whether it ran is unknown",
        };
        let seen = self.seen_at_owner();
        format!("{reason}: {help} For this request {ran}.{seen}")
    }

    /// A failure of the backend server's own may come from a nested call.
    fn cause_of_answer(&self, end: &LogLine) -> String {
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
                "The backend server failed it ({status}) after its call {} was refused at {}: {}.",
                line.field("request"),
                line.node,
                line.field("reason")
            ),
            None => format!("The backend server failed it ({status}) by itself."),
        }
    }

    fn seen_at_owner(&self) -> String {
        let owner_events = ["run_failed", "backend_refused", "owner_refused"];
        let seen = self
            .lines
            .iter()
            .rev()
            .find(|line| owner_events.contains(&line.event.as_str()));
        match seen {
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

/// The last line of each belief of each node concerned, before the request's last line.
fn background_of(all: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let Some(last) = lines.last() else {
        return Vec::new();
    };
    let concerned = |line: &&LogLine| {
        line.time <= last.time
            && lines.iter().any(|own| own.node == line.node)
            && BELIEFS.contains(&line.event.as_str())
    };
    let mut latest: Vec<LogLine> = Vec::new();
    for line in all.iter().filter(concerned) {
        latest.retain(|known| (&known.node, &known.event) != (&line.node, &line.event));
        latest.push(line.clone());
    }
    latest
}

fn kind_named(name: &str) -> Option<ErrorKind> {
    let mut kinds = ERROR_KINDS.iter().copied();
    kinds.find(|kind| kind.rule().name == name)
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.request)?;
        writeln!(formatter, "what its nodes believed before:")?;
        for line in &self.background {
            write_line(formatter, line)?;
        }
        writeln!(formatter, "what they did:")?;
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
