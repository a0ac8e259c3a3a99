//! Framing: a length prefix, a version byte, then the message.

use bytes::BufMut;
use bytes::BytesMut;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::PeerFrame;

/// Largest frame, in bytes: a full configuration of 1 MB or a large body with headers.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Version of the inner protocol, the first byte of each frame.
pub const WIRE_VERSION: u8 = 1;

/// Why bytes on a link aren't a frame. Each one ends its link and no other.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The link failed, or the frame is longer than [`MAX_FRAME_BYTES`].
    #[error("link broke or frame over {MAX_FRAME_BYTES} bytes: {0}")]
    Io(#[from] std::io::Error),
    /// The frame has no version byte.
    #[error("empty frame: the peer sent a length of 0")]
    Empty,
    /// The peer speaks another version.
    #[error("unknown frame version {0}, expected {WIRE_VERSION}: upgrade the older node")]
    Version(u8),
    /// The message doesn't decode.
    #[error("frame doesn't decode: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Encoder and decoder of frames.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl Encoder<&PeerFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: &PeerFrame, target: &mut BytesMut) -> Result<(), FrameError> {
        let mut payload = BytesMut::with_capacity(frame.encoded_len() + 1);
        payload.put_u8(WIRE_VERSION);
        frame.encode(&mut payload).map_err(std::io::Error::other)?;
        self.lengths.encode(payload.freeze(), target)?;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerFrame>, FrameError> {
        let Some(payload) = self.lengths.decode(source)? else {
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
