//! Execution of the actions that the entry and owner state machines request.

use prost::Message;
use sequoiagw_node::CallAction;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::time::Instant;

use crate::MeshAction;
use crate::MeshCore;

impl MeshCore {
    /// Processes the actions of both state machines and the frames that the node sends to itself
    /// until none are left.
    pub(crate) fn process_actions(&mut self, now: Instant) {
        self.note_quota_activity(now);
        loop {
            let mut idle = self.process_call_actions(now);
            while let Some(body) = self.loopback_frames.pop_front() {
                idle = false;
                self.calls.entry.on_contact(self.node, now);
                self.on_frame_body(self.node, self.boot, body, now);
            }
            if idle {
                return;
            }
        }
    }

    /// Processes the actions of both state machines; returns whether there were none.
    fn process_call_actions(&mut self, now: Instant) -> bool {
        let actions = self
            .calls
            .take_actions(|node| self.directory.name(node), now);
        let idle = actions.is_empty();
        for action in actions {
            match action {
                CallAction::Send(node, body) => self.send_for_call(node, body, now),
                CallAction::ResetLink(node) => {
                    if let Some(address) = self.directory.address(node) {
                        self.actions.push(MeshAction::ResetLink(address));
                    }
                }
                CallAction::Withdraw(dispatch) => {
                    self.actions.push(MeshAction::Withdraw(dispatch));
                }
                CallAction::Reply(call, reply) => {
                    self.actions.push(MeshAction::Reply(call, reply));
                }
                CallAction::Run(request) => {
                    self.record_run_start(&request, now);
                    self.actions.push(MeshAction::Run(request));
                }
                CallAction::Abort(run) => self.actions.push(MeshAction::Abort(run)),
                // Calls carry no idempotency keys here, so the owner requests no claims.
                CallAction::Claim(_, _) => self.counters.count("claim.unexpected"),
            }
        }
        idle
    }

    /// Sends a message of a call, or reports that its node has no known address.
    fn send_for_call(&mut self, node: NodeId, body: FrameBody, now: Instant) {
        if node != self.node && self.directory.address(node).is_none() {
            self.calls.on_unaddressed(node, &body, now);
        } else {
            self.send(node, body);
        }
    }

    /// Sends a frame to a node; frames to this node are queued for [`Self::process_actions`].
    pub(crate) fn send(&mut self, node: NodeId, body: FrameBody) {
        if node == self.node {
            self.loopback_frames.push_back(body);
            return;
        }
        let Some(address) = self.directory.address(node) else {
            self.counters.count("frame.no_address");
            return;
        };
        self.send_to_address(address, body);
    }

    /// Sends a frame to the node at an address, which need not be registered.
    pub(crate) fn send_to_address(&mut self, address: NodeAddress, body: FrameBody) {
        let frame = PeerFrame::new(self.node, self.boot, body);
        self.counters
            .add_frame_bytes(frame.kind(), frame.encoded_len());
        self.actions
            .push(MeshAction::Send(address, Box::new(frame)));
    }
}
