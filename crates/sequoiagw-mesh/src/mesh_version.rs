//! A version of the operators' configuration, compiled for look-ups.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_protocol::RankLevel;

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutePart {
    /// Service.
    pub service: String,
    /// Weight among the route's parts.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshRoute {
    /// Name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Beginning of the paths that it takes.
    pub prefix: String,
    /// Services with their weights; never empty.
    pub parts: Vec<RoutePart>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub aim: Duration,
    /// Urgency.
    pub level: RankLevel,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Time in which a request's head has to arrive.
    pub head_time: Duration,
    /// Time for which a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A version with its routes by host.
#[derive(Clone, Debug)]
pub struct MeshVersion {
    /// Number; later versions have higher ones.
    pub number: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The version as the operator wrote it, to be passed on.
    pub source: Bytes,
    hosts: HashMap<String, Vec<Rc<MeshRoute>>>,
}

impl MeshVersion {
    /// Compiles a version.
    pub fn new(number: u64, routes: Vec<MeshRoute>, limits: CallerLimits, source: Bytes) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<MeshRoute>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            number,
            limits,
            source,
            hosts,
        }
    }

    /// The route with the longest matching prefix among those of a host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<MeshRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
