//! Tests of the log line parser, the line rate limit, sampling and request traces.

use std::time::Duration;
use std::time::Instant;

use sequoiagw_telemetry::is_sampled;
use sequoiagw_telemetry::LineLimiter;
use sequoiagw_telemetry::LogLine;
use sequoiagw_telemetry::RequestTrace;

const REFUSED: &str = "ts=2026-04-24T15:19:02.5Z level=info event=call_refused request=a1 \
    reason=backend_broken ran=unknown tries=1 target=node-b version=7";
const RUN_FAILED: &str = "ts=2026-04-24T15:19:02.4Z level=info event=run_failed request=a1 \
    error=\"the connection ended before a response\"";
const ACTIVATED: &str =
    "ts=2026-04-24T15:19:01.0Z level=info event=version_activated version=7 before=4";

fn parse_line(text: &str, file: &str) -> LogLine {
    LogLine::parse(text, file).expect("an event")
}

#[test]
fn parses_line_with_quoted_values() {
    let line = parse_line(
        "ts=1 level=warn event=store_lost error=\"it said \\\"no\\\" = never\" pause_ms=300",
        "node-a",
    );
    assert_eq!(line.event, "store_lost");
    assert_eq!(line.field("error"), "it said \"no\" = never");
    assert_eq!(line.field("pause_ms"), "300");
    assert_eq!(line.node, "node-a");
}

#[test]
fn takes_node_name_from_before_the_line_in_a_collected_log() {
    let line = parse_line(&format!("  12.5 node-c {REFUSED}"), "all");
    assert_eq!(line.node, "node-c");
    assert!(LogLine::parse("worth 0.7 of nothing", "all").is_none());
}

#[test]
fn trace_names_the_crashes_for_which_a_request_was_held_back() {
    let held = "ts=2026-04-24T15:19:02.4Z level=info event=call_held request=a1 digest=0f \
        servers=a,b,c crash_span_ms=412 held_ms=9000";
    let refused = REFUSED.replace("backend_broken ran=unknown", "request_held ran=no");
    let lines = [held, &refused].map(|text| parse_line(text, "node-a"));
    let cause = RequestTrace::new("a1", lines.to_vec()).cause();
    for part in [
        "request_held",
        "it did not run",
        "a,b,c",
        "412 ms",
        "9000 ms",
    ] {
        assert!(cause.contains(part), "{part}: {cause}");
    }
}

#[test]
fn trace_names_the_workspace_of_the_caller() {
    let with_workspace = format!("{REFUSED} workspace=mill");
    for (text, is_named) in [(REFUSED, false), (&*with_workspace, true)] {
        let cause = RequestTrace::new("a1", vec![parse_line(text, "node-a")]).cause();
        assert_eq!(cause.contains("workspace mill"), is_named, "{cause}");
    }
}

#[test]
fn trace_sorts_lines_of_all_nodes_and_names_the_cause() {
    let lines = vec![
        parse_line(REFUSED, "node-a"),
        parse_line(ACTIVATED, "node-a"),
        parse_line(RUN_FAILED, "node-b"),
        parse_line(&REFUSED.replace("=a1", "=b2"), "node-a"),
    ];
    let trace = RequestTrace::new("a1", lines);
    let cause = trace.cause();
    assert!(cause.contains("backend_broken"), "{cause}");
    assert!(cause.contains("unknown"), "{cause}");
    assert!(cause.contains("node-b saw run_failed"), "{cause}");
    let text = trace.to_string();
    assert!(
        text.find("run_failed") < text.find("call_refused"),
        "{text}"
    );
    assert!(text.contains("version_activated"), "{text}");
    assert!(!text.contains("b2"), "{text}");
}

#[test]
fn names_refused_nested_call_as_cause_of_a_server_error() {
    let served = "ts=2 level=info event=call_served request=a1 status=500 tries=1";
    let nested = "ts=1 level=info event=call_refused request=a1.9 reason=fleet_overloaded ran=no";
    let trace = RequestTrace::new(
        "a1",
        vec![parse_line(served, "node-a"), parse_line(nested, "node-b")],
    );
    let cause = trace.cause();
    assert!(cause.contains("a1.9"), "{cause}");
    assert!(cause.contains("fleet_overloaded"), "{cause}");
}

#[test]
fn names_the_target_that_had_an_abandoned_call() {
    let text = "ts=2026-01-01T00:00:02Z level=info event=call_abandoned request=r1 \
                phase=querying target=node-b tries=1 total_ms=980 last_contact_ms=310";
    let trace = RequestTrace::new("r1", vec![parse_line(text, "node-a.log")]);
    let cause = trace.cause();
    assert!(cause.contains("caller left after 980 ms"), "{cause}");
    assert!(
        cause.contains("node-b") && cause.contains("310 ms"),
        "{cause}"
    );
}

const PARENT_TIMED_OUT: &str =
    "ts=2 level=info event=call_served request=a1 status=504 run_ms=753 target=node-c";
const PARENT_FAILED: &str =
    "ts=2 level=info event=call_served request=a1 status=500 run_ms=30 target=node-c";
const NESTED_ABANDONED: &str = "ts=1.9 level=info event=call_abandoned request=a1.7 \
    phase=awaiting_answer target=node-d tries=1 total_ms=13 last_contact_ms=130";
const NESTED_REFUSED: &str =
    "ts=1.8 level=info event=call_refused request=a1.9 reason=fleet_overloaded ran=no";

/// Cause of `request` by these lines, all of the node that sent the request.
fn cause_of(request: &str, lines: &[&str]) -> String {
    let lines = lines.iter().map(|line| parse_line(line, "node-a"));
    RequestTrace::new(request, lines.collect()).cause()
}

#[test]
fn a_timeout_names_the_nested_call_that_was_still_open() {
    let cause = cause_of("a1", &[PARENT_TIMED_OUT, NESTED_ABANDONED]);
    assert!(cause.contains("504") && cause.contains("753 ms"), "{cause}");
    assert!(
        cause.contains("a1.7") && cause.contains("node-d"),
        "{cause}"
    );
}

#[test]
fn a_failure_without_failed_nested_calls_is_the_backend_servers_own() {
    let cause = cause_of("a1", &[PARENT_FAILED]);
    assert!(cause.contains("its own"), "{cause}");
}

#[test]
fn an_abandoned_nested_call_is_told_by_the_end_of_its_parent() {
    let lines = [PARENT_FAILED, NESTED_REFUSED, NESTED_ABANDONED];
    let cause = cause_of("a1.7", &lines);
    assert!(cause.contains("its parent a1"), "{cause}");
    assert!(
        cause.contains("a1.9") && cause.contains("fleet_overloaded"),
        "{cause}"
    );
    let cause = cause_of("a1.7", &[PARENT_TIMED_OUT, NESTED_ABANDONED]);
    assert!(cause.contains("504"), "{cause}");
    let retried = "ts=1.95 level=info event=call_retried request=a1 failed=backend_broken tries=1";
    let cause = cause_of("a1.7", &[PARENT_TIMED_OUT, retried, NESTED_ABANDONED]);
    assert!(cause.contains("backend_broken"), "{cause}");
}

#[test]
fn the_trace_of_a_nested_call_shows_its_parent_and_that_ones_other_calls() {
    let lines = [PARENT_FAILED, NESTED_REFUSED, NESTED_ABANDONED];
    let lines = lines.iter().map(|line| parse_line(line, "node-a"));
    let text = RequestTrace::new("a1.7", lines.collect()).to_string();
    assert!(text.contains("request=a1.9"), "{text}");
    assert!(text.contains("status=500"), "{text}");
}

#[test]
fn trace_of_a_request_without_lines_is_empty() {
    assert!(RequestTrace::new("zz", vec![parse_line(REFUSED, "node-a")]).is_empty());
}

#[test]
fn limits_line_rate_and_counts_dropped_lines() {
    let start = Instant::now();
    let limiter = LineLimiter::new(start);
    let mut written = 0;
    for millis in 0..10_000 {
        let now = start + Duration::from_millis(millis);
        written += u64::from(limiter.allows(now));
    }
    assert_eq!(written + limiter.dropped(), 10_000);
    assert!((3_900..=4_100).contains(&written), "{written}");
    let later = start + Duration::from_secs(60);
    assert!(
        limiter.allows(later),
        "expected lines to be permitted again after a pause"
    );
}

#[test]
fn samples_a_small_share_of_requests() {
    let sampled = (0..10_000).filter(|number| is_sampled(&format!("{number:016x}")));
    let count = sampled.count();
    assert!((200..=450).contains(&count), "{count}");
}
