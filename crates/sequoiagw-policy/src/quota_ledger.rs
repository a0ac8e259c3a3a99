//! Counter's side of quotas: token buckets from which permits are granted.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::QuotaLimit;

/// Part of a workspace's burst that a bucket holds, or of the tolerance if that is larger. The rest
/// of the bound covers what a previous counter granted and what entries hold. With the burst alone,
/// 6% of the requests of a workspace with 3 requests/s and a quota of 4.8/s were refused.
const CAPACITY_SHARE: f64 = 0.4;
/// Smallest capacity of a bucket, so that a workspace gets permits without burst and tolerance.
const MIN_CAPACITY: f64 = 1.0;
/// Time after its start for which a bucket refills slowly, since a previous counter may still grant.
const START_PHASE: Duration = Duration::from_secs(2);
/// Part of the rate at which a bucket refills in its start phase.
const START_SHARE: f64 = 0.5;
/// Part of the rate at which a bucket refills after its start phase while the node that other
/// entries ask is known to be running. In 5 s it adds half a second's rate to the sum.
const STANDBY_SHARE: f64 = 0.1;
/// Time without a request after which the bucket of a substitute starts anew. Without this, two cuts
/// shortly after each other broke the bound.
const SUBSTITUTE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Tokens that such a bucket keeps.
const KEPT_TOKENS: f64 = 2.0;
/// Time without a request after which a bucket is removed.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Interval at which idle buckets are looked for.
const CLEAN_INTERVAL: Duration = Duration::from_secs(10);
/// Longest part of a retry delay that is due to refused requests of other entries.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(1);
/// Shortest retry delay without permits, so that it isn't rounded to zero, which means that there are
/// some.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Retry delay at a counter that may grant nothing: it may be in touch with others again then.
const NO_PART_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Part of the rate that a counter may grant without knowing which part of the fleet it reaches: with it, the
/// counters of other parts stay within the overrun that each quota allows.
const UNWATCHED_SHARE: f64 = 0.1;
/// Permits per second that it may grant beyond that, within the tolerance.
const UNWATCHED_PER_S: f64 = 2.0;
/// Time over which a bucket's use is counted.
const USE_WINDOW: Duration = Duration::from_secs(1);
/// Tolerance of comparisons with whole tokens; sums of refills are rounded.
const TOKEN_ROUNDING: f64 = 1e-9;

/// What a counter knows about its part in the fleet when it grants permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterMandate {
    /// Part of a workspace's rate that this counter may grant, from 0 to 1.
    pub share: f64,
    /// Whether this node is the workspace's first counter.
    pub standing: CounterStanding,
}

/// Whether a node is the first counter of a workspace, as far as it knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CounterStanding {
    /// It is the first one.
    First {
        /// Time from which on it has been so.
        since: Instant,
    },
    /// Another node comes before it, which the entry that asks can't reach.
    Substitute {
        /// Whether that node is known to be running, so that it may be granting to others.
        first_is_running: bool,
    },
}

/// Answer to a request for permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaAnswer {
    /// Number of permits.
    pub granted: u32,
    /// Time until there are permits again, zero if there are any now.
    pub retry_after: Duration,
}

/// Tokens of a workspace.
#[derive(Clone, Copy, Debug)]
struct QuotaBucket {
    tokens: f64,
    /// Most tokens that it may hold, as of the latest refill.
    capacity: f64,
    /// Permits that were requested and not granted, and for which the callers return later.
    backlog: f64,
    /// Permits granted in the present use window, and in the one before.
    used: u32,
    used_before: u32,
    window_started: Instant,
    started: Instant,
    updated: Instant,
}

/// Token buckets of the workspaces that a node counts, created with their first requests.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    buckets: HashMap<String, QuotaBucket>,
    /// Requests that a window may have beyond each quota.
    tolerance: f64,
    /// Earliest start of a bucket.
    valid_since: Instant,
    cleaned: Instant,
}

impl QuotaLedger {
    /// Creates a ledger of a process that starts now. A window may have `tolerance` requests beyond
    /// each quota.
    pub fn new(tolerance: f64, now: Instant) -> Self {
        Self {
            buckets: HashMap::new(),
            tolerance,
            valid_since: now,
            cleaned: now,
        }
    }

    /// Grants up to `wanted` permits of a workspace.
    pub fn grant(
        &mut self,
        workspace: &str,
        limit: QuotaLimit,
        wanted: u32,
        mandate: CounterMandate,
        now: Instant,
    ) -> QuotaAnswer {
        self.remove_idle(now);
        // The buckets of all parts of a divided fleet hold what one holds otherwise.
        let capacity = (self.capacity(limit) * mandate.share).max(MIN_CAPACITY);
        if !self.buckets.contains_key(workspace) {
            let started = match mandate.standing {
                CounterStanding::First { since } => since.max(self.valid_since).min(now),
                CounterStanding::Substitute { .. } => now,
            };
            let bucket = QuotaBucket::new(started);
            self.buckets.insert(workspace.to_owned(), bucket);
        }
        self.buckets
            .get_mut(workspace)
            .map_or(QuotaAnswer::NONE, |bucket| {
                if matches!(mandate.standing, CounterStanding::Substitute { .. }) {
                    bucket.restart_if_idle(capacity, now);
                }
                bucket.refill(limit, mandate, capacity, now);
                let answer = bucket.take(wanted, bucket.refill_rate(limit, mandate, now));
                bucket.record_use(answer.granted, now);
                answer
            })
    }

    fn capacity(&self, limit: QuotaLimit) -> f64 {
        (CAPACITY_SHARE * limit.burst.max(self.tolerance)).max(MIN_CAPACITY)
    }

    /// Whether a workspace's bucket was less than half full after the latest grant, so that grants depend on
    /// the part of the rate that this counter has.
    pub fn is_short(&self, workspace: &str) -> bool {
        let bucket = self.buckets.get(workspace);
        bucket.is_some_and(|bucket| bucket.tokens < bucket.capacity / 2.0)
    }

    /// Whether so many permits of a workspace were granted in the last second that the counters of other parts of
    /// the fleet, if there are any, could go over the quota together with this one.
    pub fn is_in_much_use(&self, workspace: &str, limit: QuotaLimit) -> bool {
        let unwatched = UNWATCHED_SHARE * limit.rate_per_s + UNWATCHED_PER_S;
        let bucket = self.buckets.get(workspace);
        bucket.is_some_and(|bucket| f64::from(bucket.used.max(bucket.used_before)) > unwatched)
    }

    /// Starts all buckets anew after the process was paused: another node has counted meanwhile.
    pub fn reset(&mut self, now: Instant) {
        self.buckets.clear();
        self.valid_since = now;
    }

    /// Number of workspaces with a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no workspace has a bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn remove_idle(&mut self, now: Instant) {
        if now < self.cleaned + CLEAN_INTERVAL {
            return;
        }
        self.cleaned = now;
        self.buckets
            .retain(|_, bucket| now < bucket.updated + IDLE_RETENTION);
    }
}

impl QuotaAnswer {
    const NONE: Self = Self {
        granted: 0,
        retry_after: MAX_RETRY_DELAY,
    };
}

impl QuotaBucket {
    fn new(started: Instant) -> Self {
        Self {
            tokens: 0.0,
            capacity: 0.0,
            backlog: 0.0,
            used: 0,
            used_before: 0,
            window_started: started,
            started,
            updated: started,
        }
    }

    /// Begins a new start phase if the bucket wasn't used for some time, since the first counter has
    /// probably granted meanwhile. A few tokens stay for workspaces with rare requests.
    fn restart_if_idle(&mut self, capacity: f64, now: Instant) {
        if now > self.updated + SUBSTITUTE_IDLE_TIME {
            self.tokens = self.tokens.min(capacity).min(KEPT_TOKENS);
            self.started = now;
            self.updated = now;
        }
    }

    fn refill(&mut self, limit: QuotaLimit, mandate: CounterMandate, capacity: f64, now: Instant) {
        let start_end = (self.started + START_PHASE).clamp(self.updated, now.max(self.updated));
        let in_start = start_end.saturating_duration_since(self.updated);
        let after_start = now.saturating_duration_since(start_end);
        let later_share = later_share(mandate);
        let full_rate_time =
            START_SHARE * in_start.as_secs_f64() + later_share * after_start.as_secs_f64();
        let refilled = limit.rate_per_s * mandate.share * full_rate_time;
        self.tokens = (self.tokens + refilled).min(capacity);
        self.capacity = capacity;
        self.backlog = (self.backlog - refilled).max(0.0);
        self.updated = now.max(self.updated);
    }

    fn record_use(&mut self, granted: u32, now: Instant) {
        if now >= self.window_started + USE_WINDOW {
            let is_next = now < self.window_started + 2 * USE_WINDOW;
            self.used_before = if is_next { self.used } else { 0 };
            self.used = 0;
            self.window_started = now;
        }
        self.used = self.used.saturating_add(granted);
    }

    /// Tokens per second that the bucket gets now.
    fn refill_rate(&self, limit: QuotaLimit, mandate: CounterMandate, now: Instant) -> f64 {
        let phase_share = if now < self.started + START_PHASE {
            START_SHARE
        } else {
            later_share(mandate)
        };
        limit.rate_per_s * mandate.share * phase_share
    }

    fn take(&mut self, wanted: u32, refill_rate: f64) -> QuotaAnswer {
        let available = (self.tokens + TOKEN_ROUNDING).floor().max(0.0);
        let granted = available.min(f64::from(wanted));
        self.tokens -= granted;
        let retry_after = if self.tokens + TOKEN_ROUNDING >= 1.0 {
            Duration::ZERO
        } else if refill_rate <= 0.0 {
            NO_PART_RETRY_DELAY
        } else {
            let own_wait = (1.0 - self.tokens) / refill_rate;
            let backlog_wait = self.backlog / refill_rate;
            let wait = own_wait + backlog_wait.min(MAX_BACKLOG_TIME.as_secs_f64());
            Duration::try_from_secs_f64(wait).map_or(MAX_RETRY_DELAY, |wait| {
                wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
            })
        };
        let max_backlog = refill_rate * MAX_BACKLOG_TIME.as_secs_f64();
        self.backlog = (self.backlog + f64::from(wanted) - granted).min(max_backlog);
        QuotaAnswer {
            granted: granted as u32,
            retry_after,
        }
    }
}

/// Part of the rate at which a bucket refills after its start phase.
const fn later_share(mandate: CounterMandate) -> f64 {
    match mandate.standing {
        CounterStanding::Substitute {
            first_is_running: true,
        } => STANDBY_SHARE,
        CounterStanding::Substitute { .. } | CounterStanding::First { .. } => 1.0,
    }
}
