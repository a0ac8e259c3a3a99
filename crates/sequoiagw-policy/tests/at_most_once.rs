//! At most once, and true refusals, between entries and owners on a hostile network.
//!
//! Frames are lost, doubled, delayed and reordered; owners restart; the store's answers
//! are lost after the claim took effect; callers repeat their keys through any entry.

mod fault_simulation;

use fault_simulation::FaultSimulation;
use fault_simulation::ENTRIES;
use fault_simulation::OWNERS;
use rand::Rng;

/// Plays random traffic and faults, then checks every promise.
fn play(seed: u64, faults: f64, steps: u32) -> FaultSimulation {
    let mut world = FaultSimulation::new(seed, faults);
    for step in 0..steps {
        let entry = world.rng.random_range(0..ENTRIES);
        match world.rng.random_range(0..20) {
            19 => {
                let owner = world.rng.random_range(0..OWNERS);
                world.leave(owner);
            }
            0 if faults > 0.0 => {
                let owner = world.rng.random_range(0..OWNERS);
                world.restart(owner);
            }
            // A keyed action, repeated by its caller through any entry.
            1..=9 => {
                let id = format!("keyed-{}", world.rng.random_range(0..=step / 4));
                world.call(entry, &id, &id, false);
            }
            10..=14 => world.call(entry, &format!("plain-{step}"), "", false),
            _ => world.call(entry, &format!("lookup-{step}"), "", true),
        }
        let pause = world.rng.random_range(0..40);
        world.step(pause);
    }
    world.step(6_000);
    assert!(
        world.open_calls.is_empty(),
        "callers without a reply: {:?}",
        world.open_calls
    );
    assert_eq!(world.wrong_answers, 0);
    for (id, runs) in &world.runs {
        assert!(
            id.starts_with("lookup") || *runs <= 1,
            "{id} ran {runs} times, seed {seed}"
        );
    }
    for id in world
        .reported_not_run
        .iter()
        .filter(|id| id.starts_with("plain") || id.starts_with("lookup"))
    {
        assert!(
            !world.runs.contains_key(id),
            "{id} ran and was told not run, seed {seed}"
        );
    }
    world
}

#[test]
fn without_faults_calls_are_served() {
    let world = play(1, 0.0, 400);
    assert!(world.served > 200, "{}", world.served);
}

#[test]
fn no_action_runs_twice_and_no_refusal_lies_on_a_hostile_network() {
    for seed in 0..60 {
        play(seed, 0.08, 150);
    }
}

#[test]
fn promises_hold_for_any_seed_and_fault_rate() {
    bolero::check!()
        .with_type::<(u64, u8)>()
        .with_iterations(60)
        .for_each(|(seed, faults)| {
            play(*seed, f64::from(faults % 40) / 100.0, 60);
        });
}

#[test]
fn a_key_is_answered_from_the_ledger_through_any_entry() {
    let mut world = FaultSimulation::new(3, 0.0);
    for entry in [0, 1, 0, 1] {
        world.call(entry, "order-1", "order-1", false);
        world.step(3_000);
    }
    // The backend breaks now and then; then the outcome stays unknown and nothing runs again.
    assert_eq!(world.runs["order-1"], 1);
}
