//! A backend server's behaviour: slots, service time, cold start, shedding, and an exact
//! log of what ran.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// How a backend server behaves.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// Requests served at once.
    pub slots: u32,
    /// Mean service time; single times are spread evenly from half to one and a half of it.
    pub service_time: Duration,
    /// Time after its start during which service takes four times as long.
    pub cold_start: Duration,
    /// Whether requests over the slots are shed instead of waiting.
    pub sheds: bool,
    /// Share of requests after whose run the connection breaks.
    pub break_rate: f64,
}

impl Default for BackendPlan {
    fn default() -> Self {
        Self {
            slots: 12,
            service_time: Duration::from_millis(20),
            cold_start: Duration::ZERO,
            sheds: true,
            break_rate: 0.0,
        }
    }
}

/// What a request met.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ModelAnswer {
    /// It ran; the body names the request.
    Answered(String),
    /// It was shed unrun.
    Shed,
    /// It ran, and the connection breaks before the answer.
    Broken,
}

/// Which requests ran, and how often; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

fn lock<Held>(mutex: &Mutex<Held>) -> MutexGuard<'_, Held> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunLog {
    /// Notes a run.
    pub fn record(&self, id: &str) {
        *lock(&self.runs).entry(id.to_owned()).or_default() += 1;
    }

    /// How often a request ran.
    pub fn count(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    /// Requests that ran more than once.
    pub fn repeated_runs(&self) -> Vec<String> {
        let runs = lock(&self.runs);
        runs.iter()
            .filter(|(_, count)| **count > 1)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// All runs.
    pub fn total(&self) -> u64 {
        lock(&self.runs)
            .values()
            .map(|count| u64::from(*count))
            .sum()
    }
}

/// A backend server; clones share it.
#[derive(Clone)]
pub struct BackendModel {
    plan: Arc<BackendPlan>,
    slots: Arc<Semaphore>,
    started: Instant,
    rng: Arc<Mutex<ChaCha8Rng>>,
    log: RunLog,
    busy: Arc<Mutex<Duration>>,
    started_runs: Arc<Mutex<u64>>,
}

impl BackendModel {
    /// Builds a server that starts now and notes its runs in `log`.
    pub fn new(plan: BackendPlan, seed: u64, log: RunLog) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(plan.slots as usize)),
            plan: Arc::new(plan),
            started: Instant::now(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
            log,
            busy: Arc::default(),
            started_runs: Arc::default(),
        }
    }

    /// Log of runs.
    pub fn log(&self) -> &RunLog {
        &self.log
    }

    /// Slot time used so far.
    pub fn busy_time(&self) -> Duration {
        *lock(&self.busy)
    }

    /// Runs started so far.
    pub fn started_runs(&self) -> u64 {
        *lock(&self.started_runs)
    }

    /// Serves a request. Its run is noted when it starts; dropping the future cancels it.
    pub async fn serve(&self, id: &str, path: &str) -> ModelAnswer {
        let permit = if self.plan.sheds {
            self.slots.try_acquire().ok()
        } else {
            self.slots.acquire().await.ok()
        };
        let Some(_permit) = permit else {
            return ModelAnswer::Shed;
        };
        self.log.record(id);
        *lock(&self.started_runs) += 1;
        let time = self.service_time();
        *lock(&self.busy) += time;
        tokio::time::sleep(time).await;
        let breaks =
            self.plan.break_rate > 0.0 && lock(&self.rng).random_bool(self.plan.break_rate);
        if breaks {
            return ModelAnswer::Broken;
        }
        ModelAnswer::Answered(format!("{id} {path}"))
    }

    fn service_time(&self) -> Duration {
        let cold = self.started.elapsed() < self.plan.cold_start;
        let factor = if cold { 4.0 } else { 1.0 };
        let spread: f64 = lock(&self.rng).random_range(0.5..1.5);
        self.plan.service_time.mul_f64(factor * spread)
    }
}
