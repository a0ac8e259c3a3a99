//! Requests under which backend servers crashed, and which of them are held back.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use sequoiagw_protocol::CrashRecord;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::recent_runs::RecentRuns;
use crate::RequestDigest;

/// Different processes that a request must have crashed to be held back.
const CRASHES_UNTIL_HELD: usize = 3;
/// Time after its last crash for which a request is remembered that isn't held back.
const SUSPECT_RETENTION: Duration = Duration::from_secs(2 * 60);
/// Time after its last crash for which a request is held back.
const HOLD_TIME: Duration = Duration::from_secs(5 * 60);
/// Time within which several processes count as ended at once, for a reason other than a request
/// that ran well before.
const AT_ONCE_TIME: Duration = Duration::from_secs(1);
/// Largest number of requests that are remembered.
const MAX_SUSPECTS: usize = 2048;
/// Crashes of a request from which on it is worth telling other nodes that it ran well. After the loss
/// of many backend servers most requests have one.
const MIN_SHARED_CLEARING: usize = 2;
/// Largest number of crashes that are remembered of one request.
const MAX_CRASHES: usize = 32;

/// One process of a backend server, from its start to its end.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:016x}")]
pub struct ServerProcess(pub u64);

/// Whether a request may be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashVerdict {
    /// It may.
    Allowed,
    /// It may, but not once more if that fails: one more crash, and it is held back.
    AllowedOnce,
    /// It has crashed too many processes.
    Held,
}

/// A request that is held back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Processes that it crashed, in order of time.
    pub servers: Vec<ServerProcess>,
    /// Time from the first of these crashes to the last.
    pub crash_span: Duration,
    /// Time since this node holds the request back.
    pub held_for: Duration,
}

#[derive(Clone, Debug)]
struct ServerCrash {
    server: ServerProcess,
    at: Instant,
    cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct CrashSuspect {
    crashes: Vec<ServerCrash>,
    held_since: Option<Instant>,
}

impl CrashSuspect {
    fn counted(&self) -> impl Iterator<Item = &ServerCrash> {
        self.crashes.iter().filter(|crash| !crash.cleared)
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Time at which the request is forgotten.
    fn expiry(&self) -> Option<Instant> {
        let retention = match self.held_since {
            Some(_) => HOLD_TIME,
            None => SUSPECT_RETENTION,
        };
        self.last_crash().map(|crash| crash + retention)
    }
}

/// Crashes by request. Each node has all of them: nodes exchange records, and tables with the same
/// records are equal whatever the order in which these arrived.
///
/// Serves requests that crash every backend server that begins them and are sent again and again.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    suspects: HashMap<RequestDigest, CrashSuspect>,
    recent_runs: RecentRuns,
    /// Records that this node added or changed since the last call of [`Self::take_changes`].
    changes: Vec<CrashRecord>,
    /// Requests held back since the last call of [`Self::take_newly_held`].
    newly_held: Vec<RequestDigest>,
}

impl CrashTable {
    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a further request takes the place of another.
    pub fn is_full(&self) -> bool {
        self.suspects.len() >= MAX_SUSPECTS
    }

    /// Whether a request may be sent to a backend server.
    pub fn verdict(&self, digest: RequestDigest) -> CrashVerdict {
        let Some(suspect) = self.suspects.get(&digest) else {
            return CrashVerdict::Allowed;
        };
        match suspect.counted().count() {
            _ if suspect.held_since.is_some() => CrashVerdict::Held,
            count if count + 1 >= CRASHES_UNTIL_HELD => CrashVerdict::AllowedOnce,
            _ => CrashVerdict::Allowed,
        }
    }

    /// Returns and clears the records that this node added or changed, for the other nodes.
    pub fn take_changes(&mut self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.changes)
    }

    /// Records that a process ended while it ran a request.
    pub fn record_crash(&mut self, digest: RequestDigest, server: ServerProcess, now: Instant) {
        let record = CrashRecord {
            digest_high: (digest.0 >> 64) as u64,
            digest_low: digest.0 as u64,
            server: server.0,
            age_ms: 0,
            cleared: false,
        };
        if self.merge_record(&record, now) {
            self.changes.push(record);
            self.clear_if_ran_well(digest, 1, now);
        }
    }

    /// Records that a request ran well, at any backend server.
    pub fn record_success(&mut self, digest: RequestDigest, now: Instant) {
        self.recent_runs.record(digest, now);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            if suspect.counted().count() >= MIN_SHARED_CLEARING {
                self.changes
                    .extend(clear_crashes(digest, suspect, |_| true, now));
            }
        }
    }

    /// Records that a process lives that was taken for crashed.
    pub fn record_alive(&mut self, server: ServerProcess, now: Instant) {
        for (digest, suspect) in &mut self.suspects {
            let is_server = |crash: &ServerCrash| crash.server == server;
            self.changes
                .extend(clear_crashes(*digest, suspect, is_server, now));
        }
    }

    /// Takes over records of another node; returns those that are new here.
    pub fn merge(&mut self, records: &[CrashRecord], now: Instant) -> Vec<CrashRecord> {
        let records = records.iter().copied();
        let new_records: Vec<CrashRecord> = records
            .filter(|record| self.merge_record(record, now))
            .collect();
        for record in &new_records {
            self.clear_if_ran_well(digest_of(record), MIN_SHARED_CLEARING, now);
        }
        new_records
    }

    /// Clears the crashes of a request with `min_crashes` of them if it ran well since the one before
    /// the latest: it ran then beside whatever ended these processes at once.
    fn clear_if_ran_well(&mut self, digest: RequestDigest, min_crashes: usize, now: Instant) {
        let ran_at = self.recent_runs.last_run(digest, now);
        let (Some(suspect), Some(ran_at)) = (self.suspects.get_mut(&digest), ran_at) else {
            return;
        };
        let later = suspect.crashes.iter().map(|crash| crash.at);
        let Some(first) = later.filter(|at| *at >= ran_at).min() else {
            return;
        };
        if suspect.counted().count() >= min_crashes {
            let is_covered = |crash: &ServerCrash| crash.at <= first + AT_ONCE_TIME;
            self.changes
                .extend(clear_crashes(digest, suspect, is_covered, now));
        }
    }

    fn merge_record(&mut self, record: &CrashRecord, now: Instant) -> bool {
        let digest = digest_of(record);
        let age = Duration::from_millis(u64::from(record.age_ms));
        if age >= HOLD_TIME {
            return false;
        }
        if !self.suspects.contains_key(&digest) && self.is_full() {
            self.forget_oldest();
        }
        let suspect = self.suspects.entry(digest).or_default();
        let server = ServerProcess(record.server);
        let crashes = &mut suspect.crashes;
        let is_new = match crashes.iter().position(|crash| crash.server == server) {
            Some(known) => record.cleared && !std::mem::replace(&mut crashes[known].cleared, true),
            None if crashes.len() >= MAX_CRASHES => false,
            None => {
                crashes.push(ServerCrash {
                    server,
                    at: now.checked_sub(age).unwrap_or(now),
                    cleared: record.cleared,
                });
                true
            }
        };
        if is_new && update_hold(suspect, now) {
            self.newly_held.push(digest);
        }
        is_new
    }

    /// Forgets the request whose last crash is the oldest, rather one that isn't held back.
    fn forget_oldest(&mut self) {
        let suspects = self.suspects.iter();
        let oldest = suspects.min_by_key(|(digest, suspect)| {
            let is_held = suspect.held_since.is_some();
            (is_held, suspect.last_crash(), **digest)
        });
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    /// Forgets requests whose last crash is long ago.
    pub fn expire(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| suspect.expiry().is_some_and(|expiry| now < expiry));
    }

    /// All records, for another node.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let suspects = self.suspects.iter();
        let records = suspects.flat_map(|(digest, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(|crash| record_of(*digest, crash, now))
        });
        records.collect()
    }

    /// Hash of all records, independent of their order and age; 0 without any.
    pub fn hash(&self) -> u64 {
        let mut hash = 0;
        for (digest, suspect) in &self.suspects {
            for crash in &suspect.crashes {
                let mut bytes = [0; 25];
                bytes[..16].copy_from_slice(&digest.0.to_le_bytes());
                bytes[16..24].copy_from_slice(&crash.server.0.to_le_bytes());
                bytes[24] = u8::from(crash.cleared);
                hash ^= xxh3_64(&bytes);
            }
        }
        hash
    }

    /// Requests that are held back.
    pub fn held(&self, now: Instant) -> Vec<HeldRequest> {
        let digests = self.suspects.keys();
        digests
            .filter_map(|digest| self.held_request(*digest, now))
            .collect()
    }

    /// Requests held back since the last call of this method.
    pub fn take_newly_held(&mut self, now: Instant) -> Vec<HeldRequest> {
        let digests = std::mem::take(&mut self.newly_held).into_iter();
        digests
            .filter_map(|digest| self.held_request(digest, now))
            .collect()
    }

    /// A request that is held back, `None` if it isn't.
    pub fn held_request(&self, digest: RequestDigest, now: Instant) -> Option<HeldRequest> {
        let suspect = self.suspects.get(&digest)?;
        let held_since = suspect.held_since?;
        let mut crashes: Vec<&ServerCrash> = suspect.counted().collect();
        crashes.sort_by_key(|crash| crash.at);
        let (first, last) = (crashes.first()?, crashes.last()?);
        Some(HeldRequest {
            digest,
            crash_span: last.at.saturating_duration_since(first.at),
            held_for: now.saturating_duration_since(held_since),
            servers: crashes.iter().map(|crash| crash.server).collect(),
        })
    }
}

/// Digest that a record names.
fn digest_of(record: &CrashRecord) -> RequestDigest {
    RequestDigest(u128::from(record.digest_high) << 64 | u128::from(record.digest_low))
}

fn record_of(digest: RequestDigest, crash: &ServerCrash, now: Instant) -> CrashRecord {
    CrashRecord {
        digest_high: (digest.0 >> 64) as u64,
        digest_low: digest.0 as u64,
        server: crash.server.0,
        age_ms: now.saturating_duration_since(crash.at).as_millis() as u32,
        cleared: crash.cleared,
    }
}

/// Clears the crashes of a request that `applies` selects; returns the records that changed.
fn clear_crashes<Applies>(
    digest: RequestDigest,
    suspect: &mut CrashSuspect,
    applies: Applies,
    now: Instant,
) -> Vec<CrashRecord>
where
    Applies: Fn(&ServerCrash) -> bool,
{
    let mut changed = Vec::new();
    for crash in &mut suspect.crashes {
        if !crash.cleared && applies(crash) {
            crash.cleared = true;
            changed.push(record_of(digest, crash, now));
        }
    }
    update_hold(suspect, now);
    changed
}

/// Begins or ends to hold a request back after a change of its crashes; returns whether it begins.
fn update_hold(suspect: &mut CrashSuspect, now: Instant) -> bool {
    let is_held = suspect.counted().count() >= CRASHES_UNTIL_HELD;
    match (is_held, suspect.held_since) {
        (true, None) => {
            suspect.held_since = Some(now);
            true
        }
        (true, Some(_)) => false,
        (false, _) => {
            suspect.held_since = None;
            false
        }
    }
}
