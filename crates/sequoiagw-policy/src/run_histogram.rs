//! Run times in exponential buckets, with the number of failures.

use std::time::Duration;

use sequoiagw_protocol::RouteRunStats;

/// Upper bound of the first bucket, in milliseconds.
const FIRST_BUCKET_MS: f64 = 1.0;
/// Ratio of the bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 1.3;
/// Number of buckets. The last one starts at 67 s, beyond every deadline.
const MAX_BUCKETS: usize = 44;

/// Bucket of a run time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm is not negative and small"
)]
fn bucket_of(run_time: Duration) -> usize {
    let ratio = run_time.as_secs_f64() * 1_000.0 / FIRST_BUCKET_MS;
    if ratio < 1.0 {
        return 0;
    }
    ((ratio.ln() / BUCKET_FACTOR.ln()) as usize + 1).min(MAX_BUCKETS - 1)
}

/// Number of runs by run time, and of failed runs, whose run times are not kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunHistogram {
    failed: u32,
    buckets: Vec<u32>,
}

impl RunHistogram {
    /// Adds a run that did not fail.
    pub(crate) fn add_run(&mut self, run_time: Duration) {
        let bucket = bucket_of(run_time);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, 0);
        }
        self.buckets[bucket] = self.buckets[bucket].saturating_add(1);
    }

    /// Adds a run that failed.
    pub(crate) fn add_failure(&mut self) {
        self.failed = self.failed.saturating_add(1);
    }

    /// Adds all runs of another histogram.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        if self.buckets.len() < other.buckets.len() {
            self.buckets.resize(other.buckets.len(), 0);
        }
        for (count, more) in self.buckets.iter_mut().zip(&other.buckets) {
            *count = count.saturating_add(*more);
        }
    }

    /// Runs that were added since `earlier`, `None` if runs have been removed since.
    pub(crate) fn since(&self, earlier: &Self) -> Option<Self> {
        if earlier.buckets.len() > self.buckets.len() {
            return None;
        }
        let before = earlier.buckets.iter().copied().chain(std::iter::repeat(0));
        let buckets = self
            .buckets
            .iter()
            .zip(before)
            .map(|(count, before)| count.checked_sub(before))
            .collect::<Option<Vec<u32>>>()?;
        let failed = self.failed.checked_sub(earlier.failed)?;
        Some(Self { failed, buckets })
    }

    /// Number of runs, including failed ones.
    pub(crate) fn runs(&self) -> u32 {
        sum(&self.buckets).saturating_add(self.failed)
    }

    /// Number of runs that failed or whose bucket is at least `slow_from`.
    pub(crate) fn bad_runs(&self, slow_from: Option<usize>) -> u32 {
        let slow = slow_from.map_or(0, |bucket| sum(self.buckets.get(bucket..).unwrap_or(&[])));
        self.failed.saturating_add(slow)
    }

    /// Number of runs that did not fail, and the bucket of their median.
    pub(crate) fn median_bucket(&self) -> (u32, usize) {
        let runs = sum(&self.buckets);
        let mut below = 0_u32;
        let median = self.buckets.iter().position(|count| {
            below = below.saturating_add(*count);
            below >= runs.div_ceil(2)
        });
        (runs, median.unwrap_or(0))
    }

    /// Form of the histogram in messages.
    pub(crate) fn to_stats(&self, route: &str) -> RouteRunStats {
        RouteRunStats {
            route: route.to_owned(),
            failed: self.failed,
            run_times: self.buckets.clone(),
        }
    }
}

/// Sum of counts that may come from another node and must not overflow.
fn sum(counts: &[u32]) -> u32 {
    counts.iter().copied().fold(0, u32::saturating_add)
}

impl From<&RouteRunStats> for RunHistogram {
    fn from(stats: &RouteRunStats) -> Self {
        let buckets = stats.run_times.iter().take(MAX_BUCKETS).copied().collect();
        Self {
            failed: stats.failed,
            buckets,
        }
    }
}
