//! What roll-outs change for calls: the targets that entries use, the calls that the owner accepts, and
//! the statistics of its runs.

use std::collections::BTreeSet;

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CanaryTarget;
use sequoiagw_policy::RolloutAction;
use sequoiagw_policy::RolloutMember;
use sequoiagw_policy::RolloutMembers;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_policy::RunSample;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use sequoiagw_protocol::RunStatsReply;
use sequoiagw_protocol::RunStatsRequest;
use tokio::time::Instant;

use crate::node_rollouts::OpenRun;
use crate::rollout_gate::gate_state;
use crate::rollout_gate::is_usable;
use crate::rollout_gate::next_change;
use crate::rollout_gate::GateState;
use crate::rollout_gate::OLD_VERSION_GRACE;
use crate::MeshCore;
use crate::NodeRegistration;
use crate::RolloutProposal;

/// Part of the exposure share that entries send to the driver's target. The rest is a margin for the
/// differences between what entries see.
const CANARY_SHARE_FRACTION: f64 = 0.6;

impl MeshCore {
    /// Updates everything that depends on the known roll-outs.
    pub(crate) fn update_rollouts(&mut self, now: Instant) {
        let backend = &self.settings.backend;
        let version = self.target.version();
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.update_controller(&self.settings.name, &backend.service, version, now);
        }
        self.update_rollout_targets(now);
        self.update_own_rollout(now);
        self.process_actions(now);
    }

    /// Updates what depends on the state of this node's backend server.
    pub(crate) fn update_rollouts_on_heartbeat(&mut self, now: Instant) {
        let backend = &self.settings.backend;
        let version = self.target.version();
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.update_controller(&self.settings.name, &backend.service, version, now);
            self.update_own_rollout(now);
        }
    }

    /// Updates what depends on the registered nodes.
    pub(crate) fn update_rollouts_on_registrations(&mut self, now: Instant) {
        if self.has_rollouts() {
            self.update_rollout_writer_position();
            self.update_own_rollout(now);
        }
    }

    /// Updates this node's part in the roll-out of its service, and the owner's gate.
    fn update_own_rollout(&mut self, now: Instant) {
        self.update_rollout_members(now);
        self.process_rollout_actions();
        self.update_rollout_gate(now);
    }

    /// Tells this node's part in a roll-out which nodes take part, and whether its own backend server
    /// is ready.
    fn update_rollout_members(&mut self, now: Instant) {
        let is_ready = self.offered_slots > 0 && !self.draining;
        let warm_up_end = self.target.warm_up_end();
        let service = &self.settings.backend.service;
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let Some(known) = rollouts.table.rollout(service) else {
            return;
        };
        let mut members = RolloutMembers::default();
        for (node, registration) in self.directory.registered_for(service) {
            let member = RolloutMember {
                node,
                name: registration.name.clone(),
                slots: registration.slots,
            };
            if registration.backend_version != known.record.new_version {
                members.old.push(member);
            } else if registration.slots > 0 {
                members.new.push(member);
            }
        }
        members
            .new
            .sort_by(|left, right| left.name.cmp(&right.name));
        if let Some(controller) = rollouts.controller_mut() {
            controller.set_members(members, now);
            controller.set_ready(is_ready, warm_up_end, now);
        }
    }

    /// Carries out what this node's part in a roll-out requests.
    pub(crate) fn process_rollout_actions(&mut self) {
        let rollouts = self.rollouts.as_mut();
        let controller = rollouts.and_then(|rollouts| rollouts.controller_mut());
        let Some(controller) = controller else {
            return;
        };
        for action in controller.take_actions() {
            match action {
                RolloutAction::RequestStats(nodes) => {
                    let service = self.settings.backend.service.clone();
                    let request = RunStatsRequest { service };
                    for node in nodes {
                        self.send(node, FrameBody::RunStatsRequest(request.clone()));
                    }
                }
                RolloutAction::Propose {
                    record,
                    expected_revision,
                } => self.propose(RolloutProposal {
                    record,
                    expected_revision,
                }),
            }
        }
    }

    /// Sets the targets that calls may use.
    pub(crate) fn update_rollout_targets(&mut self, now: Instant) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let table = &rollouts.table;
        let settled: BTreeSet<String> = table
            .rollouts()
            .filter(|known| rollouts.is_settled(known, &self.directory))
            .map(|known| known.record.service.clone())
            .collect();
        let changes = table.rollouts().filter_map(|known| next_change(known, now));
        rollouts.target_change = changes.min();
        let targets = self.directory.targets_where(|registration| {
            let known = table
                .rollout(&registration.service)
                .filter(|_| !settled.contains(&registration.service));
            is_usable(known, &registration.backend_version, now)
        });
        let mut services = BTreeSet::new();
        let canaries: Vec<(String, CanaryTarget)> = table
            .rollouts()
            .filter_map(|known| {
                let service = known.record.service.clone();
                let old_targets = targets.get(&service).map_or(0, Vec::len);
                let target = self
                    .directory
                    .targets_where(|registration| is_driver(registration, &known.record))
                    .remove(&service)?
                    .pop()?;
                let share = canary_share(rollouts.settings.exposure_share, old_targets);
                Some((service, CanaryTarget { target, share }))
            })
            .collect();
        let balancer = self.calls.entry.balancer_mut();
        for (service, canary) in canaries {
            rollouts.canary_services.remove(&service);
            balancer.set_canary(&service, Some(canary));
            services.insert(service);
        }
        for service in std::mem::replace(&mut rollouts.canary_services, services) {
            balancer.set_canary(&service, None);
        }
        balancer.set_targets(targets);
    }

    /// Opens or closes the owner's gate. When it closes, the queued calls are refused, so that their
    /// entries try other targets.
    pub(crate) fn update_rollout_gate(&mut self, now: Instant) {
        let Some(rollouts) = &self.rollouts else {
            return;
        };
        let service = &self.settings.backend.service;
        let version = self.target.version();
        let table = &rollouts.table;
        let known = table.rollout(service);
        let is_settled = known.is_some_and(|known| rollouts.is_settled(known, &self.directory));
        let state = if table.is_complete() && is_settled {
            GateState::Open
        } else {
            gate_state(table, service, version, rollouts.controller(), now)
        };
        self.calls
            .owner
            .set_version_held(state == GateState::Closed);
        if state == GateState::Closed {
            self.calls.owner.refuse_queued_version(now);
        }
    }

    /// Handles a call that an entry dispatched.
    pub(crate) fn on_dispatch(
        &mut self,
        entry: NodeId,
        entry_boot: u64,
        dispatch: CallDispatch,
        now: Instant,
    ) {
        self.update_rollout_gate(now);
        let owner = &mut self.calls.owner;
        let before = (owner.next_run(), owner.open_calls());
        owner.on_dispatch(entry, entry_boot, dispatch, now);
        let is_accepted = before != (owner.next_run(), owner.open_calls());
        let rollouts = self.rollouts.as_mut().filter(|_| is_accepted);
        if let Some(controller) = rollouts.and_then(|rollouts| rollouts.controller_mut()) {
            controller.on_run_started(now);
        }
    }

    /// Records the start of a run for the statistics.
    pub(crate) fn record_run_start(&mut self, request: &RunRequest, now: Instant) {
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.statistics.started();
            let open_run = OpenRun {
                started_at: now,
                deadline: request.deadline,
            };
            rollouts.open_runs.insert(request.run, open_run);
        }
    }

    /// Records the end of a run for the statistics. A run that the backend server didn't begin, or that
    /// its caller ended, says nothing about the software version.
    pub(crate) fn record_run_end(&mut self, run: RunId, result: &BackendResult, now: Instant) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let Some(open_run) = rollouts.open_runs.remove(&run) else {
            return;
        };
        let failed = match result {
            BackendResult::Answered { status, .. } => status.is_server_error(),
            BackendResult::Broken | BackendResult::Truncated | BackendResult::Crashed => true,
            BackendResult::Aborted if now >= open_run.deadline => false,
            BackendResult::Aborted
            | BackendResult::Shed
            | BackendResult::Refused
            | BackendResult::Held => return,
        };
        let Some(dispatch) = self.calls.owner.running_dispatch(run) else {
            return;
        };
        let sample = RunSample {
            route: &dispatch.route,
            run_time: now.saturating_duration_since(open_run.started_at),
            failed,
        };
        rollouts.statistics.record(&sample, now);
        if let Some(controller) = rollouts.controller_mut() {
            controller.on_run_finished(&sample, now);
        }
    }

    /// Answers a driver's request for this node's run statistics. Only the driver of the latest record
    /// gets an answer: if two nodes counted the same runs, the sum of their exposure caps would exceed
    /// the bound.
    pub(crate) fn on_run_stats_request(
        &mut self,
        from: NodeId,
        request: &RunStatsRequest,
        now: Instant,
    ) {
        let Some(rollouts) = &self.rollouts else {
            self.counters.count("frame.unexpected");
            return;
        };
        let service = &self.settings.backend.service;
        let known = rollouts.table.rollout(service);
        let known = known.filter(|known| NodeId::from_name(&known.record.driver) == from);
        let Some(known) = known.filter(|_| request.service == *service) else {
            return;
        };
        // The driver takes no open calls in this stage as a promise that none will follow.
        let may_accept = known.record.stage() == RolloutStage::Shifting
            && now < known.stage_since + OLD_VERSION_GRACE;
        let open_calls = self.calls.owner.open_calls() as u32;
        let reply = RunStatsReply {
            service: service.clone(),
            version: self.target.version().to_owned(),
            routes: rollouts.statistics.reply(now),
            started_runs: rollouts.statistics.started_runs(),
            open_calls: open_calls.max(u32::from(may_accept)),
            order_revision: known.record.order_revision,
            stage: known.record.stage,
        };
        self.send(from, FrameBody::RunStats(reply));
    }

    /// Passes the statistics of another node on to this node's part in a roll-out.
    pub(crate) fn on_run_stats(&mut self, from: NodeId, reply: &RunStatsReply, now: Instant) {
        let rollouts = self.rollouts.as_mut();
        let Some(controller) = rollouts.and_then(|rollouts| rollouts.controller_mut()) else {
            self.counters.count("rollout.stats_unexpected");
            return;
        };
        if reply.service == self.settings.backend.service {
            controller.on_stats(from, reply, now);
        }
        self.process_rollout_actions();
    }

    /// Software version for the registration; empty where roll-outs are off.
    pub(crate) fn registered_version(&self) -> String {
        if self.rollouts.is_some() {
            self.target.version().to_owned()
        } else {
            String::new()
        }
    }
}

/// Whether a node drives the roll-out of a record, in the stage in which only its target is used.
fn is_driver(registration: &NodeRegistration, record: &RolloutRecord) -> bool {
    record.stage() == RolloutStage::Canary
        && registration.name == record.driver
        && registration.service == record.service
        && registration.backend_version == record.new_version
}

/// Share of a service's calls for the driver's target, beside this number of old targets.
fn canary_share(exposure_share: f64, old_targets: usize) -> f64 {
    let fair_share = 1.0 / old_targets.max(1) as f64;
    (CANARY_SHARE_FRACTION * exposure_share).min(fair_share)
}
