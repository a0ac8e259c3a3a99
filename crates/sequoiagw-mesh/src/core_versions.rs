//! Configuration versions: activating them, sending them to peers and requesting them.

use std::rc::Rc;

use rand::Rng;
use sequoiagw_protocol::ConfigRequest;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::VersionDelta;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::DeltaError;
use crate::MeshCore;
use crate::MeshVersion;

/// Versions kept besides the active one, so that a peer that missed a few of them receives a
/// delta and not a whole version.
const PREVIOUS_VERSION_LIMIT: usize = 8;

impl MeshCore {
    /// Activates a version from the store unless the active one is the same or newer; returns
    /// whether it was activated. A watcher also sends it to its data centre and to the watchers
    /// of other data centres.
    pub fn activate_from_store(&mut self, version: &Rc<MeshVersion>, now: Instant) -> bool {
        let previous = self.active_version.clone();
        let activated = self.activate_version(version, now);
        if activated && self.is_watcher() {
            self.send_to_remote_watchers(&version.delta_from(previous.as_deref()), now);
        }
        activated
    }

    /// Activates a version unless the active one is the same or newer; returns whether it was
    /// activated. A watcher also sends it to its data centre.
    fn activate_version(&mut self, version: &Rc<MeshVersion>, now: Instant) -> bool {
        let active_number = self.active_version_number();
        if version.number <= active_number && self.active_version.is_some() {
            return false;
        }
        info!(
            event = "version_activated",
            version = version.number,
            before = active_number
        );
        self.counters.count("config.activated");
        self.traffic_splitter.clear();
        let previous = self.active_version.replace(Rc::clone(version));
        let checked_keys = previous
            .as_ref()
            .is_some_and(|previous| previous.checks_keys());
        if checked_keys && !version.checks_keys() {
            warn!(event = "key_check_ended", version = version.number);
        }
        if previous.is_none() {
            self.watchers.on_first_version(now);
        }
        if self.is_watcher() {
            let delta = version.delta_from(previous.as_deref());
            self.broadcast_to_data_centre(&FrameBody::VersionDelta(delta), now);
        }
        self.previous_versions.extend(previous);
        if self.previous_versions.len() > PREVIOUS_VERSION_LIMIT {
            self.previous_versions.pop_front();
        }
        true
    }

    /// Number of the active version, 0 without one.
    pub fn active_version_number(&self) -> u64 {
        self.active_version
            .as_ref()
            .map_or(0, |version| version.number)
    }

    pub(crate) fn is_in_own_data_centre(&self, node: NodeId) -> bool {
        self.directory
            .registered_in(&self.settings.data_centre)
            .any(|registered| registered == node)
    }

    /// Sends a delta that came from the store, or from the other watcher, to one watcher of each
    /// other data centre, in case that data centre can't reach the store. The receiver has the
    /// same position among the watchers of its data centre as this node has here, so that each
    /// receives it only once.
    ///
    /// Whole versions aren't sent, since they aren't worth the load on the links between data
    /// centres.
    fn send_to_remote_watchers(&mut self, delta: &VersionDelta, now: Instant) {
        let own_centre = self.settings.data_centre.clone();
        let position = self
            .watchers_in(&own_centre)
            .iter()
            .position(|node| *node == self.node);
        let Some(position) = position.filter(|_| delta.base != 0) else {
            return;
        };
        for centre in self.directory.data_centres() {
            let remote = self.watchers_in(&centre).get(position).copied();
            if let Some(node) = remote.filter(|_| centre != own_centre) {
                self.send(node, FrameBody::VersionDelta(delta.clone()));
            }
        }
        self.process_actions(now);
    }

    /// Applies a version delta from a peer and activates the result.
    ///
    /// When the delta's base isn't the active version, a matching delta is requested from the
    /// peer. When the result differs from the sender's version, the version is read from the
    /// store instead.
    pub(crate) fn on_delta(&mut self, from: NodeId, delta: &VersionDelta, now: Instant) {
        if delta.number <= self.active_version_number() {
            return;
        }
        match MeshVersion::apply(self.active_version.as_deref(), delta) {
            Ok(version) => {
                self.activate_version(&Rc::new(version), now);
                if self.is_watcher() && self.is_in_own_data_centre(from) {
                    self.send_to_remote_watchers(delta, now);
                }
            }
            Err(DeltaError::BaseMismatch { .. }) => self.request_version(from),
            Err(error @ DeltaError::DigestMismatch { .. }) => {
                warn!(event = "delta_refused", error = %error);
                self.counters.count("config.delta_refused");
                self.watchers.schedule_version_read(now);
            }
        }
    }

    /// Handles the number of a watcher's active version, and requests the version if it is newer
    /// than the active one.
    pub(crate) fn on_peer_version(&mut self, from: NodeId, number: u64, now: Instant) {
        let active_number = self.active_version_number();
        self.watchers.on_version(number, active_number, now);
        if number > active_number {
            self.request_version(from);
        }
    }

    /// Requests the active version of a watcher of the data centre; successive values of
    /// `attempt` select the watchers in turn.
    pub fn request_version_from_watcher(&mut self, attempt: usize, now: Instant) {
        let watchers = self.watchers_in(&self.settings.data_centre);
        if !watchers.is_empty() {
            self.request_version(watchers[attempt % watchers.len()]);
            self.process_actions(now);
        }
    }

    /// Requests the active version of a node, as a delta from this node's if possible.
    fn request_version(&mut self, from: NodeId) {
        self.counters.count("config.asked");
        let held = self.active_version_number();
        let request = ConfigRequest { held, full: false };
        self.send(from, FrameBody::ConfigRequest(request));
    }

    /// Whether the version must be read from the store, because the watchers' version has been
    /// newer for too long or a delta was refused; resets the condition.
    pub fn take_pending_version_read(&mut self, now: Instant) -> bool {
        self.watchers.take_pending_version_read(now)
    }

    /// Sends the active version to a peer if it is newer than the peer's: as a delta if the
    /// peer's version is still kept here, otherwise whole.
    pub(crate) fn send_newer_version(&mut self, to: NodeId, peer_number: u64) {
        let Some(version) = self
            .active_version
            .clone()
            .filter(|active| active.number > peer_number)
        else {
            return;
        };
        let base = self
            .previous_versions
            .iter()
            .find(|kept| kept.number == peer_number);
        let delta = version.delta_from(base.map(|kept| &**kept));
        self.send(to, FrameBody::VersionDelta(delta));
    }

    /// Requests a version newer than the active one from a randomly chosen node; does nothing if
    /// the choice falls on this node.
    pub fn request_version_from_peer(&mut self, now: Instant) {
        let nodes: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        if nodes.is_empty() {
            return;
        }
        let node = nodes[self.rng.random_range(0..nodes.len())];
        if node != self.node {
            self.request_version(node);
        }
        self.process_actions(now);
    }
}
