//! Frames that wait for a link: small ones, and large ones that are sent in parts.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::PendingAnswer;
use sequoiagw_protocol::LARGE_FRAME_BYTES;
use tokio::time::Instant;

use crate::SendPacer;

/// Time past a call's deadline, as its owner knows it, for which its entry may still deliver the
/// answer.
const DELIVERY_GRACE: Duration = Duration::from_millis(50);

/// Frames that wait for a link.
///
/// Serves links on which a large answer takes longer than the time after which entries query a
/// call: queries, refusals and load reports don't wait behind it, and each of its parts shows the
/// receiver that the peer is alive.
#[derive(Debug)]
pub struct SendQueue {
    small: VecDeque<PeerFrame>,
    large: VecDeque<LargeFrame>,
    /// The large frame of which parts have been sent.
    transfer: Option<FrameTransfer>,
    transfers: u64,
    splits_frames: bool,
    pacer: Rc<SendPacer>,
}

/// A large frame of which nothing has been sent.
#[derive(Debug)]
struct LargeFrame {
    frame: PeerFrame,
    bytes: usize,
    /// When the caller stops waiting, `None` for a frame that isn't an answer.
    expires_at: Option<Instant>,
}

#[derive(Debug)]
struct FrameTransfer {
    number: u64,
    answered_call: Option<AnsweredCall>,
    expires_at: Option<Instant>,
    sender: u64,
    boot: u64,
    left: Bytes,
}

/// The call that an answer belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct AnsweredCall {
    entry_boot: u64,
    dispatch: u64,
}

impl SendQueue {
    /// Creates an empty queue. Frames are split only if the peer joins their parts; the bytes that
    /// wait are counted at `pacer`.
    pub fn new(splits_frames: bool, pacer: Rc<SendPacer>) -> Self {
        Self {
            small: VecDeque::new(),
            large: VecDeque::new(),
            transfer: None,
            transfers: 0,
            splits_frames,
            pacer,
        }
    }

    /// Adds a frame. An answer that is being sent already isn't sent twice: the receiver, which
    /// has queried the call, is told that the answer is pending.
    pub fn push(&mut self, frame: PeerFrame, now: Instant) {
        let bytes = frame.encoded_len();
        if !self.splits_frames || bytes <= LARGE_FRAME_BYTES {
            self.small.push_back(frame);
            return;
        }
        if answered_call(&frame).is_some_and(|call| self.is_sending(call)) {
            self.small.extend(pending_answer(frame));
            return;
        }
        self.pacer.add_waiting(bytes);
        let expires_at = expiry(&frame, now);
        self.large.push_back(LargeFrame {
            frame,
            bytes,
            expires_at,
        });
    }

    /// Removes and returns the next small frame.
    pub fn pop_small(&mut self) -> Option<PeerFrame> {
        self.small.pop_front()
    }

    /// Whether a large frame waits or is incomplete.
    pub fn has_large(&self) -> bool {
        self.transfer.is_some() || !self.large.is_empty()
    }

    /// Removes and returns the next part of a large frame. An answer whose caller has stopped
    /// waiting is dropped, so that it doesn't make the answers behind it late as well.
    pub fn pop_part(&mut self, now: Instant) -> Option<PeerFrame> {
        self.drop_expired(now);
        if self.transfer.is_none() {
            let next = self.large.pop_front()?;
            self.start_transfer(&next);
        }
        let transfer = self.transfer.as_mut()?;
        let length = transfer.left.len().min(LARGE_FRAME_BYTES);
        self.pacer.remove_waiting(length);
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

    /// Removes and returns the frames of which nothing has been sent.
    pub fn take_unsent(&mut self) -> Vec<PeerFrame> {
        self.drop_transfer();
        let mut unsent: Vec<PeerFrame> = self.small.drain(..).collect();
        while let Some(large) = self.large.pop_front() {
            self.pacer.remove_waiting(large.bytes);
            unsent.push(large.frame);
        }
        unsent
    }

    fn start_transfer(&mut self, large: &LargeFrame) {
        self.transfers += 1;
        self.transfer = Some(FrameTransfer {
            number: self.transfers,
            answered_call: answered_call(&large.frame),
            expires_at: large.expires_at,
            sender: large.frame.sender,
            boot: large.frame.boot,
            left: large.frame.encode_to_vec().into(),
        });
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |expires_at: Option<Instant>| expires_at.is_some_and(|time| time <= now);
        let transfer_expires = self.transfer.as_ref().and_then(|sent| sent.expires_at);
        if is_expired(transfer_expires) {
            self.drop_transfer();
        }
        let pacer = &self.pacer;
        self.large.retain(|large| {
            let expired = is_expired(large.expires_at);
            if expired {
                pacer.remove_waiting(large.bytes);
            }
            !expired
        });
    }

    fn drop_transfer(&mut self) {
        if let Some(transfer) = self.transfer.take() {
            self.pacer.remove_waiting(transfer.left.len());
        }
    }

    fn is_sending(&self, call: AnsweredCall) -> bool {
        let in_transfer = self.transfer.as_ref().and_then(|sent| sent.answered_call);
        let mut waiting = self.large.iter();
        in_transfer == Some(call) || waiting.any(|large| answered_call(&large.frame) == Some(call))
    }
}

impl Drop for SendQueue {
    fn drop(&mut self) {
        self.take_unsent();
    }
}

fn answered_call(frame: &PeerFrame) -> Option<AnsweredCall> {
    match &frame.body {
        Some(FrameBody::Answer(answer)) => Some(AnsweredCall {
            entry_boot: answer.entry_boot,
            dispatch: answer.call,
        }),
        _ => None,
    }
}

/// When the caller of an answered call stops waiting, `None` for another frame.
fn expiry(frame: &PeerFrame, now: Instant) -> Option<Instant> {
    match &frame.body {
        Some(FrameBody::Answer(answer)) => {
            Some(now + Duration::from_millis(u64::from(answer.remaining_ms)) + DELIVERY_GRACE)
        }
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
