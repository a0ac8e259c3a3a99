//! Simulation of naive queues for comparison. A target takes calls in order of arrival or strictly
//! by rank, without shares, early refusals or reserved slots. The simulation advances in steps of
//! one millisecond, and each call goes to a random target.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_standin::LoadStats;

/// Order in which a naive queue serves calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NaiveOrder {
    /// First in, first out.
    Fifo,
    /// Always the most urgent rank first.
    StrictPriority,
}

impl NaiveOrder {
    /// Name in the printed results.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::StrictPriority => "strict",
        }
    }
}

/// Parameters of a simulated naive queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NaiveQueueConfig {
    /// Number of targets.
    pub(crate) targets: usize,
    /// Slots of each target.
    pub(crate) slots: usize,
    /// Largest number of calls that wait at a target.
    pub(crate) queue_limit: usize,
    /// Mean service time.
    pub(crate) service_time: Duration,
    /// Time from arrival to answer after which a call counts as timed out.
    pub(crate) timeout: Duration,
    /// Time during which calls arrive.
    pub(crate) duration: Duration,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct NaiveCall {
    rank: usize,
    arrived_ms: u64,
    sequence: u64,
}

#[derive(Default)]
struct NaiveTarget {
    waiting: BTreeMap<(usize, u64), NaiveCall>,
    running: Vec<(u64, NaiveCall)>,
}

const RANK_NAMES: [&str; 3] = ["urgent", "normal", "bulk"];

/// Simulates a naive queue. `rates` are the arrival rates of the three ranks in calls a second.
pub(crate) async fn simulate_naive_queue(
    order: NaiveOrder,
    rates: [f64; 3],
    config: &NaiveQueueConfig,
) -> LoadStats {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut targets: Vec<NaiveTarget> = Vec::new();
    targets.resize_with(config.targets, NaiveTarget::default);
    let mut stats = LoadStats::default();
    let mut sequence = 0;
    let end_ms = config.duration.as_millis() as u64;
    let last_ms = end_ms + config.timeout.as_millis() as u64;
    for now_ms in 0..last_ms {
        if now_ms < end_ms {
            for (rank, rate) in rates.iter().enumerate() {
                for _ in 0..random_arrival_count(rate / 1e3, &mut rng) {
                    sequence += 1;
                    let call = NaiveCall {
                        rank,
                        arrived_ms: now_ms,
                        sequence,
                    };
                    stats.stream(RANK_NAMES[rank]).sent += 1;
                    let target = rng.random_range(0..targets.len());
                    targets[target].enqueue(call, order, config, &mut stats);
                }
            }
        }
        for target in &mut targets {
            target.advance(now_ms, config, &mut rng, &mut stats);
        }
    }
    stats
}

/// Returns a random number of arrivals for one step, with the given mean.
fn random_arrival_count(mean: f64, rng: &mut ChaCha8Rng) -> u32 {
    let whole = mean.floor();
    whole as u32 + u32::from(rng.random_bool(mean - whole))
}

impl NaiveTarget {
    fn enqueue(
        &mut self,
        call: NaiveCall,
        order: NaiveOrder,
        config: &NaiveQueueConfig,
        stats: &mut LoadStats,
    ) {
        if self.waiting.len() >= config.queue_limit {
            stats
                .stream(RANK_NAMES[call.rank])
                .record_refused(ErrorKind::QueueFull);
            return;
        }
        let rank = match order {
            NaiveOrder::Fifo => 0,
            NaiveOrder::StrictPriority => call.rank,
        };
        self.waiting.insert((rank, call.sequence), call);
    }

    fn advance(
        &mut self,
        now_ms: u64,
        config: &NaiveQueueConfig,
        rng: &mut ChaCha8Rng,
        stats: &mut LoadStats,
    ) {
        let timeout_ms = config.timeout.as_millis() as u64;
        self.running.retain(|(finish_ms, call)| {
            if *finish_ms > now_ms {
                return true;
            }
            let stream = stats.stream(RANK_NAMES[call.rank]);
            let latency_ms = now_ms - call.arrived_ms;
            if latency_ms <= timeout_ms {
                stream.record_served(Duration::from_millis(latency_ms));
            } else {
                stream.record_refused(ErrorKind::DeadlineRunning);
            }
            false
        });
        while self.running.len() < config.slots {
            let Some((_, call)) = self.waiting.pop_first() else {
                break;
            };
            if now_ms - call.arrived_ms > timeout_ms {
                stats
                    .stream(RANK_NAMES[call.rank])
                    .record_refused(ErrorKind::DeadlineQueued);
                continue;
            }
            let service_ms = config.service_time.as_millis() as f64 * rng.random_range(0.5..1.5);
            self.running.push((now_ms + service_ms as u64, call));
        }
    }
}
