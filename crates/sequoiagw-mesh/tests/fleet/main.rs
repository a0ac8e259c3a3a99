//! Fleets of nodes in one process, with a store that may be cut off from some of them or restored from
//! a copy.

mod direct_links;
mod fleet_node;
mod fleet_store;
mod foreign_entries;
mod lost_watchers;
#[path = "../number_format/mod.rs"]
mod number_format;
mod quotas;
mod restored_store;
mod rollout_backend;
mod rollout_faults;
mod rollout_fleet;
mod rollouts;
#[path = "../support/mod.rs"]
mod support;
