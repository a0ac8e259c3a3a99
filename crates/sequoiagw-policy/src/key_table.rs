//! What a node remembers of the idempotency keys claimed for it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sequoiagw_protocol::ServedAnswer;
use tokio::time::Instant;

use crate::CallId;

/// Bytes of stored answer_sizes kept; beyond, the oldest answer_sizes are dropped, not the keys.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Time after which an expired key that is still in use is looked at again.
const EXPIRY_RECHECK_INTERVAL: Duration = Duration::from_secs(60);

/// State of a key at the node that claimed it.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The claim is on its way to the store; nothing has run.
    Claiming(CallId),
    /// The claim may or may not stand in the store; nothing has run.
    ClaimUncertain,
    /// The call waits or runs.
    InProgress(CallId),
    /// Claimed here, proven not to have run.
    NotRun,
    /// It ran; the answer is kept.
    Answered(ServedAnswer),
    /// It ran or may have run; there is no answer to repeat.
    AnswerLost,
}

/// One remembered key.
#[derive(Clone, Debug)]
struct KeyRecord {
    fingerprint: u64,
    nonce: u64,
    state: KeyState,
}

/// Keys claimed for this node.
#[derive(Debug, Default)]
pub struct KeyTable {
    records: HashMap<String, KeyRecord>,
    expiries: VecDeque<(Instant, String)>,
    answer_sizes: VecDeque<(String, usize)>,
    answer_bytes: usize,
}

impl KeyTable {
    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// State and fingerprint of a key.
    pub fn get(&self, key: &str) -> Option<(&KeyState, u64)> {
        self.records
            .get(key)
            .map(|record| (&record.state, record.fingerprint))
    }

    /// Number of the claim on a key.
    pub fn nonce(&self, key: &str) -> Option<u64> {
        self.records.get(key).map(|record| record.nonce)
    }

    /// Starts to remember a key, in state `Claiming`, until `expires`.
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

    /// Changes the state of a remembered key.
    pub fn set_state(&mut self, key: &str, state: KeyState) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if let KeyState::Answered(answer) = &state {
            let bytes = answer.body.len();
            self.answer_sizes.push_back((key.to_owned(), bytes));
            self.answer_bytes += bytes;
        }
        record.state = state;
        self.evict_old_answers();
    }

    /// Forgets a key whose claim failed.
    pub fn remove(&mut self, key: &str) {
        self.records.remove(key);
    }

    /// Forgets keys whose time is over; a key still in use is looked at again later.
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
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some((key, bytes)) = self.answer_sizes.pop_front() else {
                break;
            };
            self.answer_bytes -= bytes;
            if let Some(record) = self.records.get_mut(&key) {
                record.state = KeyState::AnswerLost;
            }
        }
    }
}
