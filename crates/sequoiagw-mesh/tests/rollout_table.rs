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
