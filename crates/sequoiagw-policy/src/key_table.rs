//! Idempotency keys claimed by this node, with the state of their calls.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::CallId;

/// Maximum size of all stored answer bodies. Above it the oldest answers are dropped, but
/// their keys are kept.
const MAX_STORED_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Delay before an expired key that is still in use is checked again.
const EXPIRY_RECHECK_INTERVAL: Duration = Duration::from_secs(60);

/// State of a key at the node that claimed it.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The claim was sent to the store and not yet confirmed; no call has run.
    Claiming(CallId),
    /// The store may or may not have recorded the claim; no call has run.
    ClaimUncertain,
    /// The key is claimed for this node and this call is queued or running.
    InProgress(CallId),
    /// The key is claimed for this node and no call with it has run.
    NotRun,
    /// The call ran and its answer is stored.
    Answered(ServedAnswer),
    /// The call ran or may have run, and no answer is available to replay.
    AnswerLost,
}

/// One claimed key.
#[derive(Clone, Debug)]
struct KeyRecord {
    /// Hash of method, path and body.
    fingerprint: u64,
    nonce: u64,
    state: KeyState,
}

/// Table of the idempotency keys claimed by this node.
#[derive(Debug, Default)]
pub struct KeyTable {
    records: HashMap<String, KeyRecord>,
    /// Keys by time of expiry.
    expiries: VecDeque<(Instant, String)>,
    /// Keys and body sizes of the stored answers, oldest first.
    answer_sizes: VecDeque<(String, usize)>,
    total_answer_bytes: usize,
}

impl KeyTable {
    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// State and request fingerprint of a key.
    pub fn get(&self, key: &str) -> Option<(&KeyState, u64)> {
        self.records
            .get(key)
            .map(|record| (&record.state, record.fingerprint))
    }

    /// Number of the claim on a key, unique within this node's boot.
    pub fn nonce(&self, key: &str) -> Option<u64> {
        self.records.get(key).map(|record| record.nonce)
    }

    /// Adds a key in state [`KeyState::Claiming`]. The record is kept until `expires`, or
    /// longer while the key is in use.
    pub fn start_claim(
        &mut self,
        key: &str,
        fingerprint: u64,
        nonce: u64,
        id: CallId,
        expires: Instant,
    ) {
        let state = KeyState::Claiming(id);
        let record = KeyRecord {
            fingerprint,
            nonce,
            state,
        };
        if self.records.insert(key.to_owned(), record).is_none() {
            self.expiries.push_back((expires, key.to_owned()));
        }
    }

    /// Sets the state of a key; does nothing when the key isn't in the table.
    pub fn set_state(&mut self, key: &str, state: KeyState) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if let KeyState::Answered(answer) = &state {
            let size = answer.body.len();
            self.answer_sizes.push_back((key.to_owned(), size));
            self.total_answer_bytes += size;
        }
        record.state = state;
        self.evict_old_answers();
    }

    /// Removes a key whose claim was rejected.
    pub fn remove(&mut self, key: &str) {
        self.records.remove(key);
    }

    /// Removes expired keys. An expired key that is still in use is checked again later.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires, key)) = self.expiries.front() {
            if *expires > now {
                break;
            }
            let key = key.clone();
            self.expiries.pop_front();
            match self.records.get(&key).map(|record| &record.state) {
                Some(KeyState::Claiming(_) | KeyState::InProgress(_)) => {
                    self.expiries
                        .push_back((now + EXPIRY_RECHECK_INTERVAL, key));
                }
                Some(_) => {
                    self.records.remove(&key);
                }
                None => {}
            }
        }
    }

    fn evict_old_answers(&mut self) {
        while self.total_answer_bytes > MAX_STORED_ANSWER_BYTES {
            let Some((key, size)) = self.answer_sizes.pop_front() else {
                break;
            };
            self.total_answer_bytes -= size;
            if let Some(record) = self.records.get_mut(&key) {
                record.state = KeyState::AnswerLost;
            }
        }
    }
}
