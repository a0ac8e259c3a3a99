//! Frames received from peers and sent to them.

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
const FRAME_OVERHEAD_BYTES: usize = 5;

impl NodeCore {
    pub(crate) fn on_frame(&mut self, frame: PeerFrame, bytes: usize, now: Instant) {
        let from = frame.sender_id();
        self.counters.add_frame_bytes(frame.kind(), bytes);
        let known_boot = self.peer_boots.get(&from).copied().unwrap_or(0);
        if frame.boot < known_boot {
            // Delayed frame from a previous process of the node.
            self.counters.count("frame.stale_boot");
            return;
        }
        if frame.boot > known_boot {
            self.peer_boots.insert(from, frame.boot);
            if known_boot > 0 {
                self.calls.entry.on_node_lost(from, Some(frame.boot), now);
            }
        }
        self.calls.entry.on_contact(from, now);
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
            FrameBody::Dispatch(dispatch) => {
                self.calls.owner.on_dispatch(from, boot, dispatch, now);
            }
            FrameBody::Answer(answer) => {
                if answer.entry_boot == self.identity.boot {
                    self.calls.entry.on_answer(from, boot, answer, now);
                } else {
                    self.counters.count("answer.other_boot");
                }
            }
            FrameBody::Crashes(received) => self.on_crash_records(from, &received, now),
            FrameBody::Query(query) => self.calls.owner.on_query(from, boot, query, now),
            FrameBody::Cancel(cancel) => self.calls.owner.on_cancel(from, boot, cancel.call, now),
            FrameBody::Claim(request) => self.on_claim_request(from, request, now),
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
            // Compiled versions, departures of backend servers, quotas and roll-outs are sent only
            // between nodes that follow the platform's own configuration.
            FrameBody::VersionDelta(_)
            | FrameBody::Departure(_)
            | FrameBody::DepartureReply(_)
            | FrameBody::QuotaRequest(_)
            | FrameBody::QuotaGrant(_)
            | FrameBody::Rollouts(_)
            | FrameBody::RunStatsRequest(_)
            | FrameBody::RunStats(_) => {
                self.counters.count("frame.unexpected");
            }
            // Parts are joined, and transfers paced, by the links.
            FrameBody::Hello(_)
            | FrameBody::Part(_)
            | FrameBody::TransferOffer(_)
            | FrameBody::TransferGrant(_) => {}
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
            for body in frames.iter().filter_map(|frame| frame.body.as_ref()) {
                self.calls.on_undelivered(node, body, now);
                if let FrameBody::Claim(request) = body {
                    for claim in &request.claims {
                        self.calls.owner.on_claim(&claim.key, None, now);
                    }
                }
            }
        }
    }

    pub(crate) fn on_claim_request(&mut self, from: NodeId, request: ClaimRequest, now: Instant) {
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
            self.calls.owner.on_claim(&claim.key, Some(claim), now);
        }
        for key in &reply.failed {
            self.calls.owner.on_claim(key, None, now);
        }
    }

    /// Passes a claim to this node's committer or sends it to a holder. `attempt` is the number of
    /// earlier attempts: each one selects the next holder, local holders first.
    pub(crate) fn claim(&mut self, claim: KeyClaim, attempt: u32, now: Instant) {
        if self.holder.seat().is_some() && attempt == 0 {
            self.committer.on_claims(self.node, &[claim], now);
            return;
        }
        let holders = self.holders();
        let local_count = holders.iter().filter(|(local, _)| *local).count().max(1);
        // The nonce distributes the claims over the local holders.
        let first = claim.nonce as usize % local_count;
        let position = if (attempt as usize) < local_count {
            (first + attempt as usize) % local_count
        } else {
            attempt as usize
        };
        match holders.get(position % holders.len().max(1)).copied() {
            Some((_, holder)) => {
                let request = ClaimRequest {
                    claims: vec![claim],
                };
                self.send(holder, FrameBody::Claim(request));
            }
            None => self.calls.owner.on_claim(&claim.key, None, now),
        }
    }

    /// Holders, each with whether it is local; local holders come first.
    pub(crate) fn holders(&self) -> Vec<(bool, NodeId)> {
        let data_centre = &self.identity.data_centre;
        let mut holders: Vec<(bool, NodeId)> = self
            .members()
            .records()
            .filter(|record| record.seat > 0 && record.state() == MemberState::Ready)
            .map(|record| {
                (
                    record.data_centre == *data_centre,
                    NodeId::from(record.node),
                )
            })
            .collect();
        holders.sort_by_key(|(local, node)| (!local, *node));
        holders
    }

    /// Sends a message of a call, or reports that its node has no known address.
    pub(crate) fn send_for_call(&mut self, node: NodeId, body: FrameBody, now: Instant) {
        if node != self.node && self.members().address(node).is_none() {
            self.calls.on_unaddressed(node, &body, now);
        } else {
            self.send(node, body);
        }
    }

    pub(crate) fn send(&mut self, node: NodeId, body: FrameBody) {
        if node == self.node {
            self.loopback_frames.push_back(body);
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
            .add_frame_bytes(frame.kind(), frame.encoded_len() + FRAME_OVERHEAD_BYTES);
        self.actions
            .push(CoreAction::Send(address, Box::new(frame)));
    }

    pub(crate) fn nodes_at(&self, address: NodeAddress) -> Vec<NodeId> {
        let text = address.to_string();
        let records = self
            .members()
            .records()
            .filter(|record| record.address == text);
        records.map(|record| NodeId::from(record.node)).collect()
    }
}
