//! State of the backend server next to this node, from its heartbeats and leave notices.

use std::time::Duration;

use sequoiagw_policy::ServerProcess;
use sequoiagw_protocol::LeavingBackend;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::heartbeat_evidence::HeartbeatEvidence;
use crate::node_registration::MAX_BACKEND_SLOTS;
use crate::DepartureList;

/// Heartbeat intervals without a heartbeat after which a backend server counts as gone.
const HEARTBEAT_TIMEOUT_INTERVALS: u32 = 4;
/// Heartbeat intervals without a heartbeat after which a backend server counts as gone although it
/// answers: only what it says of itself tells that it stays.
const ANSWERING_TIMEOUT_INTERVALS: u32 = 8;

/// Phase of a backend server, as a heartbeat states it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatPhase {
    /// The backend server accepts requests.
    Ready,
    /// The backend server is leaving and accepts no requests.
    Draining,
}

/// A heartbeat of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Identity of the process; a restarted one may have the same.
    pub instance: String,
    /// Start time of the process, in Unix milliseconds by its own clock.
    pub born_ms: Option<u64>,
    /// Sequence number, higher with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service that the process serves.
    pub service: String,
    /// Address at which the process accepts requests.
    pub address: String,
    /// Number of requests that the process serves at once.
    pub slots: u32,
    /// Whether the process accepts requests or is leaving.
    pub phase: HeartbeatPhase,
    /// Rest of the time after its start during which the process is slower.
    pub warmup_left: Duration,
    /// Software version of the process, empty if it states none.
    pub version: String,
}

impl Heartbeat {
    /// Incarnation that sent the heartbeat.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            instance: self.instance.clone(),
            born_ms: self.born_ms.unwrap_or(0),
        }
    }
}

/// Identifies one start of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Identity of the process; a restarted one may have the same.
    pub instance: String,
    /// Start time of the process, in Unix milliseconds; 0 when unknown.
    pub born_ms: u64,
}

impl TargetIncarnation {
    /// Number of the process, equal at all nodes.
    pub fn process(&self) -> ServerProcess {
        ServerProcess(xxh3_64_with_seed(self.instance.as_bytes(), self.born_ms))
    }

    /// Whether the start is known. An incarnation whose start isn't known stands for any start of its
    /// instance.
    pub fn has_known_start(&self) -> bool {
        self.born_ms != 0
    }

    /// Whether another incarnation is this one, or an earlier one of the same instance.
    pub fn includes(&self, other: &Self) -> bool {
        self.instance == other.instance && other.born_ms <= self.born_ms
    }
}

impl From<LeavingBackend> for TargetIncarnation {
    fn from(backend: LeavingBackend) -> Self {
        Self {
            instance: backend.instance,
            born_ms: backend.born_ms,
        }
    }
}

impl From<TargetIncarnation> for LeavingBackend {
    fn from(incarnation: TargetIncarnation) -> Self {
        Self {
            instance: incarnation.instance,
            born_ms: incarnation.born_ms,
        }
    }
}

/// State of the current incarnation.
#[derive(Clone, Debug)]
struct CurrentIncarnation {
    incarnation: TargetIncarnation,
    sequence: u64,
    slots: u32,
    leaving: bool,
    version: String,
    warm_up_end: Instant,
    last_heartbeat: Instant,
    heartbeat_deadline: Instant,
    evidence: HeartbeatEvidence,
    /// Whether this incarnation may be one that has left or ended, so that a single heartbeat doesn't
    /// show that it is running.
    is_doubtful: bool,
}

impl CurrentIncarnation {
    /// Takes the incarnation out of use until further heartbeats show that it is running.
    fn withdraw(&mut self) {
        self.evidence = HeartbeatEvidence::default();
        self.is_doubtful = true;
    }

    fn is_believed(&self) -> bool {
        !self.is_doubtful || self.evidence.is_sufficient()
    }
}

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
            departed: DepartureList::default(),
        }
    }

    /// Restores the incarnation that was leaving from what others remember of an earlier process of
    /// this node.
    pub fn restore_departed(&mut self, incarnation: TargetIncarnation) {
        if let Some(current) = &mut self.current {
            current.leaving |= incarnation.includes(&current.incarnation);
            let same_instance = current.incarnation.instance == incarnation.instance;
            current.is_doubtful |= same_instance && !incarnation.has_known_start();
        }
        self.departed.restore(incarnation);
    }

    /// Handles a heartbeat. Within an incarnation the highest sequence number wins, and among
    /// incarnations the latest start. An incarnation that has announced that it leaves never
    /// accepts requests again.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        if heartbeat.service != self.service
            || heartbeat.address != self.address
            || !(1..=MAX_BACKEND_SLOTS).contains(&heartbeat.slots)
        {
            return HeartbeatOutcome::Foreign;
        }
        let incarnation = heartbeat.incarnation();
        if let Some(current) = &self.current {
            let older = incarnation.born_ms < current.incarnation.born_ms;
            let repeated =
                incarnation == current.incarnation && heartbeat.sequence <= current.sequence;
            if older || repeated {
                return HeartbeatOutcome::Stale;
            }
        }
        let known = self
            .current
            .as_ref()
            .filter(|current| current.incarnation == incarnation);
        let was_leaving = match known {
            Some(current) => current.leaving,
            None => self.departed.includes(&incarnation),
        };
        let is_doubtful = match known {
            Some(current) => current.is_doubtful,
            None => self.departed.has_unknown_start(&incarnation.instance),
        };
        let mut evidence =
            known.map_or_else(HeartbeatEvidence::default, |current| current.evidence);
        evidence.add(now, self.heartbeat_interval);
        let leaving = was_leaving || heartbeat.phase == HeartbeatPhase::Draining;
        if evidence.is_sufficient() && !leaving {
            self.departed.forget_unknown_start(&incarnation.instance);
        }
        if leaving && !was_leaving {
            self.departed.record(incarnation.clone());
        }
        self.current = Some(CurrentIncarnation {
            incarnation,
            sequence: heartbeat.sequence,
            slots: heartbeat.slots,
            leaving,
            version: heartbeat.version.clone(),
            warm_up_end: now + heartbeat.warmup_left,
            last_heartbeat: now,
            heartbeat_deadline: now + self.heartbeat_interval * HEARTBEAT_TIMEOUT_INTERVALS,
            evidence,
            is_doubtful,
        });
        HeartbeatOutcome::Accepted
    }

    /// Handles a leave notice of an incarnation, of which no heartbeat may have arrived yet.
    ///
    /// If it started after the current incarnation of the instance, that one has ended and is taken out
    /// of use. A notice that names no start concerns the current incarnation, and it may concern one that
    /// isn't known yet: a single heartbeat of another start isn't believed.
    pub fn on_leave_notice(&mut self, departing: TargetIncarnation) {
        let current = self.current.as_mut();
        let current = current.filter(|current| current.incarnation.instance == departing.instance);
        if let Some(current) = current {
            if departing == current.incarnation || !departing.has_known_start() {
                current.leaving = true;
                self.departed.record(current.incarnation.clone());
            } else if !current.incarnation.includes(&departing) {
                current.withdraw();
            }
        }
        self.departed.record(departing);
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
            let latest =
                current.last_heartbeat + self.heartbeat_interval * ANSWERING_TIMEOUT_INTERVALS;
            let extended = (now + self.heartbeat_interval * 2).min(latest);
            current.heartbeat_deadline = current.heartbeat_deadline.max(extended);
        }
    }

    /// Whether the heartbeats of the current incarnation show that it is running.
    pub fn has_sufficient_evidence(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.evidence.is_sufficient())
    }

    /// Incarnation that accepts requests, with its slots.
    pub fn serving(&self, now: Instant) -> Option<(&TargetIncarnation, u32)> {
        let current = self.current.as_ref()?;
        let serves = !current.leaving && current.is_believed() && now < current.heartbeat_deadline;
        serves.then_some((&current.incarnation, current.slots))
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
