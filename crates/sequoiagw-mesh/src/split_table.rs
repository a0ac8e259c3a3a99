//! Choice among a route's parts by weight.

use std::collections::HashMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::MeshRoute;

/// Deals each route's requests to its parts, so that even few requests keep to the weights.
#[derive(Debug, Default)]
pub struct SplitTable {
    credits: HashMap<String, Vec<f64>>,
}

impl SplitTable {
    /// Chooses the service of the next request. Each part earns its weight with every request
    /// and pays for one when it is chosen; the first credits are drawn, so that many nodes
    /// don't start with the same part.
    pub fn choose<'a>(&mut self, route: &'a MeshRoute, rng: &mut ChaCha8Rng) -> &'a str {
        if let [part] = route.parts.as_slice() {
            return &part.service;
        }
        let total: f64 = route.parts.iter().map(|part| f64::from(part.weight)).sum();
        let shares = route
            .parts
            .iter()
            .map(|part| f64::from(part.weight) / total.max(1.0));
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != route.parts.len() {
            *credits = shares
                .clone()
                .map(|share| share * rng.random::<f64>())
                .collect();
        }
        let mut chosen = 0;
        for (place, share) in shares.enumerate() {
            credits[place] += share;
            if credits[place] > credits[chosen] {
                chosen = place;
            }
        }
        credits[chosen] -= 1.0;
        &route.parts[chosen].service
    }

    /// Forgets the credits; the next version may weigh differently.
    pub fn clear(&mut self) {
        self.credits.clear();
    }
}
