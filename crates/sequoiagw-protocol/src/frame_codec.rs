//! Framing of messages on links between nodes: a length prefix, a version byte and the encoded
//! message.

use bytes::BufMut;
use bytes::BytesMut;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::PeerFrame;

/// Maximum size of a frame. It has to fit a full configuration of 1 MB, and a large body with its
/// headers.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Version of the protocol between nodes, sent in the first byte of each frame's payload.
pub const WIRE_VERSION: u8 = 1;

/// Reason for which a frame can't be read or written. An error closes the link on which it occurs
/// and no other.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The link failed, or the frame is longer than [`MAX_FRAME_BYTES`].
    #[error("link failed or frame exceeds {MAX_FRAME_BYTES} bytes: {0}")]
    Io(#[from] std::io::Error),
    /// The frame has no version byte.
    #[error("empty frame: the peer sent a length of 0")]
    Empty,
    /// The peer uses another version of the protocol.
    #[error("unknown frame version {0}, expected {WIRE_VERSION}: upgrade the older node")]
    Version(u8),
    /// The message can't be decoded.
    #[error("failed to decode frame: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Encodes and decodes frames.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { length_codec }
    }
}

impl Encoder<&PeerFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: &PeerFrame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let mut payload = BytesMut::with_capacity(frame.encoded_len() + 1);
        payload.put_u8(WIRE_VERSION);
        frame.encode(&mut payload).map_err(std::io::Error::other)?;
        self.length_codec.encode(payload.freeze(), buffer)?;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerFrame>, FrameError> {
        let Some(payload) = self.length_codec.decode(source)? else {
            return Ok(None);
        };
        let Some((&version, message)) = payload.split_first() else {
            return Err(FrameError::Empty);
        };
        if version != WIRE_VERSION {
            return Err(FrameError::Version(version));
        }
        Ok(Some(PeerFrame::decode(message)?))
    }
}
