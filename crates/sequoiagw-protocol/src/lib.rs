//! Types that the other packages share: node identifiers, rank levels, error kinds, and the
//! messages between nodes with their framing. This package depends on no other package of the
//! workspace.

mod call_message;
mod config_message;
mod crash_message;
mod departure_message;
mod error_kind;
mod final_status;
mod frame_codec;
mod frame_part;
mod member_message;
mod node_identity;
mod peer_frame;
mod quota_message;
mod rank_level;
mod rollout_message;
mod version_message;

pub use call_message::*;
pub use config_message::*;
pub use crash_message::CrashRecord;
pub use crash_message::CrashRecords;
pub use departure_message::DepartureNotice;
pub use departure_message::DepartureReply;
pub use error_kind::ErrorKind;
pub use error_kind::ErrorRule;
pub use error_kind::RunState;
pub use error_kind::ERROR_KINDS;
pub use final_status::FinalStatus;
pub use final_status::StatusError;
pub use frame_codec::FrameCodec;
pub use frame_codec::FrameError;
pub use frame_codec::MAX_FRAME_BYTES;
pub use frame_codec::WIRE_VERSION;
pub use frame_part::FramePart;
pub use frame_part::TransferGrant;
pub use frame_part::TransferOffer;
pub use frame_part::LARGE_FRAME_BYTES;
pub use member_message::*;
pub use node_identity::NodeAddress;
pub use node_identity::NodeId;
pub use peer_frame::FrameBody;
pub use peer_frame::FrameKind;
pub use peer_frame::PeerFrame;
pub use peer_frame::FRAME_KINDS;
pub use quota_message::QuotaGrant;
pub use quota_message::QuotaRequest;
pub use rank_level::RankLevel;
pub use rollout_message::*;
pub use version_message::*;
