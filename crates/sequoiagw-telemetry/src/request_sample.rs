//! Which successful requests are logged.

use xxhash_rust::xxh3::xxh3_64;

/// One of so many successful requests is logged.
const SAMPLE_SIZE: u64 = 32;

/// Whether a successful request is logged. All nodes choose the same ones, by the request's
/// id, so that the lines of one request are found on all of them or on none.
pub fn is_sampled(request_id: &str) -> bool {
    xxh3_64(request_id.as_bytes()) % SAMPLE_SIZE == 0
}
