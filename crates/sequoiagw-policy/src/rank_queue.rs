//! Queue of a target: by rank, fair within a rank, earliest due time within a flow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::CallId;

/// Calls that a level may owe at most.
const DEBT_LIMIT: f64 = 1.0;

/// A call that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedCall {
    /// Identity.
    pub id: CallId,
    /// Rank level.
    pub level: RankLevel,
    /// Flow for fairness: calls of one kind from one caller.
    pub flow: u64,
    /// Time by which it orders itself within its flow.
    pub due: Instant,
    /// Deadline.
    pub deadline: Instant,
}

/// What became of a push.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// It waits.
    Accepted,
    /// It waits, and this other call had to go.
    Evicted(CallId),
    /// The queue is full of work that goes first.
    Full,
}

/// Calls of one level, by flow.
#[derive(Debug, Default)]
struct LevelQueue {
    /// Calls of each flow, by due time and arrival.
    flows: HashMap<u64, BTreeMap<(Instant, u64), CallId>>,
    /// Flows with calls, in the order of their turns.
    turns: VecDeque<u64>,
    length: usize,
}

impl LevelQueue {
    fn insert(&mut self, flow: u64, place: (Instant, u64), id: CallId) {
        let calls = self.flows.entry(flow).or_default();
        if calls.is_empty() {
            self.turns.push_back(flow);
        }
        calls.insert(place, id);
        self.length += 1;
    }

    /// Takes the earliest due call of the flow whose turn it is.
    fn take_next(&mut self) -> Option<CallId> {
        let flow = self.turns.pop_front()?;
        let calls = self.flows.get_mut(&flow)?;
        let (_, id) = calls.pop_first()?;
        self.length -= 1;
        if calls.is_empty() {
            self.flows.remove(&flow);
        } else {
            self.turns.push_back(flow);
        }
        Some(id)
    }

    fn remove(&mut self, flow: u64, place: (Instant, u64)) {
        let Some(calls) = self.flows.get_mut(&flow) else {
            return;
        };
        if calls.remove(&place).is_none() {
            return;
        }
        self.length -= 1;
        if calls.is_empty() {
            self.flows.remove(&flow);
            self.turns.retain(|turn| *turn != flow);
        }
    }

    /// Newest call of the longest flow, with that flow's length.
    fn newest_of_longest(&self) -> Option<(CallId, usize)> {
        let (_, calls) = self
            .flows
            .iter()
            .max_by_key(|(flow, calls)| (calls.len(), **flow))?;
        let ((_, _), id) = calls.iter().max_by_key(|((_, arrival), _)| *arrival)?;
        Some((*id, calls.len()))
    }

    fn flow_length(&self, flow: u64) -> usize {
        self.flows.get(&flow).map_or(0, BTreeMap::len)
    }
}

/// Bounded queue of a target.
///
/// The most urgent level that waits goes first, but for the shares: with each call taken,
/// every waiting level earns its share of one call and pays one when it is served, and
/// goes first when it has earned a whole one. A level that has nothing waiting earns
/// nothing, and one that is served anyway owes, so that it takes nothing from the urgent.
#[derive(Debug)]
pub struct RankQueue {
    levels: [LevelQueue; RankLevel::COUNT],
    shares: [f64; RankLevel::COUNT],
    earned: [f64; RankLevel::COUNT],
    limit: usize,
    arrivals: u64,
    places: HashMap<CallId, (QueuedCall, u64)>,
    deadlines: BTreeSet<(Instant, CallId)>,
}

impl RankQueue {
    /// Builds an empty queue for at most `limit` calls.
    pub fn new(limit: usize, shares: [f64; RankLevel::COUNT]) -> Self {
        Self {
            levels: Default::default(),
            shares,
            earned: [0.0; RankLevel::COUNT],
            limit,
            arrivals: 0,
            places: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Takes new bounds and shares; calls over the new bound stay.
    pub fn reconfigure(&mut self, limit: usize, shares: [f64; RankLevel::COUNT]) {
        self.limit = limit;
        self.shares = shares;
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a call of this level waits.
    pub fn has_queued_at(&self, level: RankLevel) -> bool {
        self.levels[level.index()].length > 0
    }

    /// Number of calls that wait at this level and the more urgent ones.
    pub fn queued_up_to(&self, level: RankLevel) -> usize {
        self.levels[..=level.index()]
            .iter()
            .map(|queue| queue.length)
            .sum()
    }

    /// Earliest deadline of all that wait.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Number of levels, from the most urgent on, that still find room.
    pub fn open_levels(&self) -> u32 {
        if self.len() < self.limit {
            return RankLevel::COUNT as u32;
        }
        let least = self.evictable_level();
        least.map_or(0, |level| u32::from(level.get()))
    }

    /// Adds a call, if need be at the expense of the least urgent, newest one.
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

    /// Takes the next call among the levels up to `least_urgent`.
    pub fn pop(&mut self, least_urgent: RankLevel) -> Option<CallId> {
        let level = self.next_level(least_urgent)?;
        let id = self.levels[level].take_next()?;
        self.forget(id);
        Some(id)
    }

    /// Removes a call; tells whether it was waiting.
    pub fn remove(&mut self, id: CallId) -> bool {
        let Some((call, arrival)) = self.forget(id) else {
            return false;
        };
        self.levels[call.level.index()].remove(call.flow, (call.due, arrival));
        true
    }

    /// Removes and returns the calls whose deadline has come.
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

    /// Calls that wait, by identity.
    pub fn call_ids(&self) -> Vec<CallId> {
        let mut waiting: Vec<CallId> = self.places.keys().copied().collect();
        waiting.sort_unstable();
        waiting
    }

    fn insert(&mut self, call: QueuedCall) {
        self.arrivals += 1;
        let place = (call.due, self.arrivals);
        self.levels[call.level.index()].insert(call.flow, place, call.id);
        self.deadlines.insert((call.deadline, call.id));
        self.places.insert(call.id, (call, self.arrivals));
    }

    fn forget(&mut self, id: CallId) -> Option<(QueuedCall, u64)> {
        let (call, arrival) = self.places.remove(&id)?;
        self.deadlines.remove(&(call.deadline, id));
        Some((call, arrival))
    }

    /// Room that a level keeps in a full queue, so that a flood can't wipe out its share.
    fn kept_room(&self, level: usize) -> usize {
        (self.shares[level] * self.limit as f64).ceil() as usize
    }

    /// The least urgent level that takes more than its kept room.
    fn evictable_level(&self) -> Option<RankLevel> {
        let levels = (0..RankLevel::COUNT).rev();
        let mut over = levels.filter(|level| self.levels[*level].length > self.kept_room(*level));
        over.next().map(|level| RankLevel::new(level as u8))
    }

    fn victim_for(&self, call: &QueuedCall) -> Option<CallId> {
        let own = call.level.index();
        let within_room = self.levels[own].length < self.kept_room(own);
        let level = self.evictable_level()?;
        let (victim, longest) = self.levels[level.index()].newest_of_longest()?;
        if level > call.level || (within_room && level != call.level) {
            return Some(victim);
        }
        // Within its own level a call pushes out only a flow that takes more than its own.
        let fairer = longest > self.levels[own].flow_length(call.flow) + 1;
        (level == call.level && fairer).then_some(victim)
    }

    /// Chooses the level to serve and keeps the accounts of all that wait.
    fn next_level(&mut self, least_urgent: RankLevel) -> Option<usize> {
        let most = least_urgent.index();
        let urgent = (0..=most).find(|level| self.levels[*level].length > 0)?;
        let mut chosen = urgent;
        for level in urgent..RankLevel::COUNT {
            if self.levels[level].length == 0 {
                self.earned[level] = self.earned[level].min(0.0);
                continue;
            }
            self.earned[level] += self.shares[level];
            let best = if chosen == urgent {
                1.0
            } else {
                self.earned[chosen]
            };
            if level != urgent && level <= most && self.earned[level] >= best {
                chosen = level;
            }
        }
        self.earned[chosen] = (self.earned[chosen] - 1.0).max(-DEBT_LIMIT);
        Some(chosen)
    }
}
