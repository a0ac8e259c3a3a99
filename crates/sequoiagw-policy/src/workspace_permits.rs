//! Permits of one workspace at an entry, with the requests under way and the callers that wait.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::permit_uses::PermitUses;
use crate::PermitOutcome;
use crate::PermitTicket;
use crate::QuotaAnswer;

/// Time after the request was sent until which its permits may be used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(400);
/// Time after which a request counts as unanswered, and the next counter is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait of a caller: for the first counter, then for the next one.
const CALLER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait of a caller whose counter has run out of permits. Requests that come close together only have to be
/// spread out, above all without a burst.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(50);
/// Longest time for which a refusal holds for further requests without asking again.
const MAX_REFUSAL_MEMORY: Duration = Duration::from_millis(200);
/// Uses in 0.2 s from which on a workspace is busy, so that permits are requested in advance. With
/// fewer, most permits requested in advance would lapse unused.
const BUSY_USES: u32 = 4;

/// Permits from one request.
#[derive(Clone, Copy, Debug)]
struct PermitBatch {
    left: u32,
    lapses: Instant,
}

/// A caller that waits for a permit.
#[derive(Clone, Copy, Debug)]
struct WaitingCaller {
    ticket: PermitTicket,
    deadline: Instant,
    /// Until when it waits if its counter has run out of permits.
    refill_deadline: Instant,
}

/// A request for permits without an answer so far.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    request: u64,
    wanted: u32,
    sent: Instant,
    /// Whether the answer may still come in time for those who wait for it.
    awaited: bool,
}

/// A counter's statement that the quota is used up.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Until when the statement is used.
    held_until: Instant,
    /// When there are permits again.
    retry_at: Instant,
}

/// Permits, requests and waiting callers of one workspace.
#[derive(Clone, Debug)]
pub(crate) struct WorkspacePermits {
    batches: VecDeque<PermitBatch>,
    callers: VecDeque<WaitingCaller>,
    requests: Vec<OpenRequest>,
    refusal: Option<Refusal>,
    /// Time of the next request for the callers that wait for a refill.
    refill_at: Option<Instant>,
    /// Most permits to request in advance: a counter that runs out of permits may hold few at once.
    advance_limit: u32,
    uses: PermitUses,
    settled: Vec<(PermitTicket, PermitOutcome)>,
}

impl WorkspacePermits {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            batches: VecDeque::new(),
            callers: VecDeque::new(),
            requests: Vec::new(),
            refusal: None,
            refill_at: None,
            advance_limit: u32::MAX,
            uses: PermitUses::new(now),
            settled: Vec::new(),
        }
    }

    /// Uses a permit at hand; returns whether there was one. Callers that wait come first.
    pub(crate) fn use_permit(&mut self, now: Instant) -> bool {
        self.callers.is_empty() && self.pop_permit(now)
    }

    fn pop_permit(&mut self, now: Instant) -> bool {
        self.batches
            .retain(|batch| batch.left > 0 && now < batch.lapses);
        let Some(batch) = self.batches.front_mut() else {
            return false;
        };
        batch.left -= 1;
        self.uses.record(now);
        true
    }

    /// Time until there are permits again, if a counter has said a short time ago that there are none.
    pub(crate) fn remembered_refusal(&self, now: Instant) -> Option<Duration> {
        let refusal = self.refusal.filter(|refusal| now < refusal.held_until)?;
        Some(refusal.retry_at.saturating_duration_since(now))
    }

    pub(crate) fn add_caller(&mut self, ticket: PermitTicket, now: Instant) {
        self.callers.push_back(WaitingCaller {
            ticket,
            deadline: now + CALLER_TIMEOUT,
            refill_deadline: now + MAX_REFILL_WAIT,
        });
    }

    pub(crate) fn remove_caller(&mut self, ticket: PermitTicket) {
        self.callers.retain(|caller| caller.ticket != ticket);
    }

    pub(crate) fn add_request(&mut self, request: u64, wanted: u32, now: Instant) {
        self.requests.push(OpenRequest {
            request,
            wanted,
            sent: now,
            awaited: true,
        });
    }

    /// Number of permits to request now, `None` if no request is needed. Beside a request under way
    /// only callers that it doesn't cover are a reason for another one.
    pub(crate) fn needed_permits(&mut self, now: Instant) -> Option<u32> {
        if self.refill_at.is_some_and(|refill_at| now < refill_at) {
            return None;
        }
        self.refill_at = None;
        let awaited = self.requests.iter().filter(|request| request.awaited);
        let under_way: u32 = awaited.map(|request| request.wanted).sum();
        let waiting = u32::try_from(self.callers.len()).unwrap_or(u32::MAX);
        let forecast = self.uses.recent(now);
        let advance = forecast.min(self.advance_limit);
        if under_way > 0 {
            return (waiting > under_way).then(|| waiting - under_way);
        }
        if waiting > 0 {
            return Some(waiting.max(advance));
        }
        let is_low = forecast >= BUSY_USES && self.permits_left(now) < advance / 2;
        (is_low && self.remembered_refusal(now).is_none()).then_some(advance)
    }

    fn permits_left(&self, now: Instant) -> u32 {
        let usable = self.batches.iter().filter(|batch| now < batch.lapses);
        usable.map(|batch| batch.left).sum()
    }

    /// Handles the answer to a request: callers get permits in the order of their arrival. If the
    /// counter has none left, the others wait for a refill, or are refused if it comes too late.
    pub(crate) fn on_grant(&mut self, request: u64, answer: QuotaAnswer, now: Instant) {
        let position = self
            .requests
            .iter()
            .position(|open| open.request == request);
        let Some(open) = position.map(|position| self.requests.remove(position)) else {
            return;
        };
        let lapses = open.sent + PERMIT_LIFETIME;
        if now >= lapses {
            return;
        }
        if answer.granted > 0 {
            let left = answer.granted;
            self.batches.push_back(PermitBatch { left, lapses });
        }
        while !self.callers.is_empty() && self.pop_permit(now) {
            self.settle_first(PermitOutcome::Allowed);
        }
        if answer.granted >= open.wanted {
            self.refusal = None;
            if answer.granted >= self.advance_limit {
                self.advance_limit = self.advance_limit.saturating_mul(2);
            }
        } else if !answer.retry_after.is_zero() {
            self.advance_limit = answer.granted.max(1);
            self.await_refill(answer.retry_after, now);
        }
    }

    /// Lets callers wait until the counter has permits again, and refuses those for which that is too late.
    fn await_refill(&mut self, retry_after: Duration, now: Instant) {
        let retry_at = now + retry_after;
        let is_too_late = |caller: &WaitingCaller| caller.refill_deadline < retry_at;
        while self.callers.front().is_some_and(is_too_late) {
            self.settle_first(PermitOutcome::Refused { retry_after });
        }
        if retry_after <= MAX_REFILL_WAIT {
            self.refusal = None;
            self.refill_at = Some(retry_at);
        } else {
            self.refusal = Some(Refusal {
                held_until: now + retry_after.min(MAX_REFUSAL_MEMORY),
                retry_at,
            });
        }
    }

    fn settle_first(&mut self, outcome: PermitOutcome) {
        let caller = self.callers.pop_front();
        self.settled
            .extend(caller.map(|caller| (caller.ticket, outcome)));
    }

    /// Stops waiting for a request's answer; returns whether it was awaited. An answer that still
    /// comes is used.
    pub(crate) fn expire_request(&mut self, request: u64) -> bool {
        let mut requests = self.requests.iter_mut();
        let open = requests.find(|open| open.request == request);
        open.is_some_and(|open| std::mem::replace(&mut open.awaited, false))
    }

    /// Stops waiting for the requests that were sent too long ago, and returns their numbers.
    pub(crate) fn take_unanswered(&mut self, now: Instant) -> Vec<u64> {
        let requests = self.requests.iter_mut();
        let late = requests.filter(|open| open.awaited && now >= open.sent + ANSWER_TIMEOUT);
        late.map(|open| {
            open.awaited = false;
            open.request
        })
        .collect()
    }

    /// Removes the requests whose permits couldn't be used any more, and returns their numbers.
    pub(crate) fn take_lapsed_requests(&mut self, now: Instant) -> Vec<u64> {
        let is_lapsed = |open: &OpenRequest| now >= open.sent + PERMIT_LIFETIME;
        let lapsed = self.requests.iter().filter(|open| is_lapsed(open));
        let lapsed = lapsed.map(|open| open.request).collect();
        self.requests.retain(|open| !is_lapsed(open));
        lapsed
    }

    /// Settles the callers that have waited for too long.
    pub(crate) fn expire_callers(&mut self, now: Instant) {
        while self
            .callers
            .front()
            .is_some_and(|caller| now >= caller.deadline)
        {
            self.settle_first(PermitOutcome::Unavailable);
        }
    }

    /// Returns the outcomes of the callers that wait no longer.
    pub(crate) fn take_settled(&mut self) -> Vec<(PermitTicket, PermitOutcome)> {
        std::mem::take(&mut self.settled)
    }

    /// Next time at which a wait ends.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let requests = self.requests.iter().map(|open| {
            let wait = if open.awaited {
                ANSWER_TIMEOUT
            } else {
                PERMIT_LIFETIME
            };
            open.sent + wait
        });
        let caller = self.callers.front().map(|caller| caller.deadline);
        let refill = self.refill_at.filter(|_| !self.callers.is_empty());
        requests.chain(caller).chain(refill).min()
    }

    /// Whether nothing of this state matters any more.
    pub(crate) fn is_idle(&mut self, now: Instant) -> bool {
        self.callers.is_empty()
            && self.requests.is_empty()
            && self.permits_left(now) == 0
            && self.remembered_refusal(now).is_none()
            && self.uses.recent(now) == 0
    }
}
