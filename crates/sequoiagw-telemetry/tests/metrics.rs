//! Tests of the metrics page.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_telemetry::metrics_text;
use sequoiagw_telemetry::LatencySeries;
use sequoiagw_telemetry::LatencyTable;

fn series(route: &str) -> LatencySeries {
    LatencySeries {
        name: "call",
        route: route.to_owned(),
        level: 1,
        outcome: "served",
    }
}

#[test]
fn page_shows_counters_and_quantiles() {
    let mut latencies = LatencyTable::default();
    for millis in 1..=100 {
        latencies.record(&series("order"), Duration::from_millis(millis));
    }
    let counters = BTreeMap::from([("refused.queue_full".to_owned(), 3)]);
    let page = metrics_text(&counters, &latencies);
    assert!(
        page.contains("sequoiagw_refused_total{kind=\"queue_full\"} 3"),
        "{page}"
    );
    let count = "sequoiagw_call_ms_count{route=\"order\",level=\"1\",outcome=\"served\"} 100";
    assert!(page.contains(count), "{page}");
    assert!(page.contains("quantile=\"0.99\"} "), "{page}");
}

#[test]
fn limits_number_of_series_with_many_routes() {
    let mut latencies = LatencyTable::default();
    for number in 0..1_000 {
        latencies.record(
            &series(&format!("route-{number}")),
            Duration::from_millis(5),
        );
    }
    assert_eq!(latencies.count(&series("route-0")), 1);
    assert_eq!(latencies.count(&series("route-999")), 0);
    let page = metrics_text(&BTreeMap::new(), &latencies);
    assert!(page.contains("other_series_total 600"), "{page}");
}
