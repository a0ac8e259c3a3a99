//! Loads: what callers get while all nodes run.

use std::time::Duration;

use crate::fleet_parts::demand;
use crate::fleet_parts::limit;
use crate::quota_fleet::QuotaFleet;

/// Nodes of the customer's fleet.
const FLEET_SIZE: usize = 71;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Time in which buckets fill after the start of a fleet.
const WARM_UP: Duration = seconds(4);

#[test]
fn seven_times_the_usual_demand_gets_the_quota_and_others_lose_nothing() {
    let limits = [("large", limit(800.0)), ("small", limit(4.8))];
    let mut fleet = QuotaFleet::start(FLEET_SIZE, 1, &limits);
    fleet.run(WARM_UP, &[]);
    let usual = [
        demand("large", 500.0, fleet.all()),
        demand("small", 3.0, fleet.all()),
    ];
    fleet.run(seconds(5), &usual);
    let before = fleet.log("large");
    assert!(
        before.refused_share() < 0.002,
        "{} refused",
        before.refused.len()
    );
    let surge_start = fleet.now;
    let surge = [
        demand("large", 3500.0, fleet.all()),
        demand("small", 3.0, fleet.all()),
    ];
    fleet.run(seconds(5), &surge);
    let during = fleet.log("large").allowed_since(surge_start);
    assert!(
        during > 3800,
        "{during} of 4,000 permits were used in the surge"
    );
    fleet.assert_within_bound("large", limit(800.0));
    assert_eq!(fleet.log("small").refused.len(), 0);
    let calm_start = fleet.now + Duration::from_millis(500);
    fleet.run(seconds(5), &usual);
    let log = fleet.log("large");
    let late = log.refused.iter().filter(|at| **at >= calm_start).count();
    assert!(late < 10, "{late} refused after the surge");
}

#[test]
fn rare_requests_of_a_small_workspace_wait_for_one_round_trip_and_none_is_refused() {
    let mut fleet = QuotaFleet::start(FLEET_SIZE, 2, &[("small", limit(4.8))]);
    fleet.run(WARM_UP, &[]);
    let rare = [demand("small", 0.5, fleet.all())];
    fleet.run(seconds(60), &rare);
    let usual = [demand("small", 3.0, fleet.all())];
    fleet.run(seconds(20), &usual);
    let log = fleet.log("small");
    // 5 requests in a second come now and then at 3 a second; a bucket holds two.
    assert!(
        log.refused_share() < 0.02,
        "{} of {} refused",
        log.refused.len(),
        log.total()
    );
    assert_eq!(log.unavailable.len(), 0);
    assert!(
        log.longest_wait() < Duration::from_millis(4),
        "{:?}",
        log.longest_wait()
    );
}

#[test]
fn demand_that_moves_to_another_data_centre_is_followed_at_once() {
    let mut fleet = QuotaFleet::start(FLEET_SIZE, 3, &[("large", limit(800.0))]);
    fleet.run(WARM_UP, &[]);
    for centre in [0, 1, 2] {
        let moved = [demand("large", 500.0, fleet.centre(centre))];
        fleet.run(seconds(3), &moved);
    }
    let log = fleet.log("large");
    assert!(log.refused_share() < 0.002, "{} refused", log.refused.len());
    assert_eq!(log.unavailable.len(), 0);
    assert!(
        log.longest_wait() < Duration::from_millis(10),
        "{:?}",
        log.longest_wait()
    );
}

#[test]
fn a_quota_that_is_lowered_far_below_the_demand_binds_within_a_window() {
    let mut fleet = QuotaFleet::start(FLEET_SIZE, 4, &[("large", limit(800.0))]);
    fleet.run(WARM_UP, &[]);
    let usual = [demand("large", 500.0, fleet.all())];
    fleet.run(seconds(4), &usual);
    let lowered = limit(20.0);
    fleet.set_limits(2, &[("large", lowered)]);
    fleet.run(seconds(5), &usual);
    fleet.logs.clear();
    fleet.run(seconds(10), &usual);
    fleet.assert_within_bound("large", lowered);
    let used = fleet.log("large").allowed.len();
    assert!(used > 170, "{used} of 200 permits were used");
}
