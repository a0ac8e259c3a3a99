//! Where calls are placed, as their callers and the links see it.

mod fleet_simulation;

use fleet_simulation::FleetSimulation;
use fleet_simulation::SimulatedLoad;
use fleet_simulation::SimulatedTarget;
use fleet_simulation::FAR;
use fleet_simulation::NEAR;

/// Long calls that fill four of ten slots.
const LONG_CALLS: SimulatedLoad = SimulatedLoad {
    route: "order",
    level: 1,
    gap_ms: 50,
    work_ms: 200,
    aim_ms: 600,
    timeout_ms: 1500,
};

/// Short calls that runs elsewhere wait for.
const SHORT_CALLS: SimulatedLoad = SimulatedLoad {
    route: "check",
    level: 1,
    gap_ms: 40,
    work_ms: 20,
    aim_ms: 100,
    timeout_ms: 250,
};

fn target(centre: &'static str, slowness: f64) -> SimulatedTarget {
    SimulatedTarget {
        centre,
        slots: 10,
        slowness,
    }
}

#[test]
fn a_short_call_stays_in_its_data_centre_though_other_calls_there_are_long() {
    let targets = [target(NEAR, 2.0), target(FAR, 1.0)];
    let mut fleet = FleetSimulation::new(&targets, &[LONG_CALLS, SHORT_CALLS]);
    let short = fleet.play(10)[1];
    assert!(short.timely() > 0.99, "{short:?}");
    assert!(short.crossed * 50 < short.offered, "{short:?}");
}

#[test]
fn calls_cross_while_the_near_target_is_slow_and_come_back_afterwards() {
    let targets = [target(NEAR, 1.0), target(FAR, 1.0)];
    let mut fleet = FleetSimulation::new(&targets, &[LONG_CALLS]);
    fleet.play(3);
    fleet.slow_down(1, 6.0);
    fleet.play(2);
    let slow = fleet.play(8)[0];
    assert!(slow.timely() > 0.85, "{slow:?}");
    fleet.slow_down(1, 1.0);
    fleet.play(10);
    let after = fleet.play(5)[0];
    assert!(after.timely() > 0.99, "{after:?}");
    assert!(after.crossed * 10 < after.offered, "{after:?}");
}
