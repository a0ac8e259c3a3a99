//! What goes through the platform's store: accepted versions and their spread to every
//! node, the holders that watch the store, and claims on idempotency keys.
//!
//! The machines do no I/O and take the clock's reading with each event.

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
