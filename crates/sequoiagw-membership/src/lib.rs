//! Membership: announcements, failure detection and their spread between nodes.
//!
//! Nothing lists the members. Each node keeps a table that it builds from what its peers
//! tell it. The state machine does no I/O and takes the clock's reading with each event.

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
