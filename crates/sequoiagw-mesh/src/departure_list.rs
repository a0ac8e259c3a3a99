//! Incarnations of one backend server that are known to be leaving or to have left.

use crate::TargetIncarnation;

/// Incarnations that are remembered. A heartbeat is late by seconds, in which few can have left.
const MAX_DEPARTURES: usize = 8;

/// Departed incarnations, of several instances. An entry stands for the earlier incarnations of its
/// instance too.
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
        if self.has_entry_for(&incarnation) {
            return;
        }
        self.remove_where(|known| known.has_known_start() && incarnation.includes(known));
        self.departures.push(incarnation);
        self.trim();
    }

    /// Adds an incarnation of which others remember that it departed, before those recorded here. Of
    /// too many, the first is forgotten.
    pub fn restore(&mut self, incarnation: TargetIncarnation) {
        if self.has_entry_for(&incarnation) {
            return;
        }
        self.remove_where(|known| known.has_known_start() && incarnation.includes(known));
        let restored = &self.departures[..self.restored];
        let index = restored.partition_point(|known| known.born_ms <= incarnation.born_ms);
        self.departures.insert(index, incarnation);
        self.restored += 1;
        self.trim();
    }

    /// Forgets the departure of an unknown start of the instance, since the present one is running.
    pub fn forget_unknown_start(&mut self, instance: &str) {
        self.remove_where(|known| known.instance == instance && !known.has_known_start());
    }

    /// Whether an entry says what the departure of an incarnation says. That of an unknown start says more
    /// than that of any known one.
    fn has_entry_for(&self, incarnation: &TargetIncarnation) -> bool {
        self.departures.contains(incarnation)
            || incarnation.has_known_start() && self.includes(incarnation)
    }

    fn remove_where<IsRemoved>(&mut self, is_removed: IsRemoved)
    where
        IsRemoved: Fn(&TargetIncarnation) -> bool,
    {
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

    /// Whether an incarnation has departed.
    pub fn includes(&self, incarnation: &TargetIncarnation) -> bool {
        self.departures
            .iter()
            .any(|departure| departure.includes(incarnation))
    }

    /// Whether an incarnation of the instance departed whose start isn't known.
    pub fn has_unknown_start(&self, instance: &str) -> bool {
        let mut departures = self.departures.iter();
        departures.any(|departure| departure.instance == instance && !departure.has_known_start())
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
