//! The deadline that most callers of a route state, by which callers that return are recognised.

use std::collections::HashMap;
use std::time::Duration;

/// Largest count of a route's usual deadline, which many other deadlines in a row have to undo.
const MAX_COUNT: u32 = 64;
/// A caller that returns has less than this part of the usual deadline left.
const MAX_LEFT_FRACTION: f64 = 0.98;
/// A caller that waited as it was asked to has more than this part of the usual deadline left.
/// Calls with less are of another kind, such as those that a run makes near its own deadline.
const MIN_LEFT_FRACTION: f64 = 0.55;

/// The most frequent deadline of one route, by majority vote.
#[derive(Clone, Copy, Debug, Default)]
struct DeadlineVote {
    usual: Duration,
    count: u32,
}

/// The usual deadline of each route.
///
/// A caller that was refused states what is left of its deadline when it returns. Serves overloads
/// in which callers return: an answer to one of them often comes too late for its latency target,
/// and takes the slot of a call that can still be answered in time.
#[derive(Clone, Debug, Default)]
pub struct UsualDeadlines {
    routes: HashMap<String, DeadlineVote>,
}

impl UsualDeadlines {
    /// Records a caller's deadline and returns the time for which the caller has waited before
    /// this attempt, zero for a first attempt.
    pub fn record(&mut self, route: &str, deadline: Duration) -> Duration {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), DeadlineVote::default());
        }
        let Some(vote) = self.routes.get_mut(route) else {
            return Duration::ZERO;
        };
        vote.add(deadline);
        let left = deadline.as_secs_f64() / vote.usual.as_secs_f64();
        if (MIN_LEFT_FRACTION..MAX_LEFT_FRACTION).contains(&left) {
            vote.usual.saturating_sub(deadline)
        } else {
            Duration::ZERO
        }
    }
}

impl DeadlineVote {
    fn add(&mut self, deadline: Duration) {
        if deadline == self.usual {
            self.count = (self.count + 1).min(MAX_COUNT);
        } else if self.count == 0 {
            self.usual = deadline;
            self.count = 1;
        } else {
            self.count -= 1;
        }
    }
}
