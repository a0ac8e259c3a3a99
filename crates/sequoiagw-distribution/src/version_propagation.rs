//! Propagation of versions between peers.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sequoiagw_config::ConfigError;
use sequoiagw_config::SettingTree;
use sequoiagw_protocol::ConfigBusy;
use sequoiagw_protocol::ConfigDelta;
use sequoiagw_protocol::ConfigFull;
use sequoiagw_protocol::ConfigRequest;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::HeldVersion;
use crate::VersionAction;
use crate::VersionMachine;

/// Number of local peers to which a new version or an activation is pushed.
const PUSH_FANOUT: usize = 4;
/// Number of deltas kept for peers that are behind.
const DELTA_LOG_LENGTH: usize = 64;
/// Largest number of versions staged at one time.
const STAGED_LIMIT: usize = 16;
/// Time after which an unanswered request for configuration is given up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum interval between two full copies sent by one node.
const FULL_COPY_INTERVAL: Duration = Duration::from_millis(500);

impl VersionMachine {
    pub(crate) fn apply_delta(
        &mut self,
        delta: ConfigDelta,
        from: Option<NodeId>,
        now: Instant,
    ) -> bool {
        if delta.version <= self.held_version() {
            return true;
        }
        let Some(held) = &self.held else {
            return false;
        };
        match held.apply(&delta, &self.data_centre) {
            Ok(built) => {
                self.stage_version(built, Some(delta), from, now);
                true
            }
            Err(ConfigError::BaseMismatch { .. }) => false,
            Err(error) => {
                self.refuse(delta.version, error);
                true
            }
        }
    }

    pub(crate) fn on_full(&mut self, from: NodeId, full: &ConfigFull, now: Instant) {
        self.pending_request = None;
        if full.version <= self.held_version() || full.version == self.refused_version {
            return;
        }
        let built = SettingTree::from_json(&full.canonical).and_then(|tree| {
            let centre = &self.data_centre;
            HeldVersion::build(full.version, &full.checksum, full.accepted_ms, tree, centre)
        });
        match built {
            Ok(built) => self.stage_version(built, None, Some(from), now),
            Err(error) => self.refuse(full.version, error),
        }
    }

    pub(crate) fn refuse(&mut self, version: u64, error: ConfigError) {
        if version > self.refused_version {
            self.refused_version = version;
            self.actions.push(VersionAction::Refused(version, error));
        }
    }

    /// Stages a validated version and propagates it to peers.
    pub(crate) fn stage_version(
        &mut self,
        built: HeldVersion,
        delta: Option<ConfigDelta>,
        from: Option<NodeId>,
        now: Instant,
    ) {
        self.staged
            .insert(built.version, Arc::clone(&built.compiled));
        while self.staged.len() > STAGED_LIMIT {
            self.staged.pop_first();
        }
        self.held = Some(built);
        self.report_rounds = 0;
        self.pending_request = None;
        let push = match delta {
            Some(delta) => {
                self.delta_log.push_back(delta.clone());
                if self.delta_log.len() > DELTA_LOG_LENGTH {
                    self.delta_log.pop_front();
                }
                FrameBody::Delta(delta)
            }
            None => FrameBody::Versions(self.version_report(false)),
        };
        self.push_to_local_peers(&push, from);
        if self.peers.bridge {
            self.push_to_remote_bridges(&push);
        }
        self.actions
            .push(VersionAction::VersionsChanged(self.own_versions()));
        self.update_majority_version(now);
        self.activate_staged(now);
        self.send_report(now);
    }

    pub(crate) fn push_to_local_peers(&mut self, body: &FrameBody, excluded: Option<NodeId>) {
        let local: Vec<NodeId> = self
            .peers
            .local_peers
            .iter()
            .copied()
            .filter(|node| Some(*node) != excluded)
            .collect();
        let chosen: Vec<NodeId> = local
            .choose_multiple(&mut self.rng, PUSH_FANOUT)
            .copied()
            .collect();
        for node in chosen {
            self.send(node, body.clone());
        }
    }

    pub(crate) fn push_to_remote_bridges(&mut self, body: &FrameBody) {
        let remote_bridges = self.peers.remote_bridges.clone();
        for bridges in remote_bridges {
            if let Some(bridge) = bridges.choose(&mut self.rng) {
                self.send(*bridge, body.clone());
            }
        }
    }

    pub(crate) fn fetch_if_behind(&mut self, from: NodeId, version: u64, now: Instant) {
        if version > self.held_version()
            && version != self.refused_version
            && self.pending_request.is_none()
        {
            self.request_config_from(from, false, now);
        }
    }

    pub(crate) fn request_config_from(&mut self, node: NodeId, full: bool, now: Instant) {
        // Messages can't be sent to a node that isn't a known member yet, and waiting for its
        // answer would block requests to others.
        let known = self.peers.local_peers.contains(&node)
            || self.peers.remote_bridges.concat().contains(&node);
        if self.pending_request.is_some() || !known {
            return;
        }
        self.pending_request = Some((node, now + REQUEST_TIMEOUT));
        let held = self.held_version();
        self.send(node, FrameBody::ConfigRequest(ConfigRequest { held, full }));
    }

    pub(crate) fn on_request(&mut self, from: NodeId, request: ConfigRequest, now: Instant) {
        let Some(held) = &self.held else {
            return;
        };
        if request.held >= held.version {
            return;
        }
        let deltas = self.deltas_since(request.held);
        if let (Some(deltas), false) = (deltas, request.full) {
            for delta in deltas {
                self.send(from, FrameBody::Delta(delta));
            }
            return;
        }
        let is_rate_limited = self
            .last_full_copy
            .is_some_and(|last| now - last < FULL_COPY_INTERVAL);
        if is_rate_limited {
            let retry_ms = FULL_COPY_INTERVAL.as_millis() as u32;
            self.actions.push(VersionAction::FullCopyDeferred);
            self.send(from, FrameBody::ConfigBusy(ConfigBusy { retry_ms }));
            return;
        }
        self.last_full_copy = Some(now);
        let full = FrameBody::Full(held.to_full());
        self.send(from, full);
    }

    /// Logged deltas that lead from `version` to the held version; `None` if the log has a gap
    /// or doesn't reach back that far.
    pub(crate) fn deltas_since(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        if version == 0 {
            return None;
        }
        let start = self
            .delta_log
            .iter()
            .position(|delta| delta.base == version)?;
        let deltas: Vec<ConfigDelta> = self.delta_log.iter().skip(start).cloned().collect();
        let is_contiguous = deltas
            .windows(2)
            .all(|pair| pair[0].version == pair[1].base);
        is_contiguous.then_some(deltas)
    }

    /// Handles a peer's refusal to send a full copy now, by asking another local peer.
    pub(crate) fn on_busy(&mut self, from: NodeId, now: Instant) {
        self.pending_request = None;
        let others: Vec<NodeId> = self
            .peers
            .local_peers
            .iter()
            .copied()
            .filter(|node| *node != from)
            .collect();
        if let Some(node) = others.choose(&mut self.rng) {
            self.request_config_from(*node, false, now);
        }
    }
}
