//! The backend server next to the node: what it says of itself, and the slots offered for it.

use sequoiagw_node::BackendNotice;
use sequoiagw_policy::OwnerSettings;
use sequoiagw_policy::SlotRule;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::time::Instant;
use tracing::info;

use crate::mesh_core::StoreAccess;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use crate::MeshAction;
use crate::MeshCore;
use crate::TargetIncarnation;

/// Calls that may wait in a target's queue for each of its slots.
const QUEUED_CALLS_PER_SLOT: u32 = 20;

impl MeshCore {
    /// Handles a heartbeat of the backend server.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        let previous = self.target.incarnation().cloned();
        let previous_version = self.registered_version();
        let outcome = self.target.on_heartbeat(heartbeat, now);
        if self.target.leaving().is_some() {
            self.share_departure(now);
        }
        if self.target.incarnation() != previous.as_ref() {
            self.set_request_limit(None, now);
        }
        if self.registered_version() != previous_version {
            self.actions.push(MeshAction::RegistrationChanged);
        }
        self.update_rollouts_on_heartbeat(now);
        self.update_slot_offer(now);
        outcome
    }

    /// Handles what the backend server says of itself in a response. A response of an earlier
    /// process than the current one is ignored.
    pub fn on_backend_notice(&mut self, notice: &BackendNotice, now: Instant) {
        let current = self.target.incarnation();
        if current.is_some_and(|current| current.instance == notice.instance) {
            self.set_request_limit(notice.request_limit, now);
            if notice.leaving {
                self.on_leaving_response(&notice.instance, now);
            }
        }
    }

    /// Withdraws the backend server's slots, since a response says that it is leaving.
    fn on_leaving_response(&mut self, instance: &str, now: Instant) {
        if self.target.on_leaving_response() {
            info!(event = "backend_leaves", instance, stated_in = "response");
            self.share_departure(now);
            self.update_slot_offer(now);
        }
    }

    /// Limits the requests per second that the backend server gets; `None` removes the limit.
    fn set_request_limit(&mut self, limit: Option<f64>, now: Instant) {
        if limit == self.request_limit {
            return;
        }
        info!(
            target: REQUEST_LOG_TARGET,
            event = "request_limit_changed",
            per_s = limit,
            before_per_s = self.request_limit
        );
        self.counters.count("backend.limit_changed");
        self.request_limit = limit;
        self.calls.owner.set_start_rate(limit, now);
        self.process_actions(now);
    }

    /// Handles the leave notice of an incarnation of the backend server.
    pub fn on_leave_notice(&mut self, departing: TargetIncarnation, now: Instant) {
        self.target.on_leave_notice(departing, now);
        self.share_departure(now);
        self.update_slot_offer(now);
    }

    /// Offers the backend server's slots to the fleet, or withdraws them when it accepts no work.
    pub(crate) fn update_slot_offer(&mut self, now: Instant) {
        let slots = self.available_slots(now);
        if slots == self.offered_slots {
            return;
        }
        info!(event = "slots_offered", slots, before = self.offered_slots);
        self.offered_slots = slots;
        let service = match slots {
            0 => String::new(),
            _ => self.settings.backend.service.clone(),
        };
        let owner_settings = OwnerSettings {
            service,
            slots,
            queue_limit: (slots * QUEUED_CALLS_PER_SLOT) as usize,
            slot_rule: SlotRule::Fixed,
            ..OwnerSettings::default()
        };
        self.calls.owner.reconfigure(owner_settings, now);
        if slots == 0 {
            self.calls.owner.refuse_queued(now);
        }
        self.actions.push(MeshAction::RegistrationChanged);
        if self.store_access == StoreAccess::Bypassed {
            self.announce_registration(now);
        }
        self.process_actions(now);
    }
}
