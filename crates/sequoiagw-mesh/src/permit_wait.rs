//! Callers that wait for permits of their workspaces.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use sequoiagw_policy::PermitOutcome;
use sequoiagw_policy::PermitTicket;
use sequoiagw_policy::QuotaDecision;
use sequoiagw_protocol::ErrorKind;
use tokio::sync::oneshot;

use crate::retry_after_delay;
use crate::MeshHandle;
use crate::Workspace;

/// Largest random factor of the delay after which refused callers return, so that they don't return
/// together.
const MAX_DELAY_FACTOR: f64 = 1.5;

/// Why a caller's request got no permit. It has not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{kind}, retry after {} ms", retry_after.as_millis())]
pub struct PermitRefusal {
    /// Kind of the refusal: `QuotaExceeded` or `QuotaUnavailable`.
    pub kind: ErrorKind,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl PermitRefusal {
    fn exceeded(retry_after: Duration) -> Self {
        let factor = rand::rng().random_range(1.0..MAX_DELAY_FACTOR);
        Self {
            kind: ErrorKind::QuotaExceeded,
            retry_after: retry_after.mul_f64(factor),
        }
    }

    fn unavailable() -> Self {
        let kind = ErrorKind::QuotaUnavailable;
        let retry_after = retry_after_delay(kind, None);
        Self { kind, retry_after }
    }
}

/// Senders of the outcomes, by ticket.
#[derive(Debug, Default)]
pub(crate) struct PermitTable {
    senders: HashMap<PermitTicket, oneshot::Sender<PermitOutcome>>,
}

impl PermitTable {
    pub(crate) fn open(&mut self, ticket: PermitTicket) -> oneshot::Receiver<PermitOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.senders.insert(ticket, sender);
        receiver
    }

    /// Passes on an outcome to a caller, which may have just stopped waiting.
    pub(crate) fn resolve(&mut self, ticket: PermitTicket, outcome: PermitOutcome) {
        if let Some(sender) = self.senders.remove(&ticket) {
            let _ = sender.send(outcome);
        }
    }

    pub(crate) fn remove(&mut self, ticket: PermitTicket) {
        self.senders.remove(&ticket);
    }
}

/// Frees a caller's place when it is dropped before the outcome.
struct WaitGuard<'a> {
    handle: &'a MeshHandle,
    ticket: PermitTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.handle.leave_permit_queue(self.ticket);
    }
}

impl MeshHandle {
    /// Waits for a permit for a request of a workspace, at most 0.3 s. Dropping the future frees the
    /// caller's place. Without quotas or without a limit of the workspace there is no wait.
    ///
    /// Errors: the quota is used up, or no counter answered in time.
    pub async fn acquire_permit(&self, workspace: &Workspace) -> Result<(), PermitRefusal> {
        if workspace.quota.is_none() || !self.read(crate::MeshCore::has_quotas) {
            return Ok(());
        }
        let (decision, receiver) = self.begin_permit(&workspace.name);
        let ticket = match decision {
            QuotaDecision::Allowed => return Ok(()),
            QuotaDecision::Refused { retry_after } => {
                return Err(PermitRefusal::exceeded(retry_after));
            }
            QuotaDecision::Waiting(ticket) => ticket,
        };
        let _guard = WaitGuard {
            handle: self,
            ticket,
        };
        let Some(receiver) = receiver else {
            return Err(PermitRefusal::unavailable());
        };
        match receiver.await {
            Ok(PermitOutcome::Allowed) => Ok(()),
            Ok(PermitOutcome::Refused { retry_after }) => Err(PermitRefusal::exceeded(retry_after)),
            Ok(PermitOutcome::Unavailable) | Err(_) => Err(PermitRefusal::unavailable()),
        }
    }
}
