//! State of the backend server next to this node, from its heartbeats and leave notices.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::current_incarnation::CandidateIncarnation;
use crate::current_incarnation::CurrentIncarnation;
use crate::heartbeat_evidence::HeartbeatEvidence;
use crate::node_registration::MAX_BACKEND_SLOTS;
use crate::DepartureList;
use crate::Heartbeat;
use crate::TargetIncarnation;

/// Incarnations that are remembered as replaced by another one.
const MAX_REPLACED: usize = 8;

/// How a heartbeat was handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one of the current incarnation.
    Accepted,
    /// The heartbeat is older than one already received from this or a later incarnation.
    Stale,
    /// The heartbeat names another service or address than this node's backend server, no slots, or
    /// more than any backend server has.
    Foreign,
}

/// Tracks the backend server next to this node.
#[derive(Debug)]
pub struct TargetMonitor {
    service: String,
    address: String,
    heartbeat_interval: Duration,
    current: Option<CurrentIncarnation>,
    /// Incarnation other than the current one that sent the latest messages, if they don't show yet that
    /// it is running.
    candidate: Option<CandidateIncarnation>,
    /// Incarnations that were current, the latest last.
    replaced: VecDeque<TargetIncarnation>,
    /// Incarnations that have left.
    departed: DepartureList,
}

impl TargetMonitor {
    /// Creates a monitor that hasn't received a heartbeat yet; heartbeats must name this service
    /// and address.
    pub fn new(service: &str, address: &str, heartbeat_interval: Duration) -> Self {
        Self {
            service: service.to_owned(),
            address: address.to_owned(),
            heartbeat_interval,
            current: None,
            candidate: None,
            replaced: VecDeque::new(),
            departed: DepartureList::default(),
        }
    }

    /// Restores the incarnation that was leaving from what others remember of an earlier process of
    /// this node.
    pub fn restore_departed(&mut self, incarnation: TargetIncarnation) {
        self.departed.restore(incarnation);
        if let Some(current) = &mut self.current {
            current.leaving |= self.departed.contains(&current.incarnation);
            current.is_doubtful |= self.departed.casts_doubt_on(&current.incarnation);
        }
    }

    /// Handles a heartbeat. Within an incarnation the highest sequence number wins. An incarnation that has
    /// announced that it leaves never accepts requests again.
    ///
    /// A later start replaces the current one at once. The clock by which starts are stated may be set back,
    /// so an earlier start replaces it too, once its heartbeats show that it is running.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        if heartbeat.service != self.service
            || heartbeat.address != self.address
            || !(1..=MAX_BACKEND_SLOTS).contains(&heartbeat.slots)
        {
            return HeartbeatOutcome::Foreign;
        }
        let incarnation = heartbeat.incarnation();
        let is_current = |current: &CurrentIncarnation| current.incarnation == incarnation;
        if self.current.as_ref().is_some_and(is_current) {
            self.update_current(heartbeat, now)
        } else if self.replaces_current(&incarnation) {
            self.replace_current(heartbeat, HeartbeatEvidence::default(), now);
            HeartbeatOutcome::Accepted
        } else {
            self.add_to_candidate(heartbeat, now)
        }
    }

    fn update_current(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| heartbeat.sequence > current.sequence) else {
            return HeartbeatOutcome::Stale;
        };
        current.update(heartbeat, now, self.heartbeat_interval);
        self.on_current_updated();
        HeartbeatOutcome::Accepted
    }

    /// Whether a single message of an incarnation shows that it is later than the current one.
    fn replaces_current(&self, incarnation: &TargetIncarnation) -> bool {
        let current = self.current.as_ref();
        let is_later =
            current.is_none_or(|current| incarnation.born_ms >= current.incarnation.born_ms);
        is_later && !self.replaced.contains(incarnation)
    }

    fn replace_current(
        &mut self,
        heartbeat: &Heartbeat,
        evidence: HeartbeatEvidence,
        now: Instant,
    ) {
        let mut next = CurrentIncarnation::new(heartbeat, evidence, now, self.heartbeat_interval);
        next.leaving |= self.departed.contains(&next.incarnation);
        next.is_doubtful = self.departed.casts_doubt_on(&next.incarnation);
        self.replaced
            .retain(|replaced| *replaced != next.incarnation);
        if let Some(previous) = self.current.replace(next) {
            self.replaced.push_back(previous.incarnation);
            if self.replaced.len() > MAX_REPLACED {
                self.replaced.pop_front();
            }
        }
        self.on_current_updated();
    }

    /// Adds a heartbeat of an incarnation that may be an earlier one to what shows that it is running, and
    /// makes it the current one if that is enough.
    fn add_to_candidate(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let interval = self.heartbeat_interval;
        let candidate = self.candidate_for(heartbeat.incarnation());
        let is_added = candidate.add_heartbeat(heartbeat, now, interval);
        let (evidence, leaving) = (candidate.evidence, candidate.leaving);
        if !is_added || !evidence.is_sufficient() {
            return HeartbeatOutcome::Stale;
        }
        if leaving {
            self.departed.record(heartbeat.incarnation());
        }
        self.replace_current(heartbeat, evidence, now);
        HeartbeatOutcome::Accepted
    }

    fn candidate_for(&mut self, incarnation: TargetIncarnation) -> &mut CandidateIncarnation {
        let candidate = self.candidate.take();
        let candidate = candidate.filter(|candidate| candidate.incarnation == incarnation);
        let candidate = candidate.unwrap_or_else(|| CandidateIncarnation::new(incarnation));
        self.candidate.insert(candidate)
    }

    /// Updates what depends on the current incarnation after one of its messages, which shows that no other
    /// one is running.
    fn on_current_updated(&mut self) {
        self.candidate = None;
        let Some(current) = &self.current else {
            return;
        };
        if current.leaving {
            self.departed.record(current.incarnation.clone());
        } else if current.evidence.is_sufficient() {
            let instance = &current.incarnation.instance;
            self.departed.forget_unknown_start(instance);
        }
    }

    /// Handles a leave notice of an incarnation, of which no heartbeat may have arrived yet.
    ///
    /// If it started after the current incarnation of the instance, that one has ended and is taken out
    /// of use. If it may be an earlier one, nothing changes until its messages show that it is running.
    /// A notice that names no start concerns the current incarnation, and it may concern one that isn't
    /// known yet: a single heartbeat of another start isn't believed.
    pub fn on_leave_notice(&mut self, departing: TargetIncarnation, now: Instant) {
        let replaces_current = self.replaces_current(&departing);
        let current = self.current.as_mut();
        let current = current.filter(|current| current.incarnation.instance == departing.instance);
        let Some(current) = current else {
            self.forget_candidate(&departing.instance);
            self.departed.record(departing);
            return;
        };
        if departing == current.incarnation || !departing.has_known_start() {
            current.leaving = true;
            self.departed.record(current.incarnation.clone());
        } else if replaces_current {
            current.withdraw();
        } else if !self.departed.contains(&departing) && !self.shows_leave(&departing, now) {
            return;
        }
        self.forget_candidate(&departing.instance);
        self.departed.record(departing);
    }

    /// Adds the leave notice of an incarnation that may be an earlier one to what shows that it is running;
    /// returns whether that is enough. Then the current one has ended.
    fn shows_leave(&mut self, departing: &TargetIncarnation, now: Instant) -> bool {
        let interval = self.heartbeat_interval;
        let candidate = self.candidate_for(departing.clone());
        candidate.add_leave_notice(now, interval);
        let is_shown = candidate.evidence.is_sufficient();
        if let Some(current) = self.current.as_mut().filter(|_| is_shown) {
            current.withdraw();
        }
        is_shown
    }

    fn forget_candidate(&mut self, instance: &str) {
        let candidate = self.candidate.take();
        self.candidate = candidate.filter(|candidate| candidate.incarnation.instance != instance);
    }

    /// Handles a response in which the current incarnation says that it is leaving; returns whether
    /// that is new.
    pub fn on_leaving_response(&mut self) -> bool {
        let Some(current) = self.current.as_mut().filter(|current| !current.leaving) else {
            return false;
        };
        current.leaving = true;
        let incarnation = current.incarnation.clone();
        self.departed.record(incarnation);
        true
    }

    /// Extends the heartbeat deadline for a limited time, since an answer to a request shows that the
    /// backend server is running.
    pub fn on_answer(&mut self, now: Instant) {
        if let Some(current) = &mut self.current {
            current.on_answer(now, self.heartbeat_interval);
        }
    }

    /// Whether the heartbeats of the current incarnation show that it is running.
    pub fn has_sufficient_evidence(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.evidence.is_sufficient())
    }

    /// Incarnation that accepts requests, with its slots.
    pub fn serving(&self, now: Instant) -> Option<(&TargetIncarnation, u32)> {
        let current = self.current.as_ref();
        let current = current.filter(|current| current.accepts_requests(now))?;
        Some((&current.incarnation, current.slots))
    }

    /// Incarnation that sent the newest heartbeat.
    pub fn incarnation(&self) -> Option<&TargetIncarnation> {
        self.current.as_ref().map(|current| &current.incarnation)
    }

    /// Incarnation that sent the newest heartbeat, unless it is leaving.
    pub fn staying(&self) -> Option<&TargetIncarnation> {
        let current = self.current.as_ref().filter(|current| !current.leaving);
        current.map(|current| &current.incarnation)
    }

    /// Incarnation that is leaving.
    pub fn leaving(&self) -> Option<&TargetIncarnation> {
        let current = self.current.as_ref().filter(|current| current.leaving);
        current.map(|current| &current.incarnation)
    }

    /// Incarnation that is leaving or, if there is none, the latest one that has left.
    pub fn latest_departure(&self) -> Option<&TargetIncarnation> {
        self.leaving().or(self.departed.latest())
    }

    /// Software version of the incarnation that sent the newest heartbeat, empty if it is unknown.
    pub fn version(&self) -> &str {
        self.current.as_ref().map_or("", |current| &current.version)
    }

    /// Time at which the warm-up of the current incarnation ends or has ended.
    pub fn warm_up_end(&self) -> Option<Instant> {
        self.current.as_ref().map(|current| current.warm_up_end)
    }

    /// Whether the backend server started so recently that it is still slower.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| now < current.warm_up_end)
    }

    /// Time at which the backend server counts as gone unless a heartbeat or an answer arrives;
    /// `None` while it is leaving or before the first heartbeat.
    pub fn heartbeat_deadline(&self) -> Option<Instant> {
        let current = self.current.as_ref().filter(|current| !current.leaving);
        current.map(|current| current.heartbeat_deadline)
    }
}
