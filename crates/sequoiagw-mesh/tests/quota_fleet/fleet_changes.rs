//! Faults of a simulated fleet, and what its nodes learn of each other.

use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::RegistrationChange;
use sequoiagw_store::StoreEra;

use crate::fleet_parts::node_id;
use crate::fleet_parts::registration;
use crate::fleet_parts::start_core;
use crate::fleet_parts::FIRST_BOOT;
use crate::quota_fleet::QuotaFleet;

impl QuotaFleet {
    /// Cuts nodes off from those of other parts; all nodes are in part 0 at first.
    pub fn set_part(&mut self, nodes: &[usize], part: usize) {
        for node in nodes {
            self.members[*node].part = part;
        }
    }

    /// Lets messages of one part reach another one, and none the other way.
    pub fn open_way(&mut self, from: usize, to: usize) {
        self.open_ways.insert((from, to));
    }

    /// Ends a node's process.
    pub fn kill(&mut self, node: usize) {
        self.members[node].is_alive = false;
        self.waiting.retain(|(entry, _), _| *entry != node);
    }

    /// Starts a new process at a node.
    pub fn restart(&mut self, node: usize) {
        let size = self.members.len();
        let boot = FIRST_BOOT + 1_000_000 + self.sent;
        let mut core = self.clock.do_at(self.now, || start_core(node, boot));
        let stored = (0..size).map(registration).map(|record| {
            let revision = record.written_at(5);
            (record, revision)
        });
        core.on_registrations(stored.collect(), StoreEra::default(), self.now);
        let version = self
            .members
            .iter()
            .find_map(|member| member.core.active_version().cloned());
        if let Some(version) = version {
            core.activate_from_store(&version, self.now);
        }
        core.take_actions();
        let member = &mut self.members[node];
        member.core = core;
        member.is_alive = true;
        member.is_paused = false;
        member.unread.clear();
        self.after_event(node);
    }

    /// Lets nodes that are in touch learn each other's registrations, as watchers do.
    pub fn spread_registrations(&mut self) {
        self.revision += 1;
        let now = self.now;
        for index in 0..self.members.len() {
            let part = self.members[index].part;
            let members = self.members.iter().enumerate();
            let known = members.filter(|(_, member)| member.is_alive && member.part == part);
            let changes: Vec<RegistrationChange> = known
                .map(|(node, member)| {
                    let record = NodeRegistration {
                        boot: member.core.boot(),
                        ..registration(node)
                    };
                    let revision = record.written_at(self.revision);
                    RegistrationChange::Written(record, revision)
                })
                .collect();
            let core = &mut self.members[index].core;
            core.on_registration_changes(&changes, now);
            self.after_event(index);
        }
    }

    /// Lets some nodes learn that a node's registration is gone.
    pub fn report_removed(&mut self, node: usize, at: &[usize]) {
        let now = self.now;
        self.revision += 1;
        let revision = registration(node).written_at(self.revision);
        let change = RegistrationChange::Removed(node_id(node), revision);
        for index in at {
            let core = &mut self.members[*index].core;
            core.on_registration_changes(std::slice::from_ref(&change), now);
            self.after_event(*index);
        }
    }

    /// Lets some nodes learn that a node stops as planned.
    pub fn report_stopping(&mut self, node: usize, at: &[usize]) {
        self.revision += 1;
        let record = NodeRegistration {
            stopping: true,
            ..registration(node)
        };
        let revision = record.written_at(self.revision);
        let change = RegistrationChange::Written(record, revision);
        for index in at {
            let core = &mut self.members[*index].core;
            core.on_registration_changes(std::slice::from_ref(&change), self.now);
            self.after_event(*index);
        }
    }

    /// Lets a node begin to stop as planned, which it tells the others.
    pub fn begin_stop(&mut self, node: usize) {
        let now = self.now;
        self.members[node].core.drain(now);
        self.after_event(node);
    }

    /// Stops a process; what it receives is read when it wakes.
    pub fn pause(&mut self, node: usize) {
        self.members[node].is_paused = true;
    }

    /// Wakes a process that was stopped. It reads what it received before it notices the time.
    pub fn wake(&mut self, node: usize) {
        self.members[node].is_paused = false;
        for frame in std::mem::take(&mut self.members[node].unread) {
            let now = self.now;
            self.members[node].core.on_frame(frame, 50, now);
            self.after_event(node);
        }
        self.after_event(node);
    }

    /// Lets all nodes' calls to the store fail.
    pub fn set_store_failing(&mut self) {
        for member in &mut self.members {
            member.core.set_store_failing(true);
        }
    }

    /// Whether a node's process runs.
    pub fn is_alive(&self, node: usize) -> bool {
        self.members[node].is_alive
    }
}
