//! Versions of the configuration: taken, told to peers, asked for.

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

/// Versions before the one in force that are kept, so that a peer which missed a few is told
/// only what has changed since.
const KEPT_VERSIONS: usize = 8;

impl MeshCore {
    /// Takes a version from the store unless a newer one is in force; tells whether it is in
    /// force now. A watcher passes it on.
    pub fn activate_from_store(&mut self, version: &Rc<MeshVersion>, now: Instant) -> bool {
        let before = self.version.clone();
        let taken = self.activate_version(version, now);
        if taken && self.is_watcher() {
            self.tell_far_watchers(&version.delta_from(before.as_deref()), now);
        }
        taken
    }

    fn activate_version(&mut self, version: &Rc<MeshVersion>, now: Instant) -> bool {
        let held = self.active_version_number();
        if version.number <= held && self.version.is_some() {
            return false;
        }
        info!(
            event = "version_activated",
            version = version.number,
            before = held
        );
        self.counters.count("config.activated");
        self.splits.clear();
        let before = self.version.replace(Rc::clone(version));
        if self.is_watcher() {
            self.tell_version(&version.delta_from(before.as_deref()), now);
        }
        self.kept_versions.extend(before);
        if self.kept_versions.len() > KEPT_VERSIONS {
            self.kept_versions.pop_front();
        }
        true
    }

    /// Number of the version in force, 0 without one.
    pub fn active_version_number(&self) -> u64 {
        self.version.as_ref().map_or(0, |version| version.number)
    }

    /// Passes a version on to the nodes of the data centre.
    fn tell_version(&mut self, delta: &VersionDelta, now: Instant) {
        let own = self.settings.data_centre.clone();
        let others: Vec<NodeId> = self.directory.registered_in(&own).collect();
        for node in others {
            if node != self.node {
                self.send(node, FrameBody::VersionDelta(delta.clone()));
            }
        }
        self.settle(now);
    }

    /// Passes a change that came from the store on to a watcher of each other data centre, in
    /// case that theirs are cut off from the store. A whole version isn't worth the links.
    fn tell_far_watchers(&mut self, delta: &VersionDelta, now: Instant) {
        let own = self.settings.data_centre.clone();
        let place = self
            .watchers_of(&own)
            .iter()
            .position(|node| *node == self.node);
        let Some(place) = place.filter(|_| delta.base != 0) else {
            return;
        };
        for centre in self.directory.data_centres() {
            let far = self.watchers_of(&centre).get(place).copied();
            if let Some(node) = far.filter(|_| centre != own) {
                self.send(node, FrameBody::VersionDelta(delta.clone()));
            }
        }
        self.settle(now);
    }

    /// Takes what a peer tells of a version. One that doesn't fit the version held is asked
    /// for anew; one that produces something else than its sender has is left to the store.
    pub(crate) fn on_delta(&mut self, from: NodeId, delta: &VersionDelta, now: Instant) {
        if delta.number <= self.active_version_number() {
            return;
        }
        match MeshVersion::apply(self.version.as_deref(), delta) {
            Ok(version) => {
                self.activate_version(&Rc::new(version), now);
            }
            Err(DeltaError::BaseMismatch { .. }) => self.request_version(from),
            Err(error @ DeltaError::DigestMismatch { .. }) => {
                warn!(event = "delta_refused", error = %error);
                self.counters.count("config.delta_refused");
                self.watchers.schedule_version_read(now);
            }
        }
    }

    /// A watcher acts on a version; one that is newer than the own is asked for.
    pub(crate) fn on_version_told(&mut self, from: NodeId, number: u64, now: Instant) {
        let held = self.active_version_number();
        self.watchers.on_version(number, held, now);
        if number > held {
            self.request_version(from);
        }
    }

    /// Asks a watcher of the data centre for its version, the `turn`th one.
    pub fn request_version_from_watcher(&mut self, turn: usize, now: Instant) {
        let watchers = self.watchers_of(&self.settings.data_centre);
        if !watchers.is_empty() {
            self.request_version(watchers[turn % watchers.len()]);
            self.settle(now);
        }
    }

    fn request_version(&mut self, from: NodeId) {
        self.counters.count("config.asked");
        let held = self.active_version_number();
        let request = ConfigRequest { held, full: false };
        self.send(from, FrameBody::ConfigRequest(request));
    }

    /// Whether the watchers have acted for long on a version that isn't known here.
    pub fn take_pending_version_read(&mut self, now: Instant) -> bool {
        self.watchers.take_pending_version_read(now)
    }

    /// Tells a peer that holds an older version, or none, what leads to the one in force.
    pub(crate) fn offer_version(&mut self, to: NodeId, held: u64) {
        let Some(version) = self.version.clone().filter(|own| own.number > held) else {
            return;
        };
        let base = self.kept_versions.iter().find(|kept| kept.number == held);
        let delta = version.delta_from(base.map(|kept| &**kept));
        self.send(to, FrameBody::VersionDelta(delta));
    }

    /// Asks a peer drawn at random for a version newer than the one in force.
    pub fn request_version_from_peer(&mut self, now: Instant) {
        let others: Vec<NodeId> = self.directory.boots().map(|(node, _)| node).collect();
        if others.is_empty() {
            return;
        }
        let node = others[self.rng.random_range(0..others.len())];
        if node != self.node {
            self.request_version(node);
        }
        self.settle(now);
    }
}
