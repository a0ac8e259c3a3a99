//! Choice among a route's parts by weight.

use std::collections::HashMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::MeshRoute;

/// Step between the points of successive requests; multiples of the golden ratio spread
/// evenly over the unit interval whatever their number.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Deals each route's requests to its parts, so that even few requests keep to the weights.
///
/// Each request has a point in the unit interval, which the parts divide by their weights.
/// The first point is drawn: over many nodes with few requests each, the weights hold too.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    points: HashMap<String, f64>,
}

impl TrafficSplitter {
    /// Chooses the service of the next request.
    pub fn choose<'a>(&mut self, route: &'a MeshRoute, rng: &mut ChaCha8Rng) -> &'a str {
        if let [part] = route.services.as_slice() {
            return &part.service;
        }
        let point = match self.points.get_mut(&route.name) {
            Some(point) => {
                *point = (*point + GOLDEN_STEP).fract();
                *point
            }
            None => *self
                .points
                .entry(route.name.clone())
                .or_insert_with(|| rng.random()),
        };
        let total: f64 = route
            .services
            .iter()
            .map(|part| f64::from(part.weight))
            .sum();
        let mut left = point * total;
        for part in &route.services {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return &part.service;
            }
        }
        &route.services[route.services.len() - 1].service
    }

    /// Forgets the points; the next version may weigh differently.
    pub fn clear(&mut self) {
        self.points.clear();
    }
}
