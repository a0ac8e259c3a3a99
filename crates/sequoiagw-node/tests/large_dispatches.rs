//! Tests of links with dispatches that take long to send.

#[path = "support/sockets.rs"]
mod sockets;

use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::BufferBudget;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::PeerLinks;
use sequoiagw_node::SendPacer;
use sequoiagw_node::TcpLinks;
use sequoiagw_protocol::CallCancel;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

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
    async fn start(name: &str) -> Self {
        let (listener, address) = bind_listener().await;
        let address = NodeAddress::from(address);
        let (sender, events) = mpsc::unbounded_channel();
        let budget = BufferBudget::new(u64::MAX);
        let links = TcpLinks::new(
            NodeId::from_name(name),
            1,
            address,
            sender,
            SendPacer::new(LINK_MBPS),
        )
        .with_budget(budget.clone());
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
    run_with_real_sockets(|| async {
        let mut entry = LinkedNode::start("entry").await;
        let mut owner = LinkedNode::start("owner").await;
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

/// Guards against a query on a newer link to the same node, which both nodes may open at once.
#[test]
fn query_on_a_newer_link_does_not_overtake_the_dispatch() {
    run_with_real_sockets(|| async {
        let mut entry = LinkedNode::start("entry").await;
        let mut owner = LinkedNode::start("owner").await;
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

/// Guards against a call that counts as possibly run although its owner got half of its dispatch.
#[test]
fn dispatch_on_a_link_that_breaks_halfway_is_undelivered() {
    run_with_real_sockets(|| async {
        let mut entry = LinkedNode::start("entry").await;
        let mut owner = LinkedNode::start("owner").await;
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

/// Guards against a body that is sent, and run, after its caller was told that it never will be, and
/// against parts that stay in the receiver's memory.
#[test]
fn withdrawn_dispatch_is_not_sent_and_leaves_no_parts() {
    run_with_real_sockets(|| async {
        let mut entry = LinkedNode::start("entry").await;
        let mut owner = LinkedNode::start("owner").await;
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

/// Guards against a cancellation that is lost for a dispatch that its owner has.
#[test]
fn dispatch_that_was_sent_whole_is_cancelled_at_its_owner() {
    run_with_real_sockets(|| async {
        let entry = LinkedNode::start("entry").await;
        let mut owner = LinkedNode::start("owner").await;
        entry
            .links
            .send(owner.address, dispatch_frame(1, BODY_BYTES / 8));
        assert_eq!(owner.next_frame().await, dispatch_frame(1, BODY_BYTES / 8));
        entry.links.withdraw(1);
        entry.links.send(owner.address, cancel_frame(1));
        assert_eq!(owner.next_frame().await, cancel_frame(1));
    });
}
