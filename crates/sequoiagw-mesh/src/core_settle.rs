//! Settling what the machines want of each other.

use prost::Message;
use sequoiagw_node::log_entry_note;
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
    /// Settles what the machines want of each other until nothing is left to do.
    pub(crate) fn settle(&mut self, now: Instant) {
        loop {
            let mut idle = self.settle_entry(now);
            idle &= self.settle_owner();
            while let Some(body) = self.own_frames.pop_front() {
                idle = false;
                self.entry.on_contact(self.node, now);
                self.on_body(self.node, self.boot, body, now);
            }
            if idle {
                return;
            }
        }
    }

    pub(crate) fn settle_entry(&mut self, now: Instant) -> bool {
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
                        self.counters.refused(kind.rule().name);
                    }
                    self.actions.push(MeshAction::Reply(call, reply));
                }
                EntryAction::Record(note) => {
                    log_entry_note(&note, &self.counters, |node| self.directory.name(node));
                }
            }
        }
        idle
    }

    pub(crate) fn settle_owner(&mut self) -> bool {
        let actions = self.owner.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                OwnerAction::Answer(node, answer) => self.send(node, FrameBody::Answer(answer)),
                OwnerAction::Run(request) => self.actions.push(MeshAction::Run(request)),
                OwnerAction::Abort(run) => self.actions.push(MeshAction::Abort(run)),
                // Calls carry no keys here, so nothing is claimed.
                OwnerAction::Claim(_, _) => self.counters.count("claim.unexpected"),
                OwnerAction::RecordRefusal(note) => log_refusal(&note, &self.counters),
            }
        }
        idle
    }

    pub(crate) fn send_for_entry(&mut self, node: NodeId, body: FrameBody, now: Instant) {
        let unknown = node != self.node && self.directory.address(node).is_none();
        match &body {
            FrameBody::Dispatch(dispatch) if unknown => {
                let number = dispatch.call;
                self.counters.count("frame.no_address");
                self.entry.on_dispatch_undelivered(number, node, now);
            }
            _ => self.send(node, body),
        }
    }

    pub(crate) fn send(&mut self, node: NodeId, body: FrameBody) {
        if node == self.node {
            self.own_frames.push_back(body);
            return;
        }
        let Some(address) = self.directory.address(node) else {
            self.counters.count("frame.no_address");
            return;
        };
        let frame = PeerFrame::new(self.node, self.boot, body);
        self.counters.frame_bytes(frame.kind(), frame.encoded_len());
        self.actions
            .push(MeshAction::Send(address, Box::new(frame)));
    }
}
