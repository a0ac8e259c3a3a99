//! Table of the records of roll-outs.

use std::time::Duration;

use sequoiagw_mesh::RolloutOrder;
use sequoiagw_mesh::RolloutTable;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_store::StoreEra;
use tokio::time::Instant;

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: "press".to_owned(),
        new_version: "v2".to_owned(),
        duration: Duration::from_secs(12),
        revision,
    }
}

fn ended_record(order_revision: u64, revision: u64) -> RolloutRecord {
    RolloutRecord {
        service: "press".to_owned(),
        new_version: "v2".to_owned(),
        order_revision,
        duration_ms: 12_000,
        stage: RolloutStage::RolledBack.into(),
        revision,
        ..RolloutRecord::default()
    }
}

/// Guards against a second order whose record no watcher can write: the condition of the write names
/// the revision of the first order's record, which the watcher learns only after the order.
#[test]
fn revision_of_an_earlier_orders_record_is_noted_for_the_write_of_the_next() {
    let now = Instant::now();
    let mut table = RolloutTable::default();
    table.add_order(&order(20), StoreEra::default(), now);
    assert!(!table.merge(ended_record(5, 9), Duration::ZERO, now));
    let known = table.rollout("press").expect("an order");
    assert_eq!(known.record.order_revision, 20);
    assert_eq!(known.stored_revision, 9);
    table.apply_store_content(
        &[order(20)],
        vec![ended_record(5, 11)],
        StoreEra::default(),
        now,
    );
    let known = table.rollout("press").expect("an order");
    assert_eq!(known.stored_revision, 11);
}

/// Guards against a starting node that takes a peer's table for complete although the peer leaves out
/// an order without a record: its owner would admit all calls to the new version.
#[test]
fn table_for_a_peer_has_orders_without_a_record() {
    let now = Instant::now();
    let era = StoreEra::default();
    let mut sender = RolloutTable::default();
    sender.apply_store_content(&[order(20)], vec![ended_record(5, 9)], era, now);
    let mut receivers = [RolloutTable::default(), RolloutTable::default()];
    receivers[1].apply_store_content(&[order(5)], vec![ended_record(5, 9)], era, now);
    for receiver in &mut receivers {
        let message = sender.message(false, now);
        assert!(message.complete);
        for entry in message.entries {
            let record = entry.record.expect("a record");
            assert!(receiver.merge_from_peer(record, Duration::ZERO, now));
        }
        let known = receiver.rollout("press").expect("the order");
        assert_eq!(known.record.order_revision, 20);
        assert!(!known.is_recorded());
    }
    let known = receivers[1].rollout("press").expect("the order");
    assert_eq!(known.stored_revision, 9, "the condition of the first write");
}
