//! Queue of a target: by rank, with fair queueing within a rank and the earliest due time
//! first within a flow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::CallId;

/// Flow that takes no turns: its calls are ordered by their due times among those of the other
/// flows.
pub(crate) const SHARED_FLOW: u64 = 0;
/// Maximum debt of a level, in calls.
const MAX_DEBT: f64 = 1.0;

/// A queued call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedCall {
    /// Id of the call.
    pub id: CallId,
    /// Rank level.
    pub level: RankLevel,
    /// Flow for fair queueing within the level; 0 is a shared flow that takes no turns.
    pub flow: u64,
    /// Due time, which orders the calls of a flow.
    pub due: Instant,
    /// Time at which the call expires if it is still queued.
    pub deadline: Instant,
}

/// Result of [`RankQueue::push`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The call was added.
    Accepted,
    /// The call was added and this other call was removed to make room.
    Evicted(CallId),
    /// The queue is full and has no call that this one may evict.
    Full,
}

/// Calls of one level, by flow.
#[derive(Debug, Default)]
struct LevelQueue {
    /// Calls of each flow, by due time and arrival number.
    flows: HashMap<u64, BTreeMap<(Instant, u64), CallId>>,
    /// Flows with queued calls, in round-robin order, without the shared one.
    flow_order: VecDeque<u64>,
    length: usize,
}

impl LevelQueue {
    fn insert(&mut self, flow: u64, position: (Instant, u64), id: CallId) {
        let calls = self.flows.entry(flow).or_default();
        if calls.is_empty() && flow != SHARED_FLOW {
            self.flow_order.push_back(flow);
        }
        calls.insert(position, id);
        self.length += 1;
    }

    /// Removes and returns the earliest due call of the shared flow, or of the next flow in
    /// round-robin order if that one is due earlier. Every call that is served before one of the
    /// shared flow is thus due earlier than it, as if due times ordered all calls.
    fn pop(&mut self) -> Option<CallId> {
        let shared = self.earliest_due(SHARED_FLOW);
        let next = self.flow_order.front().copied();
        let next_due = next.and_then(|flow| self.earliest_due(flow));
        let flow = match (shared, next) {
            (Some(shared), Some(next)) if next_due.is_some_and(|due| due < shared) => next,
            (Some(_), _) => SHARED_FLOW,
            (None, next) => next?,
        };
        if flow != SHARED_FLOW {
            self.flow_order.pop_front();
        }
        let calls = self.flows.get_mut(&flow)?;
        let (_, id) = calls.pop_first()?;
        self.length -= 1;
        if calls.is_empty() {
            self.flows.remove(&flow);
        } else if flow != SHARED_FLOW {
            self.flow_order.push_back(flow);
        }
        Some(id)
    }

    /// Due time and arrival number of the earliest due call of a flow.
    fn earliest_due(&self, flow: u64) -> Option<(Instant, u64)> {
        let (position, _) = self.flows.get(&flow)?.first_key_value()?;
        Some(*position)
    }

    /// Number of calls that are served before a new call of this flow: while its earlier calls
    /// have their turns, each other flow has at most one turn more, and any number of calls of the
    /// shared flow may be due earlier. A call of the shared flow waits for the others of that flow
    /// and for those that are due earlier.
    fn queued_ahead(&self, flow: u64, due: Instant) -> usize {
        let turns = self.flow_length(flow) + 1;
        let due_earlier =
            |calls: &BTreeMap<(Instant, u64), CallId>| calls.range(..(due, u64::MAX)).count();
        let ahead = self.flows.iter().map(|(other, calls)| match *other {
            _ if *other == flow => calls.len(),
            _ if flow == SHARED_FLOW => due_earlier(calls),
            SHARED_FLOW => calls.len(),
            _ => calls.len().min(turns),
        });
        ahead.sum()
    }

    fn remove(&mut self, flow: u64, position: (Instant, u64)) {
        let Some(calls) = self.flows.get_mut(&flow) else {
            return;
        };
        if calls.remove(&position).is_none() {
            return;
        }
        self.length -= 1;
        if calls.is_empty() {
            self.flows.remove(&flow);
            self.flow_order.retain(|other| *other != flow);
        }
    }

    /// Newest call of the longest flow, with that flow's length. The shared flow counts only without
    /// other ones, so that it loses no calls to them.
    fn newest_of_longest_flow(&self) -> Option<(CallId, usize)> {
        let (_, calls) = self
            .flows
            .iter()
            .max_by_key(|(flow, calls)| (**flow != SHARED_FLOW, calls.len(), **flow))?;
        let ((_, _), id) = calls.iter().max_by_key(|((_, arrival), _)| *arrival)?;
        Some((*id, calls.len()))
    }

    fn flow_length(&self, flow: u64) -> usize {
        self.flows.get(&flow).map_or(0, BTreeMap::len)
    }
}

/// Bounded queue of a target: strict priority by level, with a guaranteed share for each level.
///
/// Each pop takes a call of the most urgent level that has one, unless a less urgent level has
/// accumulated a whole credit. With each pop, every level with queued calls gains its share of one
/// credit, and the level that is served spends one credit. A level with nothing queued loses its
/// credit, and a level that is served without credit goes into debt, so that it takes nothing from
/// more urgent levels.
#[derive(Debug)]
pub struct RankQueue {
    levels: [LevelQueue; RankLevel::COUNT],
    shares: [f64; RankLevel::COUNT],
    credits: [f64; RankLevel::COUNT],
    limit: usize,
    arrivals: u64,
    /// All queued calls with their arrival numbers.
    calls: HashMap<CallId, (QueuedCall, u64)>,
    deadlines: BTreeSet<(Instant, CallId)>,
}

impl RankQueue {
    /// Creates an empty queue for at most `limit` calls.
    pub fn new(limit: usize, shares: [f64; RankLevel::COUNT]) -> Self {
        Self {
            levels: Default::default(),
            shares,
            credits: [0.0; RankLevel::COUNT],
            limit,
            arrivals: 0,
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Changes the limit and the shares. Calls above the new limit stay queued.
    pub fn reconfigure(&mut self, limit: usize, shares: [f64; RankLevel::COUNT]) {
        self.limit = limit;
        self.shares = shares;
    }

    /// Number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether the queue has no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call of this level is queued.
    pub fn has_queued_at(&self, level: RankLevel) -> bool {
        self.levels[level.index()].length > 0
    }

    /// Number of queued calls of this level and the more urgent ones.
    pub fn queued_up_to(&self, level: RankLevel) -> usize {
        self.levels[..=level.index()]
            .iter()
            .map(|queue| queue.length)
            .sum()
    }

    /// Number of queued calls that are served before a new call of this level, flow and due time.
    pub fn queued_ahead(&self, level: RankLevel, flow: u64, due: Instant) -> usize {
        let more_urgent = self.levels[..level.index()].iter();
        let more_urgent: usize = more_urgent.map(|queue| queue.length).sum();
        more_urgent + self.levels[level.index()].queued_ahead(flow, due)
    }

    /// Number of queued calls of a flow.
    pub fn queued_in_flow(&self, level: RankLevel, flow: u64) -> usize {
        self.levels[level.index()].flow_length(flow)
    }

    /// Earliest deadline of all queued calls.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Number of levels, from the most urgent on, whose calls are still accepted.
    pub fn open_levels(&self) -> u32 {
        if self.len() < self.limit {
            return RankLevel::COUNT as u32;
        }
        let evictable = self.evictable_level();
        evictable.map_or(0, |level| u32::from(level.get()))
    }

    /// Adds a call. In a full queue it may evict the newest call in the longest flow of the least
    /// urgent level that exceeds its guaranteed room.
    pub fn push(&mut self, call: QueuedCall) -> PushOutcome {
        if self.len() < self.limit {
            self.insert(call);
            return PushOutcome::Accepted;
        }
        let Some(victim) = self.victim_for(&call) else {
            return PushOutcome::Full;
        };
        self.remove(victim);
        self.insert(call);
        PushOutcome::Evicted(victim)
    }

    /// Removes and returns the next call of the levels up to `least_urgent`.
    pub fn pop(&mut self, least_urgent: RankLevel) -> Option<CallId> {
        let level = self.next_level(least_urgent)?;
        let id = self.levels[level].pop()?;
        self.unindex(id);
        Some(id)
    }

    /// Removes a call and returns whether it was queued.
    pub fn remove(&mut self, id: CallId) -> bool {
        let Some((call, arrival)) = self.unindex(id) else {
            return false;
        };
        self.levels[call.level.index()].remove(call.flow, (call.due, arrival));
        true
    }

    /// Removes and returns the calls whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<CallId> {
        let mut expired = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.remove(id);
            expired.push(id);
        }
        expired
    }

    /// Ids of the queued calls, sorted.
    pub fn call_ids(&self) -> Vec<CallId> {
        let mut ids: Vec<CallId> = self.calls.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    fn insert(&mut self, call: QueuedCall) {
        self.arrivals += 1;
        let position = (call.due, self.arrivals);
        self.levels[call.level.index()].insert(call.flow, position, call.id);
        self.deadlines.insert((call.deadline, call.id));
        self.calls.insert(call.id, (call, self.arrivals));
    }

    /// Removes a call from the indexes by id and deadline, but not from its level.
    fn unindex(&mut self, id: CallId) -> Option<(QueuedCall, u64)> {
        let (call, arrival) = self.calls.remove(&id)?;
        self.deadlines.remove(&(call.deadline, id));
        Some((call, arrival))
    }

    /// Number of calls of a level that calls of other levels can't evict from a full queue, so
    /// that an overload of another level can't take its share.
    fn guaranteed_room(&self, level: usize) -> usize {
        (self.shares[level] * self.limit as f64).ceil() as usize
    }

    /// The least urgent level that has more calls than its guaranteed room.
    fn evictable_level(&self) -> Option<RankLevel> {
        let levels = (0..RankLevel::COUNT).rev();
        let mut oversized_levels =
            levels.filter(|level| self.levels[*level].length > self.guaranteed_room(*level));
        oversized_levels
            .next()
            .map(|level| RankLevel::new(level as u8))
    }

    /// The call that is evicted to make room for `call`, if any.
    fn victim_for(&self, call: &QueuedCall) -> Option<CallId> {
        let own_level = call.level.index();
        let within_room = self.levels[own_level].length < self.guaranteed_room(own_level);
        let level = self.evictable_level()?;
        let (victim, longest_flow) = self.levels[level.index()].newest_of_longest_flow()?;
        if level > call.level || (within_room && level != call.level) {
            return Some(victim);
        }
        // Within its own level a call evicts only from a flow that is still at least as long
        // afterwards as the call's own flow.
        let flow_is_shorter = longest_flow > self.levels[own_level].flow_length(call.flow) + 1;
        (level == call.level && flow_is_shorter).then_some(victim)
    }

    /// Selects the level to serve and updates the credits of the levels.
    fn next_level(&mut self, least_urgent: RankLevel) -> Option<usize> {
        let least_urgent = least_urgent.index();
        let most_urgent = (0..=least_urgent).find(|level| self.levels[*level].length > 0)?;
        let mut chosen = most_urgent;
        for level in most_urgent..RankLevel::COUNT {
            if self.levels[level].length == 0 {
                self.credits[level] = self.credits[level].min(0.0);
                continue;
            }
            self.credits[level] += self.shares[level];
            let required = if chosen == most_urgent {
                1.0
            } else {
                self.credits[chosen]
            };
            if level != most_urgent && level <= least_urgent && self.credits[level] >= required {
                chosen = level;
            }
        }
        self.credits[chosen] = (self.credits[chosen] - 1.0).max(-MAX_DEBT);
        Some(chosen)
    }
}
