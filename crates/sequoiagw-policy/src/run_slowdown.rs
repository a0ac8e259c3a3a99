//! Detection of a backend server whose runs currently take longer than their averages.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::RunId;

/// Ended runs that are compared with their averages.
const COMPARED_RUNS: usize = 12;
/// Factor up to which a difference is taken for the usual variation of run times.
const MIN_SLOWDOWN: f64 = 2.0;
/// Lower bound of a run's expected time, in seconds.
const MIN_EXPECTED_S: f64 = 0.001;

/// An ended run.
#[derive(Clone, Copy, Debug)]
struct EndedRun {
    /// Busy slot time up to the end, in seconds.
    busy_s: f64,
    /// Expected time of the run, in seconds.
    expected_s: f64,
}

/// Compares the time for which slots were busy with the expected times of the runs that ended.
///
/// Averages over many runs follow a backend server that turns slow only after seconds. Runs that
/// haven't ended yet count here with their time so far.
#[derive(Clone, Debug, Default)]
pub struct RunSlowdown {
    /// Expected times of the current runs, in seconds.
    running: HashMap<RunId, f64>,
    /// Busy slot time up to `updated`, in seconds.
    busy_s: f64,
    updated: Option<Instant>,
    ended: VecDeque<EndedRun>,
}

impl RunSlowdown {
    /// Records the start of a run that is expected to take this long.
    pub fn record_start(&mut self, run: RunId, expected: Duration, now: Instant) {
        self.advance(now);
        let expected_s = expected.as_secs_f64().max(MIN_EXPECTED_S);
        self.running.insert(run, expected_s);
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, run: RunId, now: Instant) {
        self.advance(now);
        let Some(expected_s) = self.running.remove(&run) else {
            return;
        };
        self.ended.push_back(EndedRun {
            busy_s: self.busy_s,
            expected_s,
        });
        if self.ended.len() > COMPARED_RUNS + 1 {
            self.ended.pop_front();
        }
    }

    /// Factor by which runs take longer than expected, 1 within the usual variation.
    pub fn factor(&self, now: Instant) -> f64 {
        if self.ended.len() <= COMPARED_RUNS {
            return 1.0;
        }
        let expected_s: f64 = self.ended.iter().skip(1).map(|run| run.expected_s).sum();
        let factor = (self.busy_at(now) - self.ended[0].busy_s) / expected_s;
        if factor < MIN_SLOWDOWN {
            1.0
        } else {
            factor
        }
    }

    fn advance(&mut self, now: Instant) {
        self.busy_s = self.busy_at(now);
        self.updated = Some(now);
    }

    fn busy_at(&self, now: Instant) -> f64 {
        let elapsed = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        self.busy_s + elapsed.as_secs_f64() * self.running.len() as f64
    }
}
