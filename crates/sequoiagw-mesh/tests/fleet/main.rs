//! Fleets of nodes in one process, with a store that may be cut off from some of them.

mod direct_links;
mod fleet_node;
mod fleet_store;
mod lost_watchers;
#[path = "../number_format/mod.rs"]
mod number_format;
#[path = "../support/mod.rs"]
mod support;
