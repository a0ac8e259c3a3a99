//! Pace at which a node lets others send it large dispatches.

use std::collections::VecDeque;
use std::time::Duration;

use sequoiagw_http::BufferBudget;
use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::TransferGrant;
use sequoiagw_protocol::TransferOffer;
use sequoiagw_protocol::LARGE_FRAME_BYTES;
use tokio::time::Instant;

use crate::part_joiner::JoinError;
use crate::part_joiner::MAX_JOINED_BYTES;
use crate::send_pacer::paced_bytes_per_s;
use crate::PartJoiner;

/// Largest number of parts that are granted and have not been received, over all links.
const MAX_OPEN_GRANTS: usize = 4;
/// Time after which a granted part that has not been received no longer counts as open. Until it
/// arrives its transfer gets no further grants, so that a paused sender doesn't stop the others.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// Grants the parts of large dispatches, over all links of a node together, in the order of their
/// offers and within the bandwidth of its host.
///
/// Serves hosts to which many others send at once. Each sender paces its own link only, and without
/// grants the small frames to this host wait behind all their parts.
#[derive(Debug)]
pub struct ReceivePacer {
    /// `None` for a host without a known limit.
    bytes_per_s: Option<f64>,
    budget: BufferBudget,
    free_at: Option<Instant>,
    offers: VecDeque<AcceptedOffer>,
}

#[derive(Debug)]
struct AcceptedOffer {
    link: u64,
    transfer: u64,
    bytes: usize,
    granted_bytes: usize,
    received_bytes: usize,
    /// Times of the grants of parts that have not been received, oldest first.
    open_grants: VecDeque<Instant>,
    joiner: PartJoiner,
}

impl ReceivePacer {
    /// Creates the pacer of a host with this bandwidth in megabits per second, 0 if it is unknown.
    /// The parts use a part of `budget`.
    pub fn new(link_mbps: u32, budget: BufferBudget) -> Self {
        Self {
            bytes_per_s: paced_bytes_per_s(link_mbps),
            budget,
            free_at: None,
            offers: VecDeque::new(),
        }
    }

    /// Accepts an offer that arrived on a link, or returns its refusal. An offer of no bytes
    /// withdraws an earlier one.
    pub fn on_offer(
        &mut self,
        link: u64,
        offer: &TransferOffer,
        now: Instant,
    ) -> Option<TransferGrant> {
        if offer.bytes == 0 {
            self.offers.retain(|other| !other.is(link, offer.transfer));
            return None;
        }
        let due = Duration::from_millis(u64::from(offer.due_ms));
        let bytes = usize::try_from(offer.bytes).unwrap_or(usize::MAX);
        if bytes > MAX_JOINED_BYTES || self.backlog_wait(now) > due {
            return Some(refusal(offer.transfer));
        }
        self.offers.push_back(AcceptedOffer {
            link,
            transfer: offer.transfer,
            bytes,
            granted_bytes: 0,
            received_bytes: 0,
            open_grants: VecDeque::new(),
            joiner: PartJoiner::for_transfer(offer.transfer, self.budget.clone()),
        });
        None
    }

    /// Takes a part that arrived on a link: `None` if its transfer has no accepted offer, else the
    /// joined frame if the part is the last one.
    ///
    /// Errors: the parts exceed the offer, or don't make a frame.
    pub fn on_part(
        &mut self,
        link: u64,
        part: &FramePart,
    ) -> Option<Result<Option<PeerFrame>, JoinError>> {
        let index = self
            .offers
            .iter()
            .position(|offer| offer.is(link, part.transfer))?;
        let offer = &mut self.offers[index];
        offer.received_bytes += part.bytes.len();
        offer.open_grants.pop_front();
        if offer.received_bytes > offer.granted_bytes {
            return Some(Err(JoinError::TooLong));
        }
        let joined = offer.joiner.add_part(part);
        if part.last {
            self.offers.remove(index);
        }
        Some(joined)
    }

    /// Drops the offers of a link that has ended.
    pub fn on_link_ended(&mut self, link: u64) {
        self.offers.retain(|offer| offer.link != link);
    }

    /// Grants the parts that may be sent now, with the links of their offers. An offer whose frame
    /// finds no room in memory is refused instead.
    pub fn take_grants(&mut self, now: Instant) -> Vec<(u64, TransferGrant)> {
        let mut grants = Vec::new();
        while self.open_grants(now) < MAX_OPEN_GRANTS && self.free_at.is_none_or(|time| time <= now)
        {
            let Some(index) = self.offers.iter().position(|offer| offer.may_grant(now)) else {
                break;
            };
            let offer = &mut self.offers[index];
            if offer.granted_bytes == 0 && !offer.joiner.reserve(offer.bytes) {
                grants.push((offer.link, refusal(offer.transfer)));
                self.offers.remove(index);
                continue;
            }
            let part_bytes = (offer.bytes - offer.granted_bytes).min(LARGE_FRAME_BYTES);
            offer.granted_bytes += part_bytes;
            offer.open_grants.push_back(now);
            grants.push((
                offer.link,
                TransferGrant {
                    transfer: offer.transfer,
                    bytes: part_bytes as u64,
                    refused: false,
                },
            ));
            self.free_at = self
                .bytes_per_s
                .map(|rate| now + Duration::from_secs_f64(part_bytes as f64 / rate));
        }
        grants
    }

    /// Time at which [`Self::take_grants`] has something to do, `None` if it has to wait for a part
    /// or an offer.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        if !self.offers.iter().any(|offer| offer.may_grant(now)) {
            return None;
        }
        if self.open_grants(now) < MAX_OPEN_GRANTS {
            return Some(self.free_at.unwrap_or(now).max(now));
        }
        let open_grants = self.offers.iter().flat_map(|offer| &offer.open_grants);
        open_grants
            .map(|granted_at| *granted_at + GRANT_TIMEOUT)
            .filter(|lapse| *lapse > now)
            .min()
    }

    /// Time until the bytes that are offered now have been received, zero without a known
    /// bandwidth. Offers with an overdue part aren't counted: they get no grants and delay nobody,
    /// while the link of a paused sender may stay open for a long time.
    pub fn backlog_wait(&self, now: Instant) -> Duration {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return Duration::ZERO;
        };
        let offers = self.offers.iter().filter(|offer| !offer.is_overdue(now));
        let bytes: usize = offers
            .map(|offer| offer.bytes.saturating_sub(offer.received_bytes))
            .sum();
        Duration::from_secs_f64(bytes as f64 / bytes_per_s)
    }

    fn open_grants(&self, now: Instant) -> usize {
        let open_grants = self.offers.iter().flat_map(|offer| &offer.open_grants);
        open_grants
            .filter(|granted_at| now < **granted_at + GRANT_TIMEOUT)
            .count()
    }
}

impl AcceptedOffer {
    fn is(&self, link: u64, transfer: u64) -> bool {
        self.link == link && self.transfer == transfer
    }

    /// Whether a part is left to grant, and no granted one is overdue.
    fn may_grant(&self, now: Instant) -> bool {
        self.granted_bytes < self.bytes && !self.is_overdue(now)
    }

    /// Whether a granted part hasn't been received in time.
    fn is_overdue(&self, now: Instant) -> bool {
        let oldest = self.open_grants.front();
        oldest.is_some_and(|granted_at| now >= *granted_at + GRANT_TIMEOUT)
    }
}

fn refusal(transfer: u64) -> TransferGrant {
    TransferGrant {
        transfer,
        bytes: 0,
        refused: true,
    }
}
