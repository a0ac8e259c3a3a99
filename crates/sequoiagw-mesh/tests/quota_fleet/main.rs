//! Quotas in fleets of node state machines with a simulated network: what callers get, and that a
//! workspace stays within its bound.

mod bound_property;
mod fleet_changes;
mod fleet_faults;
mod fleet_loads;
mod fleet_partitions;
mod fleet_parts;
mod message_figures;
mod quota_fleet;
#[path = "../support/mod.rs"]
mod support;
mod use_log;
