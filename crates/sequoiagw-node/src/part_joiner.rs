//! Joins the parts of large frames that arrive on a link.

use bytes::BytesMut;
use prost::Message;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::BufferReservation;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::PeerFrame;
use thiserror::Error;
use tracing::warn;

/// Largest frame that is joined, in bytes: a body of 8 MiB with its headers.
pub(crate) const MAX_JOINED_BYTES: usize = 8 * 1024 * 1024 + 256 * 1024;

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
#[derive(Debug)]
pub struct PartJoiner {
    budget: BufferBudget,
    transfer: u64,
    bytes: BytesMut,
    /// Part of the budget for the frame that is joined, `None` if there was no room: its parts are
    /// dropped, and it counts as lost.
    reservation: Option<BufferReservation>,
}

impl PartJoiner {
    /// Creates a joiner whose frames use a part of `budget`.
    pub fn new(budget: BufferBudget) -> Self {
        Self {
            reservation: Some(budget.reservation()),
            budget,
            transfer: 0,
            bytes: BytesMut::new(),
        }
    }

    /// Creates a joiner for a single transfer.
    pub(crate) fn for_transfer(transfer: u64, budget: BufferBudget) -> Self {
        Self {
            transfer,
            ..Self::new(budget)
        }
    }

    /// Reserves memory for the whole frame before its first part; returns whether there was room.
    pub(crate) fn reserve(&mut self, frame_bytes: usize) -> bool {
        let reservation = self.reservation.as_mut();
        reservation.is_some_and(|reservation| reservation.try_grow(frame_bytes as u64))
    }

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

    /// Takes a part and returns the joined frame if it is the last one.
    ///
    /// Errors: the parts are too long, or don't make a frame.
    pub(crate) fn add_part(&mut self, part: &FramePart) -> Result<Option<PeerFrame>, JoinError> {
        if part.transfer != self.transfer {
            self.transfer = part.transfer;
            self.begin_frame();
        }
        let joined_bytes = self.bytes.len() + part.bytes.len();
        if joined_bytes > MAX_JOINED_BYTES {
            return Err(JoinError::TooLong);
        }
        if !self.has_room(joined_bytes) {
            return Ok(None);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if !part.last {
            return Ok(None);
        }
        let joined = std::mem::take(&mut self.bytes).freeze();
        let reservation = self.reservation.take();
        self.begin_frame();
        let joined = match reservation {
            Some(reservation) => reservation.attach(joined),
            None => joined,
        };
        Ok(Some(PeerFrame::decode(joined)?))
    }

    fn begin_frame(&mut self) {
        self.bytes = BytesMut::new();
        self.reservation = Some(self.budget.reservation());
    }

    /// Whether there is room for the frame that is joined. Once there was none, its other parts are
    /// dropped as well.
    fn has_room(&mut self, joined_bytes: usize) -> bool {
        let Some(reservation) = &mut self.reservation else {
            return false;
        };
        if reservation.try_grow(joined_bytes as u64) {
            return true;
        }
        warn!(
            event = "frame_dropped",
            joined_bytes,
            used_bytes = self.budget.used()
        );
        self.bytes = BytesMut::new();
        self.reservation = None;
        false
    }
}
