//! Carrying out the actions that the node's state machines request from each other.

use std::time::Duration;

use sequoiagw_distribution::ClaimAction;
use sequoiagw_distribution::HolderAction;
use sequoiagw_distribution::StoreKeys;
use sequoiagw_distribution::VersionAction;
use sequoiagw_membership::MembershipAction;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberState;
use sequoiagw_store::StoreRequest;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::CallAction;
use crate::CoreAction;
use crate::NodeCore;
use crate::StoreTag;

/// Time for which a draining node stays after its last call, so that its peers are notified before
/// it stops.
const LINGER_TIME: Duration = Duration::from_millis(500);

impl NodeCore {
    /// Carries out the state machines' actions until none of them requests any more.
    pub(crate) fn process_actions(&mut self, now: Instant) {
        loop {
            if std::mem::take(&mut self.members_changed) {
                self.on_members_changed(now);
            }
            let mut idle = self.process_membership_actions(now);
            idle &= self.process_version_actions(now);
            idle &= self.process_holder_actions(now);
            idle &= self.process_claim_actions(now);
            idle &= self.process_call_actions(now);
            while let Some(body) = self.loopback_frames.pop_front() {
                idle = false;
                self.on_body(self.node, self.identity.boot, body, now);
            }
            if idle && !self.members_changed {
                break;
            }
        }
        self.check_stopped(now);
    }

    pub(crate) fn process_membership_actions(&mut self, now: Instant) -> bool {
        let actions = self.membership.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                MembershipAction::Send(node, body) => self.send(node, body),
                MembershipAction::SendToAddress(address, body) => self.send_to(address, body),
                MembershipAction::RecordChanged(_) => self.members_changed = true,
                MembershipAction::Departed(node) => {
                    self.counters.count("member.departed");
                    self.calls.entry.on_node_lost(node, None, now);
                }
                MembershipAction::PeerVersions(from, versions) => {
                    let record = self.members().get(from);
                    let local = record
                        .is_some_and(|record| record.data_centre == self.identity.data_centre);
                    self.versions.on_peer_versions(from, local, versions, now);
                }
                MembershipAction::ReadSeeds => {
                    let prefix = StoreKeys::holders_prefix();
                    let request = StoreRequest::ReadPrefix { prefix };
                    self.actions
                        .push(CoreAction::Store(StoreTag::Seeds, request));
                }
            }
        }
        idle
    }

    pub(crate) fn process_version_actions(&mut self, now: Instant) -> bool {
        let actions = self.versions.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                VersionAction::Send(node, body) => self.send(node, body),
                VersionAction::Activate(config) => self.activate(config, now),
                VersionAction::VersionsChanged(versions) => self.membership.set_versions(versions),
                VersionAction::Refused(version, error) => {
                    self.counters.count_refusal(error.name());
                    warn!(
                        event = "version_refused", node = %self.identity.name, version,
                        reason = error.name(), error = %error
                    );
                    self.membership
                        .announce(|own| own.refused_version = version, now);
                }
                VersionAction::ReadStore => self.read_current_config(),
                VersionAction::FullCopyDeferred => self.counters.count("config.full_deferred"),
            }
        }
        idle
    }

    pub(crate) fn process_holder_actions(&mut self, now: Instant) -> bool {
        let actions = self.holder.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                HolderAction::StoreCall(request) => {
                    self.actions
                        .push(CoreAction::Store(StoreTag::Holder, request));
                }
                HolderAction::Watch(revision) => self.actions.push(CoreAction::Watch(revision)),
                HolderAction::Unwatch => self.actions.push(CoreAction::Unwatch),
                HolderAction::ReadVersion(version) => self.read_version(version),
                HolderAction::SeatChanged(seat) => {
                    info!(event = "seat_changed", node = %self.identity.name, seat = ?seat);
                    self.membership
                        .announce(|own| own.seat = seat.map_or(0, |seat| seat + 1), now);
                }
            }
        }
        idle
    }

    pub(crate) fn process_claim_actions(&mut self, now: Instant) -> bool {
        let actions = self.committer.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                ClaimAction::StoreCall(request) => {
                    self.actions
                        .push(CoreAction::Store(StoreTag::Claims, request));
                }
                ClaimAction::Reply(node, reply) if node == self.node => {
                    self.on_claim_reply(&reply, now);
                }
                ClaimAction::Reply(node, reply) => self.send(node, FrameBody::ClaimReply(reply)),
            }
        }
        idle
    }

    pub(crate) fn process_call_actions(&mut self, now: Instant) -> bool {
        let member = |node| self.membership.table().get(node);
        let name_of = |node| member(node).map(|record| record.name.clone());
        let actions = self.calls.take_actions(name_of, now);
        let idle = actions.is_empty();
        for action in actions {
            match action {
                CallAction::Send(node, body) => self.send_for_call(node, body, now),
                CallAction::ResetLink(node) => {
                    if let Some(address) = self.members().address(node) {
                        self.actions.push(CoreAction::ResetLink(address));
                    }
                }
                CallAction::Withdraw(dispatch) => {
                    self.actions.push(CoreAction::Withdraw(dispatch));
                }
                CallAction::Reply(call, reply) => {
                    self.actions.push(CoreAction::Reply(call, reply));
                }
                CallAction::Run(request) => self.actions.push(CoreAction::Run(request)),
                CallAction::Abort(run) => self.actions.push(CoreAction::Abort(run)),
                CallAction::Claim(claim, attempt) => self.claim(claim, attempt, now),
            }
        }
        idle
    }

    pub(crate) fn check_stopped(&mut self, now: Instant) {
        if !self.draining || self.stopped {
            return;
        }
        if self.open_calls() > 0 {
            self.linger_until = None;
            return;
        }
        let until = *self.linger_until.get_or_insert(now + LINGER_TIME);
        if now < until {
            return;
        }
        self.stopped = true;
        self.membership
            .announce(|own| own.set_state(MemberState::Left), now);
        self.membership.broadcast_own_record();
        self.process_membership_actions(now);
        info!(event = "drain_finished", node = %self.identity.name);
        self.actions.push(CoreAction::Stopped);
    }
}
