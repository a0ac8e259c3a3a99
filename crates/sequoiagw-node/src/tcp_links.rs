//! Links over TCP: one connection for each pair of nodes, opened by the node that sends first.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use rand::Rng;
use sequoiagw_http::BufferBudget;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::LinkHello;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::LARGE_FRAME_BYTES;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::Instant;
use tracing::debug;
use tracing::warn;

use crate::link_handshake::EstablishedLink;
use crate::link_handshake::LinkPeer;
use crate::link_handshake::LinkReader;
use crate::link_handshake::LinkWriter;
use crate::link_table::LinkTable;
use crate::link_table::QueueEnds;
use crate::link_table::QueueOutcome;
use crate::part_joiner::PartJoiner;
use crate::send_queue::dispatch_id;
use crate::send_queue::SendQueue;
use crate::CoreEvent;
use crate::EventSender;
use crate::PeerLinks;
use crate::SendPacer;
use crate::UnsentDispatches;

/// Time limit for opening a connection, including the exchange of hello frames.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame after which the node that opened a link closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of concurrent handshakes on incoming links, limited so that many nodes that reconnect at
/// once don't stall calls.
const HANDSHAKE_LIMIT: usize = 64;
/// Mean delay after a failed connection attempt, during which frames to that address are reported as
/// undelivered at once. Also the delay after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Length prefix and version byte of a frame, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 5;

/// Connections to other nodes over TCP.
#[derive(Clone, Debug)]
pub struct TcpLinks {
    table: Rc<RefCell<LinkTable>>,
    hello: Rc<PeerFrame>,
    events: EventSender,
    pacer: Rc<SendPacer>,
    unsent: Rc<UnsentDispatches>,
    budget: BufferBudget,
}

impl TcpLinks {
    /// Creates the links of a node that accepts connections at `address`.
    pub fn new(
        node: NodeId,
        boot: u64,
        address: NodeAddress,
        events: EventSender,
        pacer: SendPacer,
    ) -> Self {
        let hello = FrameBody::Hello(LinkHello {
            address: address.to_string(),
            joins_parts: true,
        });
        Self {
            table: Rc::default(),
            hello: Rc::new(PeerFrame::new(node, boot, hello)),
            events,
            pacer: Rc::new(pacer),
            unsent: Rc::default(),
            budget: BufferBudget::unlimited(),
        }
    }

    /// Sets what frames in parts may use of the process's memory.
    #[must_use]
    pub fn with_budget(mut self, budget: BufferBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Accepts links from other nodes. Errors of the listener are logged and accepting is retried.
    pub async fn accept(&self, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(HANDSHAKE_LIMIT));
        loop {
            let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let links = self.clone();
                    tokio::task::spawn_local(async move {
                        let handshake =
                            timeout(CONNECT_TIMEOUT, links.exchange_hellos(stream)).await;
                        drop(permit);
                        if let Ok(Some(link)) = handshake {
                            let ends = links.table.borrow_mut().register(link.peer.address);
                            links.serve(link, ends, false).await;
                        }
                    });
                }
                Err(error) => {
                    warn!(event = "link_accept_failed", error = %error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn exchange_hellos(&self, stream: TcpStream) -> Option<EstablishedLink> {
        let link = EstablishedLink::open(stream, &self.hello).await?;
        let _ = self.events.send(CoreEvent::LinkEstablished {
            node: link.peer.node,
            boot: link.peer.boot,
        });
        Some(link)
    }

    async fn connect(self, address: NodeAddress, mut ends: QueueEnds) {
        let handshake = timeout(CONNECT_TIMEOUT, async {
            let stream = TcpStream::connect(address.get()).await.ok()?;
            self.exchange_hellos(stream).await
        });
        match handshake.await {
            Ok(Some(link)) if link.peer.address == address => {
                self.serve(link, ends, true).await;
            }
            _ => {
                let delay = RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5));
                let mut table = self.table.borrow_mut();
                table.unregister(address, ends.id);
                table.set_unreachable(address, Instant::now() + delay);
                drop(table);
                ends.receiver.close();
                let mut frames = Vec::new();
                while let Ok(frame) = ends.receiver.try_recv() {
                    frames.push(frame);
                }
                self.report_undelivered(address, frames);
            }
        }
    }

    /// Transfers frames in both directions until the link ends. Reading and writing don't wait for
    /// each other: two nodes that send each other more than a connection buffers would stop
    /// otherwise.
    async fn serve(&self, link: EstablishedLink, ends: QueueEnds, opened_here: bool) {
        let EstablishedLink {
            reader,
            writer,
            peer,
        } = link;
        let QueueEnds {
            id,
            mut receiver,
            reset,
        } = ends;
        let last_frame = Cell::new(Instant::now());
        let mut queue = SendQueue::new(peer.joins_parts, Rc::clone(&self.pacer))
            .with_unsent(Rc::clone(&self.unsent));
        let lost = tokio::select! {
            () = self.read_frames(reader, peer, &last_frame) => true,
            () = self.write_frames(writer, &mut receiver, &mut queue, peer, &last_frame) => true,
            Ok(()) = reset => false,
            () = wait_until_idle(&last_frame), if opened_here => false,
        };
        debug!(event = "link_closed", peer = %peer.address, lost);
        self.table.borrow_mut().unregister(peer.address, id);
        receiver.close();
        let mut unsent = queue.take_unsent();
        while let Ok(frame) = receiver.try_recv() {
            unsent.push(frame);
        }
        if lost {
            let _ = self.events.send(CoreEvent::LinkLost(peer.address));
        }
        if !unsent.is_empty() {
            self.report_undelivered(peer.address, unsent);
        }
    }

    /// Reports frames that were never sent whole, without the dispatches that were withdrawn.
    fn report_undelivered(&self, address: NodeAddress, mut frames: Vec<PeerFrame>) {
        let unsent = &self.unsent;
        frames.retain(|frame| {
            let withdrawn = dispatch_id(frame).is_some_and(|dispatch| unsent.remove(dispatch));
            !withdrawn
        });
        let _ = self.events.send(CoreEvent::Undelivered(address, frames));
    }

    /// Returns a frame that has to be sent. A query or cancellation that would overtake its dispatch
    /// isn't: the owner would bar a call that it has never heard of, and the transfer would be for
    /// nothing.
    fn check_order(&self, frame: PeerFrame) -> Option<PeerFrame> {
        match &frame.body {
            Some(FrameBody::Dispatch(dispatch)) if frame.encoded_len() > LARGE_FRAME_BYTES => {
                self.unsent.add(dispatch.call);
            }
            Some(FrameBody::Query(query)) if self.unsent.is_waiting(query.call) => {
                let _ = self.events.send(CoreEvent::DispatchUnsent(query.call));
                return None;
            }
            Some(FrameBody::Cancel(cancel)) if self.unsent.withdraw(cancel.call) => return None,
            _ => {}
        }
        Some(frame)
    }

    /// Reports the frames that arrive until the link fails.
    async fn read_frames(
        &self,
        mut reader: LinkReader,
        peer: LinkPeer,
        last_frame: &Cell<Instant>,
    ) {
        let mut joiner = PartJoiner::new(self.budget.clone());
        while let Some(read) = reader.next().await {
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
            let event = match joiner.join(frame) {
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
    async fn write_frames(
        &self,
        mut writer: LinkWriter,
        receiver: &mut UnboundedReceiver<PeerFrame>,
        queue: &mut SendQueue,
        peer: LinkPeer,
        last_frame: &Cell<Instant>,
    ) {
        let mut next_part_at = None;
        loop {
            while let Ok(frame) = receiver.try_recv() {
                self.queue_frame(frame, queue, peer);
            }
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
                Some(frame) = receiver.recv() => self.queue_frame(frame, queue, peer),
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

/// Sleeps until a time, or forever without one.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Waits until no frame has been sent or received for [`IDLE_TIMEOUT`].
async fn wait_until_idle(last_frame: &Cell<Instant>) {
    loop {
        let idle_deadline = last_frame.get() + IDLE_TIMEOUT;
        if Instant::now() >= idle_deadline {
            return;
        }
        tokio::time::sleep_until(idle_deadline).await;
    }
}

fn is_for_other_boot(frame: &PeerFrame, boot: u64) -> bool {
    match &frame.body {
        Some(FrameBody::Dispatch(dispatch)) => dispatch.target_boot != boot && !dispatch.redirected,
        _ => false,
    }
}

impl PeerLinks for TcpLinks {
    fn send(&self, to: NodeAddress, frame: PeerFrame) {
        let Some(frame) = self.check_order(frame) else {
            return;
        };
        let outcome = self.table.borrow().queue(to, frame, Instant::now());
        match outcome {
            QueueOutcome::Queued => {}
            QueueOutcome::Unreachable(frame) => {
                self.report_undelivered(to, vec![*frame]);
            }
            QueueOutcome::NoLink(frame) => {
                let mut table = self.table.borrow_mut();
                let ends = table.register(to);
                // The new link's receiver is in `ends`, so the frame is queued.
                let _ = table.queue(to, *frame, Instant::now());
                drop(table);
                tokio::task::spawn_local(self.clone().connect(to, ends));
            }
        }
    }

    fn large_frame_wait(&self) -> Duration {
        self.pacer.large_frame_wait()
    }

    fn withdraw(&self, dispatch: u64) {
        if self.unsent.withdraw(dispatch) {
            let _ = self.events.send(CoreEvent::DispatchWithdrawn(dispatch));
        }
    }

    fn reset(&self, to: NodeAddress) {
        self.table.borrow_mut().reset(to);
    }
}
