//! Latency histograms by series.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 1;
/// Series kept; further ones are counted together. A histogram takes about 2 KB.
const SERIES_LIMIT: usize = 400;
/// Quantiles told.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// What a latency belongs to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LatencySeries {
    /// What was timed.
    pub name: &'static str,
    /// Route.
    pub route: String,
    /// Rank level.
    pub level: u8,
    /// What became of the calls.
    pub outcome: &'static str,
}

/// Histograms by series.
#[derive(Debug, Default)]
pub struct LatencyTable {
    series: BTreeMap<LatencySeries, Histogram<u32>>,
    /// Latencies of series beyond the limit.
    others: u64,
}

impl LatencyTable {
    /// Notes a latency.
    pub fn record(&mut self, series: &LatencySeries, latency: Duration) {
        let micros = (latency.as_micros() as u64).clamp(1, LONGEST_US);
        if let Some(histogram) = self.series.get_mut(series) {
            histogram.saturating_record(micros);
            return;
        }
        let histogram = Histogram::new_with_max(LONGEST_US, DIGITS);
        let (Ok(mut histogram), true) = (histogram, self.series.len() < SERIES_LIMIT) else {
            self.others += 1;
            return;
        };
        histogram.saturating_record(micros);
        self.series.insert(series.clone(), histogram);
    }

    /// Number of latencies noted in a series.
    pub fn count(&self, series: &LatencySeries) -> u64 {
        self.series.get(series).map_or(0, Histogram::len)
    }

    /// Adds the series to a page of metrics: counts and quantiles in milliseconds.
    pub fn write_to(&self, page: &mut String) {
        for (series, histogram) in &self.series {
            let labels = format!(
                "route=\"{}\",level=\"{}\",outcome=\"{}\"",
                series.route, series.level, series.outcome
            );
            let name = series.name;
            for quantile in QUANTILES {
                let millis = histogram.value_at_quantile(quantile) as f64 / 1000.0;
                let _ = writeln!(
                    page,
                    "sequoiagw_{name}_ms{{{labels},quantile=\"{quantile}\"}} {millis}"
                );
            }
            let count = histogram.len();
            let _ = writeln!(page, "sequoiagw_{name}_ms_count{{{labels}}} {count}");
        }
        let _ = writeln!(page, "sequoiagw_latency_other_series_total {}", self.others);
    }
}
