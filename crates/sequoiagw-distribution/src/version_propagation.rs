//! Spread of versions between peers.

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

/// Peers to whom a fresh version or an activation is pushed.
const PUSH_FANOUT: usize = 4;
/// Deltas kept for peers that are behind.
const DELTA_LOG_LENGTH: usize = 64;
/// Versions held that aren't in force yet.
const STAGED_LIMIT: usize = 16;
/// Time a request for configuration may stay unanswered.
const REQUEST_TIME: Duration = Duration::from_millis(700);
/// Least time between two full copies sent by one node.
const FULL_COPY_INTERVAL: Duration = Duration::from_millis(500);

impl VersionMachine {
    pub(crate) fn take_delta(
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
                self.hold(built, Some(delta), from, now);
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
        self.request = None;
        if full.version <= self.held_version() || full.version == self.refused {
            return;
        }
        let built = SettingTree::from_json(&full.canonical).and_then(|tree| {
            let centre = &self.data_centre;
            HeldVersion::build(full.version, &full.checksum, full.accepted_ms, tree, centre)
        });
        match built {
            Ok(built) => self.hold(built, None, Some(from), now),
            Err(error) => self.refuse(full.version, error),
        }
    }

    pub(crate) fn refuse(&mut self, version: u64, error: ConfigError) {
        if version > self.refused {
            self.refused = version;
            self.actions.push(VersionAction::Refused(version, error));
        }
    }

    /// Takes a checked version and passes it on.
    pub(crate) fn hold(
        &mut self,
        built: HeldVersion,
        delta: Option<ConfigDelta>,
        from: Option<NodeId>,
        now: Instant,
    ) {
        self.staged
            .insert(built.version, Arc::clone(&built.snapshot));
        while self.staged.len() > STAGED_LIMIT {
            self.staged.pop_first();
        }
        self.held = Some(built);
        self.report_rounds = 0;
        self.request = None;
        let push = match delta {
            Some(delta) => {
                self.log.push_back(delta.clone());
                if self.log.len() > DELTA_LOG_LENGTH {
                    self.log.pop_front();
                }
                FrameBody::Delta(delta)
            }
            None => FrameBody::Versions(self.own_report(false)),
        };
        self.push_to_local_peers(&push, from);
        if self.peers.bridge {
            self.push_to_remote_bridges(&push);
        }
        self.actions
            .push(VersionAction::VersionsChanged(self.own_versions()));
        self.count_holders(now);
        self.advance(now);
        self.report(now);
    }

    pub(crate) fn push_to_local_peers(&mut self, body: &FrameBody, except: Option<NodeId>) {
        let local: Vec<NodeId> = self
            .peers
            .local_peers
            .iter()
            .copied()
            .filter(|node| Some(*node) != except)
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
        if version > self.held_version() && version != self.refused && self.request.is_none() {
            self.request_from(from, false, now);
        }
    }

    pub(crate) fn request_from(&mut self, node: NodeId, full: bool, now: Instant) {
        // A node that isn't a known member yet can't be sent to, and would only block
        // requests to others.
        let known = self.peers.local_peers.contains(&node)
            || self.peers.remote_bridges.concat().contains(&node);
        if self.request.is_some() || !known {
            return;
        }
        self.request = Some((node, now + REQUEST_TIME));
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
        let chain = self.chain_from(request.held);
        if let (Some(chain), false) = (chain, request.full) {
            for delta in chain {
                self.send(from, FrameBody::Delta(delta));
            }
            return;
        }
        let spent = self
            .last_full_copy
            .is_some_and(|last| now - last < FULL_COPY_INTERVAL);
        if spent {
            let retry_ms = FULL_COPY_INTERVAL.as_millis() as u32;
            self.actions.push(VersionAction::FullCopyDeferred);
            self.send(from, FrameBody::ConfigBusy(ConfigBusy { retry_ms }));
            return;
        }
        self.last_full_copy = Some(now);
        let full = FrameBody::Full(held.to_full());
        self.send(from, full);
    }

    /// Logged deltas that lead from `version` to the version held.
    pub(crate) fn chain_from(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        if version == 0 {
            return None;
        }
        let start = self.log.iter().position(|delta| delta.base == version)?;
        let chain: Vec<ConfigDelta> = self.log.iter().skip(start).cloned().collect();
        let linked = chain.windows(2).all(|pair| pair[0].version == pair[1].base);
        linked.then_some(chain)
    }

    /// The peer sends no full copy now: asks another one that may hold it.
    pub(crate) fn on_busy(&mut self, from: NodeId, now: Instant) {
        self.request = None;
        let others: Vec<NodeId> = self
            .peers
            .local_peers
            .iter()
            .copied()
            .filter(|node| *node != from)
            .collect();
        if let Some(node) = others.choose(&mut self.rng) {
            self.request_from(*node, false, now);
        }
    }
}
