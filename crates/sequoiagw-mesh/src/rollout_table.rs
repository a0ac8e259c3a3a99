//! Records of the roll-outs that a node knows of, by service, with the ages of their orders.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_protocol::RolloutEntry;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_protocol::RolloutTableMessage;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// An operators' order to move a service to another software version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Software version to move to.
    pub new_version: String,
    /// Time from the order to the end of the roll-out.
    pub duration: Duration,
    /// Revision of the store at which the order was written, which identifies it.
    pub revision: u64,
}

impl RolloutOrder {
    /// First record of the roll-out, in stage [`RolloutStage::Canary`] and without a driver.
    fn to_record(&self, era: StoreEra) -> RolloutRecord {
        RolloutRecord {
            service: self.service.clone(),
            new_version: self.new_version.clone(),
            order_revision: self.revision,
            duration_ms: self.duration.as_millis() as u64,
            stage: RolloutStage::Canary.into(),
            store_era: era.0,
            ..RolloutRecord::default()
        }
    }
}

/// What a node knows of the roll-out of one service.
#[derive(Clone, Debug)]
pub struct KnownRollout {
    /// Record of the roll-out. Its revision is 0 while the order is known, but no record of it.
    pub record: RolloutRecord,
    /// Revision of the service's record in the store, 0 if the store has none. Differs from that of
    /// `record` if that one is of another order or of an earlier era.
    pub stored_revision: u64,
    /// Since when the store is known to have lost the final stage, by coming back from an older copy.
    pub lost_since: Option<Instant>,
    /// When this node learned of the stage.
    pub stage_since: Instant,
    /// When this node learned of the order.
    order_known_since: Instant,
    /// Age of the order when this node learned of it.
    initial_age: Duration,
}

impl KnownRollout {
    fn new(record: RolloutRecord, age: Duration, now: Instant) -> Self {
        Self {
            stored_revision: record.revision,
            lost_since: None,
            record,
            stage_since: now,
            order_known_since: now,
            initial_age: age,
        }
    }

    /// Whether the store has had a record of the order.
    pub fn is_recorded(&self) -> bool {
        self.record.revision != 0
    }

    /// Whether the roll-out has ended.
    pub fn is_final(&self) -> bool {
        is_final(&self.record)
    }

    /// Since when the record has had to be written to the store: there is none of the order yet, or the
    /// store came back from a copy that doesn't have the final stage.
    pub fn unwritten_since(&self) -> Option<Instant> {
        if self.is_recorded() {
            self.lost_since
        } else {
            Some(self.stage_since)
        }
    }

    /// Time since the order was written, as far as this node knows.
    pub fn order_age(&self, now: Instant) -> Duration {
        self.initial_age + now.saturating_duration_since(self.order_known_since)
    }

    /// Time at which the order has an age, as far as this node knows; not before it learned of the order.
    pub fn time_at_age(&self, age: Duration) -> Instant {
        self.order_known_since + age.saturating_sub(self.initial_age)
    }

    /// Time that the operators allow from the order to the end.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.record.duration_ms)
    }

    /// Whether this is the final stage of an order of which the store has lost the record, and has one
    /// of another order in its place.
    fn is_kept_against(&self, record: &RolloutRecord) -> bool {
        self.record.store_era < record.store_era
            && self.record.order_revision != record.order_revision
    }

    fn replace_record(&mut self, record: RolloutRecord, now: Instant) {
        if record.stage != self.record.stage {
            self.stage_since = now;
        }
        self.stored_revision = record.revision;
        self.lost_since = None;
        self.record = record;
    }

    /// Notes the revision of an earlier order's record, which the first record of this order replaces.
    /// The node may have learned of the order before it read that record.
    fn note_replaced(&mut self, record: &RolloutRecord) {
        let is_replaced = !self.is_recorded()
            && record.store_era == self.record.store_era
            && record.order_revision < self.record.order_revision;
        if is_replaced {
            self.stored_revision = self.stored_revision.max(record.revision);
        }
    }

    /// Records that the store has the record at `stored_revision` in place of this final one.
    fn set_lost(&mut self, stored_revision: u64, now: Instant) {
        self.stored_revision = stored_revision;
        self.lost_since.get_or_insert(now);
    }
}

/// Records of all services' roll-outs.
#[derive(Debug, Default)]
pub struct RolloutTable {
    rollouts: BTreeMap<String, KnownRollout>,
    /// Revisions of the orders in the store, by service.
    orders: BTreeMap<String, u64>,
    complete: bool,
    /// Era of the store in which this node last read the records.
    read_era: Option<StoreEra>,
}

impl RolloutTable {
    /// Whether the records are complete: this node has read the orders and the records from the store,
    /// or received them from a node that had.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that the table is complete.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Era of the store in which this node last read all orders and records, `None` before that.
    pub fn read_era(&self) -> Option<StoreEra> {
        self.read_era
    }

    /// Roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&KnownRollout> {
        self.rollouts.get(service)
    }

    /// All known roll-outs, by service.
    pub fn rollouts(&self) -> impl Iterator<Item = &KnownRollout> {
        self.rollouts.values()
    }

    /// Whether an order is known whose roll-out hasn't ended.
    pub fn has_open_order(&self) -> bool {
        self.rollouts.values().any(|known| !known.is_final())
    }

    /// Adds an order that was read from the store in `era`; returns whether it is new. It replaces the
    /// record of an earlier order, and one of an earlier era unless that is of the same order.
    pub fn add_order(&mut self, order: &RolloutOrder, era: StoreEra, now: Instant) -> bool {
        self.orders.insert(order.service.clone(), order.revision);
        let existing = self.rollouts.get(&order.service);
        let is_known = existing.is_some_and(|known| {
            let known_order = known.record.order_revision;
            known_order == order.revision
                || (known.record.store_era >= era.0 && known_order > order.revision)
        });
        if is_known {
            return false;
        }
        let stored_revision = existing
            .filter(|known| known.record.store_era == era.0)
            .map_or(0, |known| known.stored_revision);
        let mut known = KnownRollout::new(order.to_record(era), Duration::ZERO, now);
        known.stored_revision = stored_revision;
        self.rollouts.insert(order.service.clone(), known);
        true
    }

    /// Merges a record from a peer; returns whether it has replaced the one known. A record of an
    /// earlier era than that in which this node read the store is only valid in a final stage, whose
    /// order the store still has.
    pub fn merge_from_peer(
        &mut self,
        record: RolloutRecord,
        order_age: Duration,
        now: Instant,
    ) -> bool {
        let is_earlier = self.read_era.is_some_and(|era| record.store_era < era.0);
        let has_order = self.orders.get(&record.service) == Some(&record.order_revision);
        if is_earlier && !(is_final(&record) && has_order) {
            return false;
        }
        self.merge(record, order_age, now)
    }

    /// Merges a record from the store or from a peer; returns whether it has replaced the one known.
    ///
    /// The record with the higher (era, order, revision) is valid. A final stage is never left for the
    /// same order: if the store came back from a copy without it, it stays and is written again.
    pub fn merge(&mut self, record: RolloutRecord, order_age: Duration, now: Instant) -> bool {
        let Some(known) = self.rollouts.get_mut(&record.service) else {
            let known = KnownRollout::new(record.clone(), order_age, now);
            self.rollouts.insert(record.service, known);
            return true;
        };
        if record.order_revision == known.record.order_revision {
            known.initial_age += order_age.saturating_sub(known.order_age(now));
        }
        if rank(&record) <= rank(&known.record) {
            known.note_replaced(&record);
            return false;
        }
        if record.order_revision != known.record.order_revision {
            let previous = std::mem::replace(known, KnownRollout::new(record, order_age, now));
            known.note_replaced(&previous.record);
            return true;
        }
        if known.is_final() && record.stage != known.record.stage {
            known.set_lost(record.revision, now);
            return false;
        }
        known.replace_record(record, now);
        true
    }

    /// Applies all orders and records that the store has in `era`; returns the records that are new.
    pub fn apply_store_content(
        &mut self,
        orders: &[RolloutOrder],
        records: Vec<RolloutRecord>,
        era: StoreEra,
        now: Instant,
    ) -> Vec<RolloutRecord> {
        let revisions = orders.iter();
        self.orders = revisions
            .map(|order| (order.service.clone(), order.revision))
            .collect();
        let new_records = self.apply_stored(records, era, now);
        for order in orders {
            self.add_order(order, era, now);
        }
        self.complete = true;
        self.read_era = Some(era);
        new_records
    }

    /// Applies all records that the store has in `era`; returns those that are new. Of the roll-outs
    /// of earlier eras, the final ones whose orders the store still has stay, to be written again
    /// unless the store has the same stage.
    pub fn apply_stored(
        &mut self,
        records: Vec<RolloutRecord>,
        era: StoreEra,
        now: Instant,
    ) -> Vec<RolloutRecord> {
        let orders = &self.orders;
        self.rollouts.retain(|service, known| {
            if known.record.store_era >= era.0 {
                return true;
            }
            known.set_lost(0, now);
            known.is_final() && orders.get(service) == Some(&known.record.order_revision)
        });
        let mut new_records = Vec::new();
        for record in records {
            let kept = self.rollouts.get_mut(&record.service);
            if let Some(known) = kept.filter(|known| known.is_kept_against(&record)) {
                known.set_lost(record.revision, now);
            } else if self.merge(record.clone(), Duration::ZERO, now) {
                new_records.push(record);
            }
        }
        new_records
    }

    /// Hash over the records, independent of their order.
    pub fn hash(&self) -> u64 {
        let recorded = self.rollouts.values().filter(|known| known.is_recorded());
        recorded.fold(0, |hash, known| {
            let record = &known.record;
            let text = format!(
                "{}/{}/{}/{}/{}",
                record.service,
                record.store_era,
                record.order_revision,
                record.revision,
                record.stage
            );
            hash ^ xxh3_64(text.as_bytes())
        })
    }

    /// Message with all records; `requested` asks the receiver for its own. Orders without a record are
    /// included: a receiver that takes the table for complete must not admit calls to their versions.
    pub fn message(&self, requested: bool, now: Instant) -> RolloutTableMessage {
        let known = self.rollouts.values();
        RolloutTableMessage {
            entries: known.map(|known| entry(known, now)).collect(),
            requested,
            complete: self.complete,
        }
    }

    /// Message with the record of one service, which doesn't say that the table is complete.
    pub fn message_of(&self, service: &str, now: Instant) -> RolloutTableMessage {
        let known = self.rollouts.get(service).into_iter();
        RolloutTableMessage {
            entries: known.map(|known| entry(known, now)).collect(),
            ..RolloutTableMessage::default()
        }
    }
}

/// Whether a record is in a final stage.
pub(crate) fn is_final(record: &RolloutRecord) -> bool {
    match record.stage() {
        RolloutStage::Canary | RolloutStage::Shifting => false,
        RolloutStage::Completed | RolloutStage::RolledBack => true,
    }
}

/// Order of a service's records: the greatest is valid.
fn rank(record: &RolloutRecord) -> (u64, u64, u64) {
    (record.store_era, record.order_revision, record.revision)
}

fn entry(known: &KnownRollout, now: Instant) -> RolloutEntry {
    RolloutEntry {
        record: Some(known.record.clone()),
        order_age_ms: known.order_age(now).as_millis() as u64,
    }
}
