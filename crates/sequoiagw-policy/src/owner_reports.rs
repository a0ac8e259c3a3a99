//! What an owner reports: answers with its load, and refusals for the log.

use std::time::Duration;

use sequoiagw_protocol::CallAnswer;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::LoadReport;
use sequoiagw_protocol::RankLevel;
use tokio::time::Instant;

use crate::CallId;
use crate::OwnerAction;
use crate::OwnerMachine;
use crate::RefusalRecord;

impl OwnerMachine {
    /// Load report sent with each answer.
    pub fn load(&self, now: Instant) -> LoadReport {
        LoadReport {
            running: self.limiter.running(),
            slots: self.usable_slots(now),
            waiting: self.queue.len() as u32,
            open_levels: if self.draining {
                0
            } else {
                self.queue.open_levels()
            },
            occupancy_ms: self.occupancy.mean(now).as_millis() as u32,
            waits: LoadReport::pack_waits(self.expected_waits(now)),
            link_wait_ms: self.link_wait.as_millis() as u32,
        }
    }

    pub(crate) fn record_refusal(
        &mut self,
        dispatch: &CallDispatch,
        kind: ErrorKind,
        now: Instant,
    ) {
        let level = RankLevel::new(dispatch.rank.min(7) as u8);
        let refusal = RefusalRecord {
            request_id: dispatch.request_id.clone(),
            kind,
            level,
            expected_wait: self.expected_wait_of(dispatch, now),
            waiting: self.queue.len(),
            running: self.limiter.running(),
            slots: self.usable_slots(now),
        };
        self.actions
            .push(OwnerAction::RecordRefusal(Box::new(refusal)));
    }

    pub(crate) fn send_answer(&mut self, id: CallId, outcome: CallOutcome, now: Instant) {
        let answer = CallAnswer {
            call: id.call,
            entry_boot: id.boot,
            load: Some(self.load(now)),
            run_ms: self
                .calls
                .get(&id)
                .map_or(0, |call| ms_rounded_up(call.occupancy)),
            wait_ms: self
                .calls
                .get(&id)
                .map_or(0, |call| ms_rounded_up(call.slot_wait)),
            remaining_ms: self.calls.get(&id).map_or(0, |call| {
                call.deadline.saturating_duration_since(now).as_millis() as u32
            }),
            outcome: Some(outcome),
        };
        self.actions.push(OwnerAction::Answer(id.entry, answer));
    }
}

/// Milliseconds rounded up, so that only a zero duration gives 0.
fn ms_rounded_up(time: Duration) -> u32 {
    time.as_micros().div_ceil(1000) as u32
}
