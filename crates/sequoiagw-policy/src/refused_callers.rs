//! Callers that were refused, recognised by their deadline when they return.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Difference between the deadlines of a caller's attempts that is due to rounding and the network.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(4);
/// Shortest time after a refusal at which its caller returns as it was asked to.
const MIN_RETURN_TIME: Duration = Duration::from_millis(50);
/// Refused callers that are remembered for each route.
const MAX_REFUSED_CALLERS: usize = 1024;

/// An attempt of a caller, with the time left until its deadline.
#[derive(Clone, Copy, Debug)]
pub struct CallerAttempt {
    /// Arrival of this attempt.
    pub arrival: Instant,
    /// Time left at the arrival, as the caller states it.
    pub time_left: Duration,
    /// Arrival of the caller's first attempt.
    pub first_arrival: Instant,
}

/// A caller that was refused.
#[derive(Clone, Copy, Debug)]
struct RefusedCaller {
    first_arrival: Instant,
    refused_at: Instant,
}

/// Refused callers by route and deadline.
///
/// What a caller states as the time left is counted from its first attempt, so its deadline stays
/// the same when it returns. Serves overloads in which callers return: an answer to one of them
/// often comes too late for its latency target, and takes the slot of a call that can still be
/// answered in time.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    routes: HashMap<String, BTreeMap<(Instant, u64), RefusedCaller>>,
    recorded: u64,
}

impl RefusedCallers {
    /// Records the refusal of a caller.
    pub fn record(&mut self, route: &str, attempt: CallerAttempt, now: Instant) {
        let Some(deadline) = attempt.arrival.checked_add(attempt.time_left) else {
            // No caller waits that long, so its deadline tells nothing.
            return;
        };
        self.recorded += 1;
        let callers = self.routes.entry(route.to_owned()).or_default();
        *callers = callers.split_off(&(now, 0));
        if callers.len() >= MAX_REFUSED_CALLERS {
            callers.pop_first();
        }
        let caller = RefusedCaller {
            first_arrival: attempt.first_arrival,
            refused_at: now,
        };
        callers.insert((deadline, self.recorded), caller);
    }

    /// Removes the refused caller whose deadline is that of an attempt that arrives now, and returns
    /// the time since its first attempt; zero if there is none, that is for a first attempt.
    pub fn take_waited(&mut self, route: &str, time_left: Duration, now: Instant) -> Duration {
        let latest = now
            .checked_add(time_left)
            .and_then(|deadline| deadline.checked_add(DEADLINE_TOLERANCE));
        let (Some(callers), Some(latest)) = (self.routes.get_mut(route), latest) else {
            return Duration::ZERO;
        };
        let earliest = latest.checked_sub(DEADLINE_TOLERANCE * 2).unwrap_or(now);
        let found = callers
            .range((earliest, 0)..(latest, 0))
            .find(|(_, caller)| now >= caller.refused_at + MIN_RETURN_TIME)
            .map(|(key, _)| *key);
        let caller = found.and_then(|key| callers.remove(&key));
        caller.map_or(Duration::ZERO, |caller| {
            now.saturating_duration_since(caller.first_arrival)
        })
    }
}
