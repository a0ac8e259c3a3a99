//! Open-loop load: streams of calls that arrive independently of whether earlier ones are done.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_node::call_spec;
use sequoiagw_node::NodeCore;
use sequoiagw_node::NodeHandle;
use sequoiagw_policy::CallRequest;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::LoadStats;
use crate::RunLog;

/// Time after a call's deadline for which its caller still waits for an answer.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of attempts of a caller that repeats its idempotency key.
const MAX_CALLER_ATTEMPTS: u32 = 3;
/// Pause of a caller before a retry, multiplied by the number of earlier attempts.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// One stream of calls.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// Name in the statistics.
    pub name: String,
    /// Name of the called route.
    pub route: String,
    /// Mean arrival rate, in calls per second.
    pub rate: f64,
    /// Whether each call has an idempotency key, with which its caller retries when refused.
    pub keyed: bool,
    /// Number of callers among which the calls are distributed.
    pub callers: u64,
}

/// Nodes that callers can currently reach; clones share the list.
pub type EntryList = Rc<RefCell<Vec<NodeHandle>>>;

/// Generates the load and collects its statistics.
pub struct LoadDriver {
    entries: EntryList,
    log: RunLog,
    stats: Rc<RefCell<LoadStats>>,
    started_at: Instant,
    seed: u64,
}

/// One planned call.
struct CallPlan {
    stream: LoadStream,
    id: String,
    caller: u64,
    seed: u64,
}

impl LoadDriver {
    /// Builds a driver that sends calls to the given entries.
    pub fn new(entries: EntryList, log: RunLog, seed: u64) -> Self {
        Self {
            entries,
            log,
            stats: Rc::default(),
            started_at: Instant::now(),
            seed,
        }
    }

    /// Sends the streams for a duration, waits for the last replies and returns the statistics.
    pub async fn drive(&self, streams: &[LoadStream], duration: Duration) -> LoadStats {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut tasks = Vec::new();
        for stream in streams {
            let seed = rng.random();
            tasks.push(tokio::task::spawn_local(self.clone_shared().send_stream(
                stream.clone(),
                duration,
                seed,
            )));
        }
        for task in tasks {
            let _ = task.await;
        }
        self.stats.borrow().clone()
    }

    fn clone_shared(&self) -> Self {
        Self {
            entries: Rc::clone(&self.entries),
            log: self.log.clone(),
            stats: Rc::clone(&self.stats),
            started_at: self.started_at,
            seed: self.seed,
        }
    }

    async fn send_stream(self, stream: LoadStream, duration: Duration, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let driver = Rc::new(self);
        let end = Instant::now() + duration;
        let mut next_arrival = Instant::now();
        let mut calls = Vec::new();
        let mut number = 0u64;
        while next_arrival < end {
            tokio::time::sleep_until(next_arrival).await;
            number += 1;
            let plan = CallPlan {
                id: format!("{}-{seed:x}-{number}", stream.name),
                caller: rng.random_range(0..stream.callers.max(1)),
                seed: rng.random(),
                stream: stream.clone(),
            };
            calls.push(tokio::task::spawn_local(Rc::clone(&driver).call(plan)));
            // Arrivals are a Poisson process, so the intervals are exponentially distributed.
            let interval = -rng.random_range(f64::EPSILON..1.0).ln() / stream.rate;
            next_arrival += Duration::from_secs_f64(interval);
        }
        for call in calls {
            let _ = call.await;
        }
    }

    async fn call(self: Rc<Self>, plan: CallPlan) {
        let started_at = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        self.record_sent(&plan, started_at);
        let mut last_reply = None;
        let mut all_not_run = true;
        let attempts = if plan.stream.keyed {
            MAX_CALLER_ATTEMPTS
        } else {
            1
        };
        for attempt in 0..attempts {
            if attempt > 0 {
                tokio::time::sleep(CALLER_RETRY_DELAY * attempt).await;
            }
            last_reply = self.send_attempt(&plan, attempt, &mut rng).await;
            match &last_reply {
                Some(CallerReply {
                    outcome: Ok(answer),
                    ..
                }) => {
                    let expected = format!("{} /{}", plan.id, plan.stream.route);
                    let is_correct = answer.body == expected.as_bytes();
                    self.record_served(&plan, started_at, is_correct);
                    return;
                }
                Some(CallerReply {
                    outcome: Err(kind), ..
                }) => {
                    all_not_run &= kind.rule().ran == RunState::No;
                    if *kind == ErrorKind::KeyUnknown {
                        break;
                    }
                }
                None => all_not_run = false,
            }
        }
        self.record_refused(&plan, last_reply, all_not_run);
    }

    async fn send_attempt(
        &self,
        plan: &CallPlan,
        attempt: u32,
        rng: &mut ChaCha8Rng,
    ) -> Option<CallerReply> {
        let entry = self.choose_entry(rng)?;
        let config = entry.read(|core| core.active_config().cloned())?;
        let route = config.route(&plan.stream.route)?;
        let spec = call_spec(route);
        let reply_timeout = spec.timeout + RESPONSE_GRACE;
        let request = CallRequest {
            method: "POST".to_owned(),
            path: format!("/{}", plan.stream.route),
            body: Bytes::from(plan.id.clone()),
            idempotency_key: if plan.stream.keyed {
                plan.id.clone()
            } else {
                String::new()
            },
            caller_hash: plan.caller,
            request_id: if plan.stream.keyed {
                format!("{}-try{attempt}", plan.id)
            } else {
                plan.id.clone()
            },
            ..CallRequest::default()
        };
        timeout(reply_timeout, entry.call(spec, request)).await.ok()
    }

    /// Chooses a random node that reports ready, as a load balancer in front of the nodes does.
    fn choose_entry(&self, rng: &mut ChaCha8Rng) -> Option<NodeHandle> {
        let entries = self.entries.borrow();
        let ready: Vec<&NodeHandle> = entries
            .iter()
            .filter(|entry| entry.read(NodeCore::is_ready))
            .collect();
        ready.choose(rng).map(|entry| (*entry).clone())
    }

    fn second_index(&self, instant: Instant) -> u64 {
        (instant - self.started_at).as_secs()
    }

    fn record_sent(&self, plan: &CallPlan, started_at: Instant) {
        let mut stats = self.stats.borrow_mut();
        stats
            .seconds
            .entry(self.second_index(started_at))
            .or_default()
            .sent += 1;
        stats.stream(&plan.stream.name).sent += 1;
    }

    fn record_served(&self, plan: &CallPlan, started_at: Instant, is_correct: bool) {
        let mut stats = self.stats.borrow_mut();
        stats
            .seconds
            .entry(self.second_index(started_at))
            .or_default()
            .served += 1;
        let stream = stats.stream(&plan.stream.name);
        stream.record_served(started_at.elapsed());
        if !is_correct || self.log.count(&plan.id) == 0 {
            stream.wrong += 1;
        }
    }

    fn record_refused(&self, plan: &CallPlan, last_reply: Option<CallerReply>, all_not_run: bool) {
        let has_run = self.log.count(&plan.id) > 0;
        let mut stats = self.stats.borrow_mut();
        let stream = stats.stream(&plan.stream.name);
        match last_reply.map(|reply| reply.outcome) {
            Some(Err(kind)) => stream.record_refused(kind),
            _ => stream.unanswered += 1,
        }
        if all_not_run && has_run {
            stream.false_not_run += 1;
        }
    }
}
