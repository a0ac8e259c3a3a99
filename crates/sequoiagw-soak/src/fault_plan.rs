//! The timeline of faults, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What goes wrong, or is done on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// A process is killed and started again after the fault's time.
    Kill,
    /// A process is told to leave, and started again once it has ended.
    Terminate,
    /// A process stands still.
    Pause,
    /// A process gets SIGHUP.
    Hangup,
    /// Links to a node are slow.
    LinkDelay,
    /// Links to a node fall silent both ways.
    LinkSilent,
    /// Links to a node carry nothing towards it.
    LinkOneWay,
    /// Links to a node are reset.
    LinkReset,
    /// A node's way to the store falls silent.
    StoreCut,
    /// The store falls silent.
    StoreSilent,
    /// The store turns all calls away.
    StoreRefusing,
    /// Answers to writes are lost.
    StoreLosing,
    /// A backend server falls silent and starts anew after the fault's time.
    BackendCrash,
    /// A backend server leaves in order and another one takes its place.
    BackendDrain,
    /// The operator changes the configuration.
    ConfigChange,
}

/// All kinds.
const KINDS: &[FaultKind] = &[
    FaultKind::Kill,
    FaultKind::Terminate,
    FaultKind::Pause,
    FaultKind::Hangup,
    FaultKind::LinkDelay,
    FaultKind::LinkSilent,
    FaultKind::LinkOneWay,
    FaultKind::LinkReset,
    FaultKind::StoreCut,
    FaultKind::StoreSilent,
    FaultKind::StoreRefusing,
    FaultKind::StoreLosing,
    FaultKind::BackendCrash,
    FaultKind::BackendDrain,
    FaultKind::ConfigChange,
];

/// Longest time between two faults; with the times below up to five overlap.
const LONGEST_GAP: Duration = Duration::from_millis(1600);
/// Bounds of a fault's time.
const SHORTEST_MS: u64 = 300;
const LONGEST_MS: u64 = 4500;

impl FaultKind {
    /// Whether it is planned work, during which no request may be cut.
    pub fn is_planned_maintenance(self) -> bool {
        matches!(
            self,
            Self::Terminate | Self::Hangup | Self::BackendDrain | Self::ConfigChange
        )
    }
}

/// A fault of a timeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
    /// When it comes, after the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub time: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// Node or backend server that it strikes, taken modulo their number.
    pub node_index: usize,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        let time = self.time.as_secs_f64();
        let kind = self.kind;
        let node_index = self.node_index;
        write!(
            formatter,
            "{at:7.3} s {kind:?} at {node_index} for {time:.1} s"
        )
    }
}

/// Faults in order of time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultPlan {
    pub faults: Vec<ScheduledFault>,
}

impl FaultPlan {
    /// Draws a timeline; equal seeds give equal ones.
    pub fn draw(seed: u64, time: Duration, nodes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Some timelines are planned work alone, so that a cut request can't hide behind a fault.
        let planned_only = rng.random_bool(0.3);
        let kinds: Vec<FaultKind> = KINDS
            .iter()
            .copied()
            .filter(|kind| !planned_only || kind.is_planned_maintenance())
            .collect();
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < time {
            faults.push(ScheduledFault {
                at,
                time: Duration::from_millis(rng.random_range(SHORTEST_MS..LONGEST_MS)),
                kind: kinds[rng.random_range(0..kinds.len())],
                node_index: rng.random_range(0..nodes),
            });
            at += LONGEST_GAP.mul_f64(rng.random::<f64>());
        }
        Self { faults }
    }
}
