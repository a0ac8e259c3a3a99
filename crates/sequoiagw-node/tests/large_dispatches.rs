//! Tests of links with dispatches that take long to send.

#[path = "support/sockets.rs"]
mod sockets;

use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use sequoiagw_http::BufferBudget;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::PeerLinks;
use sequoiagw_node::ReceivePacer;
use sequoiagw_node::SendPacer;
use sequoiagw_node::TcpLinks;
use sequoiagw_protocol::CallCancel;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FrameCodec;
use sequoiagw_protocol::LinkHello;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::sockets::bind_listener;
use crate::sockets::run_with_real_sockets;

/// Bandwidth of each host, in megabits per second.
const LINK_MBPS: u32 = 10;
/// Size of a body that takes 1 s to send, in bytes.
const BODY_BYTES: usize = 1024 * 1024;

fn frame(body: FrameBody) -> PeerFrame {
    PeerFrame::new(NodeId::from_name("entry"), 1, body)
}

fn dispatch_frame(call: u64, body_bytes: usize) -> PeerFrame {
    frame(FrameBody::Dispatch(CallDispatch {
        call,
        remaining_ms: 10_000,
        latency_target_ms: 10_000,
        target_boot: 1,
        body: Bytes::from(vec![call as u8; body_bytes]),
        ..CallDispatch::default()
    }))
}

fn query_frame(call: u64) -> PeerFrame {
    frame(FrameBody::Query(CallQuery {
        call,
        target_boot: 1,
    }))
}

fn cancel_frame(call: u64) -> PeerFrame {
    frame(FrameBody::Cancel(CallCancel { call }))
}

struct LinkedNode {
    links: TcpLinks,
    address: NodeAddress,
    budget: BufferBudget,
    events: UnboundedReceiver<CoreEvent>,
}

impl LinkedNode {
    /// Starts a node with links of [`LINK_MBPS`], which grants what it receives if `grants` is set.
    async fn start(name: &str, grants: bool) -> Self {
        let (listener, address) = bind_listener().await;
        let address = NodeAddress::from(address);
        let (sender, events) = mpsc::unbounded_channel();
        let budget = BufferBudget::new(u64::MAX);
        let mut links = TcpLinks::new(
            NodeId::from_name(name),
            1,
            address,
            sender,
            SendPacer::new(LINK_MBPS),
        )
        .with_budget(budget.clone());
        if grants {
            links = links.with_grants(ReceivePacer::new(LINK_MBPS, budget.clone()));
        }
        let accepting_links = links.clone();
        tokio::task::spawn_local(async move { accepting_links.accept(listener).await });
        Self {
            links,
            address,
            budget,
            events,
        }
    }

    /// Next frame from a peer.
    async fn next_frame(&mut self) -> PeerFrame {
        loop {
            match self.events.recv().await {
                Some(CoreEvent::Frame { frame, .. }) => return frame,
                Some(_) => {}
                None => panic!("the links ended"),
            }
        }
    }

    /// Waits until the first part of a large frame has arrived.
    async fn wait_for_part(&mut self) {
        while !matches!(
            self.events.recv().await,
            Some(CoreEvent::PartReceived { .. })
        ) {}
    }

    /// Next event that concerns a dispatch of this node.
    async fn next_dispatch_event(&mut self) -> CoreEvent {
        loop {
            match self.events.recv().await {
                Some(
                    event @ (CoreEvent::DispatchUnsent(_)
                    | CoreEvent::DispatchWithdrawn(_)
                    | CoreEvent::DispatchRefused(_)
                    | CoreEvent::Undelivered(..)),
                ) => return event,
                Some(_) => {}
                None => panic!("the links ended"),
            }
        }
    }
}

/// Guards against a query that overtakes its dispatch: the owner would bar the call.
#[test]
fn query_does_not_overtake_a_dispatch_that_takes_long_to_send() {
    for grants in [false, true] {
        run_with_real_sockets(|| async move {
            let mut entry = LinkedNode::start("entry", grants).await;
            let mut owner = LinkedNode::start("owner", grants).await;
            entry
                .links
                .send(owner.address, dispatch_frame(1, BODY_BYTES));
            sleep(Duration::from_millis(300)).await;
            entry.links.send(owner.address, query_frame(1));
            assert!(matches!(
                entry.next_dispatch_event().await,
                CoreEvent::DispatchUnsent(1)
            ));
            assert_eq!(owner.next_frame().await, dispatch_frame(1, BODY_BYTES));
            entry.links.send(owner.address, query_frame(1));
            assert_eq!(owner.next_frame().await, query_frame(1));
        });
    }
}

/// Guards against a query on a newer link to the same node, which both nodes may open at once.
#[test]
fn query_on_a_newer_link_does_not_overtake_the_dispatch() {
    for grants in [false, true] {
        run_with_real_sockets(|| async move {
            let mut entry = LinkedNode::start("entry", grants).await;
            let mut owner = LinkedNode::start("owner", grants).await;
            entry
                .links
                .send(owner.address, dispatch_frame(1, BODY_BYTES));
            owner.wait_for_part().await;
            // The owner's listener accepts a second connection, whose hello names the entry's address.
            let second = TcpLinks::new(
                NodeId::from_name("owner"),
                1,
                owner.address,
                mpsc::unbounded_channel().0,
                SendPacer::new(LINK_MBPS),
            );
            second.send(entry.address, query_frame(9));
            assert_eq!(entry.next_frame().await, query_frame(9));
            entry.links.send(owner.address, query_frame(1));
            assert!(matches!(
                entry.next_dispatch_event().await,
                CoreEvent::DispatchUnsent(1)
            ));
            assert_eq!(owner.next_frame().await, dispatch_frame(1, BODY_BYTES));
        });
    }
}

/// Guards against a call that counts as possibly run although its owner got half of its dispatch.
#[test]
fn dispatch_on_a_link_that_breaks_halfway_is_undelivered() {
    for grants in [false, true] {
        run_with_real_sockets(|| async move {
            let mut entry = LinkedNode::start("entry", grants).await;
            let mut owner = LinkedNode::start("owner", grants).await;
            entry
                .links
                .send(owner.address, dispatch_frame(1, BODY_BYTES));
            owner.wait_for_part().await;
            owner.links.reset(entry.address);
            let CoreEvent::Undelivered(address, frames) = entry.next_dispatch_event().await else {
                panic!("the dispatch should be undelivered");
            };
            assert_eq!(address, owner.address);
            assert_eq!(frames, vec![dispatch_frame(1, BODY_BYTES)]);
            entry.links.withdraw(1);
            entry.links.send(owner.address, query_frame(1));
            assert_eq!(owner.next_frame().await, query_frame(1));
            assert_eq!(entry.links.large_frame_wait(), Duration::ZERO);
        });
    }
}

/// Guards against a body that is sent, and run, after its caller was told that it never will be, and
/// against parts that stay in the receiver's memory.
#[test]
fn withdrawn_dispatch_is_not_sent_and_leaves_no_parts() {
    for grants in [false, true] {
        run_with_real_sockets(|| async move {
            let mut entry = LinkedNode::start("entry", grants).await;
            let mut owner = LinkedNode::start("owner", grants).await;
            entry
                .links
                .send(owner.address, dispatch_frame(1, BODY_BYTES));
            entry
                .links
                .send(owner.address, dispatch_frame(2, BODY_BYTES));
            owner.wait_for_part().await;
            entry.links.withdraw(1);
            assert!(matches!(
                entry.next_dispatch_event().await,
                CoreEvent::DispatchWithdrawn(1)
            ));
            entry.links.send(owner.address, cancel_frame(2));
            sleep(Duration::from_millis(200)).await;
            assert_eq!(owner.budget.used(), 0);
            assert_eq!(entry.links.large_frame_wait(), Duration::ZERO);
            entry
                .links
                .send(owner.address, dispatch_frame(3, BODY_BYTES / 4));
            assert_eq!(owner.next_frame().await, dispatch_frame(3, BODY_BYTES / 4));
        });
    }
}

/// Guards against a cancellation that is lost for a dispatch that its owner has.
#[test]
fn dispatch_that_was_sent_whole_is_cancelled_at_its_owner() {
    for grants in [false, true] {
        run_with_real_sockets(|| async move {
            let entry = LinkedNode::start("entry", grants).await;
            let mut owner = LinkedNode::start("owner", grants).await;
            entry
                .links
                .send(owner.address, dispatch_frame(1, BODY_BYTES / 8));
            assert_eq!(owner.next_frame().await, dispatch_frame(1, BODY_BYTES / 8));
            entry.links.withdraw(1);
            entry.links.send(owner.address, cancel_frame(1));
            assert_eq!(owner.next_frame().await, cancel_frame(1));
        });
    }
}

/// Guards against senders that fill the link of their receiver together, and against small frames
/// that wait behind their parts.
#[test]
fn many_senders_share_the_bandwidth_of_their_receiver() {
    run_with_real_sockets(|| async {
        let mut owner = LinkedNode::start("owner", true).await;
        let mut entries = Vec::new();
        for number in 0..8 {
            entries.push(LinkedNode::start(&format!("entry-{number}"), true).await);
        }
        let start = Instant::now();
        for entry in &entries {
            let frame = dispatch_frame(1, BODY_BYTES / 4);
            entry.links.send(owner.address, frame);
        }
        let mut arrived = 0;
        let mut longest_query = Duration::ZERO;
        while arrived < entries.len() {
            let sent_at = Instant::now();
            entries[0].links.send(owner.address, query_frame(9));
            loop {
                let frame = owner.next_frame().await;
                if frame == query_frame(9) {
                    break;
                }
                assert_eq!(frame, dispatch_frame(1, BODY_BYTES / 4));
                arrived += 1;
            }
            longest_query = longest_query.max(sent_at.elapsed());
            sleep(Duration::from_millis(5)).await;
        }
        let bytes_per_s = (8 * BODY_BYTES / 4) as f64 / start.elapsed().as_secs_f64();
        let bandwidth = f64::from(LINK_MBPS) * 125_000.0;
        assert!(bytes_per_s < bandwidth * 0.95, "{bytes_per_s}");
        assert!(bytes_per_s > bandwidth * 0.4, "{bytes_per_s}");
        assert!(
            longest_query < Duration::from_millis(200),
            "{longest_query:?}"
        );
        assert_eq!(owner.budget.used(), 0);
    });
}

/// Guards against an upload that occupies the link although it can't be in time.
#[test]
fn offer_that_cannot_be_in_time_is_refused_at_once() {
    run_with_real_sockets(|| async {
        let first = LinkedNode::start("first", true).await;
        let mut second = LinkedNode::start("second", true).await;
        let mut owner = LinkedNode::start("owner", true).await;
        first
            .links
            .send(owner.address, dispatch_frame(1, 4 * BODY_BYTES));
        owner.wait_for_part().await;
        let mut late = dispatch_frame(2, BODY_BYTES);
        if let Some(FrameBody::Dispatch(dispatch)) = &mut late.body {
            dispatch.remaining_ms = 1000;
        }
        let sent_at = Instant::now();
        second.links.send(owner.address, late);
        assert!(matches!(
            second.next_dispatch_event().await,
            CoreEvent::DispatchRefused(2)
        ));
        assert!(sent_at.elapsed() < Duration::from_millis(300));
        assert_eq!(second.links.large_frame_wait(), Duration::ZERO);
    });
}

/// Guards against frames about transfers where no request is large, and towards nodes of an earlier
/// release.
#[test]
fn fleets_without_large_requests_exchange_the_same_frames() {
    run_with_real_sockets(|| async {
        for (grants, body_bytes) in [(true, 1000), (false, BODY_BYTES / 8)] {
            let entry = LinkedNode::start("entry", true).await;
            let (listener, address) = bind_listener().await;
            let address = NodeAddress::from(address);
            entry.links.send(address, dispatch_frame(1, body_bytes));
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut stream = Framed::new(stream, FrameCodec::default());
            let hello = FrameBody::Hello(LinkHello {
                address: address.to_string(),
                joins_parts: true,
                grants_transfers: grants,
            });
            let sent = stream.send(&frame(hello)).await;
            sent.expect("the hello should be sent");
            let mut kinds = Vec::new();
            loop {
                let received = stream.next().await.expect("a frame");
                let received = received.expect("the frame should be read");
                let is_last = match received.body {
                    Some(FrameBody::Hello(_)) => false,
                    Some(FrameBody::Part(part)) => part.last,
                    Some(FrameBody::Dispatch(_)) => true,
                    other => panic!("unexpected frame: {other:?}"),
                };
                kinds.push(is_last);
                if is_last {
                    break;
                }
            }
            assert!(kinds.len() >= 2);
        }
    });
}
