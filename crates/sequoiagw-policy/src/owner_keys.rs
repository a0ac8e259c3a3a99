//! Idempotency keys at the owner: claims, and calls that share a run.

use std::time::Duration;

use sequoiagw_protocol::CallOutcome;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::RedirectAnswer;
use tokio::time::Instant;

use crate::owner_call::OwnerState;
use crate::CallId;
use crate::KeyState;
use crate::OwnerAction;
use crate::OwnerMachine;

/// Time after which an unanswered claim is sent through another holder.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Number of attempts at a claim before the call is refused.
const MAX_CLAIM_ATTEMPTS: u32 = 4;
/// Time for which a key is remembered, in multiples of the window for which the store keeps
/// its claim.
const KEY_RETENTION_FACTOR: u32 = 2;

impl OwnerMachine {
    /// Admits a call with a key: queues it, claims the key, answers from the key table or
    /// refuses the call, depending on the key's state.
    pub(crate) fn admit_keyed(&mut self, id: CallId, key: &str, now: Instant) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let fingerprint = call.dispatch.fingerprint;
        match self.keys.get(key) {
            Some((_, recorded)) if recorded != fingerprint => {
                self.refuse(id, ErrorKind::KeyReused, now);
            }
            Some((KeyState::Answered(answer), _)) => {
                let mut answer = answer.clone();
                answer.replayed = true;
                self.finish(id, &CallOutcome::Served(answer), now);
            }
            Some((KeyState::AnswerLost, _)) => self.refuse(id, ErrorKind::KeyUnknown, now),
            Some((KeyState::Claiming(primary) | KeyState::InProgress(primary), _)) => {
                let primary = *primary;
                self.coalesce(id, primary);
            }
            Some((KeyState::NotRun | KeyState::ClaimUncertain, _)) if self.draining => {
                self.refuse(id, ErrorKind::NodeStopping, now);
            }
            Some((KeyState::NotRun, _)) => {
                self.keys.set_state(key, KeyState::InProgress(id));
                self.enqueue(id, now);
            }
            None | Some((KeyState::ClaimUncertain, _)) => self.claim_key(id, key, fingerprint, now),
        }
    }

    /// Starts a claim on the key of a call. A key whose earlier claim is uncertain keeps its
    /// nonce.
    pub(crate) fn claim_key(&mut self, id: CallId, key: &str, fingerprint: u64, now: Instant) {
        let nonce = self.keys.nonce(key).unwrap_or(self.next_nonce);
        self.next_nonce = self.next_nonce.max(nonce + 1);
        let expires = now + self.settings.key_window * KEY_RETENTION_FACTOR;
        self.keys.start_claim(key, fingerprint, nonce, id, expires);
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = OwnerState::Claiming;
        }
        self.claim_attempts.insert(id, 0);
        self.try_claim(id, key, now);
    }

    /// Sends a claim. Claims are idempotent: repeating one with the same nonce has no effect.
    pub(crate) fn try_claim(&mut self, id: CallId, key: &str, now: Instant) {
        let (Some(call), Some(attempts)) = (self.calls.get(&id), self.claim_attempts.get_mut(&id))
        else {
            return;
        };
        let claim = KeyClaim {
            key: key.to_owned(),
            fingerprint: call.dispatch.fingerprint,
            node: self.node.get(),
            boot: self.boot,
            nonce: self.keys.nonce(key).unwrap_or_default(),
        };
        self.claim_retry_times
            .insert((call.deadline.min(now + CLAIM_RETRY_INTERVAL), id));
        self.actions.push(OwnerAction::Claim(claim, *attempts));
        *attempts += 1;
    }

    /// Makes a call wait for the answer to `primary`, an earlier call with the same key.
    pub(crate) fn coalesce(&mut self, id: CallId, primary: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = OwnerState::Coalesced;
        }
        if let Some(call) = self.calls.get_mut(&primary) {
            call.coalesced.push(id);
        }
    }

    /// Handles the result of a claim: the claim that the store has recorded on the key, or
    /// `None` when the store gave no answer.
    pub fn on_claim(&mut self, key: &str, recorded: Option<&KeyClaim>, now: Instant) {
        let Some((KeyState::Claiming(id), fingerprint)) = self.keys.get(key) else {
            return;
        };
        let id = *id;
        let nonce = self.keys.nonce(key).unwrap_or_default();
        let Some(claim) = recorded else {
            self.on_claim_failed(id, key, now);
            return;
        };
        self.clear_claim_retry(id);
        let claimed_by_this_boot = claim.node == self.node.get() && claim.boot == self.boot;
        if claimed_by_this_boot && claim.nonce == nonce {
            self.keys.set_state(key, KeyState::InProgress(id));
            self.enqueue(id, now);
            self.start_runs(now);
            return;
        }
        self.keys.remove(key);
        if claim.fingerprint != fingerprint {
            self.refuse(id, ErrorKind::KeyReused, now);
        } else if claim.node == self.node.get() {
            // This node claimed the key in an earlier boot, or so long ago that its record is
            // gone, so the outcome of that call is unknown.
            self.refuse(id, ErrorKind::KeyUnknown, now);
        } else {
            let redirect = RedirectAnswer {
                node: claim.node,
                boot: claim.boot,
            };
            self.finish(id, &CallOutcome::Redirect(redirect), now);
        }
    }

    /// Schedules another attempt after a holder failed to record a claim. Another holder may
    /// succeed; after the last attempt the call is refused.
    pub(crate) fn on_claim_failed(&mut self, id: CallId, key: &str, now: Instant) {
        if self.claim_attempts.get(&id).copied().unwrap_or(0) >= MAX_CLAIM_ATTEMPTS {
            self.fail_claim(id, key, now);
            return;
        }
        self.claim_retry_times.retain(|(_, other)| *other != id);
        let retry_at = now + CLAIM_RETRY_INTERVAL / 4;
        self.claim_retry_times.insert((retry_at, id));
    }

    /// Refuses a call whose claim got no answer. The store may have recorded the claim, but
    /// the call has not run.
    pub(crate) fn fail_claim(&mut self, id: CallId, key: &str, now: Instant) {
        self.clear_claim_retry(id);
        self.keys.set_state(key, KeyState::ClaimUncertain);
        self.refuse(id, ErrorKind::ClaimUnavailable, now);
    }

    /// Sends unanswered claims again, or refuses their calls after the last attempt or at the
    /// deadline.
    pub(crate) fn retry_due_claims(&mut self, now: Instant) {
        while let Some((retry_at, id)) = self.claim_retry_times.first().copied() {
            if retry_at > now {
                break;
            }
            self.claim_retry_times.pop_first();
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let Some(key) = call.scoped_key() else {
                continue;
            };
            let attempts = self.claim_attempts.get(&id).copied().unwrap_or(0);
            if attempts < MAX_CLAIM_ATTEMPTS && call.deadline > now {
                self.try_claim(id, &key, now);
            } else {
                self.fail_claim(id, &key, now);
            }
        }
    }

    pub(crate) fn clear_claim_retry(&mut self, id: CallId) {
        self.claim_retry_times.retain(|(_, other)| *other != id);
        self.claim_attempts.remove(&id);
    }
}
