//! State machine that receives configuration versions, propagates and activates them.
//!
//! A node activates a version only when a majority of its data centre's voters holds it. A
//! newly started process asks a majority of the voters which versions they hold before it is
//! ready. The two majorities overlap, so the process learns of every version that the
//! previous process on its host may have activated.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use sequoiagw_config::AcceptedConfig;
use sequoiagw_config::CompiledConfig;
use sequoiagw_protocol::ConfigDelta;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::NodeVersions;
use sequoiagw_protocol::VersionStatus;
use tokio::time::Instant;

use crate::held_version::encode_changes;
use crate::version_majority::REPORT_INTERVAL;
use crate::HeldVersion;
use crate::VersionAction;
use crate::VersionPeers;

/// Versions that a peer last reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReport {
    pub(crate) held: u64,
    pub(crate) active: u64,
    pub(crate) voter: bool,
}

/// Configuration versions of one node and the reports of its peers.
#[derive(Debug)]
pub struct VersionMachine {
    pub(crate) node: NodeId,
    pub(crate) data_centre: String,
    pub(crate) peers: VersionPeers,
    pub(crate) held: Option<HeldVersion>,
    /// Compiled held versions, from the active one on.
    pub(crate) staged: BTreeMap<u64, Arc<CompiledConfig>>,
    pub(crate) active: u64,
    /// Newest version known to be held by a majority of the data centre's voters.
    pub(crate) majority_version: u64,
    /// Lowest version that makes the node ready once active; `None` until it is known.
    pub(crate) min_ready_version: Option<u64>,
    /// Newest version that was refused as invalid, 0 if none.
    pub(crate) refused_version: u64,
    /// Latest deltas, kept for peers that are behind.
    pub(crate) delta_log: VecDeque<ConfigDelta>,
    pub(crate) peer_reports: BTreeMap<NodeId, PeerReport>,
    /// Answers of voters to the query of a newly started process.
    pub(crate) query_answers: BTreeMap<NodeId, VersionStatus>,
    pub(crate) query_rounds: u32,
    pub(crate) next_query: Option<Instant>,
    pub(crate) next_report: Option<Instant>,
    /// Reports sent since the held version was received, while it isn't active.
    pub(crate) report_rounds: usize,
    /// Peer asked for configuration, and the time at which the request expires.
    pub(crate) pending_request: Option<(NodeId, Instant)>,
    pub(crate) last_full_copy: Option<Instant>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<VersionAction>,
}

impl VersionMachine {
    /// Creates the state machine of a newly started process.
    pub fn new(node: NodeId, data_centre: &str, rng: ChaCha8Rng, now: Instant) -> Self {
        Self {
            node,
            data_centre: data_centre.to_owned(),
            peers: VersionPeers::default(),
            held: None,
            staged: BTreeMap::new(),
            active: 0,
            majority_version: 0,
            min_ready_version: None,
            refused_version: 0,
            delta_log: VecDeque::new(),
            peer_reports: BTreeMap::new(),
            query_answers: BTreeMap::new(),
            query_rounds: 0,
            next_query: Some(now),
            next_report: None,
            report_rounds: 0,
            pending_request: None,
            last_full_copy: None,
            rng,
            actions: Vec::new(),
        }
    }

    /// Drains the actions queued since the previous call.
    pub fn take_actions(&mut self) -> Vec<VersionAction> {
        std::mem::take(&mut self.actions)
    }

    /// Active version, 0 if none.
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Newest version held, active or not.
    pub fn held(&self) -> Option<&HeldVersion> {
        self.held.as_ref()
    }

    /// Whether the active version is no older than any version that a previous process on this
    /// host may have activated.
    pub fn is_ready(&self) -> bool {
        self.active > 0
            && self
                .min_ready_version
                .is_some_and(|minimum| self.active >= minimum)
    }

    /// Versions of this node and of the local peers that have reported to it.
    pub fn known_versions(&self) -> Vec<NodeVersions> {
        let others = self.peer_reports.iter().map(|(node, report)| NodeVersions {
            node: node.get(),
            held: report.held,
            active: report.active,
        });
        let own = NodeVersions {
            node: self.node.get(),
            held: self.held_version(),
            active: self.active,
        };
        others.chain([own]).collect()
    }

    /// Updates the peers after a change of members.
    pub fn set_peers(&mut self, peers: VersionPeers, now: Instant) {
        self.peer_reports
            .retain(|node, _| peers.local_peers.contains(node));
        if self.peers.voters != peers.voters {
            // Other members may collect reports now, and shouldn't have to wait for the next
            // refresh.
            let soon = now + REPORT_INTERVAL;
            self.next_report = Some(self.next_report.map_or(soon, |time| time.min(soon)));
        }
        self.peers = peers;
        self.update_majority_version(now);
        self.check_query_answers(now);
    }

    /// Handles the newest version as read from the store, `None` if the store has none.
    pub fn on_stored_version(&mut self, stored: Option<&AcceptedConfig>, now: Instant) {
        let version = stored.map_or(0, |stored| stored.version);
        if self.min_ready_version.is_none() {
            self.set_min_ready_version(version);
        }
        let Some(stored) = stored else {
            return;
        };
        if version <= self.held_version() || version == self.refused_version {
            self.activate_staged(now);
            return;
        }
        let delta = ConfigDelta {
            base: version - 1,
            version,
            checksum: stored.checksum.clone(),
            changes: encode_changes(&stored.changes),
            accepted_ms: stored.accepted_ms,
        };
        let built = HeldVersion::build(
            version,
            &stored.checksum,
            stored.accepted_ms,
            stored.tree.clone(),
            &self.data_centre,
        );
        match built {
            Ok(built) => self.stage_version(built, Some(delta), None, now),
            Err(error) => self.refuse(version, error),
        }
    }

    /// Handles the changes of one version as read from the store. Returns false if they don't
    /// apply to the held version, so that the complete version has to be read.
    pub fn on_stored_changes(&mut self, entry: &AcceptedConfig, now: Instant) -> bool {
        let delta = ConfigDelta {
            base: entry.version - 1,
            version: entry.version,
            checksum: entry.checksum.clone(),
            changes: encode_changes(&entry.changes),
            accepted_ms: entry.accepted_ms,
        };
        self.apply_delta(delta, None, now)
    }

    /// Handles a message about versions; other message types are ignored.
    pub fn on_message(&mut self, from: NodeId, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Delta(delta) => {
                let version = delta.version;
                if !self.apply_delta(delta, Some(from), now) && version > self.held_version() {
                    self.request_config_from(from, false, now);
                }
            }
            FrameBody::Full(full) => self.on_full(from, &full, now),
            FrameBody::ConfigRequest(request) => self.on_request(from, request, now),
            FrameBody::ConfigBusy(_) => self.on_busy(from, now),
            FrameBody::Versions(report) => self.on_report(from, report, now),
            FrameBody::Activate(activate) if activate.data_centre == self.data_centre => {
                self.raise_majority_version(activate.version, now);
                self.fetch_if_behind(from, activate.version, now);
            }
            _ => {}
        }
    }

    /// Handles the versions that a peer reported with a probe; `local` tells whether it is in
    /// the own data centre.
    pub fn on_peer_versions(
        &mut self,
        from: NodeId,
        local: bool,
        versions: VersionStatus,
        now: Instant,
    ) {
        if local {
            self.raise_majority_version(versions.active, now);
        }
        self.fetch_if_behind(from, versions.held, now);
    }

    /// Runs all timers that are due.
    pub fn on_tick(&mut self, now: Instant) {
        if self.pending_request.is_some_and(|(_, until)| now >= until) {
            self.pending_request = None;
        }
        if self.next_query.is_some_and(|time| now >= time) {
            self.query_voters(now);
        }
        if self.next_report.is_some_and(|time| now >= time) {
            self.send_report(now);
        }
    }

    /// Next time at which [`Self::on_tick`] must be called, `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        let request = self.pending_request.map(|(_, until)| until);
        [request, self.next_query, self.next_report]
            .into_iter()
            .flatten()
            .min()
    }

    pub(crate) fn held_version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.version)
    }

    pub(crate) fn own_versions(&self) -> VersionStatus {
        VersionStatus {
            held: self.held_version(),
            active: self.active,
        }
    }

    pub(crate) fn send(&mut self, node: NodeId, body: FrameBody) {
        self.actions.push(VersionAction::Send(node, body));
    }
}
