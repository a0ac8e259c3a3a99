//! Exchange of the crashes under requests with the other nodes.
//!
//! The node beside a crashed backend server sends what it saw to its data centre and to the watchers
//! of the others, which pass it on. What was lost on the way is found by the hashes that watchers send
//! regularly: to their data centre, and to the watchers of the others.

use sequoiagw_policy::HeldRequest;
use sequoiagw_protocol::CrashRecords;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::MeshCore;

impl MeshCore {
    /// Sends the crashes that this node saw, once they are due.
    pub(crate) fn send_crash_news(&mut self, now: Instant) {
        let news = self.calls.crashes.take_due_news(now);
        if news.is_empty() {
            return;
        }
        let body = FrameBody::Crashes(self.calls.crashes.message(news));
        for watcher in self.remote_watchers() {
            self.send(watcher, body.clone());
        }
        self.broadcast_to_data_centre(&body, now);
    }

    /// Handles crashes that a node reports, or the hash of those that it knows of.
    pub(crate) fn on_crash_records(&mut self, from: NodeId, received: &CrashRecords, now: Instant) {
        let new_records = self.calls.on_crash_records(received, now);
        if !new_records.is_empty() && !self.is_in_own_data_centre(from) {
            let body = FrameBody::Crashes(self.calls.crashes.message(new_records));
            self.broadcast_to_data_centre(&body, now);
        }
        if let Some(answer) = self.calls.crashes.answer_to(received, now) {
            self.send(from, FrameBody::Crashes(answer));
        }
    }

    /// Handles the hash of the crashes that a watcher of the data centre knows of.
    pub(crate) fn on_crash_hash(&mut self, from: NodeId, hash: u64, now: Instant) {
        if hash == self.calls.crashes.hash() {
            return;
        }
        if let Some(message) = self.calls.crashes.full_message(true, now) {
            self.send(from, FrameBody::Crashes(message));
        }
    }

    /// Sends the hash of the known crashes to the watchers of other data centres, if there are any.
    pub(crate) fn announce_crashes(&mut self) {
        if self.calls.crashes.is_empty() {
            return;
        }
        let body = FrameBody::Crashes(self.calls.crashes.message(Vec::new()));
        for watcher in self.remote_watchers() {
            self.send(watcher, body.clone());
        }
    }

    /// Requests that are held back, because they crashed several backend servers.
    pub fn held_requests(&self, now: Instant) -> Vec<HeldRequest> {
        self.calls.crashes.held(now)
    }

    fn remote_watchers(&self) -> Vec<NodeId> {
        let own_centre = &self.settings.data_centre;
        let centres = self.directory.data_centres().into_iter();
        let remote = centres.filter(|centre| *centre != *own_centre);
        remote
            .flat_map(|centre| self.watchers_in(&centre))
            .collect()
    }
}
