//! Frames from peers, and links that broke or never stood.

use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::time::Instant;

use crate::core_directory::records_body;
use crate::mesh_core::StorePath;
use crate::MeshCore;
use crate::RegistrationChange;

impl MeshCore {
    /// A frame came from a peer.
    pub fn on_frame(&mut self, frame: PeerFrame, bytes: usize, now: Instant) {
        let from = frame.sender_id();
        self.counters.frame_bytes(frame.kind(), bytes);
        self.entry.on_contact(from, now);
        if let Some(body) = frame.body {
            self.on_body(from, frame.boot, body, now);
        }
        self.settle(now);
    }

    /// A link stands. A process that has started since its node's entry was written shows its
    /// boot here first, long before its new entry comes through the store.
    ///
    /// Calls meant for its predecessor are left alone: those that wait for this very link were
    /// never written and come back as undelivered, the others are asked about when their own
    /// link breaks.
    pub fn on_link_established(&mut self, node: NodeId, boot: u64, now: Instant) {
        if self.directory.on_restart(node, boot) {
            self.counters.count("directory.restarted");
            self.boots.insert(node, boot);
            self.directory_changed(now);
        }
    }

    /// A link broke after it stood.
    pub fn on_link_lost(&mut self, address: NodeAddress, now: Instant) {
        self.counters.count("link.lost");
        for node in self.directory.nodes_at(address) {
            self.entry.on_link_lost(node, now);
        }
        self.settle(now);
    }

    /// Frames were never written to any link.
    pub fn on_undelivered(&mut self, address: NodeAddress, frames: &[PeerFrame], now: Instant) {
        self.counters.count("link.refused");
        for node in self.directory.nodes_at(address) {
            for frame in frames {
                match &frame.body {
                    Some(FrameBody::Dispatch(dispatch)) => {
                        self.entry.on_dispatch_undelivered(dispatch.call, node, now);
                    }
                    Some(FrameBody::Query(query)) => {
                        self.entry.on_query_undelivered(query.call, node, now);
                    }
                    _ => {}
                }
            }
        }
        self.settle(now);
    }

    pub(crate) fn on_body(&mut self, from: NodeId, boot: u64, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Dispatch(dispatch) => self.owner.on_dispatch(from, boot, dispatch, now),
            FrameBody::Answer(answer) if answer.entry_boot == self.boot => {
                self.entry.on_answer(from, boot, answer, now);
            }
            FrameBody::Query(query) => self.owner.on_query(from, boot, query, now),
            FrameBody::Cancel(cancel) => self.owner.on_cancel(from, boot, cancel.call, now),
            FrameBody::ConfigRequest(request) => self.offer_version(from, request.held),
            FrameBody::Records(told) => {
                let asked = !told.requested_data_centres.is_empty();
                let records = told.records.into_iter();
                let changes: Vec<RegistrationChange> =
                    records.map(RegistrationChange::from_record).collect();
                self.on_registration_changes(&changes, now);
                if asked {
                    let records = self.directory.records();
                    self.send(from, records_body(records));
                } else if self.store_path == StorePath::Bypassed {
                    self.announce_to_all(now);
                }
            }
            FrameBody::Digest(told) => {
                let own = self.directory.digest();
                let is_store_out = told.hashes.is_empty();
                for hash in told.hashes {
                    self.watchers.on_digest(hash.hash, own, now);
                }
                if self.watchers.take_pending_records_request(now) {
                    self.ask_for_records(from);
                }
                self.on_version_told(from, told.version, now);
                let store_out = is_store_out || self.store_path == StorePath::Failing;
                let must_join = store_out && self.version.is_none();
                if let Some(sender) = told.sender.filter(|_| must_join) {
                    self.ask_to_join(from, sender, now);
                }
            }
            FrameBody::VersionDelta(delta) => self.on_delta(from, &delta, now),
            _ => self.counters.count("frame.unexpected"),
        }
    }
}
