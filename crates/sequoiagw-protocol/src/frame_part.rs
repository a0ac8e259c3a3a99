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
