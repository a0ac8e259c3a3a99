//! Frames that a link reads and writes until it ends.

use std::cell::Cell;
use std::rc::Rc;

use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::LARGE_FRAME_BYTES;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tracing::warn;

use crate::link_handshake::LinkPeer;
use crate::link_handshake::LinkReader;
use crate::link_handshake::LinkWriter;
use crate::link_timers::sleep_until;
use crate::part_joiner::JoinError;
use crate::part_joiner::PartJoiner;
use crate::send_queue::dispatch_id;
use crate::send_queue::SendQueue;
use crate::transfer_receiver::LinkSignal;
use crate::transfer_receiver::TransferReceiver;
use crate::CoreEvent;
use crate::TcpLinks;

/// Length prefix and version byte of a frame, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 5;

impl TcpLinks {
    /// Reports the frames that arrive until the link fails.
    pub(crate) async fn read_frames(
        &self,
        mut incoming: IncomingFrames<'_>,
        peer: LinkPeer,
        last_frame: &Cell<Instant>,
    ) {
        while let Some(read) = incoming.reader.next().await {
            let frame = match read {
                Ok(frame) => frame,
                Err(error) => {
                    warn!(event = "link_failed", peer = %peer.address, error = %error);
                    return;
                }
            };
            last_frame.set(Instant::now());
            let node = frame.sender_id();
            let bytes = frame.encoded_len() + FRAME_OVERHEAD_BYTES;
            let event = match incoming.join(frame) {
                Ok(Some(frame)) => CoreEvent::Frame { frame, bytes },
                Ok(None) => CoreEvent::PartReceived { node, bytes },
                Err(error) => {
                    warn!(event = "link_failed", peer = %peer.address, error = %error);
                    return;
                }
            };
            let _ = self.events.send(event);
        }
    }

    /// Writes the frames of the receiver until the link fails. When another link replaces this
    /// one, the frames that wait are still written; the peer may go on sending on this link.
    ///
    /// Dispatches to another boot of the peer are reported as undelivered instead.
    pub(crate) async fn write_frames(
        &self,
        outgoing: OutgoingFrames<'_>,
        queue: &mut SendQueue,
        peer: LinkPeer,
        last_frame: &Cell<Instant>,
    ) {
        let OutgoingFrames {
            mut writer,
            frames,
            mut signals,
        } = outgoing;
        let mut next_part_at = None;
        loop {
            while let Ok(signal) = signals.try_recv() {
                self.on_signal(signal, queue);
            }
            while let Ok(frame) = frames.try_recv() {
                self.queue_frame(frame, queue, peer);
            }
            queue.drop_withdrawn();
            while let Some(frame) = queue.pop_small() {
                last_frame.set(Instant::now());
                if writer.feed(&frame).await.is_err() {
                    return;
                }
            }
            if writer.flush().await.is_err() {
                return;
            }
            let part_at = queue.has_large().then(|| {
                *next_part_at
                    .get_or_insert_with(|| self.pacer.reserve(LARGE_FRAME_BYTES, Instant::now()))
            });
            tokio::select! {
                biased;
                () = sleep_until(part_at) => {
                    next_part_at = None;
                    let Some(part) = queue.pop_part(Instant::now()) else {
                        continue;
                    };
                    last_frame.set(Instant::now());
                    if writer.feed(&part).await.is_err() {
                        return;
                    }
                }
                Some(signal) = signals.recv() => self.on_signal(signal, queue),
                Some(frame) = frames.recv() => self.queue_frame(frame, queue, peer),
                () = self.unsent.wait_for_withdrawal() => {}
            }
        }
    }

    fn on_signal(&self, signal: LinkSignal, queue: &mut SendQueue) {
        match signal {
            LinkSignal::SendGrant(grant) => {
                let hello = &self.hello;
                let body = FrameBody::TransferGrant(grant);
                let frame = PeerFrame::new(hello.sender_id(), hello.boot, body);
                queue.push(frame, Instant::now());
            }
            LinkSignal::Granted(grant) => {
                let refused = queue.on_grant(&grant);
                if let Some(dispatch) = refused.as_ref().and_then(dispatch_id) {
                    let was_withdrawn = self.unsent.remove(dispatch);
                    if !was_withdrawn {
                        let _ = self.events.send(CoreEvent::DispatchRefused(dispatch));
                    }
                }
            }
        }
    }

    fn queue_frame(&self, frame: PeerFrame, queue: &mut SendQueue, peer: LinkPeer) {
        if is_for_other_boot(&frame, peer.boot) {
            self.report_undelivered(peer.address, vec![frame]);
        } else {
            queue.push(frame, Instant::now());
        }
    }
}

/// Reading side of a link.
pub(crate) struct IncomingFrames<'a> {
    pub(crate) reader: LinkReader,
    pub(crate) joiner: PartJoiner,
    pub(crate) link: u64,
    /// `None` if large dispatches are sent without grants on this link.
    pub(crate) granting: Option<&'a Rc<TransferReceiver>>,
    pub(crate) signals: UnboundedSender<LinkSignal>,
}

impl IncomingFrames<'_> {
    /// Takes a frame and returns it if it is whole, or the joined frame if it is a last part. Messages
    /// about transfers are handled here.
    fn join(&mut self, frame: PeerFrame) -> Result<Option<PeerFrame>, JoinError> {
        let Some(granting) = self.granting else {
            return self.joiner.join(frame);
        };
        match &frame.body {
            Some(FrameBody::TransferOffer(offer)) => granting.on_offer(self.link, offer),
            Some(FrameBody::TransferGrant(grant)) => {
                // Sending fails if the link has just ended.
                let _ = self.signals.send(LinkSignal::Granted(*grant));
            }
            Some(FrameBody::Part(part)) => {
                let joined = granting.on_part(self.link, part);
                return joined.unwrap_or_else(|| self.joiner.join(frame));
            }
            _ => return Ok(Some(frame)),
        }
        Ok(None)
    }
}

/// Writing side of a link.
pub(crate) struct OutgoingFrames<'a> {
    pub(crate) writer: LinkWriter,
    pub(crate) frames: &'a mut UnboundedReceiver<PeerFrame>,
    pub(crate) signals: UnboundedReceiver<LinkSignal>,
}

fn is_for_other_boot(frame: &PeerFrame, boot: u64) -> bool {
    match &frame.body {
        Some(FrameBody::Dispatch(dispatch)) => dispatch.target_boot != boot && !dispatch.redirected,
        _ => false,
    }
}
