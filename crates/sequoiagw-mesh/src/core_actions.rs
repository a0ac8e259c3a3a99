//! Execution of the actions that the entry and owner state machines request.

use prost::Message;
use sequoiagw_node::log_entry_event;
use sequoiagw_node::log_refusal;
use sequoiagw_policy::EntryAction;
use sequoiagw_policy::OwnerAction;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::time::Instant;

use crate::MeshAction;
use crate::MeshCore;

impl MeshCore {
    /// Processes the actions of both state machines and the frames that the node sends to itself
    /// until none are left.
    pub(crate) fn process_actions(&mut self, now: Instant) {
        loop {
            let mut idle = self.process_entry_actions(now);
            idle &= self.process_owner_actions();
            while let Some(body) = self.loopback_frames.pop_front() {
                idle = false;
                self.entry.on_contact(self.node, now);
                self.on_frame_body(self.node, self.boot, body, now);
            }
            if idle {
                return;
            }
        }
    }

    /// Processes the entry's actions; returns whether there were none.
    pub(crate) fn process_entry_actions(&mut self, now: Instant) -> bool {
        let actions = self.entry.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                EntryAction::Send(node, body) => self.send_for_entry(node, body, now),
                EntryAction::ResetLink(node) => {
                    self.counters.count("link.reset");
                    if let Some(address) = self.directory.address(node) {
                        self.actions.push(MeshAction::ResetLink(address));
                    }
                }
                EntryAction::Reply(call, reply) => {
                    if let Err(kind) = reply.outcome {
                        self.counters.count_refusal(kind.rule().name);
                    }
                    self.actions.push(MeshAction::Reply(call, reply));
                }
                EntryAction::Record(record) => {
                    log_entry_event(&record, &self.counters, |node| self.directory.name(node));
                }
            }
        }
        idle
    }

    /// Processes the owner's actions; returns whether there were none.
    pub(crate) fn process_owner_actions(&mut self) -> bool {
        let actions = self.owner.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                OwnerAction::Answer(node, answer) => self.send(node, FrameBody::Answer(answer)),
                OwnerAction::Run(request) => self.actions.push(MeshAction::Run(request)),
                OwnerAction::Abort(run) => self.actions.push(MeshAction::Abort(run)),
                // Calls carry no idempotency keys here, so the owner requests no claims.
                OwnerAction::Claim(_, _) => self.counters.count("claim.unexpected"),
                OwnerAction::RecordRefusal(record) => log_refusal(&record, &self.counters),
            }
        }
        idle
    }

    /// Sends a frame of the entry. A dispatch to a node without a known address is reported back
    /// as undelivered.
    pub(crate) fn send_for_entry(&mut self, node: NodeId, body: FrameBody, now: Instant) {
        let has_no_address = node != self.node && self.directory.address(node).is_none();
        match &body {
            FrameBody::Dispatch(dispatch) if has_no_address => {
                let call = dispatch.call;
                self.counters.count("frame.no_address");
                self.entry.on_dispatch_undelivered(call, node, now);
            }
            _ => self.send(node, body),
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
        let frame = PeerFrame::new(self.node, self.boot, body);
        self.counters
            .add_frame_bytes(frame.kind(), frame.encoded_len());
        self.actions
            .push(MeshAction::Send(address, Box::new(frame)));
    }
}
