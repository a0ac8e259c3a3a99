//! The state machine that takes versions, spreads them and puts them in force.
//!
//! A version is put in force at a node only when a majority of its data centre's voters
//! holds it. A fresh process asks a majority of them what they hold before it is ready.
//! The two majorities share a member, so the process learns of whatever the earlier
//! process on its host may have acted on.

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

use crate::held_version::write_changes;
use crate::version_majority::REPORT_PERIOD;
use crate::HeldVersion;
use crate::VersionAction;
use crate::VersionPeers;

/// What a peer reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReport {
    pub(crate) held: u64,
    pub(crate) active: u64,
    pub(crate) voter: bool,
}

/// State of versions at one node.
#[derive(Debug)]
pub struct VersionMachine {
    pub(crate) node: NodeId,
    pub(crate) data_centre: String,
    pub(crate) peers: VersionPeers,
    pub(crate) held: Option<HeldVersion>,
    pub(crate) staged: BTreeMap<u64, Arc<CompiledConfig>>,
    pub(crate) active: u64,
    /// Version known to be held by a majority of the data centre.
    pub(crate) goal: u64,
    /// Version a fresh process has to have in force before it is ready.
    pub(crate) floor: Option<u64>,
    /// Version that couldn't be taken.
    pub(crate) refused: u64,
    pub(crate) log: VecDeque<ConfigDelta>,
    pub(crate) reports: BTreeMap<NodeId, PeerReport>,
    pub(crate) answers: BTreeMap<NodeId, VersionStatus>,
    pub(crate) query_rounds: u32,
    pub(crate) next_query: Option<Instant>,
    pub(crate) next_report: Option<Instant>,
    /// Reports sent since the version held last came, while it isn't in force.
    pub(crate) report_rounds: usize,
    pub(crate) request: Option<(NodeId, Instant)>,
    pub(crate) last_full_copy: Option<Instant>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<VersionAction>,
}

impl VersionMachine {
    /// Builds the machine of a fresh process.
    pub fn new(node: NodeId, data_centre: &str, rng: ChaCha8Rng, now: Instant) -> Self {
        Self {
            node,
            data_centre: data_centre.to_owned(),
            peers: VersionPeers::default(),
            held: None,
            staged: BTreeMap::new(),
            active: 0,
            goal: 0,
            floor: None,
            refused: 0,
            log: VecDeque::new(),
            reports: BTreeMap::new(),
            answers: BTreeMap::new(),
            query_rounds: 0,
            next_query: Some(now),
            next_report: None,
            report_rounds: 0,
            request: None,
            last_full_copy: None,
            rng,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<VersionAction> {
        std::mem::take(&mut self.actions)
    }

    /// Version in force, 0 when none.
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Newest version held.
    pub fn held(&self) -> Option<&HeldVersion> {
        self.held.as_ref()
    }

    /// Whether the process has a version in force that is no older than what its host may
    /// have acted on before.
    pub fn is_ready(&self) -> bool {
        self.active > 0 && self.floor.is_some_and(|floor| self.active >= floor)
    }

    /// Versions of the data centre's nodes, as far as they reported here.
    pub fn known_versions(&self) -> Vec<NodeVersions> {
        let others = self.reports.iter().map(|(node, report)| NodeVersions {
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

    /// Takes the members as they are now.
    pub fn set_peers(&mut self, peers: VersionPeers, now: Instant) {
        self.reports
            .retain(|node, _| peers.local_peers.contains(node));
        if self.peers.voters != peers.voters {
            // Other members may count now; they shouldn't have to wait for the refresh.
            let soon = now + REPORT_PERIOD;
            self.next_report = Some(self.next_report.map_or(soon, |time| time.min(soon)));
        }
        self.peers = peers;
        self.count_holders(now);
        self.check_answers(now);
    }

    /// Takes the newest version as read from the store, or its absence.
    pub fn on_stored_version(&mut self, stored: Option<&AcceptedConfig>, now: Instant) {
        let version = stored.map_or(0, |stored| stored.version);
        if self.floor.is_none() {
            self.set_floor(version);
        }
        let Some(stored) = stored else {
            return;
        };
        if version <= self.held_version() || version == self.refused {
            self.advance(now);
            return;
        }
        let delta = ConfigDelta {
            base: version - 1,
            version,
            checksum: stored.checksum.clone(),
            changes: write_changes(&stored.changes),
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
            Ok(built) => self.hold(built, Some(delta), None, now),
            Err(error) => self.refuse(version, error),
        }
    }

    /// Takes a version's changes as read from the store; tells whether they applied.
    pub fn on_stored_changes(&mut self, entry: &AcceptedConfig, now: Instant) -> bool {
        let delta = ConfigDelta {
            base: entry.version - 1,
            version: entry.version,
            checksum: entry.checksum.clone(),
            changes: write_changes(&entry.changes),
            accepted_ms: entry.accepted_ms,
        };
        self.take_delta(delta, None, now)
    }

    /// Takes a message about versions; others are ignored.
    pub fn on_message(&mut self, from: NodeId, body: FrameBody, now: Instant) {
        match body {
            FrameBody::Delta(delta) => {
                let version = delta.version;
                if !self.take_delta(delta, Some(from), now) && version > self.held_version() {
                    self.request_from(from, false, now);
                }
            }
            FrameBody::Full(full) => self.on_full(from, &full, now),
            FrameBody::ConfigRequest(request) => self.on_request(from, request, now),
            FrameBody::ConfigBusy(_) => self.on_busy(from, now),
            FrameBody::Versions(report) => self.on_report(from, report, now),
            FrameBody::Activate(activate) if activate.data_centre == self.data_centre => {
                self.raise_goal(activate.version, now);
                self.fetch_if_behind(from, activate.version, now);
            }
            _ => {}
        }
    }

    /// Takes the versions that a peer told with a probe.
    pub fn on_peer_versions(
        &mut self,
        from: NodeId,
        local: bool,
        mark: VersionStatus,
        now: Instant,
    ) {
        if local {
            self.raise_goal(mark.active, now);
        }
        self.fetch_if_behind(from, mark.held, now);
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        if self.request.is_some_and(|(_, until)| now >= until) {
            self.request = None;
        }
        if self.next_query.is_some_and(|time| now >= time) {
            self.ask_peers(now);
        }
        if self.next_report.is_some_and(|time| now >= time) {
            self.report(now);
        }
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let request = self.request.map(|(_, until)| until);
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
