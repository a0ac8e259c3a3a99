//! Weighted choice among the services of a route.

use std::collections::HashMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::MeshRoute;

/// Step between the points of successive requests. Multiples of the golden ratio, modulo 1, are
/// spread evenly over the unit interval for any number of requests.
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_894_9;

/// Distributes each route's requests among its services by weight, accurately even for few
/// requests.
///
/// Each request has a point in the unit interval, which the services divide in proportion to
/// their weights. The first point of a route is random, so that the weights also hold over many
/// nodes with few requests each.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    /// Point of the latest request of each route, by route name.
    points: HashMap<String, f64>,
}

impl TrafficSplitter {
    /// Chooses the service for the next request of a route.
    pub fn choose<'a>(&mut self, route: &'a MeshRoute, rng: &mut ChaCha8Rng) -> &'a str {
        if let [only] = route.services.as_slice() {
            return &only.service;
        }
        let point = match self.points.get_mut(&route.name) {
            Some(point) => {
                *point = (*point + GOLDEN_RATIO_STEP).fract();
                *point
            }
            None => *self
                .points
                .entry(route.name.clone())
                .or_insert_with(|| rng.random()),
        };
        let total_weight: f64 = route
            .services
            .iter()
            .map(|service| f64::from(service.weight))
            .sum();
        let mut remaining = point * total_weight;
        for service in &route.services {
            remaining -= f64::from(service.weight);
            if remaining < 0.0 {
                return &service.service;
            }
        }
        &route.services[route.services.len() - 1].service
    }

    /// Removes all points, since the routes of the next version may have other weights.
    pub fn clear(&mut self) {
        self.points.clear();
    }
}
