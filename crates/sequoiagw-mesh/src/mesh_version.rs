//! A version of the operators' configuration, compiled for look-ups.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use sequoiagw_protocol::LimitsRecord;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RouteRecord;
use sequoiagw_protocol::VersionDelta;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::DeltaError;

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
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
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Urgency.
    pub level: RankLevel,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time in which a request's head has to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A route with the digest of its content.
#[derive(Clone, Debug)]
struct NamedRoute {
    route: Rc<MeshRoute>,
    digest: u64,
}

/// A version: routes by name, compiled for look-ups by host.
#[derive(Clone, Debug)]
pub struct MeshVersion {
    /// Number; later versions have higher ones.
    pub number: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Digest of number, limits and all routes.
    pub digest: u64,
    routes: BTreeMap<String, NamedRoute>,
    hosts: HashMap<String, Vec<Rc<MeshRoute>>>,
}

impl MeshVersion {
    /// Compiles a version.
    pub fn new(number: u64, routes: Vec<MeshRoute>, limits: CallerLimits) -> Self {
        let named = routes.into_iter().map(|route| {
            let name = route.name.clone();
            (name, NamedRoute::new(route))
        });
        Self::compile(number, named.collect(), limits)
    }

    fn compile(number: u64, routes: BTreeMap<String, NamedRoute>, limits: CallerLimits) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<MeshRoute>>> = HashMap::new();
        let mut digest = xxh3_64_with_seed(&LimitsRecord::from(&limits).encode_to_vec(), number);
        for named in routes.values() {
            digest ^= named.digest;
            let host = named.route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Rc::clone(&named.route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            number,
            limits,
            digest,
            routes,
            hosts,
        }
    }

    /// What leads from `base` to this version; without a base, the whole version.
    pub fn delta_from(&self, base: Option<&Self>) -> VersionDelta {
        let held = |name: &str| base.and_then(|base| base.routes.get(name));
        let changed = self.routes.iter().filter(|(name, named)| {
            let before = held(name);
            before.is_none_or(|before| before.digest != named.digest)
        });
        let removed = base.map(|base| {
            let names = base.routes.keys();
            let gone = names.filter(|name| !self.routes.contains_key(*name));
            gone.cloned().collect()
        });
        VersionDelta {
            base: base.map_or(0, |base| base.number),
            number: self.number,
            digest: self.digest,
            routes: changed
                .map(|(_, named)| RouteRecord::from(&*named.route))
                .collect(),
            removed: removed.unwrap_or_default(),
            limits: Some(LimitsRecord::from(&self.limits)),
        }
    }

    /// Builds the version that a delta leads to, beside the one in force.
    ///
    /// Errors: the delta applies to another version, or what it produces isn't what its
    /// sender had.
    pub fn apply(base: Option<&Self>, delta: &VersionDelta) -> Result<Self, DeltaError> {
        let base = base.filter(|_| delta.base != 0);
        let held = base.map_or(0, |base| base.number);
        if delta.base != held {
            return Err(DeltaError::BaseMismatch {
                base: delta.base,
                held,
            });
        }
        let mut routes = base.map_or_else(BTreeMap::new, |base| base.routes.clone());
        for name in &delta.removed {
            routes.remove(name);
        }
        for record in &delta.routes {
            routes.insert(record.name.clone(), NamedRoute::new(record.into()));
        }
        let limits = delta.limits.as_ref().map(CallerLimits::from);
        let version = Self::compile(delta.number, routes, limits.unwrap_or_default());
        if version.digest != delta.digest {
            return Err(DeltaError::DigestMismatch {
                number: delta.number,
            });
        }
        Ok(version)
    }

    /// The route with the longest matching prefix among those of a host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<MeshRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

impl NamedRoute {
    fn new(route: MeshRoute) -> Self {
        let digest = xxh3_64(&RouteRecord::from(&route).encode_to_vec());
        let route = Rc::new(route);
        Self { route, digest }
    }
}
