//! Lines of logs, how many of them there are, and the stories told from them.

use std::time::Duration;
use std::time::Instant;

use sequoiagw_telemetry::is_sampled;
use sequoiagw_telemetry::LineLimiter;
use sequoiagw_telemetry::LogLine;
use sequoiagw_telemetry::RequestTrace;

const REFUSED: &str = "ts=2026-04-24T15:19:02.5Z level=info event=call_refused request=a1 \
    reason=backend_broken ran=unknown tries=1 target=node-b version=7";
const RUN_FAILED: &str = "ts=2026-04-24T15:19:02.4Z level=info event=run_failed request=a1 \
    error=\"the connection ended before an answer\"";
const ACTIVATED: &str =
    "ts=2026-04-24T15:19:01.0Z level=info event=version_activated version=7 before=4";

fn line(text: &str, file: &str) -> LogLine {
    LogLine::parse(text, file).expect("an event")
}

#[test]
fn a_line_is_read_with_its_quoted_values() {
    let line = line(
        "ts=1 level=warn event=store_lost error=\"it said \\\"no\\\" = never\" pause_ms=300",
        "node-a",
    );
    assert_eq!(line.event, "store_lost");
    assert_eq!(line.field("error"), "it said \"no\" = never");
    assert_eq!(line.field("pause_ms"), "300");
    assert_eq!(line.node, "node-a");
}

#[test]
fn a_collected_log_names_the_node_before_each_line() {
    let line = line(&format!("  12.5 node-c {REFUSED}"), "all");
    assert_eq!(line.node, "node-c");
    assert!(LogLine::parse("worth 0.7 of nothing", "all").is_none());
}

#[test]
fn a_story_puts_the_lines_of_all_nodes_in_order_and_names_the_cause() {
    let lines = vec![
        line(REFUSED, "node-a"),
        line(ACTIVATED, "node-a"),
        line(RUN_FAILED, "node-b"),
        line(&REFUSED.replace("=a1", "=b2"), "node-a"),
    ];
    let story = RequestTrace::new("a1", lines);
    let cause = story.cause();
    assert!(cause.contains("backend_broken"), "{cause}");
    assert!(cause.contains("unknown"), "{cause}");
    assert!(cause.contains("node-b saw run_failed"), "{cause}");
    let text = story.to_string();
    assert!(
        text.find("run_failed") < text.find("call_refused"),
        "{text}"
    );
    assert!(text.contains("version_activated"), "{text}");
    assert!(!text.contains("b2"), "{text}");
}

#[test]
fn a_failure_of_a_nested_call_is_the_cause_of_its_parents() {
    let served = "ts=2 level=info event=call_served request=a1 status=500 tries=1";
    let nested = "ts=1 level=info event=call_refused request=a1.9 reason=fleet_overloaded ran=no";
    let story = RequestTrace::new("a1", vec![line(served, "node-a"), line(nested, "node-b")]);
    let cause = story.cause();
    assert!(cause.contains("a1.9"), "{cause}");
    assert!(cause.contains("fleet_overloaded"), "{cause}");
}

#[test]
fn a_request_that_no_line_names_has_an_empty_story() {
    assert!(RequestTrace::new("zz", vec![line(REFUSED, "node-a")]).is_empty());
}

#[test]
fn a_flood_of_lines_is_bounded_and_what_is_left_out_is_counted() {
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
    assert!(limiter.allows(later), "a quiet time earns lines again");
}

#[test]
fn the_same_requests_are_sampled_everywhere_and_few_of_them() {
    let sampled = (0..10_000).filter(|number| is_sampled(&format!("{number:016x}")));
    let count = sampled.count();
    assert!((200..=450).contains(&count), "{count}");
}
