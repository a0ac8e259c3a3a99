//! Exchange of the crashes under requests with the other nodes.
//!
//! A node sends what it saw to all members. What was lost on the way, or before a node started, is
//! found by the hash that each node regularly sends to a few members in turn.

use std::time::Duration;

use sequoiagw_policy::HeldRequest;
use sequoiagw_policy::ServerProcess;
use sequoiagw_protocol::CrashRecords;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::NodeCore;

/// Interval at which the hash of the known crashes is sent.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Members that get it each time.
const MEMBERS_PER_SYNC: usize = 3;

impl NodeCore {
    /// Handles an announcement of the backend server, which is that of another process after one has
    /// ended.
    pub(crate) fn on_backend_process(&mut self) {
        if self.backend.is_none() || self.calls.crashes.server_ended() {
            self.backend_processes += 1;
        }
        let identity = [self.node.get(), self.identity.boot, self.backend_processes];
        let bytes = identity.map(u64::to_le_bytes).concat();
        let server = ServerProcess(xxh3_64(&bytes));
        self.calls.crashes.set_server(Some(server));
    }

    /// Sends the crashes that this node saw, once they are due.
    pub(crate) fn send_crash_news(&mut self, now: Instant) {
        let news = self.calls.crashes.take_due_news(now);
        if news.is_empty() {
            return;
        }
        let body = FrameBody::Crashes(self.calls.crashes.message(news));
        for member in self.other_members() {
            self.send(member, body.clone());
        }
    }

    /// Handles crashes that a node reports, or the hash of those that it knows of.
    pub(crate) fn on_crash_records(&mut self, from: NodeId, received: &CrashRecords, now: Instant) {
        self.calls.on_crash_records(received, now);
        if let Some(answer) = self.calls.crashes.answer_to(received, now) {
            self.send(from, FrameBody::Crashes(answer));
        }
    }

    /// Sends the hash of the known crashes, once that is due.
    pub(crate) fn sync_crashes(&mut self, now: Instant) {
        let (due, sent) = self.next_crash_sync;
        if self.calls.crashes.is_empty() || now < due {
            return;
        }
        self.next_crash_sync = (now + SYNC_INTERVAL, sent + MEMBERS_PER_SYNC);
        let members = self.other_members();
        let body = FrameBody::Crashes(self.calls.crashes.message(Vec::new()));
        for offset in 0..MEMBERS_PER_SYNC.min(members.len()) {
            let member = members[(sent + offset) % members.len()];
            self.send(member, body.clone());
        }
    }

    /// Requests that are held back, because they crashed several backend servers.
    pub fn held_requests(&self, now: Instant) -> Vec<HeldRequest> {
        self.calls.crashes.held(now)
    }

    /// When [`Self::sync_crashes`] has something to send.
    pub(crate) fn crash_sync_due(&self) -> Option<Instant> {
        let (due, _) = self.next_crash_sync;
        (!self.calls.crashes.is_empty()).then_some(due)
    }

    /// Members that may be reached, without this node, in a fixed order.
    fn other_members(&self) -> Vec<NodeId> {
        let records = self.members().records().filter(|record| {
            record.node != self.node.get()
                && !matches!(record.state(), MemberState::Lost | MemberState::Left)
        });
        let mut members: Vec<NodeId> = records.map(|record| NodeId::from(record.node)).collect();
        members.sort_unstable();
        members
    }
}
