//! Activation of versions at one node when store replies arrive out of order.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::MeshConfig;
use sequoiagw_config::RawValue;
use sequoiagw_config::SettingName;
use sequoiagw_distribution::VersionAction;
use sequoiagw_distribution::VersionMachine;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// A chain of versions that differ in the number of retries.
fn chain(length: i64) -> Vec<AcceptedConfig> {
    let mut chain: Vec<AcceptedConfig> = Vec::new();
    for retries in 0..length {
        let mut config = MeshConfig::default();
        config
            .defaults
            .insert(SettingName::Retries, RawValue::Integer(retries));
        chain.push(AcceptedConfig::successor_of(chain.last(), &config));
    }
    chain
}

fn machine() -> VersionMachine {
    let rng = ChaCha8Rng::seed_from_u64(1);
    VersionMachine::new(NodeId::from(1), "north", rng, Instant::now())
}

#[test]
fn stale_store_replies_never_activate_older_version() {
    bolero::check!()
        .with_type::<Vec<(u8, bool)>>()
        .with_iterations(200)
        .for_each(|replies| {
            let chain = chain(9);
            let mut machine = machine();
            let mut activated = Vec::new();
            let mut newest_complete = 0;
            for (index, as_changes) in replies {
                let entry = &chain[usize::from(index % 9)];
                if *as_changes {
                    machine.on_stored_changes(entry, Instant::now());
                } else {
                    machine.on_stored_version(Some(entry), Instant::now());
                    newest_complete = newest_complete.max(entry.version);
                }
                for action in machine.take_actions() {
                    if let VersionAction::Activate(compiled) = action {
                        activated.push(compiled.version);
                    }
                }
            }
            let distinct: BTreeSet<u64> = activated.iter().copied().collect();
            assert!(
                activated.is_sorted() && distinct.len() == activated.len(),
                "versions must be activated once each and in ascending order: {activated:?}"
            );
            assert!(
                machine.active() >= newest_complete,
                "the newest complete version read must be active"
            );
        });
}
