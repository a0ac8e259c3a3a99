//! Parts of large frames, between which a link sends other frames.

use bytes::Bytes;
use prost::Message;

/// Largest frame that is sent whole, and largest part of a larger one, in bytes.
pub const LARGE_FRAME_BYTES: usize = 16 * 1024;

/// Part of the encoding of a large frame. The parts of a frame follow each other in order, with
/// other frames but no parts of another frame in between.
#[derive(Clone, Message, PartialEq)]
pub struct FramePart {
    /// Number of the frame on its link; a part with another number starts a new frame.
    #[prost(uint64, tag = "1")]
    pub transfer: u64,
    /// Next bytes of the encoding.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
    /// Whether the frame is complete with this part.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// Announcement of a large dispatch that the sender wants to send on this link.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct TransferOffer {
    /// Number of the transfer, which its parts carry.
    #[prost(uint64, tag = "1")]
    pub transfer: u64,
    /// Length of the encoding in bytes; 0 withdraws the offer of this transfer.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
    /// Time within which the dispatch is useful to its receiver, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub due_ms: u32,
}

/// Permission of the receiver to send the next part of an offered transfer.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct TransferGrant {
    /// Number of the transfer.
    #[prost(uint64, tag = "1")]
    pub transfer: u64,
    /// Bytes that may be sent in addition to those granted before.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
    /// Whether the transfer was refused. None of its parts may be sent any more.
    #[prost(bool, tag = "3")]
    pub refused: bool,
}
