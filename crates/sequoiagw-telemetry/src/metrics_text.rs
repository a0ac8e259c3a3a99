//! Formats counters and latencies in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::LatencyTable;

/// Formats a metrics page. The counter `refused.queue_full` becomes
/// `sequoiagw_refused_total{kind="queue_full"}`.
pub fn metrics_text(counters: &BTreeMap<String, u64>, latencies: &LatencyTable) -> String {
    let mut page = String::new();
    for (name, count) in counters {
        let (group, kind) = name.split_once('.').unwrap_or((name, ""));
        let kind = kind.replace('"', "");
        let _ = writeln!(page, "sequoiagw_{group}_total{{kind=\"{kind}\"}} {count}");
    }
    latencies.write_to(&mut page);
    page
}
