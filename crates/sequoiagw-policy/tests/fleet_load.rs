//! Tests of what callers get from a whole fleet, where each entry sees a target only now and then.

mod mesh_simulation;

use mesh_simulation::MeshLoad;
use mesh_simulation::MeshShape;
use mesh_simulation::MeshSimulation;

/// 75 entries for 44 targets in four data centres: an entry sees a target every few seconds.
const FLEET: MeshShape = MeshShape {
    data_centres: 4,
    entries: 75,
    targets: 44,
    slots: 12,
    speeds: &[0.6, 1.0, 1.4],
};

fn loads(factor: f64) -> [MeshLoad; 2] {
    [
        MeshLoad {
            route: "lookup",
            level: 0,
            per_s: 1077.0 * factor,
            run_ms: 200.0,
            latency_target_ms: 800,
            timeout_ms: 3000,
        },
        MeshLoad {
            route: "confirm",
            level: 1,
            per_s: 367.0 * factor,
            run_ms: 260.0,
            latency_target_ms: 800,
            timeout_ms: 3000,
        },
    ]
}

#[test]
fn one_dispatch_serves_a_call_while_the_fleet_has_room() {
    let mut mesh = MeshSimulation::new(FLEET, &loads(1.0));
    mesh.run_for(2);
    let results = mesh.run_for(5);
    let offered: u32 = results.iter().map(|result| result.offered).sum();
    assert!(
        f64::from(mesh.dispatches) < f64::from(offered) * 1.002,
        "{} dispatches for {offered} calls",
        mesh.dispatches
    );
    for result in &results {
        assert!(result.in_time_ratio() > 0.98, "{results:?}");
    }
}

#[test]
fn overload_is_refused_early_and_the_most_urgent_calls_stay_in_time() {
    let mut mesh = MeshSimulation::new(FLEET, &loads(1.8));
    mesh.run_for(2);
    let results = mesh.run_for(5);
    let (lookup, confirm) = (results[0], results[1]);
    assert!(lookup.in_time_ratio() > 0.98, "{results:?}");
    assert!(confirm.refusals > 0, "{results:?}");
    let late_share = f64::from(confirm.late_refusals) / f64::from(confirm.refusals);
    assert!(late_share < 0.05, "{results:?}");
}

#[test]
fn callers_that_return_do_not_take_the_slots_of_those_that_can_be_in_time() {
    let mut overload = loads(4.0);
    for load in &mut overload {
        load.run_ms *= 0.45;
        load.latency_target_ms = 300;
        load.timeout_ms = 1200;
    }
    let mut mesh = MeshSimulation::new(FLEET, &overload);
    mesh.run_for(2);
    let confirm = mesh.run_for(3)[1];
    assert!(
        confirm.in_time > 2 * confirm.late,
        "more than two thirds of the calls served must be in time: {confirm:?}"
    );
}
