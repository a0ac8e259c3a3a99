//! Joins the parts of large frames that arrive on a link.

use bytes::BytesMut;
use prost::Message;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::PeerFrame;
use thiserror::Error;

/// Largest frame that is joined, in bytes. It has to fit the largest body with its headers.
const MAX_JOINED_BYTES: usize = 8 * 1024 * 1024;

/// Error in the parts of a frame, after which the link can't be used any more.
#[derive(Debug, Error)]
pub enum JoinError {
    /// The parts exceed [`MAX_JOINED_BYTES`].
    #[error("frame in parts exceeds {MAX_JOINED_BYTES} bytes")]
    TooLong,
    /// The joined bytes aren't a frame.
    #[error("failed to decode frame joined from parts: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Joins the parts that arrive on one link.
#[derive(Debug, Default)]
pub struct PartJoiner {
    transfer: u64,
    bytes: BytesMut,
}

impl PartJoiner {
    /// Takes a frame and returns it if it is whole, the joined frame if it is a last part, and
    /// `None` for any other part.
    ///
    /// Errors: the parts are too long, or don't make a frame.
    pub fn join(&mut self, frame: PeerFrame) -> Result<Option<PeerFrame>, JoinError> {
        match frame.body {
            Some(FrameBody::Part(part)) => self.add_part(&part),
            _ => Ok(Some(frame)),
        }
    }

    fn add_part(&mut self, part: &FramePart) -> Result<Option<PeerFrame>, JoinError> {
        if part.transfer != self.transfer {
            self.transfer = part.transfer;
            self.bytes.clear();
        }
        if self.bytes.len() + part.bytes.len() > MAX_JOINED_BYTES {
            return Err(JoinError::TooLong);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if !part.last {
            return Ok(None);
        }
        let joined = std::mem::take(&mut self.bytes).freeze();
        Ok(Some(PeerFrame::decode(joined)?))
    }
}
