//! Departures of backend servers: written to the store before they are acknowledged, remembered by other
//! nodes, and learnt again by a process that has just started.

use std::time::Duration;

use sequoiagw_protocol::DepartureNotice;
use sequoiagw_protocol::DepartureReply;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::LeavingBackend;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::time::Instant;
use tracing::info;

use crate::mesh_core::StoreAccess;
use crate::DepartureHistory;
use crate::MeshAction;
use crate::MeshCore;
use crate::TargetIncarnation;

/// Longest time by which a heartbeat is late. A node that has run for so long has heard of each departure
/// from which a heartbeat could still be on its way.
const LATE_HEARTBEAT_LIMIT: Duration = Duration::from_secs(15);

impl MeshCore {
    /// Whether the store has the departure of an incarnation. A notice that named no start concerns the latest
    /// departure of its instance.
    pub fn is_departure_stored(&self, departing: &TargetIncarnation) -> bool {
        let latest = self.target.latest_departure();
        let latest = latest.filter(|latest| latest.instance == departing.instance);
        let concerned = match latest {
            Some(latest) if !departing.has_known_start() => latest,
            _ => departing,
        };
        self.stored_departure.as_ref() == Some(concerned)
    }

    /// Whether calls to the store are known to fail.
    pub fn has_lost_store(&self) -> bool {
        self.store_access != StoreAccess::Available
    }

    /// Records that the store has this node's registration, with the departure that it names.
    pub fn on_departure_stored(&mut self, departure: Option<TargetIncarnation>) {
        self.stored_departure = departure;
        self.actions.push(MeshAction::DepartureStored);
    }

    /// Has the latest departure written to the store and remembered by other nodes, unless the store
    /// has it.
    pub(crate) fn share_departure(&mut self, now: Instant) {
        let latest = self.target.latest_departure();
        if latest.is_none_or(|latest| self.is_departure_stored(latest)) {
            return;
        }
        self.actions.push(MeshAction::RegistrationChanged);
        self.send_departure_notice(now);
    }

    /// Asks other nodes what they remember of the backend server, if this process has just started.
    pub(crate) fn recover_departure(&mut self, now: Instant) {
        if !self.departure_recovery.must_ask() {
            return;
        }
        let nodes = self.send_departure_notice(now);
        self.departure_recovery.on_asked(&nodes, now);
        info!(event = "departure_asked", nodes = nodes.len(), history = ?self.departure_recovery.history());
        self.update_slot_offer(now);
    }

    /// Sends the latest departure to all nodes of the data centre and to one in each other; returns
    /// the nodes.
    fn send_departure_notice(&mut self, now: Instant) -> Vec<NodeId> {
        let departure = self.target.latest_departure().cloned();
        let notice = DepartureNotice {
            departed: departure.map(LeavingBackend::from),
            address: self.settings.peer_address.to_string(),
        };
        let nodes = self.departure_nodes();
        for node in &nodes {
            self.send(*node, FrameBody::Departure(notice.clone()));
        }
        self.process_actions(now);
        nodes
    }

    /// All other nodes of the data centre, and one in each other.
    fn departure_nodes(&self) -> Vec<NodeId> {
        let own_data_centre = &self.settings.data_centre;
        let data_centres = self.directory.data_centres();
        let remote = data_centres
            .iter()
            .filter(|data_centre| *data_centre != own_data_centre)
            .filter_map(|data_centre| self.watchers_in(data_centre).first().copied());
        let neighbours = self.directory.registered_in(own_data_centre);
        let neighbours = neighbours.filter(|node| *node != self.node);
        neighbours.chain(remote).collect()
    }

    /// Remembers a departure that another node tells of, and replies what is remembered of its backend
    /// server.
    pub(crate) fn on_departure_notice(
        &mut self,
        from: NodeId,
        notice: DepartureNotice,
        now: Instant,
    ) {
        let Some(address) = NodeAddress::parse(&notice.address) else {
            self.counters.count("frame.no_address");
            return;
        };
        let remembered = self.peer_departures.entry(from).or_default();
        if let Some(departed) = notice.departed {
            remembered.record(departed.into());
        }
        if let Some(registered) = self.directory.departure(from) {
            remembered.record(registered.clone());
        }
        let departed = remembered.iter().cloned();
        let departed = departed.map(LeavingBackend::from).collect();
        let runs_long = now >= self.started_at + LATE_HEARTBEAT_LIMIT;
        let reply = DepartureReply {
            departed,
            remembers: runs_long || self.settings.first_fleet_start,
        };
        self.send_to_address(address, FrameBody::DepartureReply(reply));
    }

    /// Takes over what another node remembers of the backend server.
    pub(crate) fn on_departure_reply(&mut self, from: NodeId, reply: DepartureReply, now: Instant) {
        for departed in reply.departed {
            self.restore_departed(departed.into(), now);
        }
        self.departure_recovery.on_reply(from, reply.remembers, now);
        info!(
            target: REQUEST_LOG_TARGET,
            event = "departure_reply",
            from = %from,
            remembers = reply.remembers,
            history = ?self.departure_recovery.history(),
            departed = self.target.latest_departure().map(|departure| departure.instance.as_str()),
        );
        self.update_slot_offer(now);
    }

    /// Takes over which incarnation of the backend server has left, as an earlier process of this node
    /// knew it.
    pub(crate) fn restore_departed(&mut self, departure: TargetIncarnation, now: Instant) {
        let known = self.target.latest_departure().cloned();
        self.target.restore_departed(departure);
        let latest = self.target.latest_departure();
        if let Some(latest) = latest.filter(|latest| known.as_ref() != Some(*latest)) {
            info!(event = "departure_restored", instance = %latest.instance, born_ms = latest.born_ms);
            self.actions.push(MeshAction::RegistrationChanged);
        }
        self.update_slot_offer(now);
    }

    /// Handles a notice that couldn't be sent to a node.
    pub(crate) fn on_departure_undelivered(&mut self, node: NodeId, now: Instant) {
        self.departure_recovery.on_unreachable(node, now);
        self.update_slot_offer(now);
    }

    /// Slots of the backend server, 0 if it accepts no work or may have left before this process
    /// started.
    pub(crate) fn available_slots(&self, now: Instant) -> u32 {
        if self.believes_heartbeats() {
            self.target.serving(now).map_or(0, |(_, slots)| slots)
        } else {
            0
        }
    }

    /// Whether the backend server's heartbeats can't be from before a departure of which an earlier process
    /// of this node was told.
    pub(crate) fn believes_heartbeats(&self) -> bool {
        match self.departure_recovery.history() {
            DepartureHistory::Pending => false,
            DepartureHistory::Unknown => self.target.has_sufficient_evidence(),
            DepartureHistory::Known => true,
        }
    }
}
