//! Pace at which a node sends the parts of large frames.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the host's bandwidth for parts of large frames; the rest is for small ones.
const LARGE_FRAME_FRACTION: f64 = 0.85;
/// Bits of a megabit divided by the bits of a byte.
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// Spreads the parts of large frames, on all links of a node together, over the bandwidth of its
/// host.
///
/// Serves hosts whose bandwidth a few large answers use up. Without it each link fills the
/// buffers of its connection, and small frames wait behind all of them in the host's own queue.
#[derive(Debug)]
pub struct SendPacer {
    /// `None` for a host without a known limit.
    bytes_per_s: Option<f64>,
    free_at: Cell<Option<Instant>>,
    /// Bytes of large frames that wait on all links.
    waiting_bytes: Cell<usize>,
}

impl SendPacer {
    /// Creates the pacer of a host with this bandwidth in megabits per second, 0 if it is unknown.
    pub fn new(link_mbps: u32) -> Self {
        Self {
            bytes_per_s: paced_bytes_per_s(link_mbps),
            free_at: Cell::new(None),
            waiting_bytes: Cell::new(0),
        }
    }

    /// Reserves bandwidth for a part and returns the time at which it may be sent, which is after
    /// all parts reserved before.
    pub fn reserve(&self, bytes: usize, now: Instant) -> Instant {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return now;
        };
        let start = self.free_at.get().map_or(now, |free_at| free_at.max(now));
        let duration = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        self.free_at.set(Some(start + duration));
        start
    }

    /// Counts the bytes of a large frame that begins to wait.
    pub fn add_waiting(&self, bytes: usize) {
        self.waiting_bytes.set(self.waiting_bytes.get() + bytes);
    }

    /// Counts bytes that have been sent or dropped.
    pub fn remove_waiting(&self, bytes: usize) {
        let left = self.waiting_bytes.get().saturating_sub(bytes);
        self.waiting_bytes.set(left);
    }

    /// Time until the large frames that wait now have been sent, zero without a known bandwidth.
    pub fn large_frame_wait(&self) -> Duration {
        let waiting_bytes = self.waiting_bytes.get() as f64;
        self.bytes_per_s.map_or(Duration::ZERO, |bytes_per_s| {
            Duration::from_secs_f64(waiting_bytes / bytes_per_s)
        })
    }
}

/// Bytes per second for the parts of large frames at a host with this bandwidth in megabits per
/// second, `None` if the bandwidth is 0, which means unknown.
pub(crate) fn paced_bytes_per_s(link_mbps: u32) -> Option<f64> {
    let bandwidth = f64::from(link_mbps) * BYTES_PER_S_PER_MBPS * LARGE_FRAME_FRACTION;
    (bandwidth > 0.0).then_some(bandwidth)
}
