//! Simulates a backend server's behaviour: slots, service time, cold start, load shedding, and an
//! exact log of the requests that ran.

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

/// Parameters of a simulated backend server.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Mean service time. The time of each request is uniformly distributed from half to one and a
    /// half of it.
    pub service_time: Duration,
    /// Time after the start during which requests take four times as long.
    pub cold_start: Duration,
    /// Whether requests are shed when all slots are in use, instead of queued.
    pub sheds: bool,
    /// Fraction of requests that run and whose connection is then closed without an answer.
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

/// Outcome of a request at a simulated backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ModelAnswer {
    /// The request ran. The body holds its id and path.
    Answered(String),
    /// The request was shed and has not run.
    Shed,
    /// The request ran, and the connection is closed before the answer.
    Broken,
}

/// Number of runs of each request; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    run_counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

fn lock<Guarded>(mutex: &Mutex<Guarded>) -> MutexGuard<'_, Guarded> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunLog {
    /// Records a run of a request.
    pub fn record(&self, id: &str) {
        *lock(&self.run_counts).entry(id.to_owned()).or_default() += 1;
    }

    /// Number of runs of a request.
    pub fn count(&self, id: &str) -> u32 {
        lock(&self.run_counts).get(id).copied().unwrap_or(0)
    }

    /// Ids of the requests that ran more than once.
    pub fn repeated_runs(&self) -> Vec<String> {
        let run_counts = lock(&self.run_counts);
        run_counts
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Total number of runs.
    pub fn total(&self) -> u64 {
        lock(&self.run_counts)
            .values()
            .map(|count| u64::from(*count))
            .sum()
    }
}

/// A simulated backend server; clones share its state.
#[derive(Clone)]
pub struct BackendModel {
    plan: Arc<BackendPlan>,
    slots: Arc<Semaphore>,
    started_at: Instant,
    rng: Arc<Mutex<ChaCha8Rng>>,
    log: RunLog,
    total_service_time: Arc<Mutex<Duration>>,
    started_runs: Arc<Mutex<u64>>,
}

impl BackendModel {
    /// Builds a server that starts now and records its runs in `log`.
    pub fn new(plan: BackendPlan, seed: u64, log: RunLog) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(plan.slots as usize)),
            plan: Arc::new(plan),
            started_at: Instant::now(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
            log,
            total_service_time: Arc::default(),
            started_runs: Arc::default(),
        }
    }

    /// Log of runs.
    pub fn log(&self) -> &RunLog {
        &self.log
    }

    /// Total service time of all runs started so far, summed over the slots.
    pub fn busy_time(&self) -> Duration {
        *lock(&self.total_service_time)
    }

    /// Number of runs started so far.
    pub fn started_runs(&self) -> u64 {
        *lock(&self.started_runs)
    }

    /// Serves a request. Its run is recorded when it starts; dropping the future cancels it.
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
        let service_time = self.service_time();
        *lock(&self.total_service_time) += service_time;
        tokio::time::sleep(service_time).await;
        let connection_breaks =
            self.plan.break_rate > 0.0 && lock(&self.rng).random_bool(self.plan.break_rate);
        if connection_breaks {
            return ModelAnswer::Broken;
        }
        ModelAnswer::Answered(format!("{id} {path}"))
    }

    fn service_time(&self) -> Duration {
        let is_cold = self.started_at.elapsed() < self.plan.cold_start;
        let factor = if is_cold { 4.0 } else { 1.0 };
        let variation: f64 = lock(&self.rng).random_range(0.5..1.5);
        self.plan.service_time.mul_f64(factor * variation)
    }
}
