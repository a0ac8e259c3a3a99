//! Frames that wait for a link: small ones, and large ones that are sent in parts.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::PendingAnswer;

/// Largest part of a frame, in bytes. A frame up to this size is sent whole.
pub(crate) const PART_BYTES: usize = 16 * 1024;

/// Frames that wait for a link.
///
/// Serves links on which a large answer takes longer than the time after which entries query a
/// call: queries, refusals and load reports don't wait behind it, and each of its parts shows the
/// receiver that the peer is alive.
#[derive(Debug, Default)]
pub struct SendQueue {
    small: VecDeque<PeerFrame>,
    large: VecDeque<PeerFrame>,
    transfer: Option<FrameTransfer>,
    transfers: u64,
    splits_frames: bool,
}

/// A large frame of which parts have been sent.
#[derive(Debug)]
struct FrameTransfer {
    number: u64,
    /// Boot and dispatch number of the answered call, `None` for another message.
    answered_call: Option<(u64, u64)>,
    sender: u64,
    boot: u64,
    left: Bytes,
}

impl SendQueue {
    /// Creates an empty queue. Frames are split only if the peer joins their parts.
    pub fn new(splits_frames: bool) -> Self {
        Self {
            splits_frames,
            ..Self::default()
        }
    }

    /// Whether no frame waits and no large one is incomplete.
    pub fn is_empty(&self) -> bool {
        self.small.is_empty() && !self.has_large()
    }

    /// Adds a frame. An answer that is being sent already isn't sent twice: the receiver, which
    /// has queried the call, is told that the answer is pending.
    pub fn push(&mut self, frame: PeerFrame) {
        if !self.splits_frames || frame.encoded_len() <= PART_BYTES {
            self.small.push_back(frame);
            return;
        }
        match answered_call(&frame).filter(|call| self.is_sending(*call)) {
            Some(_) => self.small.extend(pending_answer(frame)),
            None => self.large.push_back(frame),
        }
    }

    /// Removes and returns the next small frame.
    pub fn pop_small(&mut self) -> Option<PeerFrame> {
        self.small.pop_front()
    }

    /// Whether a large frame waits or is incomplete.
    pub fn has_large(&self) -> bool {
        self.transfer.is_some() || !self.large.is_empty()
    }

    /// Removes and returns the next part of a large frame.
    pub fn pop_part(&mut self) -> Option<PeerFrame> {
        if self.transfer.is_none() {
            let frame = self.large.pop_front()?;
            self.transfers += 1;
            self.transfer = Some(FrameTransfer {
                number: self.transfers,
                answered_call: answered_call(&frame),
                sender: frame.sender,
                boot: frame.boot,
                left: frame.encode_to_vec().into(),
            });
        }
        let transfer = self.transfer.as_mut()?;
        let length = transfer.left.len().min(PART_BYTES);
        let part = FramePart {
            transfer: transfer.number,
            bytes: transfer.left.split_to(length),
            last: transfer.left.is_empty(),
        };
        let sender = NodeId::from(transfer.sender);
        let frame = PeerFrame::new(sender, transfer.boot, FrameBody::Part(part));
        self.transfer.take_if(|transfer| transfer.left.is_empty());
        Some(frame)
    }

    /// Frames of which nothing has been sent.
    pub fn into_unsent(self) -> Vec<PeerFrame> {
        self.small.into_iter().chain(self.large).collect()
    }

    fn is_sending(&self, call: (u64, u64)) -> bool {
        let in_transfer = self
            .transfer
            .as_ref()
            .and_then(|transfer| transfer.answered_call);
        in_transfer == Some(call)
            || self
                .large
                .iter()
                .any(|frame| answered_call(frame) == Some(call))
    }
}

/// Boot of the entry and number of the dispatch that a frame answers.
fn answered_call(frame: &PeerFrame) -> Option<(u64, u64)> {
    match &frame.body {
        Some(FrameBody::Answer(answer)) => Some((answer.entry_boot, answer.call)),
        _ => None,
    }
}

/// The frame of an answer with its outcome replaced by "pending".
fn pending_answer(frame: PeerFrame) -> Option<PeerFrame> {
    let Some(FrameBody::Answer(answer)) = frame.body else {
        return None;
    };
    let pending = CallAnswer {
        outcome: Some(CallOutcome::Pending(PendingAnswer {})),
        ..answer
    };
    Some(PeerFrame {
        body: Some(FrameBody::Answer(pending)),
        ..frame
    })
}
