//! Memory that a process may fill with bodies of messages, over all its connections.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;

/// Size up to which a body is small. Small bodies may use the whole budget.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Part of the budget that is kept for small bodies: one in this number.
const SMALL_BODY_PART: u64 = 8;

/// Bytes that all bodies together may have. Clones share what is used.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicU64>,
    refusals: Arc<AtomicU64>,
    limit: u64,
}

impl BufferBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            used: Arc::default(),
            refusals: Arc::default(),
            limit,
        }
    }

    /// Creates a budget that is never used up.
    pub fn unlimited() -> Self {
        Self::new(u64::MAX)
    }

    /// Bytes in use.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Number of times that there was no room for a body.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }

    /// Starts the reservation of a body, without any bytes.
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    fn try_add(&self, added: u64, body_bytes: u64) -> bool {
        let limit = if body_bytes <= SMALL_BODY_BYTES {
            self.limit
        } else {
            self.limit - self.limit / SMALL_BODY_PART
        };
        let add = |used: u64| used.checked_add(added).filter(|used| *used <= limit);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }
}

/// Part of a [`BufferBudget`] that one body uses. It is returned when this value is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: u64,
}

impl BufferReservation {
    /// Extends the reservation to a body of this many bytes; returns whether there was room. Without
    /// room the reservation stays as it is.
    pub fn try_grow(&mut self, body_bytes: u64) -> bool {
        let added = body_bytes.saturating_sub(self.bytes);
        let has_room = added == 0 || self.budget.try_add(added, body_bytes);
        if has_room {
            self.bytes += added;
        } else {
            self.budget.refusals.fetch_add(1, Ordering::Relaxed);
        }
        has_room
    }

    /// Attaches the reservation to the body's bytes: it ends with their last clone.
    pub fn attach(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBody {
    body: Bytes,
    _reservation: BufferReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
