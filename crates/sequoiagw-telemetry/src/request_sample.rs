//! Sampling of successful requests for the log.

use xxhash_rust::xxh3::xxh3_64;

/// One in this number of successful requests is logged.
const SAMPLE_INTERVAL: u64 = 32;

/// Whether a successful request is logged. The choice depends only on the request's id, so that
/// either all nodes or none log the lines of a request.
pub fn is_sampled(request_id: &str) -> bool {
    xxh3_64(request_id.as_bytes()) % SAMPLE_INTERVAL == 0
}
