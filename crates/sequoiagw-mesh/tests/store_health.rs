//! Retry delays and recovery notifications of the store's health.

use std::time::Duration;

use sequoiagw_mesh::StoreHealth;
use sequoiagw_node::NodeCounters;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use tokio::time::advance;

fn connection_lost() -> StoreError {
    StoreError::Unavailable {
        detail: "the connection ended".to_owned(),
    }
}

#[tokio::test(start_paused = true)]
async fn retries_soon_after_single_failure_and_rarely_during_outage() {
    let health = StoreHealth::new(NodeCounters::default());
    health.record_failure(&connection_lost());
    assert!(health.retry_delay() <= Duration::from_millis(500));
    advance(Duration::from_secs(3)).await;
    health.record_failure(&connection_lost());
    assert!(health.retry_delay() >= Duration::from_secs(1));
    health.record_success(StoreEra(1)).expect("the latest era");
    health.record_failure(&connection_lost());
    assert!(
        health.retry_delay() <= Duration::from_millis(500),
        "the delay must be short again after a recovery"
    );
}

#[tokio::test(start_paused = true)]
async fn notifies_recovery_once_after_failure() {
    let health = StoreHealth::new(NodeCounters::default());
    let mut recovery = health.subscribe_recovery();
    health.record_success(StoreEra(1)).expect("the latest era");
    assert!(!recovery.has_changed().expect("sender is alive"));
    health.record_failure(&connection_lost());
    health.record_success(StoreEra(1)).expect("the latest era");
    assert!(recovery.has_changed().expect("sender is alive"));
    recovery.mark_unchanged();
    health.record_success(StoreEra(1)).expect("the latest era");
    assert!(!recovery.has_changed().expect("sender is alive"));
}

#[tokio::test(start_paused = true)]
async fn answer_of_an_earlier_era_is_refused_and_a_later_era_counts_as_a_recovery() {
    let health = StoreHealth::new(NodeCounters::default());
    let mut recovery = health.subscribe_recovery();
    assert_eq!(health.record_success(StoreEra(4)), Ok(()));
    assert!(!recovery.has_changed().expect("sender is alive"));
    assert_eq!(health.record_success(StoreEra(5)), Ok(()));
    assert!(recovery.has_changed().expect("sender is alive"));
    recovery.mark_unchanged();
    let late = health.record_success(StoreEra(4));
    assert!(matches!(late, Err(StoreError::Superseded { .. })));
    assert!(!recovery.has_changed().expect("sender is alive"));
    assert_eq!(health.era(), StoreEra(5));
}
