//! Latency histograms, one for each series.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest value of a histogram, in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits that a histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Largest number of series, which bounds the memory: a histogram takes about 2 KB. Latencies of
/// further series are only counted, all together.
const MAX_SERIES: usize = 400;
/// Quantiles on the metrics page.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Labels that identify a series of latencies.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LatencySeries {
    /// Name of the interval.
    pub name: &'static str,
    /// Name of the route.
    pub route: String,
    /// Rank level of the calls.
    pub level: u8,
    /// Outcome of the calls.
    pub outcome: &'static str,
}

/// Latency histograms by series.
#[derive(Debug, Default)]
pub struct LatencyTable {
    series: BTreeMap<LatencySeries, Histogram<u32>>,
    /// Number of latencies of series beyond [`MAX_SERIES`].
    other_series: u64,
}

impl LatencyTable {
    /// Records a latency.
    pub fn record(&mut self, series: &LatencySeries, latency: Duration) {
        let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        if let Some(histogram) = self.series.get_mut(series) {
            histogram.saturating_record(micros);
            return;
        }
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        let (Ok(mut histogram), true) = (histogram, self.series.len() < MAX_SERIES) else {
            self.other_series += 1;
            return;
        };
        histogram.saturating_record(micros);
        self.series.insert(series.clone(), histogram);
    }

    /// Number of latencies recorded in a series.
    pub fn count(&self, series: &LatencySeries) -> u64 {
        self.series.get(series).map_or(0, Histogram::len)
    }

    /// Appends the quantiles, in milliseconds, and the count of each series to a metrics page.
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
        let _ = writeln!(
            page,
            "sequoiagw_latency_other_series_total {}",
            self.other_series
        );
    }
}
