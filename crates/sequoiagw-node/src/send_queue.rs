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
use sequoiagw_protocol::TransferGrant;
use sequoiagw_protocol::LARGE_FRAME_BYTES;
use tokio::time::Instant;

use crate::transfer_offers::RemovedDispatch;
use crate::transfer_offers::TransferOffers;
use crate::SendPacer;
use crate::UnsentDispatches;

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
    unsent: Rc<UnsentDispatches>,
    /// Dispatches that are sent as the peer grants them, `None` if it grants none.
    offers: Option<TransferOffers>,
    /// Whether the next part is one of an offered dispatch, if there are others as well.
    offers_turn: bool,
    /// Sender and boot of a dispatch that was withdrawn after some of its parts had been sent.
    withdrawn: Option<(u64, u64)>,
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
    /// The frame if it is a dispatch, which is undelivered until its last part has been sent.
    dispatch: Option<PeerFrame>,
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
            unsent: Rc::default(),
            withdrawn: None,
            offers: None,
            offers_turn: true,
        }
    }

    /// Offers large dispatches to the peer, and sends their parts as it grants them.
    #[must_use]
    pub fn with_offers(mut self) -> Self {
        self.offers = Some(TransferOffers::default());
        self
    }

    /// Sets where the dispatches that have not been sent whole are recorded, for all links together.
    #[must_use]
    pub fn with_unsent(mut self, unsent: Rc<UnsentDispatches>) -> Self {
        self.unsent = unsent;
        self
    }

    /// Adds a frame. A dispatch that was withdrawn is dropped. An answer that is being sent already
    /// isn't sent twice: the receiver, which has queried the call, is told that the answer is
    /// pending.
    pub fn push(&mut self, frame: PeerFrame, now: Instant) {
        let dispatch = dispatch_id(&frame);
        if dispatch.is_some_and(|id| self.unsent.is_withdrawn(id)) {
            self.forget_dispatch(&frame);
            return;
        }
        let bytes = frame.encoded_len();
        if !self.splits_frames || bytes <= LARGE_FRAME_BYTES {
            self.forget_dispatch(&frame);
            self.small.push_back(frame);
            return;
        }
        if let Some(id) = dispatch {
            self.unsent.add(id);
        }
        if answered_call(&frame).is_some_and(|call| self.is_sending(call)) {
            self.small.extend(pending_answer(frame));
            return;
        }
        self.pacer.add_waiting(bytes);
        if let (Some(offers), true) = (&mut self.offers, dispatch.is_some()) {
            self.transfers += 1;
            self.small
                .push_back(offers.add(self.transfers, frame, bytes));
            return;
        }
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

    /// Handles a grant of the peer. Returns the dispatch if the peer refused it.
    pub fn on_grant(&mut self, grant: &TransferGrant) -> Option<PeerFrame> {
        let refused = self.offers.as_mut()?.on_grant(grant)?;
        self.pacer.remove_waiting(refused.left_bytes);
        Some(refused.frame)
    }

    /// Whether a large frame waits or is incomplete, and may be sent.
    pub fn has_large(&self) -> bool {
        let offers = self.offers.as_ref();
        self.has_ungranted() || offers.is_some_and(TransferOffers::has_granted)
    }

    /// Whether there is something to send that needs no grant.
    fn has_ungranted(&self) -> bool {
        self.transfer.is_some() || !self.large.is_empty() || self.withdrawn.is_some()
    }

    /// Removes and returns the next part of a large frame. An answer whose caller has stopped
    /// waiting is dropped, so that it doesn't make the answers behind it late as well, and so is a
    /// dispatch that was withdrawn.
    pub fn pop_part(&mut self, now: Instant) -> Option<PeerFrame> {
        self.drop_expired(now);
        self.drop_withdrawn();
        if self.offers_turn || !self.has_ungranted() {
            self.offers_turn = false;
            if let Some(part) = self.pop_offered_part() {
                return Some(part);
            }
        }
        self.offers_turn = true;
        if self.transfer.is_none() {
            let Some(next) = self.large.pop_front() else {
                return self.end_withdrawn();
            };
            self.start_transfer(next);
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
        let ended = self
            .transfer
            .take_if(|transfer| transfer.left.is_empty())
            .and_then(|transfer| transfer.dispatch);
        if let Some(dispatch) = ended {
            self.forget_dispatch(&dispatch);
        }
        Some(frame)
    }

    /// Removes and returns the frames of which nothing has been sent, and a dispatch of which the
    /// last part hasn't been sent, since it can't have run.
    pub fn take_unsent(&mut self) -> Vec<PeerFrame> {
        let mut unsent: Vec<PeerFrame> = self.drop_transfer().into_iter().collect();
        let offered = self.offers.as_mut();
        for removed in offered.map_or_else(Vec::new, |offers| offers.remove(|_| true)) {
            self.pacer.remove_waiting(removed.left_bytes);
            unsent.push(removed.frame);
        }
        unsent.extend(self.small.drain(..));
        while let Some(large) = self.large.pop_front() {
            self.pacer.remove_waiting(large.bytes);
            unsent.push(large.frame);
        }
        unsent
    }

    fn start_transfer(&mut self, large: LargeFrame) {
        self.transfers += 1;
        self.withdrawn = None;
        self.transfer = Some(FrameTransfer {
            number: self.transfers,
            answered_call: answered_call(&large.frame),
            expires_at: large.expires_at,
            sender: large.frame.sender,
            boot: large.frame.boot,
            left: large.frame.encode_to_vec().into(),
            dispatch: dispatch_id(&large.frame).map(|_| large.frame),
        });
    }

    fn pop_offered_part(&mut self) -> Option<PeerFrame> {
        let part = self.offers.as_mut()?.pop_part()?;
        self.pacer.remove_waiting(part.bytes);
        if let Some(dispatch) = &part.ended {
            self.forget_dispatch(dispatch);
        }
        Some(part.frame)
    }

    /// First part of a frame that doesn't follow, with which the receiver drops the parts of the
    /// dispatch that was withdrawn. They would use its memory until the next large frame.
    fn end_withdrawn(&mut self) -> Option<PeerFrame> {
        let (sender, boot) = self.withdrawn.take()?;
        self.transfers += 1;
        let part = FramePart {
            transfer: self.transfers,
            bytes: Bytes::new(),
            last: false,
        };
        let sender = NodeId::from(sender);
        Some(PeerFrame::new(sender, boot, FrameBody::Part(part)))
    }

    /// Drops the dispatches that were withdrawn. The peer is told of those that it was offered.
    pub fn drop_withdrawn(&mut self) {
        for removed in self.take_withdrawn_offers() {
            self.pacer.remove_waiting(removed.left_bytes);
            self.forget_dispatch(&removed.frame);
            self.small.push_back(removed.withdrawal());
        }
        let is_withdrawn = |frame: &PeerFrame| {
            dispatch_id(frame).is_some_and(|dispatch| self.unsent.is_withdrawn(dispatch))
        };
        let sent = self.transfer.as_ref();
        let dispatch = sent.and_then(|transfer| transfer.dispatch.as_ref());
        let ends_transfer = dispatch.is_some_and(is_withdrawn);
        let large = std::mem::take(&mut self.large);
        let (dropped, kept): (VecDeque<_>, VecDeque<_>) = large
            .into_iter()
            .partition(|large| is_withdrawn(&large.frame));
        self.large = kept;
        for large in dropped {
            self.pacer.remove_waiting(large.bytes);
            self.forget_dispatch(&large.frame);
        }
        if let Some(dispatch) = ends_transfer.then(|| self.drop_transfer()).flatten() {
            self.withdrawn = Some((dispatch.sender, dispatch.boot));
            self.forget_dispatch(&dispatch);
        }
    }

    fn take_withdrawn_offers(&mut self) -> Vec<RemovedDispatch> {
        let unsent = &self.unsent;
        let offers = self.offers.as_mut();
        offers.map_or_else(Vec::new, |offers| {
            offers.remove(|frame| {
                dispatch_id(frame).is_some_and(|dispatch| unsent.is_withdrawn(dispatch))
            })
        })
    }

    fn forget_dispatch(&self, frame: &PeerFrame) {
        if let Some(dispatch) = dispatch_id(frame) {
            self.unsent.remove(dispatch);
        }
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

    /// Drops the frame that is being sent, and returns it if it is a dispatch.
    fn drop_transfer(&mut self) -> Option<PeerFrame> {
        let transfer = self.transfer.take()?;
        self.pacer.remove_waiting(transfer.left.len());
        transfer.dispatch
    }

    fn is_sending(&self, call: AnsweredCall) -> bool {
        let in_transfer = self.transfer.as_ref().and_then(|sent| sent.answered_call);
        let mut waiting = self.large.iter();
        in_transfer == Some(call) || waiting.any(|large| answered_call(&large.frame) == Some(call))
    }
}

impl Drop for SendQueue {
    fn drop(&mut self) {
        for frame in self.take_unsent() {
            self.forget_dispatch(&frame);
        }
    }
}

/// Id of a dispatch, `None` for another frame.
pub(crate) fn dispatch_id(frame: &PeerFrame) -> Option<u64> {
    match &frame.body {
        Some(FrameBody::Dispatch(dispatch)) => Some(dispatch.call),
        _ => None,
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
