//! What a process that has just started knows of earlier departures of its backend server. The backend
//! server may have told an earlier process that it leaves, and a heartbeat may be from before that.

use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Longest time from the start of a process until it knows other nodes.
const SEARCH_LIMIT: Duration = Duration::from_secs(3);
/// Longest time until the nodes that were asked have replied.
const REPLY_LIMIT: Duration = Duration::from_millis(500);

/// What a process knows of the departures that were acknowledged before its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureHistory {
    /// It isn't known yet, and no heartbeat is believed.
    Pending,
    /// Nobody is left who would know. A single heartbeat isn't believed, since it may have been delayed.
    Unknown,
    /// All of them are known.
    Known,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum RecoveryPhase {
    /// No other node is known.
    Searching { until: Instant },
    /// Nodes were asked what they remember.
    Asking {
        unanswered: BTreeSet<NodeId>,
        until: Instant,
    },
    /// The nodes that were asked have replied, or it is too late.
    Complete { has_asked: bool },
}

/// Recovery of the backend server's departures by a process that has just started.
///
/// They are known from someone who would have heard of each: the store, or a node that has run for long.
/// A node that knows of no departure because it has just started itself shows nothing.
#[derive(Debug)]
pub struct DepartureRecovery {
    phase: RecoveryPhase,
    is_known: bool,
}

impl DepartureRecovery {
    /// Recovery of a process that starts now. In a fleet that starts for the first time, nothing is
    /// to be recovered.
    pub fn new(first_fleet_start: bool, now: Instant) -> Self {
        let phase = if first_fleet_start {
            RecoveryPhase::Complete { has_asked: true }
        } else {
            RecoveryPhase::Searching {
                until: now + SEARCH_LIMIT,
            }
        };
        Self {
            phase,
            is_known: first_fleet_start,
        }
    }

    /// Whether other nodes have still to be asked.
    pub fn must_ask(&self) -> bool {
        matches!(
            self.phase,
            RecoveryPhase::Searching { .. } | RecoveryPhase::Complete { has_asked: false }
        )
    }

    /// Records which nodes were asked.
    pub fn on_asked(&mut self, nodes: &[NodeId], now: Instant) {
        self.phase = match &self.phase {
            RecoveryPhase::Searching { .. } if !nodes.is_empty() => RecoveryPhase::Asking {
                unanswered: nodes.iter().copied().collect(),
                until: now + REPLY_LIMIT,
            },
            _ => RecoveryPhase::Complete { has_asked: true },
        };
    }

    /// Records that the store has the registration of an earlier process that knew all departures. It
    /// names the latest one.
    pub fn on_registration(&mut self) {
        self.is_known = true;
    }

    /// Records the reply of a node. `remembers` is whether that node has heard of each departure from which
    /// a heartbeat could still be on its way.
    pub fn on_reply(&mut self, node: NodeId, remembers: bool, now: Instant) {
        self.is_known |= remembers;
        self.on_unreachable(node, now);
    }

    /// Records that a node that was asked can't reply.
    pub fn on_unreachable(&mut self, node: NodeId, now: Instant) {
        if let RecoveryPhase::Asking { unanswered, .. } = &mut self.phase {
            unanswered.remove(&node);
        }
        self.on_tick(now);
    }

    /// Ends the phase if it is over.
    pub fn on_tick(&mut self, now: Instant) {
        match &self.phase {
            RecoveryPhase::Searching { until } if now >= *until => {
                self.phase = RecoveryPhase::Complete { has_asked: false };
            }
            RecoveryPhase::Asking { unanswered, until }
                if unanswered.is_empty() || now >= *until =>
            {
                self.phase = RecoveryPhase::Complete { has_asked: true };
            }
            _ => {}
        }
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        match &self.phase {
            RecoveryPhase::Searching { until } | RecoveryPhase::Asking { until, .. } => {
                Some(*until)
            }
            RecoveryPhase::Complete { .. } => None,
        }
    }

    /// What is known of the departures before the start of the process.
    pub fn history(&self) -> DepartureHistory {
        match self.phase {
            RecoveryPhase::Searching { .. } | RecoveryPhase::Asking { .. } => {
                DepartureHistory::Pending
            }
            RecoveryPhase::Complete { .. } if self.is_known => DepartureHistory::Known,
            RecoveryPhase::Complete { .. } => DepartureHistory::Unknown,
        }
    }
}
