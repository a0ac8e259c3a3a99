//! State machine for watch holders, the few nodes per data centre that watch the store.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_store::KeyCondition;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::Instant;

use crate::store_keys::HeadValue;
use crate::store_keys::SeatValue;
use crate::StoreKeys;
use crate::HEAD_KEY;
use crate::SEATS_PER_DATA_CENTRE;

/// Time to live of a seat's lease in the store.
const SEAT_TTL: Duration = Duration::from_secs(10);
/// Interval between two keep-alives of the seat's lease.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two reads of the head key. It bounds the delay of a change that an
/// unresponsive watch doesn't report.
const HEAD_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Difference between the delays of successive candidates for a vacant seat, apart from their
/// random part; also the longest delay of the head read after a lost watch.
const CANDIDATE_DELAY: Duration = Duration::from_secs(2);
/// Base of the delay after failed attempts; it doubles with each failure up to
/// [`BACKOFF_LIMIT`].
const BACKOFF_BASE: Duration = Duration::from_secs(2);
/// Longest delay after failed attempts.
const BACKOFF_LIMIT: Duration = Duration::from_secs(16);
/// Number of nodes per data centre that may try for a seat.
const CANDIDATE_COUNT: usize = 4;

/// Facts about the members that decide whether this node tries for a seat.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeatCandidacy {
    /// Bit set of the seats held by other reachable members of the data centre.
    pub held_seats: u32,
    /// Position of this node among the members in service of its data centre, from 0.
    pub position: usize,
    /// Whether this node is in service and not leaving.
    pub eligible: bool,
}

/// Identity under which this node claims a seat.
#[derive(Clone, Debug)]
pub struct HolderIdentity {
    /// Node name.
    pub name: String,
    /// Address for links between nodes.
    pub address: NodeAddress,
    /// Data centre whose seats the node tries for.
    pub data_centre: String,
}

/// An action that the caller of the holder machine must carry out.
#[derive(Clone, Debug)]
pub enum HolderAction {
    /// Send a request to the store and pass its result to [`HolderMachine::on_reply`].
    StoreCall(StoreRequest),
    /// Watch the head key from this store revision on.
    Watch(u64),
    /// Stop the watch.
    Unwatch,
    /// Read this version from the store; it is newer than the last one seen.
    ReadVersion(u64),
    /// The seat of this node changed; `None` if it holds none now.
    SeatChanged(Option<u32>),
}

/// Progress towards holding a seat.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HolderPhase {
    /// Holds no seat; a new attempt is scheduled only after a failed one.
    Idle,
    /// Waits before trying for this vacant seat.
    Waiting(u32),
    /// Requested a lease for this seat.
    Granting(u32),
    /// Requested the seat with a lease that expires at this time.
    Claiming(u32, LeaseId, Instant),
    /// Holds the seat with a lease that expires at this time.
    Seated(u32, LeaseId, Instant),
}

/// Watch holder state of one node, with or without a seat.
#[derive(Debug)]
pub struct HolderMachine {
    identity: HolderIdentity,
    candidacy: SeatCandidacy,
    phase: HolderPhase,
    next_attempt: Option<Instant>,
    next_keep_alive: Option<Instant>,
    next_head_read: Option<Instant>,
    head_read_in_flight: bool,
    failures: u32,
    watching: bool,
    newest_version: u64,
    rng: ChaCha8Rng,
    actions: Vec<HolderAction>,
}

impl HolderMachine {
    /// Creates the state machine of a node without a seat.
    pub fn new(identity: HolderIdentity, rng: ChaCha8Rng) -> Self {
        Self {
            identity,
            candidacy: SeatCandidacy::default(),
            phase: HolderPhase::Idle,
            next_attempt: None,
            next_keep_alive: None,
            next_head_read: None,
            head_read_in_flight: false,
            failures: 0,
            watching: false,
            newest_version: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// Drains the actions queued since the previous call.
    pub fn take_actions(&mut self) -> Vec<HolderAction> {
        std::mem::take(&mut self.actions)
    }

    /// Seat that this node holds, `None` if it holds none.
    pub fn seat(&self) -> Option<u32> {
        match self.phase {
            HolderPhase::Seated(seat, _, _) => Some(seat),
            _ => None,
        }
    }

    /// Updates the candidacy after a change of members. A node that is no longer eligible
    /// resigns.
    pub fn set_candidacy(&mut self, candidacy: SeatCandidacy, now: Instant) {
        self.candidacy = candidacy;
        if !candidacy.eligible {
            self.resign(now);
        } else if self.phase == HolderPhase::Idle {
            self.schedule_seat_claim(now);
        }
    }

    /// Releases the seat, as when the node leaves.
    pub fn resign(&mut self, _now: Instant) {
        if let HolderPhase::Seated(_, lease, _) = self.phase {
            self.actions
                .push(HolderAction::StoreCall(StoreRequest::Revoke { lease }));
        }
        self.reset_to_idle();
    }

    /// Handles the result of a store request that was sent at `sent_at`.
    pub fn on_reply(
        &mut self,
        request: &StoreRequest,
        reply: Result<StoreReply, StoreError>,
        sent_at: Instant,
        now: Instant,
    ) {
        match request {
            StoreRequest::Read { .. } => self.on_head_read(reply, now),
            StoreRequest::Revoke { .. } => {}
            _ => self.on_seat_reply(reply, sent_at, now),
        }
    }

    /// Handles a new value of the head key reported by the watch.
    pub fn on_watch_event(&mut self, value: &str) {
        self.apply_head(value);
    }

    /// Handles the end of the watch; it is restarted after the next read of the head key.
    pub fn on_watch_lost(&mut self, now: Instant) {
        self.watching = false;
        if self.seat().is_some() {
            let delay = CANDIDATE_DELAY.mul_f64(self.rng.random_range(0.2..1.0));
            self.next_head_read = Some(now + delay);
        }
    }

    /// Runs all timers that are due.
    pub fn on_tick(&mut self, now: Instant) {
        if let HolderPhase::Seated(_, _, expires_at) = self.phase {
            if now >= expires_at {
                // The lease has expired, and another node may have taken the seat.
                self.reset_to_idle();
                self.failures += 1;
                self.back_off(now);
                return;
            }
        }
        if self.next_attempt.is_some_and(|time| now >= time) {
            self.next_attempt = None;
            self.on_attempt_due(now);
        }
        if self.next_keep_alive.is_some_and(|time| now >= time) {
            self.next_keep_alive = Some(now + KEEP_ALIVE_INTERVAL);
            if let HolderPhase::Seated(_, lease, _) = self.phase {
                self.actions
                    .push(HolderAction::StoreCall(StoreRequest::KeepAlive { lease }));
            }
        }
        if self.next_head_read.is_some_and(|time| now >= time) && !self.head_read_in_flight {
            self.head_read_in_flight = true;
            self.next_head_read =
                Some(now + HEAD_READ_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1)));
            let key = HEAD_KEY.to_owned();
            self.actions
                .push(HolderAction::StoreCall(StoreRequest::Read { key }));
        }
    }

    /// Next time at which [`Self::on_tick`] must be called, `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        let lease_expiry = match self.phase {
            HolderPhase::Seated(_, _, expires_at) => Some(expires_at),
            _ => None,
        };
        let read = if self.head_read_in_flight {
            None
        } else {
            self.next_head_read
        };
        [lease_expiry, self.next_attempt, self.next_keep_alive, read]
            .into_iter()
            .flatten()
            .min()
    }

    fn schedule_seat_claim(&mut self, now: Instant) {
        let vacant =
            (0..SEATS_PER_DATA_CENTRE).find(|seat| self.candidacy.held_seats & (1 << seat) == 0);
        let (Some(seat), true) = (vacant, self.candidacy.position < CANDIDATE_COUNT) else {
            self.phase = HolderPhase::Idle;
            return;
        };
        // The first candidate tries at once and each next one later, so that the nodes of a
        // data centre don't all send requests to the store at the same time.
        let delay = CANDIDATE_DELAY
            .mul_f64(self.candidacy.position as f64 + self.rng.random_range(0.0..0.2));
        self.phase = HolderPhase::Waiting(seat);
        self.next_attempt = Some(now + delay);
    }

    fn on_attempt_due(&mut self, now: Instant) {
        let HolderPhase::Waiting(_) = self.phase else {
            if self.phase == HolderPhase::Idle {
                self.schedule_seat_claim(now);
            }
            return;
        };
        let vacant =
            (0..SEATS_PER_DATA_CENTRE).find(|seat| self.candidacy.held_seats & (1 << seat) == 0);
        let (Some(seat), true) = (vacant, self.candidacy.eligible) else {
            self.phase = HolderPhase::Idle;
            return;
        };
        self.phase = HolderPhase::Granting(seat);
        let ttl_s = SEAT_TTL.as_secs();
        self.actions
            .push(HolderAction::StoreCall(StoreRequest::Grant { ttl_s }));
    }

    fn on_seat_reply(
        &mut self,
        reply: Result<StoreReply, StoreError>,
        sent_at: Instant,
        now: Instant,
    ) {
        match (self.phase, reply) {
            (HolderPhase::Granting(seat), Ok(StoreReply::Leased { lease, .. })) => {
                self.phase = HolderPhase::Claiming(seat, lease, sent_at + SEAT_TTL);
                let request = self.seat_request(seat, lease);
                self.actions.push(HolderAction::StoreCall(request));
            }
            (
                HolderPhase::Claiming(seat, lease, expires_at),
                Ok(StoreReply::Committed { applied: true, .. }),
            ) => self.take_seat(seat, lease, expires_at, now),
            (HolderPhase::Claiming(_, lease, _), _) => {
                self.actions
                    .push(HolderAction::StoreCall(StoreRequest::Revoke { lease }));
                self.reset_to_idle();
                self.failures += 1;
                self.back_off(now);
            }
            (HolderPhase::Granting(_), _) => {
                self.reset_to_idle();
                self.failures += 1;
                self.back_off(now);
            }
            (
                HolderPhase::Seated(seat, lease, _),
                Ok(StoreReply::Leased {
                    lease: extended, ..
                }),
            ) if extended == lease => {
                // The expiry counts from the sending of the request, so that this node gives
                // up the seat before the lease expires in the store.
                self.phase = HolderPhase::Seated(seat, lease, sent_at + SEAT_TTL);
            }
            (HolderPhase::Seated(..), Err(StoreError::LeaseLapsed { .. })) => {
                self.reset_to_idle();
                self.back_off(now);
            }
            _ => {}
        }
    }

    fn seat_request(&self, seat: u32, lease: LeaseId) -> StoreRequest {
        let key = StoreKeys::holder(&self.identity.data_centre, seat);
        let value = SeatValue {
            name: self.identity.name.clone(),
            address: self.identity.address.to_string(),
        };
        let value = serde_json::to_string(&value).unwrap_or_default();
        StoreRequest::Commit {
            conditions: vec![KeyCondition::Absent(key.clone())],
            puts: vec![PutEntry {
                key,
                value,
                lease: Some(lease),
            }],
            deletes: Vec::new(),
        }
    }

    fn take_seat(&mut self, seat: u32, lease: LeaseId, expires_at: Instant, now: Instant) {
        self.phase = HolderPhase::Seated(seat, lease, expires_at);
        self.failures = 0;
        self.next_keep_alive = Some(now + KEEP_ALIVE_INTERVAL);
        self.next_head_read = Some(now);
        self.actions.push(HolderAction::SeatChanged(Some(seat)));
    }

    fn reset_to_idle(&mut self) {
        if self.seat().is_some() {
            self.actions.push(HolderAction::SeatChanged(None));
        }
        if self.watching {
            self.actions.push(HolderAction::Unwatch);
        }
        self.watching = false;
        self.phase = HolderPhase::Idle;
        self.next_keep_alive = None;
        self.next_head_read = None;
        self.head_read_in_flight = false;
    }

    fn back_off(&mut self, now: Instant) {
        let max_delay = (BACKOFF_BASE * 2u32.pow(self.failures.min(4))).min(BACKOFF_LIMIT);
        self.next_attempt = Some(now + max_delay.mul_f64(self.rng.random_range(0.5..1.0)));
    }

    fn on_head_read(&mut self, reply: Result<StoreReply, StoreError>, _now: Instant) {
        self.head_read_in_flight = false;
        let Ok(StoreReply::Entries { entries, revision }) = reply else {
            return;
        };
        if let Some(entry) = entries.first() {
            self.apply_head(&entry.value);
        }
        if self.seat().is_some() && !self.watching {
            self.watching = true;
            self.actions.push(HolderAction::Watch(revision + 1));
        }
    }

    fn apply_head(&mut self, value: &str) {
        let Ok(head) = serde_json::from_str::<HeadValue>(value) else {
            return;
        };
        if head.version > self.newest_version {
            self.newest_version = head.version;
            self.actions.push(HolderAction::ReadVersion(head.version));
        }
    }

    /// Handles a failed read of a version. The newest known version falls back to `held`, so
    /// that the next head value triggers the read again.
    pub fn on_version_read_failed(&mut self, held: u64) {
        self.newest_version = held;
    }
}
