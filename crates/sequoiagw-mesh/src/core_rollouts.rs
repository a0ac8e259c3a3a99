//! Roll-outs: what this node knows of them, and what it writes and sends.

use std::fmt::Write;
use std::time::Duration;

use sequoiagw_policy::RolloutController;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_protocol::RolloutTableMessage;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::node_rollouts::NodeRollouts;
use crate::rollout_gate::next_change;
use crate::MeshCore;
use crate::MeshSettings;
use crate::RolloutOrder;
use crate::RolloutTable;

/// Shortest time between two ticks for roll-outs, also if something that is overdue has to wait.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);

impl MeshCore {
    /// Whether roll-outs are on.
    pub fn has_rollouts(&self) -> bool {
        self.rollouts.is_some()
    }

    /// Whether an order is known whose roll-out hasn't ended.
    pub fn has_open_rollout(&self) -> bool {
        let rollouts = self.rollouts.as_ref();
        rollouts.is_some_and(|rollouts| rollouts.table.has_open_order())
    }

    /// Records of roll-outs that this node knows; `None` where roll-outs are off.
    pub fn rollout_table(&self) -> Option<&RolloutTable> {
        self.rollouts.as_ref().map(|rollouts| &rollouts.table)
    }

    /// Applies all orders and records that the store has in an era.
    pub fn on_rollout_content(
        &mut self,
        orders: &[RolloutOrder],
        records: Vec<RolloutRecord>,
        era: StoreEra,
        now: Instant,
    ) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let new_records = rollouts
            .table
            .apply_store_content(orders, records, era, now);
        self.on_stored_records(&new_records, now);
    }

    /// Applies orders that the store has in an era.
    pub fn on_rollout_orders(&mut self, orders: &[RolloutOrder], era: StoreEra, now: Instant) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let mut has_new_order = false;
        for order in orders {
            if rollouts.table.add_order(order, era, now) {
                has_new_order = true;
                rollouts.proposals.withdraw(&order.service);
                info!(
                    event = "rollout_ordered",
                    service = %order.service,
                    new_version = %order.new_version,
                    order_revision = order.revision,
                    duration_ms = order.duration.as_millis() as u64
                );
                self.counters.count("rollout.ordered");
            }
        }
        if has_new_order {
            self.update_rollouts(now);
        }
    }

    /// Applies all records that the store has in an era.
    pub fn on_rollout_records(&mut self, records: Vec<RolloutRecord>, era: StoreEra, now: Instant) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let new_records = rollouts.table.apply_stored(records, era, now);
        self.on_stored_records(&new_records, now);
    }

    /// Applies the record of one service, as this node has read or written it.
    pub fn on_rollout_record(&mut self, record: &RolloutRecord, now: Instant) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        if rollouts.table.merge(record.clone(), Duration::ZERO, now) {
            self.on_stored_records(std::slice::from_ref(record), now);
        }
    }

    /// Handles records that are new here and came from the store. Those that this node has written
    /// are sent to all nodes, and a watcher sends the others to its data centre.
    fn on_stored_records(&mut self, new_records: &[RolloutRecord], now: Instant) {
        for record in new_records {
            self.record_stage(record);
            if record.writer == self.settings.name {
                self.send_rollout_to_all(&record.service, now);
            } else if self.is_watcher() {
                self.send_rollout_to_data_centre(&record.service, now);
            }
        }
        self.update_rollouts(now);
    }

    /// Handles records of a peer, or its request for those of this node.
    pub(crate) fn on_rollout_table(
        &mut self,
        from: NodeId,
        received: RolloutTableMessage,
        now: Instant,
    ) {
        let Some(rollouts) = &mut self.rollouts else {
            self.counters.count("frame.unexpected");
            return;
        };
        if received.complete {
            rollouts.table.set_complete();
        }
        let mut new_records = Vec::new();
        for entry in received.entries {
            let age = Duration::from_millis(entry.order_age_ms);
            let Some(record) = entry.record else {
                continue;
            };
            if rollouts.table.merge_from_peer(record.clone(), age, now) {
                new_records.push(record);
            }
        }
        if received.requested {
            let answer = rollouts.table.message(false, now);
            self.send(from, FrameBody::Rollouts(answer));
        }
        for record in &new_records {
            self.record_stage(record);
            if self.is_watcher() {
                self.send_rollout_to_data_centre(&record.service, now);
            }
        }
        self.update_rollouts(now);
    }

    /// Compares the hash of a watcher's records with that of this node's, and exchanges the records
    /// if they differ.
    pub(crate) fn on_rollout_hash(&mut self, from: NodeId, hash: Option<u64>, now: Instant) {
        let (Some(rollouts), Some(hash)) = (&self.rollouts, hash) else {
            return;
        };
        let table = &rollouts.table;
        if hash != table.hash() || !table.is_complete() {
            let request = table.message(true, now);
            self.counters.count("rollout.requested");
            self.send(from, FrameBody::Rollouts(request));
        }
    }

    /// Hash of this node's records for its digests; `None` where roll-outs are off.
    pub(crate) fn rollout_hash(&self) -> Option<u64> {
        self.rollouts.as_ref().map(|rollouts| rollouts.table.hash())
    }

    /// Does what is due for roll-outs at `now`.
    pub(crate) fn on_rollout_tick(&mut self, now: Instant) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        if let Some(controller) = rollouts.controller_mut() {
            controller.on_tick(now);
        }
        if rollouts.target_change.is_some_and(|change| change <= now) {
            self.update_rollout_targets(now);
        }
        self.propose_watcher_writes(now);
        self.process_rollout_actions();
        self.update_rollout_gate(now);
    }

    /// Time of the next [`Self::on_rollout_tick`].
    pub(crate) fn next_rollout_wake(&self, now: Instant) -> Option<Instant> {
        let rollouts = self.rollouts.as_ref()?;
        let controller_wake = rollouts.controller().and_then(RolloutController::next_wake);
        let position = self.rollout_writer_position();
        let known = rollouts.table.rollouts();
        let times = known.flat_map(|known| {
            let write = position
                .and_then(|position| rollouts.proposals.watcher_write_time(known, position));
            [write, next_change(known, now)]
        });
        let earliest = times.flatten().chain(controller_wake).min()?;
        Some(earliest.max(now + MIN_TICK_INTERVAL))
    }

    /// Appends the stage of each known roll-out to a metrics page; adds nothing where roll-outs are off.
    pub(crate) fn write_rollout_metrics(&self, page: &mut String) -> std::fmt::Result {
        let known = self
            .rollout_table()
            .into_iter()
            .flat_map(RolloutTable::rollouts);
        for record in known.map(|known| &known.record) {
            writeln!(
                page,
                "sequoiagw_rollout_stage{{service=\"{}\",new_version=\"{}\",stage=\"{}\"}} 1",
                record.service,
                record.new_version,
                stage_name(record)
            )?;
        }
        Ok(())
    }

    /// Sends the record of a service to all other nodes.
    fn send_rollout_to_all(&mut self, service: &str, now: Instant) {
        let Some(rollouts) = &self.rollouts else {
            return;
        };
        let body = FrameBody::Rollouts(rollouts.table.message_of(service, now));
        let nodes: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        for node in nodes {
            if node != self.node {
                self.send(node, body.clone());
            }
        }
    }

    fn send_rollout_to_data_centre(&mut self, service: &str, now: Instant) {
        if let Some(rollouts) = &self.rollouts {
            let body = FrameBody::Rollouts(rollouts.table.message_of(service, now));
            self.broadcast_to_data_centre(&body, now);
        }
    }

    /// Logs and counts a record that is new here.
    fn record_stage(&mut self, record: &RolloutRecord) {
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.proposals.withdraw(&record.service);
        }
        let stage = stage_name(record);
        info!(
            event = "rollout_stage",
            service = %record.service,
            new_version = %record.new_version,
            stage,
            driver = %record.driver,
            writer = %record.writer,
            order_revision = record.order_revision,
            revision = record.revision,
            era = record.store_era
        );
        self.counters.count("rollout.records");
        self.record_objections(record);
    }

    /// Logs and counts the objections of a record that are new here.
    fn record_objections(&mut self, record: &RolloutRecord) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let recorded = rollouts
            .recorded_objections
            .entry(record.service.clone())
            .or_default();
        if recorded.0 != record.order_revision {
            *recorded = (record.order_revision, 0);
        }
        for objection in record.objections.iter().skip(recorded.1) {
            warn!(
                event = "rollout_objection",
                service = %record.service,
                new_version = %record.new_version,
                node = %objection.node,
                reason = %objection.reason
            );
            self.counters.count("rollout.objections");
        }
        recorded.1 = record.objections.len();
    }
}

/// Name of a record's stage in log lines and metrics.
pub(crate) fn stage_name(record: &RolloutRecord) -> &'static str {
    match record.stage() {
        RolloutStage::Canary => "canary",
        RolloutStage::Shifting => "shifting",
        RolloutStage::Completed => "completed",
        RolloutStage::RolledBack => "rolled_back",
    }
}

impl NodeRollouts {
    /// Part of a node for which roll-outs are on, `None` otherwise.
    pub(crate) fn for_settings(settings: &MeshSettings) -> Option<Box<Self>> {
        settings.rollout.map(|bounds| Box::new(Self::new(bounds)))
    }
}
