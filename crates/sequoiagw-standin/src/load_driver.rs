//! Callers: steady streams of calls that arrive whether or not earlier ones are done.

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

/// Time past a call's deadline after which its caller gives up.
const CALLER_PATIENCE: Duration = Duration::from_millis(500);
/// Tries of a caller that repeats its key.
const CALLER_TRIES: u32 = 3;
/// Pause of a caller before it tries again.
const CALLER_PAUSE: Duration = Duration::from_millis(100);

/// One stream of calls.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// Name in the tally.
    pub name: String,
    /// Route called.
    pub route: String,
    /// Calls a second.
    pub rate: f64,
    /// Whether each call has an idempotency key, which its caller repeats when refused.
    pub keyed: bool,
    /// Callers among whom the calls are spread.
    pub callers: u64,
}

/// Nodes that callers can reach now; clones share the list.
pub type EntryList = Rc<RefCell<Vec<NodeHandle>>>;

/// Callers.
pub struct LoadDriver {
    entries: EntryList,
    log: RunLog,
    tally: Rc<RefCell<LoadStats>>,
    started: Instant,
    seed: u64,
}

/// One call and how its caller sees it.
struct CallPlan {
    stream: LoadStream,
    id: String,
    caller: u64,
    seed: u64,
}

impl LoadDriver {
    /// Builds callers of some nodes.
    pub fn new(entries: EntryList, log: RunLog, seed: u64) -> Self {
        Self {
            entries,
            log,
            tally: Rc::default(),
            started: Instant::now(),
            seed,
        }
    }

    /// Sends the streams for a while, waits for the last replies and returns the tally.
    pub async fn drive(&self, streams: &[LoadStream], time: Duration) -> LoadStats {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut tasks = Vec::new();
        for stream in streams {
            let seed = rng.random();
            tasks.push(tokio::task::spawn_local(self.clone_parts().feed(
                stream.clone(),
                time,
                seed,
            )));
        }
        for task in tasks {
            let _ = task.await;
        }
        self.tally.borrow().clone()
    }

    fn clone_parts(&self) -> Self {
        Self {
            entries: Rc::clone(&self.entries),
            log: self.log.clone(),
            tally: Rc::clone(&self.tally),
            started: self.started,
            seed: self.seed,
        }
    }

    async fn feed(self, stream: LoadStream, time: Duration, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let driver = Rc::new(self);
        let end = Instant::now() + time;
        let mut next = Instant::now();
        let mut calls = Vec::new();
        let mut number = 0u64;
        while next < end {
            tokio::time::sleep_until(next).await;
            number += 1;
            let plan = CallPlan {
                id: format!("{}-{seed:x}-{number}", stream.name),
                caller: rng.random_range(0..stream.callers.max(1)),
                seed: rng.random(),
                stream: stream.clone(),
            };
            calls.push(tokio::task::spawn_local(Rc::clone(&driver).call(plan)));
            // Arrivals are random and independent: gaps are exponential.
            let gap = -rng.random_range(f64::EPSILON..1.0).ln() / stream.rate;
            next += Duration::from_secs_f64(gap);
        }
        for call in calls {
            let _ = call.await;
        }
    }

    async fn call(self: Rc<Self>, plan: CallPlan) {
        let started = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        self.note_sent(&plan, started);
        let mut last = None;
        let mut all_denied = true;
        let tries = if plan.stream.keyed { CALLER_TRIES } else { 1 };
        for number in 0..tries {
            if number > 0 {
                tokio::time::sleep(CALLER_PAUSE * number).await;
            }
            last = self.try_once(&plan, number, &mut rng).await;
            match &last {
                Some(CallerReply {
                    outcome: Ok(answer),
                    ..
                }) => {
                    let expected = format!("{} /{}", plan.id, plan.stream.route);
                    let whole = answer.body == expected.as_bytes();
                    self.record_served(&plan, started, whole);
                    return;
                }
                Some(CallerReply {
                    outcome: Err(kind), ..
                }) => {
                    all_denied &= kind.rule().ran == RunState::No;
                    if *kind == ErrorKind::KeyUnknown {
                        break;
                    }
                }
                None => all_denied = false,
            }
        }
        self.record_refused(&plan, last, all_denied);
    }

    async fn try_once(
        &self,
        plan: &CallPlan,
        number: u32,
        rng: &mut ChaCha8Rng,
    ) -> Option<CallerReply> {
        let entry = self.choose_entry(rng)?;
        let snapshot = entry.read(|core| core.snapshot().cloned())?;
        let route = snapshot.route(&plan.stream.route)?;
        let spec = call_spec(route);
        let patience = spec.timeout + CALLER_PATIENCE;
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
                format!("{}-try{number}", plan.id)
            } else {
                plan.id.clone()
            },
            ..CallRequest::default()
        };
        timeout(patience, entry.call(spec, request)).await.ok()
    }

    /// A node that says it is ready, as a balancer in front of the callers would choose.
    fn choose_entry(&self, rng: &mut ChaCha8Rng) -> Option<NodeHandle> {
        let entries = self.entries.borrow();
        let ready: Vec<&NodeHandle> = entries
            .iter()
            .filter(|entry| entry.read(NodeCore::is_ready))
            .collect();
        ready.choose(rng).map(|entry| (*entry).clone())
    }

    fn second_of(&self, time: Instant) -> u64 {
        (time - self.started).as_secs()
    }

    fn note_sent(&self, plan: &CallPlan, started: Instant) {
        let mut tally = self.tally.borrow_mut();
        tally
            .seconds
            .entry(self.second_of(started))
            .or_default()
            .sent += 1;
        tally.stream(&plan.stream.name).sent += 1;
    }

    fn record_served(&self, plan: &CallPlan, started: Instant, whole: bool) {
        let mut tally = self.tally.borrow_mut();
        tally
            .seconds
            .entry(self.second_of(started))
            .or_default()
            .served += 1;
        let stream = tally.stream(&plan.stream.name);
        stream.record_served(started.elapsed());
        if !whole || self.log.count(&plan.id) == 0 {
            stream.wrong += 1;
        }
    }

    fn record_refused(&self, plan: &CallPlan, last: Option<CallerReply>, all_denied: bool) {
        let ran = self.log.count(&plan.id) > 0;
        let mut tally = self.tally.borrow_mut();
        let stream = tally.stream(&plan.stream.name);
        match last.map(|reply| reply.outcome) {
            Some(Err(kind)) => stream.record_refused(kind),
            _ => stream.unanswered += 1,
        }
        if all_denied && ran {
            stream.false_not_run += 1;
        }
    }
}
