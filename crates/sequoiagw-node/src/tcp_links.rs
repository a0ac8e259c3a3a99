//! Links over TCP: one connection for each pair of nodes, opened by the node that sends first.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

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
use tokio::sync::mpsc;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::Instant;
use tracing::debug;
use tracing::warn;

use crate::link_handshake::EstablishedLink;
use crate::link_streams::IncomingFrames;
use crate::link_streams::OutgoingFrames;
use crate::link_table::LinkTable;
use crate::link_table::QueueEnds;
use crate::link_table::QueueOutcome;
use crate::link_timers::wait_until_idle;
use crate::part_joiner::PartJoiner;
use crate::send_queue::dispatch_id;
use crate::send_queue::SendQueue;
use crate::transfer_receiver::TransferReceiver;
use crate::CoreEvent;
use crate::EventSender;
use crate::PeerLinks;
use crate::ReceivePacer;
use crate::SendPacer;
use crate::UnsentDispatches;

/// Time limit for opening a connection, including the exchange of hello frames.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of concurrent handshakes on incoming links, limited so that many nodes that reconnect at
/// once don't stall calls.
const HANDSHAKE_LIMIT: usize = 64;
/// Mean delay after a failed connection attempt, during which frames to that address are reported as
/// undelivered at once. Also the delay after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections to other nodes over TCP.
#[derive(Clone, Debug)]
pub struct TcpLinks {
    table: Rc<RefCell<LinkTable>>,
    pub(crate) hello: Rc<PeerFrame>,
    pub(crate) events: EventSender,
    pub(crate) pacer: Rc<SendPacer>,
    pub(crate) unsent: Rc<UnsentDispatches>,
    /// Receiving side of large dispatches, `None` if they are sent without grants.
    receiver: Option<Rc<TransferReceiver>>,
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
            grants_transfers: false,
        });
        Self {
            table: Rc::default(),
            hello: Rc::new(PeerFrame::new(node, boot, hello)),
            events,
            pacer: Rc::new(pacer),
            unsent: Rc::default(),
            receiver: None,
            budget: BufferBudget::unlimited(),
        }
    }

    /// Sets what frames in parts may use of the process's memory.
    #[must_use]
    pub fn with_budget(mut self, budget: BufferBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Grants the parts of large dispatches from nodes that do so as well, at the pace of
    /// `pacer`. [`Self::accept`] has to run.
    #[must_use]
    pub fn with_grants(mut self, pacer: ReceivePacer) -> Self {
        self.receiver = Some(Rc::new(TransferReceiver::new(pacer)));
        if let Some(FrameBody::Hello(hello)) = &mut Rc::make_mut(&mut self.hello).body {
            hello.grants_transfers = true;
        }
        self
    }

    /// Accepts links from other nodes, and grants what they send. Errors of the listener are logged
    /// and accepting is retried.
    pub async fn accept(&self, listener: TcpListener) {
        let send_grants = async {
            match &self.receiver {
                Some(receiver) => receiver.run().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.accept_links(listener) => {}
            () = send_grants => {}
        }
    }

    async fn accept_links(&self, listener: TcpListener) {
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
        let (signals, signal_receiver) = mpsc::unbounded_channel();
        let granting = self.receiver.as_ref().filter(|_| peer.grants_transfers);
        if let Some(granting) = granting {
            queue = queue.with_offers();
            granting.add_link(id, signals.clone());
        }
        let incoming = IncomingFrames {
            reader,
            joiner: PartJoiner::new(self.budget.clone()),
            link: id,
            granting,
            signals,
        };
        let outgoing = OutgoingFrames {
            writer,
            frames: &mut receiver,
            signals: signal_receiver,
        };
        let lost = tokio::select! {
            () = self.read_frames(incoming, peer, &last_frame) => true,
            () = self.write_frames(outgoing, &mut queue, peer, &last_frame) => true,
            Ok(()) = reset => false,
            () = wait_until_idle(&last_frame), if opened_here => false,
        };
        debug!(event = "link_closed", peer = %peer.address, lost);
        self.table.borrow_mut().unregister(peer.address, id);
        if let Some(granting) = granting {
            granting.remove_link(id);
        }
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
    pub(crate) fn report_undelivered(&self, address: NodeAddress, mut frames: Vec<PeerFrame>) {
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

    fn receive_wait(&self) -> Duration {
        let receiver = self.receiver.as_ref();
        receiver.map_or(Duration::ZERO, |receiver| receiver.backlog_wait())
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
