//! Incarnations of one backend server that are known to be leaving or to have left.

use crate::TargetIncarnation;

/// Incarnations that are remembered. A heartbeat is late by seconds, in which few can have left.
const MAX_DEPARTURES: usize = 8;

/// Departed incarnations, of several instances.
#[derive(Clone, Debug, Default)]
pub struct DepartureList {
    /// Those learnt from others first, in the order of their starts, then the recorded ones in the order
    /// in which they departed.
    departures: Vec<TargetIncarnation>,
    /// Number of departures learnt from others.
    restored: usize,
}

impl DepartureList {
    /// Adds an incarnation that departs now. Of too many, the first is forgotten.
    pub fn record(&mut self, incarnation: TargetIncarnation) {
        if self.contains(&incarnation) {
            return;
        }
        self.departures.push(incarnation);
        self.trim();
    }

    /// Adds an incarnation of which others remember that it departed, before those recorded here. Of
    /// too many, the first is forgotten.
    pub fn restore(&mut self, incarnation: TargetIncarnation) {
        if self.contains(&incarnation) {
            return;
        }
        let restored = &self.departures[..self.restored];
        let index = restored.partition_point(|known| known.born_ms <= incarnation.born_ms);
        self.departures.insert(index, incarnation);
        self.restored += 1;
        self.trim();
    }

    /// Forgets the departure of an unknown start of the instance, since the present one is running.
    pub fn forget_unknown_start(&mut self, instance: &str) {
        let is_removed =
            |known: &TargetIncarnation| known.instance == instance && !known.has_known_start();
        let restored = self.departures[..self.restored].iter();
        self.restored -= restored.filter(|known| is_removed(known)).count();
        self.departures.retain(|known| !is_removed(known));
    }

    fn trim(&mut self) {
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.remove(0);
            self.restored = self.restored.saturating_sub(1);
        }
    }

    /// Whether this very incarnation has departed.
    pub fn contains(&self, incarnation: &TargetIncarnation) -> bool {
        self.departures.contains(incarnation)
    }

    /// Whether an incarnation may be from before a departure of its instance: of a start that isn't known, or
    /// of one that is later by the starts that they state.
    pub fn casts_doubt_on(&self, incarnation: &TargetIncarnation) -> bool {
        self.departures.iter().any(|departed| {
            departed.instance == incarnation.instance
                && (!departed.has_known_start() || departed.born_ms > incarnation.born_ms)
        })
    }

    /// The incarnation that departed last.
    pub fn latest(&self) -> Option<&TargetIncarnation> {
        self.departures.last()
    }

    /// All incarnations, the latest last.
    pub fn iter(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.departures.iter()
    }
}
