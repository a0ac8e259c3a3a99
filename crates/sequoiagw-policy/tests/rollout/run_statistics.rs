//! Tests of the run statistics' sliding window.

use std::time::Duration;

use sequoiagw_policy::RunSample;
use sequoiagw_policy::RunStatistics;
use tokio::time::Instant;

const SAMPLE: RunSample<'static> = RunSample {
    route: "order",
    run_time: Duration::from_millis(20),
    failed: false,
};

fn runs(statistics: &RunStatistics, now: Instant) -> u32 {
    let routes = statistics.reply(now);
    let runs = routes
        .iter()
        .flat_map(|route| &route.run_times)
        .sum::<u32>();
    runs + routes.iter().map(|route| route.failed).sum::<u32>()
}

/// Guards against runs that are lost too early, which hides faults, or kept too long, which hides
/// changes.
#[test]
fn a_run_is_reported_for_4_to_8_seconds() {
    let start = Instant::now();
    for offset_ms in [0, 1, 1_500, 3_999, 4_000, 6_000] {
        let mut statistics = RunStatistics::default();
        let first = RunSample {
            failed: true,
            ..SAMPLE
        };
        statistics.record(&first, start);
        let time = start + Duration::from_millis(offset_ms);
        statistics.record(&SAMPLE, time);
        let after = |ms| time + Duration::from_millis(ms);
        assert!(
            runs(&statistics, after(3_999)) >= 1,
            "a run must be reported for 4 s, offset {offset_ms}"
        );
        assert_eq!(
            runs(&statistics, after(8_001)),
            0,
            "no run must be reported after 8 s, offset {offset_ms}"
        );
    }
}

/// Guards against run times of 8 times the usual one that share its bucket.
#[test]
fn buckets_grow_by_a_factor_of_1_3_from_1_ms() {
    let now = Instant::now();
    for (run_time_us, bucket) in [(0, 0), (999, 0), (1_000, 1), (1_310, 2), (20_000, 12)] {
        let mut statistics = RunStatistics::default();
        let run_time = Duration::from_micros(run_time_us);
        statistics.record(&RunSample { run_time, ..SAMPLE }, now);
        let reply = statistics.reply(now);
        assert_eq!(
            reply[0].run_times.len(),
            bucket + 1,
            "a run of {run_time_us} us must be in bucket {bucket}"
        );
    }
}

#[test]
fn failed_runs_are_counted_apart_and_starts_are_counted_at_once() {
    let now = Instant::now();
    let mut statistics = RunStatistics::default();
    statistics.started();
    statistics.started();
    statistics.record(
        &RunSample {
            failed: true,
            ..SAMPLE
        },
        now,
    );
    let reply = statistics.reply(now);
    assert_eq!((reply[0].failed, reply[0].run_times.len()), (1, 0));
    assert_eq!(statistics.started_runs(), 2);
}
