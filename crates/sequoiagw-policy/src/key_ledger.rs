//! What a node remembers of the idempotency keys claimed for it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::CallId;

/// Bytes of stored answers kept; beyond, the oldest answers are dropped, not the keys.
const ANSWER_BYTES_LIMIT: usize = 32 * 1024 * 1024;
/// Time after which an expired key that is still in use is looked at again.
const RECHECK_TIME: Duration = Duration::from_secs(60);

/// State of a key at the node that claimed it.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The claim is on its way to the store; nothing has run.
    Claiming(CallId),
    /// The claim may or may not stand in the store; nothing has run.
    Unclaimed,
    /// The call waits or runs.
    Held(CallId),
    /// Claimed here, proven not to have run.
    NotRun,
    /// It ran; the answer is kept.
    Answered(ServedAnswer),
    /// It ran or may have run; there is no answer to repeat.
    AnswerLost,
}

/// One remembered key.
#[derive(Clone, Debug)]
struct KeyEntry {
    fingerprint: u64,
    nonce: u64,
    state: KeyState,
}

/// Keys claimed for this node.
#[derive(Debug, Default)]
pub struct KeyLedger {
    entries: HashMap<String, KeyEntry>,
    ages: VecDeque<(Instant, String)>,
    answers: VecDeque<(String, usize)>,
    answer_bytes: usize,
}

impl KeyLedger {
    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// State and fingerprint of a key.
    pub fn get(&self, key: &str) -> Option<(&KeyState, u64)> {
        self.entries
            .get(key)
            .map(|entry| (&entry.state, entry.fingerprint))
    }

    /// Number of the claim on a key.
    pub fn nonce(&self, key: &str) -> Option<u64> {
        self.entries.get(key).map(|entry| entry.nonce)
    }

    /// Starts to remember a key, in state `Claiming`, until `expires`.
    pub fn claim(&mut self, key: &str, fingerprint: u64, nonce: u64, id: CallId, expires: Instant) {
        let state = KeyState::Claiming(id);
        let entry = KeyEntry {
            fingerprint,
            nonce,
            state,
        };
        if self.entries.insert(key.to_owned(), entry).is_none() {
            self.ages.push_back((expires, key.to_owned()));
        }
    }

    /// Changes the state of a remembered key.
    pub fn set(&mut self, key: &str, state: KeyState) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let KeyState::Answered(answer) = &state {
            let bytes = answer.body.len();
            self.answers.push_back((key.to_owned(), bytes));
            self.answer_bytes += bytes;
        }
        entry.state = state;
        self.drop_old_answers();
    }

    /// Forgets a key whose claim failed.
    pub fn remove(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// Forgets keys whose time is over; a key still in use is looked at again later.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires, key)) = self.ages.front() {
            if *expires > now {
                break;
            }
            let key = key.clone();
            self.ages.pop_front();
            match self.entries.get(&key).map(|entry| &entry.state) {
                Some(KeyState::Claiming(_) | KeyState::Held(_)) => {
                    self.ages.push_back((now + RECHECK_TIME, key));
                }
                Some(_) => {
                    self.entries.remove(&key);
                }
                None => {}
            }
        }
    }

    fn drop_old_answers(&mut self) {
        while self.answer_bytes > ANSWER_BYTES_LIMIT {
            let Some((key, bytes)) = self.answers.pop_front() else {
                break;
            };
            self.answer_bytes -= bytes;
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.state = KeyState::AnswerLost;
            }
        }
    }
}
