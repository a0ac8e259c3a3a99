//! Comparison of the runs of a new version with those of the old one.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RouteRunStats;
use tokio::time::Instant;

use crate::rollout_baseline::merge;
use crate::rollout_baseline::RolloutBaseline;
use crate::rollout_baseline::RouteHistograms;
use crate::run_histogram::RunHistogram;
use crate::RunSample;

/// Number of rounds (1 s each) that are judged together.
const JUDGED_ROUNDS: usize = 8;
/// Number of the last rounds that are judged together as well, since a version that turns bad late
/// has good runs in the earlier ones.
const RECENT_ROUNDS: usize = 3;
/// Number of the last rounds that have to be free of suspicion for a good verdict.
const LATEST_ROUNDS: usize = 1;
/// Time in which the replies about a round arrive.
const REPLY_TIME: Duration = Duration::from_millis(250);

/// Least number of bad runs of a bad version.
const MIN_BAD_RUNS: u32 = 5;
/// Least difference of the shares of bad runs of a bad version and the old one.
const MIN_SHARE_EXCESS: f64 = 0.15;
/// Number of bad runs by which a bad version exceeds the baseline, beside the deviations.
const MIN_RUN_EXCESS: f64 = 3.0;
/// Number of standard deviations by which a bad version exceeds the baseline.
const MIN_DEVIATIONS: f64 = 4.0;
/// Number of recent bad runs beyond the baseline that defer a good verdict.
const SUSPECT_RUN_EXCESS: f64 = 2.0;

/// Share of failed runs of the old version that defers a good verdict. The trouble would go on in
/// the shifting stage, where the nodes have no runs of the old version to compare with.
const DEFERRING_FAILURES_PER_MILLE: u32 = 100;

/// Least number of runs of a good version.
const MIN_GOOD_RUNS: u32 = 40;
/// Least number of runs of a good version on each route with a part of the old version's runs.
const MIN_GOOD_ROUTE_RUNS: u32 = 15;
/// Part of the old version's runs from which a route has to have runs.
const GOOD_ROUTE_SHARE: f64 = 0.05;
/// Least number of runs of a good version late in a roll-out, on all routes together.
const MIN_LATE_GOOD_RUNS: u32 = 25;

/// Judgement of a new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutVerdict {
    /// The evidence is not sufficient.
    Undecided,
    /// The new version is not worse than the old one.
    Good,
    /// The new version is worse than the old one.
    Bad {
        /// Evidence, for operators.
        reason: String,
    },
}

/// Which runs of the new version are judged, and how many a good one needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JudgedRuns {
    /// Runs of rounds about which nodes of the old version have had time to reply.
    Compared,
    /// As [`Self::Compared`], and fewer runs suffice for a good verdict.
    ComparedLate,
    /// All runs, also those that the old version has no counterpart to.
    All,
}

/// Runs of one second.
#[derive(Clone, Debug, Default)]
struct JudgedRound {
    end: Option<Instant>,
    new: RouteHistograms,
    old: RouteHistograms,
}

/// Comparison of some runs with the baseline.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    runs: u32,
    bad: u32,
    expected_bad: f64,
    variance: f64,
}

impl Comparison {
    fn add(&mut self, other: &Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.bad = self.bad.saturating_add(other.bad);
        self.expected_bad += other.expected_bad;
        self.variance += other.variance;
    }

    fn is_bad(&self) -> bool {
        let excess = f64::from(self.bad) - self.expected_bad;
        self.bad >= MIN_BAD_RUNS
            && excess >= MIN_SHARE_EXCESS * f64::from(self.runs)
            && excess >= MIN_RUN_EXCESS + MIN_DEVIATIONS * self.variance.sqrt()
    }

    fn is_suspect(&self) -> bool {
        let excess = f64::from(self.bad) - self.expected_bad;
        excess >= SUSPECT_RUN_EXCESS && excess >= MIN_SHARE_EXCESS * f64::from(self.runs)
    }

    fn reason(&self, scope: &str) -> String {
        format!(
            "{} of {} runs {scope} failed or were slow, {:.1} expected",
            self.bad, self.runs, self.expected_bad
        )
    }
}

/// Compares runs of a new version with those of the old one.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    baseline: RolloutBaseline,
    /// Rounds that have ended, the latest last.
    rounds: VecDeque<JudgedRound>,
    open_round: JudgedRound,
    runs: BTreeMap<String, u32>,
}

impl RolloutJudge {
    /// Records a run of the new version. `may_be_slow` says that a long run time is no fault, as
    /// in the warm-up.
    pub fn record(&mut self, run: &RunSample<'_>, may_be_slow: bool) {
        let run_time = if may_be_slow {
            Duration::ZERO
        } else {
            run.run_time
        };
        RunSample { run_time, ..*run }.add_to(&mut self.open_round.new);
        *self.runs.entry(run.route.to_owned()).or_default() += 1;
    }

    /// Ends a round. The nodes of old versions are asked for their statistics at the same time.
    pub fn end_round(&mut self, now: Instant) {
        let mut round = std::mem::take(&mut self.open_round);
        round.end = Some(now);
        self.rounds.push_back(round);
        if self.rounds.len() > JUDGED_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Takes over the statistics of a node of an old version, asked for at the last round's end.
    pub fn on_stats(&mut self, node: NodeId, stats: &[RouteRunStats]) {
        let new_runs = self.baseline.on_stats(node, stats);
        if let Some(round) = self.rounds.back_mut() {
            merge(&mut round.old, &new_runs);
        }
    }

    /// Sets the old version's failed runs in 1,000, for a node that gets no statistics.
    pub fn assume_old_failures(&mut self, per_mille: u32) {
        self.baseline.assume_share(f64::from(per_mille) / 1_000.0);
    }

    /// Failed runs of the old version in 1,000 over the last rounds.
    pub fn old_failures_per_mille(&self) -> u32 {
        let mut recent = RunHistogram::default();
        for round in self.rounds.iter().rev().take(RECENT_ROUNDS) {
            for runs in round.old.values() {
                recent.merge(runs);
            }
        }
        let failed = u64::from(recent.bad_runs(None)) * 1_000;
        u32::try_from(failed / u64::from(recent.runs().max(1))).unwrap_or(u32::MAX)
    }

    /// Judgement on the runs so far.
    pub fn verdict(&self, judged: JudgedRuns, now: Instant) -> RolloutVerdict {
        if self.runs.is_empty() {
            return RolloutVerdict::Undecided;
        }
        for rounds in [JUDGED_ROUNDS, RECENT_ROUNDS] {
            if let Some(reason) = self.find_fault(rounds, judged, now) {
                return RolloutVerdict::Bad { reason };
            }
        }
        let is_deferred = judged == JudgedRuns::Compared
            && self.old_failures_per_mille() >= DEFERRING_FAILURES_PER_MILLE;
        if self.has_runs_for_good(judged) && !is_deferred && !self.is_suspect(now) {
            return RolloutVerdict::Good;
        }
        RolloutVerdict::Undecided
    }

    fn find_fault(&self, rounds: usize, judged: JudgedRuns, now: Instant) -> Option<String> {
        let routes = self.compare(rounds, judged, now);
        let mut all = Comparison::default();
        for (route, comparison) in &routes {
            if comparison.is_bad() {
                return Some(comparison.reason(&format!("on route {route}")));
            }
            all.add(comparison);
        }
        all.is_bad().then(|| all.reason("on all routes"))
    }

    /// Whether recent runs are worse than the old version's, but too few for a bad verdict. Counts
    /// runs that the old version's are not known for yet, so that a version which turns bad now
    /// does not pass.
    fn is_suspect(&self, now: Instant) -> bool {
        [LATEST_ROUNDS, RECENT_ROUNDS].into_iter().any(|rounds| {
            let routes = self.compare(rounds, JudgedRuns::All, now);
            let mut all = Comparison::default();
            for comparison in routes.values() {
                all.add(comparison);
            }
            all.is_suspect() || routes.values().any(Comparison::is_suspect)
        })
    }

    fn has_runs_for_good(&self, judged: JudgedRuns) -> bool {
        let all: u32 = self.runs.values().sum();
        if judged == JudgedRuns::ComparedLate && all >= MIN_LATE_GOOD_RUNS {
            return true;
        }
        let mut routes = self.baseline.routes_with_share(GOOD_ROUTE_SHARE);
        all >= MIN_GOOD_RUNS
            && routes.all(|route| self.runs.get(route).copied().unwrap_or(0) >= MIN_GOOD_ROUTE_RUNS)
    }

    /// Compares the runs of the last rounds with the old version's of the same rounds, by route.
    fn compare(
        &self,
        rounds: usize,
        judged: JudgedRuns,
        now: Instant,
    ) -> BTreeMap<&str, Comparison> {
        let mut routes: BTreeMap<&str, Comparison> = BTreeMap::new();
        let first = self.rounds.len().saturating_sub(rounds);
        for (index, round) in self.rounds.iter().enumerate().skip(first) {
            let replies_end = round.end.map(|end| end + REPLY_TIME);
            if judged != JudgedRuns::All && replies_end.is_some_and(|end| now < end) {
                break;
            }
            self.compare_round(index, round, &mut routes);
        }
        if judged == JudgedRuns::All {
            self.compare_round(self.rounds.len(), &self.open_round, &mut routes);
        }
        routes
    }

    fn compare_round<'a>(
        &'a self,
        index: usize,
        round: &'a JudgedRound,
        routes: &mut BTreeMap<&'a str, Comparison>,
    ) {
        let mut around = RouteHistograms::new();
        let neighbours = self.rounds.iter().take(index + 2);
        for neighbour in neighbours.skip(index.saturating_sub(1)) {
            merge(&mut around, &neighbour.old);
        }
        for (route, histogram) in &round.new {
            let runs = histogram.runs();
            let share = self.baseline.bad_share(route, &round.old, &around);
            let expected_bad = f64::from(runs) * share;
            let comparison = Comparison {
                runs,
                bad: histogram.bad_runs(self.baseline.slow_from(route)),
                expected_bad,
                variance: expected_bad * (1.0 - share),
            };
            routes.entry(route).or_default().add(&comparison);
        }
    }
}
