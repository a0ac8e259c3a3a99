//! Messages between this node and its peers.

use prost::Message;
use sequoiagw_protocol::ClaimReply;
use sequoiagw_protocol::ClaimRequest;
use sequoiagw_protocol::FleetReport;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::time::Instant;

use crate::CoreAction;
use crate::NodeCore;

/// Length prefix and version byte of a frame, in bytes.
const FRAME_OVERHEAD: usize = 5;

impl NodeCore {
    pub(crate) fn on_frame(&mut self, frame: PeerFrame, bytes: usize, now: Instant) {
        let from = frame.sender_id();
        self.counters.add_frame_bytes(frame.kind(), bytes);
        let known = self.boots.get(&from).copied().unwrap_or(0);
        if frame.boot < known {
            // A late frame of a process that is gone.
            self.counters.count("frame.stale_boot");
            return;
        }
        if frame.boot > known {
            self.boots.insert(from, frame.boot);
            if known > 0 {
                self.entry.on_node_lost(from, Some(frame.boot), now);
            }
        }
        self.entry.on_contact(from, now);
        if let Some(body) = frame.body {
            self.on_body(from, frame.boot, body, now);
        }
    }

    pub(crate) fn on_body(&mut self, from: NodeId, boot: u64, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Probe(_)
            | FrameBody::ProbeAnswer(_)
            | FrameBody::Join(_)
            | FrameBody::Digest(_)
            | FrameBody::Records(_) => self.membership.on_message(from, body, now),
            FrameBody::Delta(_)
            | FrameBody::Full(_)
            | FrameBody::ConfigRequest(_)
            | FrameBody::ConfigBusy(_)
            | FrameBody::Versions(_)
            | FrameBody::Activate(_) => self.versions.on_message(from, body, now),
            FrameBody::Dispatch(dispatch) => self.owner.on_dispatch(from, boot, dispatch, now),
            FrameBody::Answer(answer) => {
                if answer.entry_boot == self.identity.boot {
                    self.entry.on_answer(from, boot, answer, now);
                } else {
                    self.counters.count("answer.other_boot");
                }
            }
            FrameBody::Query(query) => self.owner.on_query(from, boot, query, now),
            FrameBody::Cancel(cancel) => self.owner.on_cancel(from, boot, cancel.call, now),
            FrameBody::Claim(request) => self.on_claims(from, request, now),
            FrameBody::ClaimReply(reply) => self.on_claim_reply(&reply, now),
            FrameBody::FleetQuery(query) => {
                let report = FleetReport {
                    query_id: query.query_id,
                    data_centre: self.identity.data_centre.clone(),
                    nodes: self.versions.known_versions(),
                };
                self.send(from, FrameBody::FleetReport(report));
            }
            FrameBody::FleetReport(report) => self.actions.push(CoreAction::Report(report)),
            // Only nodes that follow the platform's own configuration send compiled versions.
            FrameBody::VersionDelta(_) => self.counters.count("frame.unexpected"),
            FrameBody::Hello(_) => {}
        }
    }

    pub(crate) fn on_undelivered(
        &mut self,
        address: NodeAddress,
        frames: &[PeerFrame],
        now: Instant,
    ) {
        self.counters.count("link.refused");
        for node in self.nodes_at(address) {
            for frame in frames {
                match &frame.body {
                    Some(FrameBody::Dispatch(dispatch)) => {
                        self.entry.on_dispatch_undelivered(dispatch.call, node, now);
                    }
                    Some(FrameBody::Claim(request)) => {
                        for claim in &request.claims {
                            self.owner.on_claim(&claim.key, None, now);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    pub(crate) fn on_claims(&mut self, from: NodeId, request: ClaimRequest, now: Instant) {
        if self.holder.seat().is_some() {
            self.committer.on_claims(from, &request.claims, now);
            return;
        }
        let failed = request.claims.into_iter().map(|claim| claim.key).collect();
        let reply = ClaimReply {
            recorded: Vec::new(),
            failed,
        };
        self.send(from, FrameBody::ClaimReply(reply));
    }

    pub(crate) fn on_claim_reply(&mut self, reply: &ClaimReply, now: Instant) {
        for claim in &reply.recorded {
            self.owner.on_claim(&claim.key, Some(claim), now);
        }
        for key in &reply.failed {
            self.owner.on_claim(key, None, now);
        }
    }

    /// Hands a claim to the own committer or to a holder: those of the own data centre go
    /// first, and each further try asks another one.
    pub(crate) fn claim(&mut self, claim: KeyClaim, tries: u32, now: Instant) {
        if self.holder.seat().is_some() && tries == 0 {
            self.committer.on_claims(self.node, &[claim], now);
            return;
        }
        let holders = self.holders();
        let near = holders.iter().filter(|(near, _)| *near).count().max(1);
        // The claim's number spreads claims over the holders nearby.
        let first = claim.nonce as usize % near;
        let place = if (tries as usize) < near {
            (first + tries as usize) % near
        } else {
            tries as usize
        };
        match holders.get(place % holders.len().max(1)).copied() {
            Some((_, holder)) => {
                let request = ClaimRequest {
                    claims: vec![claim],
                };
                self.send(holder, FrameBody::Claim(request));
            }
            None => self.owner.on_claim(&claim.key, None, now),
        }
    }

    /// Holders with whether they are nearby, the near ones first.
    pub(crate) fn holders(&self) -> Vec<(bool, NodeId)> {
        let centre = &self.identity.data_centre;
        let mut holders: Vec<(bool, NodeId)> = self
            .members()
            .records()
            .filter(|record| record.seat > 0 && record.state() == MemberState::Ready)
            .map(|record| (record.data_centre == *centre, NodeId::from(record.node)))
            .collect();
        holders.sort_by_key(|(near, node)| (!near, *node));
        holders
    }

    /// Sends a message of the entry; a dispatch to a node without an address comes back.
    pub(crate) fn send_for_entry(&mut self, node: NodeId, body: FrameBody, now: Instant) {
        let unknown = node != self.node && self.members().address(node).is_none();
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
        if let Some(address) = self.members().address(node) {
            self.send_to(address, body);
        } else {
            self.counters.count("frame.no_address");
        }
    }

    pub(crate) fn send_to(&mut self, address: NodeAddress, body: FrameBody) {
        let frame = PeerFrame::new(self.node, self.identity.boot, body);
        self.counters
            .add_frame_bytes(frame.kind(), frame.encoded_len() + FRAME_OVERHEAD);
        self.actions
            .push(CoreAction::Send(address, Box::new(frame)));
    }

    pub(crate) fn nodes_at(&self, address: NodeAddress) -> Vec<NodeId> {
        let text = address.to_string();
        let here = self
            .members()
            .records()
            .filter(|record| record.address == text);
        here.map(|record| NodeId::from(record.node)).collect()
    }
}
