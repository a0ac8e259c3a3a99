//! Links over TCP: one connection for each pair of nodes, opened by the node that sends first.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use rand::Rng;
use sequoiagw_http::set_socket_options;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FrameCodec;
use sequoiagw_protocol::LinkHello;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tracing::debug;
use tracing::warn;

use crate::CoreEvent;
use crate::EventSender;
use crate::PeerLinks;

/// Time limit for opening a connection, including the exchange of hello frames.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which TCP closes the connection to an unresponsive peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
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

/// Send queue of a link that is open or being opened.
#[derive(Debug)]
struct LinkQueue {
    id: u64,
    sender: UnboundedSender<PeerFrame>,
}

#[derive(Debug)]
struct LinkTable {
    links: HashMap<NodeAddress, LinkQueue>,
    unreachable_until: HashMap<NodeAddress, Instant>,
    next_id: u64,
}

/// Connections to other nodes over TCP.
#[derive(Clone, Debug)]
pub struct TcpLinks {
    table: Rc<RefCell<LinkTable>>,
    hello: Rc<PeerFrame>,
    events: EventSender,
}

/// Peer at the other end of a link.
#[derive(Clone, Copy, Debug)]
struct LinkPeer {
    address: NodeAddress,
    boot: u64,
}

impl TcpLinks {
    /// Creates the links of a node that accepts connections at `address`.
    pub fn new(node: NodeId, boot: u64, address: NodeAddress, events: EventSender) -> Self {
        let hello = FrameBody::Hello(LinkHello {
            address: address.to_string(),
        });
        let table = LinkTable {
            links: HashMap::new(),
            unreachable_until: HashMap::new(),
            next_id: 0,
        };
        Self {
            table: Rc::new(RefCell::new(table)),
            hello: Rc::new(PeerFrame::new(node, boot, hello)),
            events,
        }
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
                        if let Ok(Some((reader, writer, peer))) = handshake {
                            let (sender, receiver) = mpsc::unbounded_channel();
                            let id = links.register(peer.address, sender);
                            links.serve(id, peer, reader, writer, receiver, false).await;
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

    fn register(&self, address: NodeAddress, sender: UnboundedSender<PeerFrame>) -> u64 {
        let mut table = self.table.borrow_mut();
        table.next_id += 1;
        let id = table.next_id;
        table.unreachable_until.remove(&address);
        table.links.insert(address, LinkQueue { id, sender });
        id
    }

    fn unregister(&self, address: NodeAddress, id: u64) {
        let mut table = self.table.borrow_mut();
        if table
            .links
            .get(&address)
            .is_some_and(|queue| queue.id == id)
        {
            table.links.remove(&address);
        }
    }

    /// Exchanges hello frames. Returns `None` if the connection fails or the other end sends no valid
    /// hello frame.
    async fn exchange_hellos(
        &self,
        stream: TcpStream,
    ) -> Option<(LinkReader, LinkWriter, LinkPeer)> {
        set_socket_options(&stream, PEER_TIMEOUT).ok()?;
        let (read_half, write_half) = stream.into_split();
        let mut reader = FramedRead::new(read_half, FrameCodec::default());
        let mut writer = FramedWrite::new(write_half, FrameCodec::default());
        writer.send(&*self.hello).await.ok()?;
        let frame = match reader.next().await? {
            Ok(frame) => frame,
            Err(error) => {
                warn!(event = "link_refused", reason = "bad_greeting", error = %error);
                return None;
            }
        };
        let Some(FrameBody::Hello(hello)) = &frame.body else {
            warn!(event = "link_refused", reason = "no_greeting");
            return None;
        };
        let address = NodeAddress::parse(&hello.address)?;
        let _ = self.events.send(CoreEvent::LinkEstablished {
            node: frame.sender_id(),
            boot: frame.boot,
        });
        Some((
            reader,
            writer,
            LinkPeer {
                address,
                boot: frame.boot,
            },
        ))
    }

    async fn connect(
        self,
        id: u64,
        address: NodeAddress,
        mut receiver: UnboundedReceiver<PeerFrame>,
    ) {
        let handshake = timeout(CONNECT_TIMEOUT, async {
            let stream = TcpStream::connect(address.get()).await.ok()?;
            self.exchange_hellos(stream).await
        });
        match handshake.await {
            Ok(Some((reader, writer, peer))) if peer.address == address => {
                self.serve(id, peer, reader, writer, receiver, true).await;
            }
            _ => {
                self.unregister(address, id);
                let delay = RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5));
                self.table
                    .borrow_mut()
                    .unreachable_until
                    .insert(address, Instant::now() + delay);
                receiver.close();
                let mut frames = Vec::new();
                while let Ok(frame) = receiver.try_recv() {
                    frames.push(frame);
                }
                let _ = self.events.send(CoreEvent::Undelivered(address, frames));
            }
        }
    }

    /// Transfers frames in both directions until the link ends.
    async fn serve(
        &self,
        id: u64,
        peer: LinkPeer,
        mut reader: LinkReader,
        mut writer: LinkWriter,
        mut receiver: UnboundedReceiver<PeerFrame>,
        opened_here: bool,
    ) {
        let mut unwritten = Vec::new();
        let mut last_frame = Instant::now();
        let lost = loop {
            let idle_deadline = last_frame + IDLE_TIMEOUT;
            tokio::select! {
                frame = reader.next() => match frame {
                    Some(Ok(frame)) => {
                        last_frame = Instant::now();
                        let bytes = frame.encoded_len() + FRAME_OVERHEAD_BYTES;
                        let _ = self.events.send(CoreEvent::Frame { frame, bytes });
                    }
                    Some(Err(error)) => {
                        warn!(event = "link_failed", peer = %peer.address, error = %error);
                        break true;
                    }
                    None => break true,
                },
                frame = receiver.recv() => match frame {
                    Some(frame) => {
                        last_frame = Instant::now();
                        if !write_frames(&mut writer, frame, &mut receiver, peer, &mut unwritten).await {
                            break true;
                        }
                        if !unwritten.is_empty() {
                            let frames = std::mem::take(&mut unwritten);
                            let _ = self.events.send(CoreEvent::Undelivered(peer.address, frames));
                        }
                    }
                    None => break false,
                },
                () = tokio::time::sleep_until(idle_deadline), if opened_here => break false,
            }
        };
        debug!(event = "link_closed", peer = %peer.address, lost);
        self.unregister(peer.address, id);
        receiver.close();
        while let Ok(frame) = receiver.try_recv() {
            unwritten.push(frame);
        }
        if lost {
            let _ = self.events.send(CoreEvent::LinkLost(peer.address));
        }
        if !unwritten.is_empty() {
            let _ = self
                .events
                .send(CoreEvent::Undelivered(peer.address, unwritten));
        }
    }
}

type LinkReader = FramedRead<OwnedReadHalf, FrameCodec>;
type LinkWriter = FramedWrite<OwnedWriteHalf, FrameCodec>;

/// Writes a frame and all further frames in the queue. Returns whether the link is still usable.
///
/// Dispatches to another boot of the peer are added to `unwritten` instead.
async fn write_frames(
    writer: &mut LinkWriter,
    first: PeerFrame,
    receiver: &mut UnboundedReceiver<PeerFrame>,
    peer: LinkPeer,
    unwritten: &mut Vec<PeerFrame>,
) -> bool {
    let mut next = Some(first);
    while let Some(frame) = next {
        if is_for_other_boot(&frame, peer.boot) {
            unwritten.push(frame);
        } else if writer.feed(&frame).await.is_err() {
            return false;
        }
        next = receiver.try_recv().ok();
    }
    writer.flush().await.is_ok()
}

fn is_for_other_boot(frame: &PeerFrame, boot: u64) -> bool {
    match &frame.body {
        Some(FrameBody::Dispatch(dispatch)) => dispatch.target_boot != boot && !dispatch.redirected,
        _ => false,
    }
}

impl PeerLinks for TcpLinks {
    fn send(&self, to: NodeAddress, frame: PeerFrame) {
        let table = self.table.borrow();
        let frame = match table.links.get(&to) {
            Some(queue) => match queue.sender.send(frame) {
                Ok(()) => return,
                Err(failed) => failed.0,
            },
            None => frame,
        };
        if table
            .unreachable_until
            .get(&to)
            .is_some_and(|until| Instant::now() < *until)
        {
            drop(table);
            let _ = self.events.send(CoreEvent::Undelivered(to, vec![frame]));
            return;
        }
        drop(table);
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(frame);
        let id = self.register(to, sender);
        tokio::task::spawn_local(self.clone().connect(id, to, receiver));
    }

    fn reset(&self, to: NodeAddress) {
        self.table.borrow_mut().links.remove(&to);
    }
}
