//! What the backend server beside this node says of itself.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Heartbeats that may be missed before a silent backend server counts as gone.
const MISSED_HEARTBEATS: u32 = 4;

/// Phase that a heartbeat states.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatPhase {
    /// It takes work.
    Ready,
    /// It leaves.
    Draining,
}

/// One heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Identity of the process; a restarted one may have the same.
    pub instance: String,
    /// Start of the process, in Unix milliseconds by its own clock.
    pub born_ms: Option<u64>,
    /// Number within the process's life, higher with each heartbeat.
    pub sequence: u64,
    /// Service.
    pub service: String,
    /// Address at which it takes requests.
    pub address: String,
    /// Requests it serves at once.
    pub slots: u32,
    /// Phase.
    pub phase: HeartbeatPhase,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
}

/// Which life of a backend server is meant.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Identity of the process.
    pub instance: String,
    /// Start of the process, in Unix milliseconds.
    pub born_ms: u64,
}

/// The life that counts now.
#[derive(Clone, Debug)]
struct CurrentIncarnation {
    life: TargetIncarnation,
    sequence: u64,
    slots: u32,
    leaving: bool,
    warm_up_end: Instant,
    heartbeat_deadline: Instant,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// It is the newest word of the life that counts.
    Accepted,
    /// It is late: a newer word of this or of a later life is known.
    Stale,
    /// It names another service or address than this node's own.
    Foreign,
}

/// State of the backend server beside this node.
#[derive(Debug)]
pub struct TargetMonitor {
    service: String,
    address: String,
    interval: Duration,
    current: Option<CurrentIncarnation>,
    /// A life that is known to have left, and with it all earlier ones of its name.
    left: Option<TargetIncarnation>,
}

impl TargetMonitor {
    /// Knows of no life yet.
    pub fn new(service: &str, address: &str, interval: Duration) -> Self {
        Self {
            service: service.to_owned(),
            address: address.to_owned(),
            interval,
            current: None,
            left: None,
        }
    }

    /// Learns from an earlier process of this node which life was leaving.
    pub fn restore_departed(&mut self, life: TargetIncarnation) {
        if let Some(current) = &mut self.current {
            current.leaving |= current.life == life;
        }
        self.left = Some(life);
    }

    /// Takes a heartbeat. Within a life the highest sequence number counts, and among lives
    /// the latest start; a life that has said that it leaves never comes back.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        if beat.service != self.service || beat.address != self.address || beat.slots == 0 {
            return HeartbeatOutcome::Foreign;
        }
        let life = TargetIncarnation {
            instance: beat.instance.clone(),
            born_ms: beat.born_ms.unwrap_or_default(),
        };
        if let Some(current) = &self.current {
            let older = life.born_ms < current.life.born_ms;
            let repeated = life == current.life && beat.sequence <= current.sequence;
            if older || repeated {
                return HeartbeatOutcome::Stale;
            }
        }
        let was_leaving = match &self.current {
            Some(current) if current.life == life => current.leaving,
            _ => self
                .left
                .as_ref()
                .is_some_and(|left| left.instance == life.instance && life.born_ms <= left.born_ms),
        };
        self.current = Some(CurrentIncarnation {
            life,
            sequence: beat.sequence,
            slots: beat.slots,
            leaving: was_leaving || beat.phase == HeartbeatPhase::Draining,
            warm_up_end: now + beat.warmup_left,
            heartbeat_deadline: now + self.interval * MISSED_HEARTBEATS,
        });
        HeartbeatOutcome::Accepted
    }

    /// A backend server says that it is going, at a time in Unix milliseconds by the host's
    /// clock. If nothing is known of it, lives of its name that began before are leaving.
    pub fn on_leave_notice(&mut self, instance: &str, unix_ms: u64) {
        match &mut self.current {
            Some(current) if current.life.instance == instance => current.leaving = true,
            Some(_) => {}
            None => {
                self.left = Some(TargetIncarnation {
                    instance: instance.to_owned(),
                    born_ms: unix_ms,
                });
            }
        }
    }

    /// The backend server answered a request, so it lives.
    pub fn on_answer(&mut self, now: Instant) {
        if let Some(current) = &mut self.current {
            current.heartbeat_deadline = current.heartbeat_deadline.max(now + self.interval * 2);
        }
    }

    /// The life that takes work, with its slots.
    pub fn serving(&self, now: Instant) -> Option<(&TargetIncarnation, u32)> {
        let current = self.current.as_ref()?;
        let serves = !current.leaving && now < current.heartbeat_deadline;
        serves.then_some((&current.life, current.slots))
    }

    /// The life that is leaving.
    pub fn leaving(&self) -> Option<&TargetIncarnation> {
        let current = self.current.as_ref().filter(|current| current.leaving);
        current.map(|current| &current.life)
    }

    /// Whether the backend server is still slow after its start.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| now < current.warm_up_end)
    }

    /// When the backend server counts as gone unless it is heard.
    pub fn heartbeat_deadline(&self) -> Option<Instant> {
        let current = self.current.as_ref().filter(|current| !current.leaving);
        current.map(|current| current.heartbeat_deadline)
    }
}
