//! Large dispatches that are offered to a receiver and sent as it grants their parts.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::TransferGrant;
use sequoiagw_protocol::TransferOffer;
use sequoiagw_protocol::WaitLimit;
use sequoiagw_protocol::LARGE_FRAME_BYTES;

/// Dispatches that one link has offered and not sent whole, in the order of their offers.
#[derive(Debug, Default)]
pub(crate) struct TransferOffers {
    offered: VecDeque<OfferedDispatch>,
}

#[derive(Debug)]
struct OfferedDispatch {
    transfer: u64,
    frame: PeerFrame,
    /// Encoded bytes that have not been sent; `None` before the first grant.
    left: Option<Bytes>,
    left_bytes: usize,
    granted_bytes: usize,
}

/// A part of an offered dispatch.
#[derive(Debug)]
pub(crate) struct OfferedPart {
    /// Part to send.
    pub(crate) frame: PeerFrame,
    /// Number of bytes in the part.
    pub(crate) bytes: usize,
    /// The dispatch if this is its last part.
    pub(crate) ended: Option<PeerFrame>,
}

/// A dispatch that was removed before its last part was sent.
#[derive(Debug)]
pub(crate) struct RemovedDispatch {
    /// Number of its transfer.
    pub(crate) transfer: u64,
    /// Its frame.
    pub(crate) frame: PeerFrame,
    /// Bytes that had not been sent.
    pub(crate) left_bytes: usize,
}

impl TransferOffers {
    /// Adds a dispatch of this encoded length, and returns the frame of its offer.
    pub(crate) fn add(&mut self, transfer: u64, frame: PeerFrame, bytes: usize) -> PeerFrame {
        let offer = offer_frame(&frame, transfer, bytes, due_time(&frame));
        self.offered.push_back(OfferedDispatch {
            transfer,
            frame,
            left: None,
            left_bytes: bytes,
            granted_bytes: 0,
        });
        offer
    }

    /// Handles a grant. Returns the dispatch if it was refused.
    pub(crate) fn on_grant(&mut self, grant: &TransferGrant) -> Option<RemovedDispatch> {
        let mut offered = self.offered.iter();
        let index = offered.position(|offered| offered.transfer == grant.transfer)?;
        if grant.refused {
            return self.offered.remove(index).map(RemovedDispatch::from);
        }
        self.offered[index].granted_bytes += usize::try_from(grant.bytes).unwrap_or(usize::MAX);
        None
    }

    /// Whether a part may be sent.
    pub(crate) fn has_granted(&self) -> bool {
        self.offered.iter().any(|offered| offered.granted_bytes > 0)
    }

    /// Removes and returns the next part that was granted.
    pub(crate) fn pop_part(&mut self) -> Option<OfferedPart> {
        let mut all = self.offered.iter();
        let index = all.position(|offered| offered.granted_bytes > 0)?;
        let offered = &mut self.offered[index];
        let frame = &offered.frame;
        let left = offered
            .left
            .get_or_insert_with(|| frame.encode_to_vec().into());
        let bytes = left.len().min(offered.granted_bytes).min(LARGE_FRAME_BYTES);
        let part = FramePart {
            transfer: offered.transfer,
            bytes: left.split_to(bytes),
            last: left.is_empty(),
        };
        offered.granted_bytes -= bytes;
        offered.left_bytes = left.len();
        let is_last = part.last;
        let sender = NodeId::from(frame.sender);
        let frame = PeerFrame::new(sender, frame.boot, FrameBody::Part(part));
        let ended = is_last.then(|| self.offered.remove(index)).flatten();
        Some(OfferedPart {
            frame,
            bytes,
            ended: ended.map(|offered| offered.frame),
        })
    }

    /// Removes and returns the dispatches that `is_removed` selects.
    pub(crate) fn remove<IsRemoved>(&mut self, is_removed: IsRemoved) -> Vec<RemovedDispatch>
    where
        IsRemoved: Fn(&PeerFrame) -> bool,
    {
        let offered = std::mem::take(&mut self.offered);
        let (removed, kept): (VecDeque<_>, VecDeque<_>) = offered
            .into_iter()
            .partition(|offered| is_removed(&offered.frame));
        self.offered = kept;
        removed.into_iter().map(RemovedDispatch::from).collect()
    }
}

impl RemovedDispatch {
    /// The frame with which the receiver drops what it has of the dispatch.
    pub(crate) fn withdrawal(&self) -> PeerFrame {
        offer_frame(&self.frame, self.transfer, 0, Duration::ZERO)
    }
}

impl From<OfferedDispatch> for RemovedDispatch {
    fn from(offered: OfferedDispatch) -> Self {
        Self {
            transfer: offered.transfer,
            frame: offered.frame,
            left_bytes: offered.left_bytes,
        }
    }
}

fn offer_frame(dispatch: &PeerFrame, transfer: u64, bytes: usize, due: Duration) -> PeerFrame {
    let offer = TransferOffer {
        transfer,
        bytes: bytes as u64,
        due_ms: due.as_millis() as u32,
    };
    let sender = NodeId::from(dispatch.sender);
    PeerFrame::new(sender, dispatch.boot, FrameBody::TransferOffer(offer))
}

/// Time within which a dispatch is useful to its receiver: what is left of the latency target, or
/// of the deadline if the call may wait until then.
fn due_time(frame: &PeerFrame) -> Duration {
    let Some(FrameBody::Dispatch(dispatch)) = &frame.body else {
        return Duration::ZERO;
    };
    let due_ms = match dispatch.wait_limit() {
        WaitLimit::Deadline => dispatch.remaining_ms,
        WaitLimit::Short | WaitLimit::LatencyTarget => dispatch.latency_target_ms,
    };
    Duration::from_millis(u64::from(due_ms))
}
