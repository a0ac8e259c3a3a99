//! Group commit of claims on idempotency keys, run by the watch holders of a data centre.

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

/// Largest number of claims in one store request, which is the store's limit on operations.
const MAX_CLAIMS_PER_REQUEST: usize = 128;
/// Store writes per second that all committers of the fleet may make together.
const FLEET_COMMITS_PER_S: u32 = 280;
/// Commits that an idle committer may make at once, so that a few claims needn't wait for
/// the rate limit.
const COMMIT_BURST: u32 = 8;
/// Largest number of claims waiting for a commit; further claims fail at once.
const MAX_WAITING_CLAIMS: usize = 4096;
/// Parts into which the key window is divided. New claims use the same lease during one part,
/// then a new lease is granted.
const LEASES_PER_WINDOW: u32 = 4;

/// An action that the caller of the committer must carry out.
#[derive(Clone, Debug)]
pub enum ClaimAction {
    /// Send a request to the store and pass its result to [`ClaimCommitter::on_reply`].
    StoreCall(StoreRequest),
    /// Send a node the outcome of its claims.
    Reply(NodeId, ClaimReply),
}

/// Collects claims and writes them to the store in batches.
///
/// Each key is created only if it is absent, so a delayed or repeated request has no effect,
/// whichever committer sends it.
#[derive(Debug, Default)]
pub struct ClaimCommitter {
    waiting_claims: Vec<(NodeId, KeyClaim)>,
    in_flight_claims: Vec<(NodeId, KeyClaim)>,
    awaiting_lease: bool,
    lease: Option<(LeaseId, Instant)>,
    key_window: Duration,
    /// Mean time between two commits of this committer, its share of the fleet's rate limit.
    commit_interval: Duration,
    /// Time up to which the commits made so far have used the rate limit; in the future right
    /// after a commit.
    charged_until: Option<Instant>,
    actions: Vec<ClaimAction>,
}

impl ClaimCommitter {
    /// Drains the actions queued since the previous call.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the time for which claims are kept. If it grows, the current lease is discarded
    /// because it would expire too early.
    pub fn set_key_window(&mut self, window: Duration) {
        if window > self.key_window {
            self.lease = None;
        }
        self.key_window = window;
    }

    /// Sets the number of committers in the fleet, which share its write rate equally.
    pub fn set_committers(&mut self, count: u32) {
        self.commit_interval = Duration::from_secs(1) * count.max(1) / FLEET_COMMITS_PER_S;
    }

    /// Queues claims received from a node and commits them as soon as possible.
    pub fn on_claims(&mut self, from: NodeId, claims: &[KeyClaim], now: Instant) {
        let capacity = MAX_WAITING_CLAIMS.saturating_sub(self.waiting_claims.len());
        let (accepted, rejected) = claims.split_at(claims.len().min(capacity));
        if !rejected.is_empty() {
            let failed = rejected.iter().map(|claim| claim.key.clone()).collect();
            let reply = ClaimReply {
                recorded: Vec::new(),
                failed,
            };
            self.actions.push(ClaimAction::Reply(from, reply));
        }
        self.waiting_claims
            .extend(accepted.iter().map(|claim| (from, claim.clone())));
        self.commit(now);
    }

    /// Handles the result of a store request.
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

    /// Commits waiting claims if the rate limit allows it.
    pub fn on_tick(&mut self, now: Instant) {
        self.commit(now);
    }

    /// Next time at which [`Self::on_tick`] must be called, `None` if nothing is waiting.
    pub fn next_wake(&self) -> Option<Instant> {
        let idle = self.in_flight_claims.is_empty() && !self.awaiting_lease;
        if self.waiting_claims.is_empty() || !idle {
            return None;
        }
        self.charged_until.map(|time| {
            time.checked_sub(self.commit_interval * COMMIT_BURST)
                .unwrap_or(time)
        })
    }

    /// Earliest time of the next commit.
    fn next_commit(&self, now: Instant) -> Instant {
        self.charged_until
            .and_then(|time| time.checked_sub(self.commit_interval * COMMIT_BURST))
            .unwrap_or(now)
    }

    /// Charges one commit to the rate limit. Unused commits accumulate up to `COMMIT_BURST`.
    fn charge_commit(&mut self, now: Instant) {
        let from = self.charged_until.map_or(now, |time| time.max(now));
        self.charged_until = Some(from + self.commit_interval);
    }

    fn commit(&mut self, now: Instant) {
        let busy = !self.in_flight_claims.is_empty()
            || self.awaiting_lease
            || self.waiting_claims.is_empty();
        if busy || self.next_commit(now) > now {
            return;
        }
        let Some((lease, _)) = self.lease.filter(|(_, renew)| now < *renew) else {
            self.awaiting_lease = true;
            // A claim written at the end of the lease's use must still live for the whole
            // key window.
            let ttl = self.key_window + self.key_window / LEASES_PER_WINDOW;
            let request = StoreRequest::Grant {
                ttl_s: ttl.as_secs().max(1),
            };
            self.actions.push(ClaimAction::StoreCall(request));
            return;
        };
        let count = self.waiting_claims.len().min(MAX_CLAIMS_PER_REQUEST);
        self.in_flight_claims = self.waiting_claims.drain(..count).collect();
        self.charge_commit(now);
        let puts = self
            .in_flight_claims
            .iter()
            .map(|(_, claim)| put_entry(claim, lease))
            .collect();
        self.actions
            .push(ClaimAction::StoreCall(StoreRequest::CreateEach { puts }));
    }

    fn on_lease(&mut self, reply: &Result<StoreReply, StoreError>, now: Instant) {
        self.awaiting_lease = false;
        if let Ok(StoreReply::Leased { lease, .. }) = reply {
            self.lease = Some((*lease, now + self.key_window / LEASES_PER_WINDOW));
            self.commit(now);
        } else {
            let failed = std::mem::take(&mut self.waiting_claims);
            self.send_replies(failed, None);
        }
    }

    fn on_created(&mut self, reply: Result<StoreReply, StoreError>, now: Instant) {
        let claims = std::mem::take(&mut self.in_flight_claims);
        match reply {
            Ok(StoreReply::Created { existing_entries })
                if existing_entries.len() == claims.len() =>
            {
                let recorded = claims
                    .iter()
                    .zip(existing_entries)
                    .map(|((_, claim), entry)| match entry {
                        Some(entry) => decode_claim(&claim.key, &entry.value),
                        None => Some(claim.clone()),
                    })
                    .collect();
                self.send_replies(claims, Some(recorded));
            }
            _ => {
                // The lease may have expired during an outage, so the next commit requests
                // a new one.
                self.lease = None;
                self.send_replies(claims, None);
            }
        }
        self.commit(now);
    }

    fn send_replies(
        &mut self,
        claims: Vec<(NodeId, KeyClaim)>,
        recorded: Option<Vec<Option<KeyClaim>>>,
    ) {
        let recorded = recorded.unwrap_or_else(|| vec![None; claims.len()]);
        let mut replies: BTreeMap<NodeId, ClaimReply> = BTreeMap::new();
        for ((node, claim), recorded) in claims.into_iter().zip(recorded) {
            let reply = replies.entry(node).or_default();
            match recorded {
                Some(recorded) => reply.recorded.push(recorded),
                None => reply.failed.push(claim.key),
            }
        }
        for (node, reply) in replies {
            self.actions.push(ClaimAction::Reply(node, reply));
        }
    }
}

fn put_entry(claim: &KeyClaim, lease: LeaseId) -> PutEntry {
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

fn decode_claim(key: &str, value: &str) -> Option<KeyClaim> {
    let value: ClaimValue = serde_json::from_str(value).ok()?;
    Some(KeyClaim {
        key: key.to_owned(),
        fingerprint: value.fingerprint,
        node: value.node,
        boot: value.boot,
        nonce: value.nonce,
    })
}
