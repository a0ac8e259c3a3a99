//! Cluster membership: node announcements, failure detection and gossip between nodes.
//!
//! There is no central list of members. Each node builds its own table from the records
//! it receives from peers. The state machine does no I/O; the caller passes the current
//! time with each event.

mod member_probes;
mod member_table;
mod membership_action;
mod membership_machine;
mod probe_round;
mod record_order;
mod table_sync;
mod update_queue;

pub use member_table::MemberTable;
pub use membership_action::MembershipAction;
pub use membership_machine::MembershipMachine;
pub use record_order::is_superseded_by;
