//! Idempotency keys at the owner: claims, attached calls and what becomes of them.

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

/// Time after which an unanswered claim is tried through another holder.
const CLAIM_RETRY: Duration = Duration::from_millis(300);
/// Tries at a claim before the call is refused.
const CLAIM_TRIES: u32 = 4;
/// Memory of a key, in multiples of the window for which the store keeps its claim.
const KEY_MEMORY_FACTOR: u32 = 2;

impl OwnerMachine {
    pub(crate) fn admit_keyed(&mut self, id: CallId, key: &str, now: Instant) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let fingerprint = call.dispatch.fingerprint;
        match self.keys.get(key) {
            Some((_, other)) if other != fingerprint => {
                self.refuse(id, ErrorKind::KeyReused, now);
            }
            Some((KeyState::Answered(answer), _)) => {
                let mut answer = answer.clone();
                answer.replayed = true;
                self.finish(id, &CallOutcome::Served(answer), now);
            }
            Some((KeyState::AnswerLost, _)) => self.refuse(id, ErrorKind::KeyUnknown, now),
            Some((KeyState::Claiming(first) | KeyState::InProgress(first), _)) => {
                let first = *first;
                self.attach(id, first);
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

    pub(crate) fn claim_key(&mut self, id: CallId, key: &str, fingerprint: u64, now: Instant) {
        let nonce = self.keys.nonce(key).unwrap_or(self.next_nonce);
        self.next_nonce = self.next_nonce.max(nonce + 1);
        let expires = now + self.settings.key_window * KEY_MEMORY_FACTOR;
        self.keys.start_claim(key, fingerprint, nonce, id, expires);
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = OwnerState::Claiming;
        }
        self.claim_tries.insert(id, 0);
        self.try_claim(id, key, now);
    }

    /// Sends a claim; claiming again under the same number changes nothing.
    pub(crate) fn try_claim(&mut self, id: CallId, key: &str, now: Instant) {
        let (Some(call), Some(tries)) = (self.calls.get(&id), self.claim_tries.get_mut(&id)) else {
            return;
        };
        let claim = KeyClaim {
            key: key.to_owned(),
            fingerprint: call.dispatch.fingerprint,
            node: self.node.get(),
            boot: self.boot,
            nonce: self.keys.nonce(key).unwrap_or_default(),
        };
        self.claim_deadlines
            .insert((call.deadline.min(now + CLAIM_RETRY), id));
        self.actions.push(OwnerAction::Claim(claim, *tries));
        *tries += 1;
    }

    pub(crate) fn attach(&mut self, id: CallId, first: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = OwnerState::Attached;
        }
        if let Some(call) = self.calls.get_mut(&first) {
            call.attached.push(id);
        }
    }

    /// Takes the claim that stands on a key, `None` when the store gave no answer.
    pub fn on_claim(&mut self, key: &str, standing: Option<&KeyClaim>, now: Instant) {
        let Some((KeyState::Claiming(id), fingerprint)) = self.keys.get(key) else {
            return;
        };
        let id = *id;
        let nonce = self.keys.nonce(key).unwrap_or_default();
        let Some(claim) = standing else {
            self.on_claim_failed(id, key, now);
            return;
        };
        self.drop_claim_deadline(id);
        let own = claim.node == self.node.get() && claim.boot == self.boot;
        if own && claim.nonce == nonce {
            self.keys.set_state(key, KeyState::InProgress(id));
            self.enqueue(id, now);
            self.start_runs(now);
            return;
        }
        self.keys.remove(key);
        if claim.fingerprint != fingerprint {
            self.refuse(id, ErrorKind::KeyReused, now);
        } else if claim.node == self.node.get() {
            // This host claimed it in an earlier boot, or so long ago that it is forgotten.
            self.refuse(id, ErrorKind::KeyUnknown, now);
        } else {
            let redirect = RedirectAnswer {
                node: claim.node,
                boot: claim.boot,
            };
            self.finish(id, &CallOutcome::Redirect(redirect), now);
        }
    }

    /// A holder couldn't record a claim: another one may, before the call is refused.
    pub(crate) fn on_claim_failed(&mut self, id: CallId, key: &str, now: Instant) {
        if self.claim_tries.get(&id).copied().unwrap_or(0) >= CLAIM_TRIES {
            self.fail_claim(id, key, now);
            return;
        }
        self.claim_deadlines.retain(|(_, other)| *other != id);
        let pause = now + CLAIM_RETRY / 4;
        self.claim_deadlines.insert((pause, id));
    }

    /// Gives a claim up: it may stand in the store, but nothing has run.
    pub(crate) fn fail_claim(&mut self, id: CallId, key: &str, now: Instant) {
        self.drop_claim_deadline(id);
        self.keys.set_state(key, KeyState::ClaimUncertain);
        self.refuse(id, ErrorKind::ClaimUnavailable, now);
    }

    pub(crate) fn expire_claims(&mut self, now: Instant) {
        while let Some((until, id)) = self.claim_deadlines.first().copied() {
            if until > now {
                break;
            }
            self.claim_deadlines.pop_first();
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let Some(key) = call.scoped_key() else {
                continue;
            };
            let tries = self.claim_tries.get(&id).copied().unwrap_or(0);
            if tries < CLAIM_TRIES && call.deadline > now {
                self.try_claim(id, &key, now);
            } else {
                self.fail_claim(id, &key, now);
            }
        }
    }

    pub(crate) fn drop_claim_deadline(&mut self, id: CallId) {
        self.claim_deadlines.retain(|(_, other)| *other != id);
        self.claim_tries.remove(&id);
    }
}
