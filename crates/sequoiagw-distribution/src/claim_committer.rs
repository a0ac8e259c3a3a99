//! Group commit of claims on idempotency keys, at the data centre's holder.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_protocol::ClaimReply;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::Instant;

use crate::store_keys::ClaimValue;
use crate::StoreKeys;

/// Claims in one call: the store's limit on operations.
const BATCH_LIMIT: usize = 128;
/// Writes a second that all committers of the fleet together may make.
const FLEET_COMMITS_PER_S: u32 = 280;
/// Calls that a committer may save up, so that few claims needn't wait.
const SAVED_COMMITS: u32 = 8;
/// Claims that may wait; beyond, they fail at once.
const BACKLOG_LIMIT: usize = 4096;
/// Part of the window after which claims get a fresh lease.
const LEASE_RENEWALS: u32 = 4;

/// What the committer wants done.
#[derive(Clone, Debug)]
pub enum ClaimAction {
    /// Make a call; its result goes to [`ClaimCommitter::on_reply`].
    StoreCall(StoreRequest),
    /// Tell a node which claims stand.
    Reply(NodeId, ClaimReply),
}

/// Collects claims and writes them together.
///
/// Each key is created only if it is absent, so a late or repeated call changes nothing,
/// whoever makes it.
#[derive(Debug, Default)]
pub struct ClaimCommitter {
    waiting: Vec<(NodeId, KeyClaim)>,
    in_flight: Vec<(NodeId, KeyClaim)>,
    granting: bool,
    lease: Option<(LeaseId, Instant)>,
    window: Duration,
    /// Time in which this committer earns a call.
    interval: Duration,
    /// Time up to which the calls made are paid for.
    paid_until: Option<Instant>,
    actions: Vec<ClaimAction>,
}

impl ClaimCommitter {
    /// Takes the actions decided since the last time.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the time for which claims are kept.
    pub fn set_key_window(&mut self, window: Duration) {
        if window > self.window {
            self.lease = None;
        }
        self.window = window;
    }

    /// Sets the number of committers in the fleet, among whom the writes are shared.
    pub fn set_committers(&mut self, count: u32) {
        self.interval = Duration::from_secs(1) * count.max(1) / FLEET_COMMITS_PER_S;
    }

    /// Takes claims from a node.
    pub fn on_claims(&mut self, from: NodeId, claims: &[KeyClaim], now: Instant) {
        let room = BACKLOG_LIMIT.saturating_sub(self.waiting.len());
        let (taken, rest) = claims.split_at(claims.len().min(room));
        if !rest.is_empty() {
            let failed = rest.iter().map(|claim| claim.key.clone()).collect();
            let reply = ClaimReply {
                recorded: Vec::new(),
                failed,
            };
            self.actions.push(ClaimAction::Reply(from, reply));
        }
        self.waiting
            .extend(taken.iter().map(|claim| (from, claim.clone())));
        self.commit(now);
    }

    /// Takes the result of a call.
    pub fn on_reply(
        &mut self,
        request: &StoreRequest,
        reply: Result<StoreReply, StoreError>,
        now: Instant,
    ) {
        match request {
            StoreRequest::Grant { .. } => self.on_lease(&reply, now),
            StoreRequest::CreateEach { .. } => self.on_created(reply, now),
            _ => {}
        }
    }

    /// Acts on the time.
    pub fn on_tick(&mut self, now: Instant) {
        self.commit(now);
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let idle = self.in_flight.is_empty() && !self.granting;
        if self.waiting.is_empty() || !idle {
            return None;
        }
        self.paid_until.map(|paid| {
            paid.checked_sub(self.interval * SAVED_COMMITS)
                .unwrap_or(paid)
        })
    }

    /// Earliest time of the next call.
    fn next_commit(&self, now: Instant) -> Instant {
        self.paid_until
            .and_then(|paid| paid.checked_sub(self.interval * SAVED_COMMITS))
            .unwrap_or(now)
    }

    /// Pays for a call; calls not made are saved up to a limit.
    fn pay(&mut self, now: Instant) {
        let from = self.paid_until.map_or(now, |paid| paid.max(now));
        self.paid_until = Some(from + self.interval);
    }

    fn commit(&mut self, now: Instant) {
        let busy = !self.in_flight.is_empty() || self.granting || self.waiting.is_empty();
        if busy || self.next_commit(now) > now {
            return;
        }
        let Some((lease, _)) = self.lease.filter(|(_, renew)| now < *renew) else {
            self.granting = true;
            // Claims written late in the lease's use still live for the whole window.
            let ttl = self.window + self.window / LEASE_RENEWALS;
            let request = StoreRequest::Grant {
                ttl_s: ttl.as_secs().max(1),
            };
            self.actions.push(ClaimAction::StoreCall(request));
            return;
        };
        let count = self.waiting.len().min(BATCH_LIMIT);
        self.in_flight = self.waiting.drain(..count).collect();
        self.pay(now);
        let puts = self
            .in_flight
            .iter()
            .map(|(_, claim)| put_of(claim, lease))
            .collect();
        self.actions
            .push(ClaimAction::StoreCall(StoreRequest::CreateEach { puts }));
    }

    fn on_lease(&mut self, reply: &Result<StoreReply, StoreError>, now: Instant) {
        self.granting = false;
        if let Ok(StoreReply::Leased { lease, .. }) = reply {
            self.lease = Some((*lease, now + self.window / LEASE_RENEWALS));
            self.commit(now);
        } else {
            let failed = std::mem::take(&mut self.waiting);
            self.answer(failed, None);
        }
    }

    fn on_created(&mut self, reply: Result<StoreReply, StoreError>, now: Instant) {
        let claims = std::mem::take(&mut self.in_flight);
        match reply {
            Ok(StoreReply::Created { standing }) if standing.len() == claims.len() => {
                let standing = claims
                    .iter()
                    .zip(standing)
                    .map(|((_, claim), entry)| match entry {
                        Some(entry) => read_claim(&claim.key, &entry.value),
                        None => Some(claim.clone()),
                    })
                    .collect();
                self.answer(claims, Some(standing));
            }
            _ => {
                // The lease may have lapsed in an outage; the next call takes a fresh one.
                self.lease = None;
                self.answer(claims, None);
            }
        }
        self.commit(now);
    }

    fn answer(&mut self, claims: Vec<(NodeId, KeyClaim)>, standing: Option<Vec<Option<KeyClaim>>>) {
        let standing = standing.unwrap_or_else(|| vec![None; claims.len()]);
        let mut replies: BTreeMap<NodeId, ClaimReply> = BTreeMap::new();
        for ((node, claim), standing) in claims.into_iter().zip(standing) {
            let reply = replies.entry(node).or_default();
            match standing {
                Some(standing) => reply.recorded.push(standing),
                None => reply.failed.push(claim.key),
            }
        }
        for (node, reply) in replies {
            self.actions.push(ClaimAction::Reply(node, reply));
        }
    }
}

fn put_of(claim: &KeyClaim, lease: LeaseId) -> PutEntry {
    let value = ClaimValue {
        fingerprint: claim.fingerprint,
        node: claim.node,
        boot: claim.boot,
        nonce: claim.nonce,
    };
    PutEntry {
        key: StoreKeys::claim(&claim.key),
        value: serde_json::to_string(&value).unwrap_or_default(),
        lease: Some(lease),
    }
}

fn read_claim(key: &str, value: &str) -> Option<KeyClaim> {
    let value: ClaimValue = serde_json::from_str(value).ok()?;
    Some(KeyClaim {
        key: key.to_owned(),
        fingerprint: value.fingerprint,
        node: value.node,
        boot: value.boot,
        nonce: value.nonce,
    })
}
