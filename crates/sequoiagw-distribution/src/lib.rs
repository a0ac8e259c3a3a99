//! State kept in the platform's store: accepted configuration versions and their
//! distribution to all nodes, the holders that watch the store, and claims on idempotency
//! keys.
//!
//! The state machines do no I/O; the caller passes the current time with each event.

mod claim_committer;
mod config_writer;
mod held_version;
mod holder_machine;
mod store_keys;
mod version_action;
mod version_machine;
mod version_majority;
mod version_peers;
mod version_propagation;
mod write_error;

pub use claim_committer::ClaimAction;
pub use claim_committer::ClaimCommitter;
pub use config_writer::ConfigChange;
pub use config_writer::ConfigWriter;
pub use config_writer::CurrentConfig;
pub use held_version::HeldVersion;
pub use holder_machine::HolderAction;
pub use holder_machine::HolderIdentity;
pub use holder_machine::HolderMachine;
pub use holder_machine::SeatCandidacy;
pub use store_keys::StoreKeys;
pub use store_keys::HEAD_KEY;
pub use store_keys::SEATS_PER_DATA_CENTRE;
pub use version_action::VersionAction;
pub use version_machine::VersionMachine;
pub use version_peers::VersionPeers;
pub use write_error::WriteError;
