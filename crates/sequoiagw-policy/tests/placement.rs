//! Tests of the placement of calls, by their latency and their use of the link.

mod fleet_simulation;

use fleet_simulation::FleetSimulation;
use fleet_simulation::SimulatedLoad;
use fleet_simulation::SimulatedTarget;
use fleet_simulation::LOCAL;
use fleet_simulation::REMOTE;

/// Long calls that occupy four of the ten slots of a target without a slowdown.
const LONG_CALLS: SimulatedLoad = SimulatedLoad {
    route: "order",
    level: 1,
    interval_ms: 50,
    run_ms: 200,
    latency_target_ms: 600,
    timeout_ms: 1500,
};

/// Short calls on which runs at other backend servers wait.
const SHORT_CALLS: SimulatedLoad = SimulatedLoad {
    route: "check",
    level: 1,
    interval_ms: 40,
    run_ms: 20,
    latency_target_ms: 100,
    timeout_ms: 250,
};

fn target(data_centre: &'static str, slowdown: f64) -> SimulatedTarget {
    SimulatedTarget {
        data_centre,
        slots: 10,
        slowdown,
    }
}

#[test]
fn short_calls_stay_local_beside_long_calls() {
    let targets = [target(LOCAL, 2.0), target(REMOTE, 1.0)];
    let mut fleet = FleetSimulation::new(&targets, &[LONG_CALLS, SHORT_CALLS]);
    let short = fleet.run_for(10)[1];
    assert!(
        short.in_time_ratio() > 0.99,
        "more than 99 % of the short calls must be in time: {short:?}"
    );
    assert!(
        short.remote_dispatches * 50 < short.offered,
        "fewer than 2 % of the short calls may go to the remote target: {short:?}"
    );
}

#[test]
fn calls_go_to_the_remote_target_only_while_the_local_one_is_slow() {
    let targets = [target(LOCAL, 1.0), target(REMOTE, 1.0)];
    let mut fleet = FleetSimulation::new(&targets, &[LONG_CALLS]);
    fleet.run_for(3);
    fleet.set_slowdown(1, 6.0);
    fleet.run_for(2);
    let slow = fleet.run_for(8)[0];
    assert!(
        slow.in_time_ratio() > 0.85,
        "more than 85 % of the calls must be in time during the slowdown: {slow:?}"
    );
    fleet.set_slowdown(1, 1.0);
    fleet.run_for(10);
    let after = fleet.run_for(5)[0];
    assert!(
        after.in_time_ratio() > 0.99,
        "more than 99 % of the calls must be in time after the slowdown: {after:?}"
    );
    assert!(
        after.remote_dispatches * 10 < after.offered,
        "fewer than 10 % of the calls may go to the remote target after the slowdown: {after:?}"
    );
}
