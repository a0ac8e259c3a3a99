//! How calls to a store that fails are repeated.

use std::time::Duration;

use sequoiagw_mesh::StoreHealth;
use sequoiagw_node::CounterBoard;
use sequoiagw_store::StoreError;
use tokio::time::advance;

fn lost() -> StoreError {
    StoreError::Unavailable {
        detail: "the connection ended".to_owned(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_single_failure_is_followed_by_a_quick_try_and_an_outage_by_few() {
    let health = StoreHealth::new(CounterBoard::default());
    health.record_failure(&lost());
    assert!(health.retry_delay() <= Duration::from_millis(500));
    advance(Duration::from_secs(3)).await;
    health.record_failure(&lost());
    assert!(health.retry_delay() >= Duration::from_secs(1));
    health.record_success();
    health.record_failure(&lost());
    assert!(
        health.retry_delay() <= Duration::from_millis(500),
        "a new failure"
    );
}

#[tokio::test(start_paused = true)]
async fn the_first_answer_after_a_failure_is_told_once() {
    let health = StoreHealth::new(CounterBoard::default());
    let mut regained = health.subscribe_recovery();
    health.record_success();
    assert!(!regained.has_changed().expect("open"));
    health.record_failure(&lost());
    health.record_success();
    assert!(regained.has_changed().expect("open"));
    regained.mark_unchanged();
    health.record_success();
    assert!(!regained.has_changed().expect("open"));
}
