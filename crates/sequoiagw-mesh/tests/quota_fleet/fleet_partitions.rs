//! Fleets in several parts, each with nodes of all data centres: the parts keep the bound together, and callers
//! get what belongs to their part.

use std::time::Duration;

use sequoiagw_policy::QuotaLimit;

use crate::fleet_parts::demand;
use crate::fleet_parts::limit;
use crate::quota_fleet::QuotaFleet;

const FLEET_SIZE: usize = 71;
const RATE_PER_S: f64 = 800.0;
/// Low and usual demand, and that of a surge.
const LOW_PER_S: f64 = 320.0;
const USUAL_PER_S: f64 = 500.0;
const SURGE_PER_S: f64 = 3500.0;
/// Nodes in a cut of a third of the fleet.
const CUT_NODES: usize = FLEET_SIZE * 35 / 100;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Limits with a burst as large as the rate, and without one.
fn limits() -> [QuotaLimit; 2] {
    let without_burst = QuotaLimit {
        rate_per_s: RATE_PER_S,
        burst: 0.0,
    };
    [limit(RATE_PER_S), without_burst]
}

/// A fleet with the usual demand for some time.
fn busy_fleet(seed: u64, limit: QuotaLimit) -> QuotaFleet {
    let mut fleet = QuotaFleet::start(FLEET_SIZE, seed, &[("large", limit)]);
    fleet.run(seconds(4), &[]);
    run(&mut fleet, USUAL_PER_S, seconds(3));
    fleet
}

fn run(fleet: &mut QuotaFleet, rate_per_s: f64, time: Duration) {
    let demands = [demand("large", rate_per_s, fleet.all())];
    fleet.run(time, &demands);
}

/// Nodes without the counter, of all data centres, beginning at a position.
fn third_from(fleet: &QuotaFleet, first: usize) -> Vec<usize> {
    let counter = fleet.counter_of("large");
    let turned = (0..FLEET_SIZE).map(|index| (first + index) % FLEET_SIZE);
    let others = turned.filter(|node| *node != counter);
    others.take(CUT_NODES).collect()
}

fn heal(fleet: &mut QuotaFleet) {
    let all = fleet.all();
    fleet.set_part(&all, 0);
}

/// QUOTA: the counters of two parts granted the whole rate each, since both heard from nodes of all data
/// centres (review/8).
#[test]
fn two_parts_with_all_data_centres_stay_within_the_bound_together() {
    for limit in limits() {
        for seed in 1..4 {
            let mut fleet = busy_fleet(seed, limit);
            run(&mut fleet, SURGE_PER_S, seconds(2));
            let cut_off = third_from(&fleet, 7 * seed as usize);
            fleet.set_part(&cut_off, 1);
            run(&mut fleet, SURGE_PER_S, Duration::from_millis(5500));
            heal(&mut fleet);
            run(&mut fleet, SURGE_PER_S, seconds(6));
            fleet.assert_within_bound("large", limit);
        }
    }
}

/// QUOTA: as with two parts, with another counter that grants.
#[test]
fn three_parts_with_all_data_centres_stay_within_the_bound_together() {
    for limit in limits() {
        let mut fleet = busy_fleet(4, limit);
        run(&mut fleet, SURGE_PER_S, seconds(2));
        for part in 0..3 {
            let nodes: Vec<usize> = (0..FLEET_SIZE)
                .filter(|node| node / 3 % 3 == part)
                .collect();
            fleet.set_part(&nodes, part);
        }
        run(&mut fleet, SURGE_PER_S, seconds(12));
        heal(&mut fleet);
        run(&mut fleet, SURGE_PER_S, seconds(6));
        fleet.assert_within_bound("large", limit);
    }
}

/// QUOTA: each cut gives another counter the time that the first one takes to notice.
#[test]
fn a_cut_that_moves_stays_within_the_bound() {
    for limit in limits() {
        for pause_ms in [400, 1000, 2000] {
            let mut fleet = busy_fleet(5, limit);
            run(&mut fleet, SURGE_PER_S, seconds(2));
            for step in 0..8 {
                heal(&mut fleet);
                let cut_off = third_from(&fleet, 11 * step);
                fleet.set_part(&cut_off, 1);
                run(&mut fleet, SURGE_PER_S, Duration::from_millis(pause_ms));
            }
            heal(&mut fleet);
            run(&mut fleet, SURGE_PER_S, seconds(6));
            fleet.assert_within_bound("large", limit);
        }
    }
}

/// QUOTA: the first counter's bucket was full when the fleet was divided, and its part asked for less than the whole
/// rate. It didn't look which nodes it reached, and granted more than its part beside the other counters.
#[test]
fn demand_that_rises_in_four_parts_stays_within_the_bound() {
    for limit in limits() {
        let mut fleet = QuotaFleet::start(FLEET_SIZE, 10, &[("large", limit)]);
        run(&mut fleet, LOW_PER_S, seconds(4));
        for node in fleet.all() {
            fleet.set_part(&[node], node / 3 % 4);
        }
        run(&mut fleet, LOW_PER_S, seconds(2));
        run(&mut fleet, 2.5 * RATE_PER_S, seconds(12));
        fleet.assert_within_bound("large", limit);
    }
}

/// QUOTA: a counter that hears from nodes that it can't reach takes them for its own.
#[test]
fn links_that_are_cut_one_way_leave_the_bound_intact() {
    for limit in limits() {
        for open_way in [(0, 1), (1, 0)] {
            let mut fleet = busy_fleet(6, limit);
            run(&mut fleet, SURGE_PER_S, seconds(2));
            let cut_off = third_from(&fleet, 20);
            fleet.set_part(&cut_off, 1);
            fleet.open_way(open_way.0, open_way.1);
            run(&mut fleet, SURGE_PER_S, seconds(12));
            heal(&mut fleet);
            run(&mut fleet, SURGE_PER_S, seconds(6));
            fleet.assert_within_bound("large", limit);
        }
    }
}

/// A part of the fleet that grants less than belongs to its nodes refuses callers within their quota.
#[test]
fn usual_demand_is_served_in_both_parts_and_after_the_cut() {
    expect_service_in_parts(limit(RATE_PER_S));
}

/// The bucket of a workspace without a burst is too small for its entries' requests for permits.
#[test]
fn usual_demand_without_a_burst_is_served_in_both_parts() {
    expect_service_in_parts(limits()[1]);
}

fn expect_service_in_parts(limit: QuotaLimit) {
    let mut fleet = busy_fleet(7, limit);
    let cut_off = third_from(&fleet, 30);
    fleet.set_part(&cut_off, 1);
    run(&mut fleet, USUAL_PER_S, seconds(4));
    fleet.logs.clear();
    run(&mut fleet, USUAL_PER_S, seconds(6));
    heal(&mut fleet);
    run(&mut fleet, USUAL_PER_S, seconds(6));
    assert_served(&fleet);
}

/// The smaller part gets what belongs to its nodes also while the callers of both parts ask for more.
#[test]
fn a_surge_in_both_parts_gets_nearly_the_whole_rate() {
    let mut fleet = busy_fleet(8, limit(RATE_PER_S));
    let cut_off = third_from(&fleet, 40);
    fleet.set_part(&cut_off, 1);
    run(&mut fleet, SURGE_PER_S, seconds(4));
    let noticed = fleet.now;
    run(&mut fleet, SURGE_PER_S, seconds(5));
    let used = fleet.log("large").allowed_since(noticed);
    assert!(used > 3700, "{used} of 4,000 permits were used");
    fleet.assert_within_bound("large", limit(RATE_PER_S));
}

/// Callers that all enter at one node of a silent fleet give the counter no evidence of the other nodes.
#[test]
fn usual_demand_at_one_node_of_a_silent_fleet_is_served() {
    expect_service_at_one_node(limit(RATE_PER_S));
}

/// The same without a burst, where the bucket is too small for what one entry asks for at once.
#[test]
fn usual_demand_without_a_burst_at_one_node_is_served() {
    expect_service_at_one_node(limits()[1]);
}

fn expect_service_at_one_node(limit: QuotaLimit) {
    let mut fleet = QuotaFleet::start(FLEET_SIZE, 9, &[("large", limit)]);
    fleet.run(seconds(30), &[]);
    for node in [0, 3, 5] {
        let usual = [demand("large", USUAL_PER_S, vec![node])];
        fleet.run(seconds(4), &usual);
        fleet.run(seconds(10), &[]);
    }
    assert_served(&fleet);
}

/// Asserts that of 1,000 requests at most one wasn't allowed.
fn assert_served(fleet: &QuotaFleet) {
    let log = fleet.log("large");
    let unserved = log.refused.len() + log.unavailable.len();
    let total = log.total();
    assert!(1000 * unserved <= total, "{unserved} of {total}");
}
