//! Handling of frames from peers and of links that were established, lost or refused.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FrameKind;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::time::Instant;

use crate::core_directory::records_body;
use crate::mesh_core::StoreAccess;
use crate::MeshCore;
use crate::RegistrationChange;

impl MeshCore {
    /// Handles a frame from a peer; `bytes` is its encoded size.
    pub fn on_frame(&mut self, frame: PeerFrame, bytes: usize, now: Instant) {
        let from = frame.sender_id();
        self.counters.add_frame_bytes(frame.kind(), bytes);
        self.calls.entry.on_contact(from, now);
        self.note_quota_contact(from, now);
        if let Some(body) = frame.body {
            self.on_frame_body(from, frame.boot, body, now);
        }
        self.process_actions(now);
    }

    /// Handles a part of a large frame from a node, which shows that the node is alive; `bytes` is
    /// the part's encoded size.
    pub fn on_part_received(&mut self, node: NodeId, bytes: usize, now: Instant) {
        self.counters.add_frame_bytes(FrameKind::Call, bytes);
        self.calls.entry.on_contact(node, now);
        self.note_quota_contact(node, now);
        self.note_quota_activity(now);
    }

    /// Handles a new link to a node. When the node has restarted, the link shows its new boot
    /// long before its new registration arrives through the store.
    ///
    /// Calls dispatched to the previous boot stay open. Those that were waiting for this link
    /// were never sent and are reported by [`Self::on_undelivered`]; the outcome of the others is
    /// queried when the link that carried them is lost.
    pub fn on_link_established(&mut self, node: NodeId, boot: u64, now: Instant) {
        if self.directory.on_restart(node, boot) {
            self.counters.count("directory.restarted");
            self.known_boots.insert(node, boot);
            self.on_directory_changed(now);
        }
    }

    /// Handles the loss of an established link. That of a watcher has probably ended with its
    /// process; if not, its next digest shows it.
    pub fn on_link_lost(&mut self, address: NodeAddress, now: Instant) {
        self.counters.count("link.lost");
        for node in self.directory.nodes_at(address) {
            self.calls.entry.on_link_lost(node, now);
            self.on_watcher_ended(node, now);
        }
        self.process_actions(now);
    }

    /// Handles frames that were never written to a link, because none could be established.
    pub fn on_undelivered(&mut self, address: NodeAddress, frames: &[PeerFrame], now: Instant) {
        self.counters.count("link.refused");
        for node in self.directory.nodes_at(address) {
            for body in frames.iter().filter_map(|frame| frame.body.as_ref()) {
                self.calls.on_undelivered(node, body, now);
                match body {
                    FrameBody::Departure(_) => self.on_departure_undelivered(node, now),
                    FrameBody::QuotaRequest(request) => {
                        self.on_quota_undelivered(request.request, now);
                    }
                    FrameBody::Probe(probe) => {
                        self.on_reach_undelivered(node, probe.sequence, now);
                    }
                    _ => {}
                }
            }
        }
        self.process_actions(now);
    }

    /// Handles a query that the links didn't send, since its dispatch hasn't been sent whole.
    pub fn on_dispatch_unsent(&mut self, dispatch: u64, now: Instant) {
        self.calls.entry.on_dispatch_unsent(dispatch, now);
        self.process_actions(now);
    }

    /// Handles the refusal of a dispatch by its receiver, before any of it was sent.
    pub fn on_dispatch_refused(&mut self, dispatch: u64, now: Instant) {
        self.counters.count("transfer.refused");
        self.calls.entry.on_dispatch_refused(dispatch, now);
        self.process_actions(now);
    }

    /// Handles the removal of a dispatch that hadn't been sent whole.
    pub fn on_dispatch_withdrawn(&mut self, dispatch: u64, now: Instant) {
        self.calls.entry.on_dispatch_withdrawn(dispatch);
        self.process_actions(now);
    }

    /// Handles the body of a frame from a node, which may be this node itself.
    pub(crate) fn on_frame_body(&mut self, from: NodeId, boot: u64, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Dispatch(dispatch) => {
                self.on_dispatch(from, boot, dispatch, now);
            }
            FrameBody::Answer(mut answer) if answer.entry_boot == self.boot => {
                if let Some(load) = answer.load.as_mut().filter(|_| from == self.node) {
                    // A body that stays at this host doesn't wait for its link.
                    load.receive_wait_ms = 0;
                }
                self.calls.entry.on_answer(from, boot, answer, now);
            }
            FrameBody::Query(query) => self.calls.owner.on_query(from, boot, query, now),
            FrameBody::Cancel(cancel) => self.calls.owner.on_cancel(from, boot, cancel.call, now),
            FrameBody::ConfigRequest(request) => self.send_newer_version(from, request.held),
            FrameBody::Records(received) => {
                let requested = !received.requested_data_centres.is_empty();
                let records = received.records.into_iter();
                let changes: Vec<RegistrationChange> =
                    records.map(RegistrationChange::from_record).collect();
                self.on_registration_changes(&changes, now);
                if self.store_access == StoreAccess::Bypassed {
                    self.recover_departure(now);
                }
                if requested {
                    let records = self.directory.records();
                    self.send(from, records_body(records));
                } else if !received.requested_nodes.is_empty() {
                    self.send_records_of(from, &received.requested_nodes);
                } else if self.store_access == StoreAccess::Bypassed {
                    self.announce_registration(now);
                }
            }
            FrameBody::Digest(received) => self.on_digest(from, received, now),
            FrameBody::VersionDelta(delta) => self.on_delta(from, &delta, now),
            FrameBody::Departure(notice) => self.on_departure_notice(from, notice, now),
            FrameBody::DepartureReply(reply) => self.on_departure_reply(from, reply, now),
            FrameBody::Crashes(received) => self.on_crash_records(from, &received, now),
            FrameBody::Rollouts(received) => self.on_rollout_table(from, received, now),
            FrameBody::RunStatsRequest(request) => self.on_run_stats_request(from, &request, now),
            FrameBody::RunStats(reply) => self.on_run_stats(from, &reply, now),
            FrameBody::QuotaRequest(request) if self.has_quotas() => {
                self.on_quota_request(from, &request, now);
            }
            FrameBody::Probe(probe) => self.answer_reach_probe(from, probe.sequence),
            FrameBody::ProbeAnswer(answer) => self.on_reach_answer(from, answer.sequence, now),
            FrameBody::QuotaGrant(grant) if self.has_quotas() => self.on_quota_grant(grant, now),
            _ => self.counters.count("frame.unexpected"),
        }
    }
}
