//! Moving averages of the size of answers, by route.

use std::collections::HashMap;

use sequoiagw_protocol::LARGE_FRAME_BYTES;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Moving averages of the size of answers, by route.
///
/// A large answer occupies its host's link, so its call depends on more than a slot.
#[derive(Clone, Debug, Default)]
pub struct AnswerSizes {
    /// Average size of each route's answers, in bytes.
    routes: HashMap<String, f64>,
}

impl AnswerSizes {
    /// Records the size of an answer in bytes.
    pub fn record(&mut self, route: &str, bytes: usize) {
        let bytes = bytes as f64;
        match self.routes.get_mut(route) {
            Some(mean) => *mean += (bytes - *mean) * SAMPLE_WEIGHT,
            None => {
                self.routes.insert(route.to_owned(), bytes);
            }
        }
    }

    /// Whether the answers of a route are sent in parts, behind those that wait for the link.
    pub fn is_large(&self, route: &str) -> bool {
        let mean = self.routes.get(route).copied();
        mean.is_some_and(|mean| mean > LARGE_FRAME_BYTES as f64)
    }
}
