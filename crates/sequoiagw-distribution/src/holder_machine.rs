//! The state machine of watch holders: few nodes of each data centre meet the store.

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

/// Life of a seat's lease in the store.
const SEAT_TTL: Duration = Duration::from_secs(10);
/// Time between two extensions of the lease.
const EXTEND_PERIOD: Duration = Duration::from_secs(3);
/// Time between two reads of the head: the bound on what a silent watch can hide.
const READ_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a vacant seat is left to nodes before this one in the order.
const TURN_TIME: Duration = Duration::from_secs(2);
/// First pause after a failed try; it doubles up to [`PAUSE_LIMIT`].
const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Longest pause after failed tries.
const PAUSE_LIMIT: Duration = Duration::from_secs(16);
/// Nodes of a data centre that may try for a seat.
const CANDIDATE_COUNT: usize = 4;

/// What the machine has to know of the members.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeatCandidacy {
    /// Seats that members in service hold, as bits.
    pub held_seats: u32,
    /// Place of this node among the members in service of its data centre, from 0.
    pub position: usize,
    /// Whether this node is in service and not leaving.
    pub eligible: bool,
}

/// Who this node is.
#[derive(Clone, Debug)]
pub struct HolderIdentity {
    /// Name.
    pub name: String,
    /// Address for inner links.
    pub address: NodeAddress,
    /// Data centre.
    pub data_centre: String,
}

/// What the holder wants done.
#[derive(Clone, Debug)]
pub enum HolderAction {
    /// Make a call; its result goes to [`HolderMachine::on_reply`].
    StoreCall(StoreRequest),
    /// Watch the head key from a revision on.
    Watch(u64),
    /// End the watch.
    Unwatch,
    /// Read the newest version; a newer one than held stands in the store.
    ReadVersion(u64),
    /// The seat changed, `None` when given up.
    SeatChanged(Option<u32>),
}

/// What the holder is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HolderPhase {
    /// No seat, and none is tried for.
    Idle,
    /// Waits for its turn at a vacant seat.
    Waiting(u32),
    /// Asked for a lease.
    Granting(u32),
    /// Asked for the seat.
    Claiming(u32, LeaseId, Instant),
    /// Holds the seat until the lease's end.
    Seated(u32, LeaseId, Instant),
}

/// State of a possible holder.
#[derive(Debug)]
pub struct HolderMachine {
    identity: HolderIdentity,
    candidacy: SeatCandidacy,
    phase: HolderPhase,
    wake: Option<Instant>,
    next_extend: Option<Instant>,
    next_read: Option<Instant>,
    in_flight: bool,
    failures: u32,
    watching: bool,
    head: u64,
    rng: ChaCha8Rng,
    actions: Vec<HolderAction>,
}

impl HolderMachine {
    /// Builds the machine of a node without a seat.
    pub fn new(identity: HolderIdentity, rng: ChaCha8Rng) -> Self {
        Self {
            identity,
            candidacy: SeatCandidacy::default(),
            phase: HolderPhase::Idle,
            wake: None,
            next_extend: None,
            next_read: None,
            in_flight: false,
            failures: 0,
            watching: false,
            head: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<HolderAction> {
        std::mem::take(&mut self.actions)
    }

    /// Seat held now.
    pub fn seat(&self) -> Option<u32> {
        match self.phase {
            HolderPhase::Seated(seat, _, _) => Some(seat),
            _ => None,
        }
    }

    /// Takes the members as they are now.
    pub fn set_candidacy(&mut self, candidacy: SeatCandidacy, now: Instant) {
        self.candidacy = candidacy;
        if !candidacy.eligible {
            self.resign(now);
        } else if self.phase == HolderPhase::Idle {
            self.look_for_seat(now);
        }
    }

    /// Gives the seat up, for a node that leaves.
    pub fn resign(&mut self, _now: Instant) {
        if let HolderPhase::Seated(_, lease, _) = self.phase {
            self.actions
                .push(HolderAction::StoreCall(StoreRequest::Revoke { lease }));
        }
        self.stand_down();
    }

    /// Takes the result of a call.
    pub fn on_reply(
        &mut self,
        request: &StoreRequest,
        reply: Result<StoreReply, StoreError>,
        asked: Instant,
        now: Instant,
    ) {
        match request {
            StoreRequest::Read { .. } => self.on_head(reply, now),
            StoreRequest::Revoke { .. } => {}
            _ => self.on_lease_reply(reply, asked, now),
        }
    }

    /// Takes a head value seen by the watch.
    pub fn on_watch_event(&mut self, value: &str) {
        self.take_head(value);
    }

    /// The watch ended; it is made anew after the next read.
    pub fn on_watch_lost(&mut self, now: Instant) {
        self.watching = false;
        if self.seat().is_some() {
            let pause = TURN_TIME.mul_f64(self.rng.random_range(0.2..1.0));
            self.next_read = Some(now + pause);
        }
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        if let HolderPhase::Seated(_, _, until) = self.phase {
            if now >= until {
                // The lease has lapsed; another node may sit here by now.
                self.stand_down();
                self.failures += 1;
                self.pause(now);
                return;
            }
        }
        if self.wake.is_some_and(|wake| now >= wake) {
            self.wake = None;
            self.on_wake(now);
        }
        if self.next_extend.is_some_and(|time| now >= time) {
            self.next_extend = Some(now + EXTEND_PERIOD);
            if let HolderPhase::Seated(_, lease, _) = self.phase {
                self.actions
                    .push(HolderAction::StoreCall(StoreRequest::KeepAlive { lease }));
            }
        }
        if self.next_read.is_some_and(|time| now >= time) && !self.in_flight {
            self.in_flight = true;
            self.next_read = Some(now + READ_PERIOD.mul_f64(self.rng.random_range(0.9..1.1)));
            let key = HEAD_KEY.to_owned();
            self.actions
                .push(HolderAction::StoreCall(StoreRequest::Read { key }));
        }
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let lapse = match self.phase {
            HolderPhase::Seated(_, _, until) => Some(until),
            _ => None,
        };
        let read = if self.in_flight { None } else { self.next_read };
        [lapse, self.wake, self.next_extend, read]
            .into_iter()
            .flatten()
            .min()
    }

    fn look_for_seat(&mut self, now: Instant) {
        let vacant =
            (0..SEATS_PER_DATA_CENTRE).find(|seat| self.candidacy.held_seats & (1 << seat) == 0);
        let (Some(seat), true) = (vacant, self.candidacy.position < CANDIDATE_COUNT) else {
            self.phase = HolderPhase::Idle;
            return;
        };
        // The first in the order tries at once, and each next one later, so that a
        // data centre doesn't come to the store together.
        let turn =
            TURN_TIME.mul_f64(self.candidacy.position as f64 + self.rng.random_range(0.0..0.2));
        self.phase = HolderPhase::Waiting(seat);
        self.wake = Some(now + turn);
    }

    fn on_wake(&mut self, now: Instant) {
        let HolderPhase::Waiting(_) = self.phase else {
            if self.phase == HolderPhase::Idle {
                self.look_for_seat(now);
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

    fn on_lease_reply(
        &mut self,
        reply: Result<StoreReply, StoreError>,
        asked: Instant,
        now: Instant,
    ) {
        match (self.phase, reply) {
            (HolderPhase::Granting(seat), Ok(StoreReply::Leased { lease, .. })) => {
                self.phase = HolderPhase::Claiming(seat, lease, asked + SEAT_TTL);
                let request = self.seat_request(seat, lease);
                self.actions.push(HolderAction::StoreCall(request));
            }
            (
                HolderPhase::Claiming(seat, lease, until),
                Ok(StoreReply::Committed { applied: true, .. }),
            ) => self.sit(seat, lease, until, now),
            (HolderPhase::Claiming(_, lease, _), _) => {
                self.actions
                    .push(HolderAction::StoreCall(StoreRequest::Revoke { lease }));
                self.stand_down();
                self.failures += 1;
                self.pause(now);
            }
            (HolderPhase::Granting(_), _) => {
                self.stand_down();
                self.failures += 1;
                self.pause(now);
            }
            (HolderPhase::Seated(seat, lease, _), Ok(StoreReply::Leased { lease: kept, .. }))
                if kept == lease =>
            {
                // Counted from the sending, so that this node gives up before the store does.
                self.phase = HolderPhase::Seated(seat, lease, asked + SEAT_TTL);
            }
            (HolderPhase::Seated(..), Err(StoreError::LeaseLapsed { .. })) => {
                self.stand_down();
                self.pause(now);
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

    fn sit(&mut self, seat: u32, lease: LeaseId, until: Instant, now: Instant) {
        self.phase = HolderPhase::Seated(seat, lease, until);
        self.failures = 0;
        self.next_extend = Some(now + EXTEND_PERIOD);
        self.next_read = Some(now);
        self.actions.push(HolderAction::SeatChanged(Some(seat)));
    }

    fn stand_down(&mut self) {
        if self.seat().is_some() {
            self.actions.push(HolderAction::SeatChanged(None));
        }
        if self.watching {
            self.actions.push(HolderAction::Unwatch);
        }
        self.watching = false;
        self.phase = HolderPhase::Idle;
        self.next_extend = None;
        self.next_read = None;
        self.in_flight = false;
    }

    fn pause(&mut self, now: Instant) {
        let most = (PAUSE_TIME * 2u32.pow(self.failures.min(4))).min(PAUSE_LIMIT);
        self.wake = Some(now + most.mul_f64(self.rng.random_range(0.5..1.0)));
    }

    fn on_head(&mut self, reply: Result<StoreReply, StoreError>, _now: Instant) {
        self.in_flight = false;
        let Ok(StoreReply::Entries { entries, revision }) = reply else {
            return;
        };
        if let Some(entry) = entries.first() {
            self.take_head(&entry.value);
        }
        if self.seat().is_some() && !self.watching {
            self.watching = true;
            self.actions.push(HolderAction::Watch(revision + 1));
        }
    }

    fn take_head(&mut self, value: &str) {
        let Ok(head) = serde_json::from_str::<HeadValue>(value) else {
            return;
        };
        if head.version > self.head {
            self.head = head.version;
            self.actions.push(HolderAction::ReadVersion(head.version));
        }
    }

    /// The read of a version failed: the next head brings it up again.
    pub fn on_version_read_failed(&mut self, held: u64) {
        self.head = held;
    }
}
