//! A version of the operators' configuration, compiled for route look-ups.

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

use crate::workspace_table::WorkspaceTable;
use crate::ApiKeyDigest;
use crate::DeltaError;
use crate::KeyedWorkspace;
use crate::Workspace;

/// Service that receives a weighted share of a route's traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// A route from callers' requests to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshRoute {
    /// Name, unique within a version.
    pub name: String,
    /// Host that matching requests name, without a port.
    pub host: String,
    /// Prefix of the matching paths.
    pub prefix: String,
    /// Services that share the route's traffic; never empty.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank level, from the route's priority.
    pub level: RankLevel,
    /// Number of targets that one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head (request line and headers), in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which the whole request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// A route with the digest of its encoded record.
#[derive(Clone, Debug)]
struct DigestedRoute {
    route: Rc<MeshRoute>,
    digest: u64,
}

/// A configuration version: its routes by name, and indexed by host for look-ups, and its
/// workspaces.
#[derive(Clone, Debug)]
pub struct MeshVersion {
    /// Number; later versions have higher ones.
    pub number: u64,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Digest of number, limits, all routes and all workspaces.
    pub digest: u64,
    routes: BTreeMap<String, DigestedRoute>,
    hosts: HashMap<String, Vec<Rc<MeshRoute>>>,
    /// `None` if the version has no list of workspaces, so that keys mean nothing. An empty list is a list.
    workspaces: Option<Rc<WorkspaceTable>>,
}

impl MeshVersion {
    /// Compiles a version without a list of workspaces from its routes and limits.
    pub fn new(number: u64, routes: Vec<MeshRoute>, limits: CallerLimits) -> Self {
        let by_name = routes.into_iter().map(|route| {
            let name = route.name.clone();
            (name, DigestedRoute::new(route))
        });
        Self::compile(number, by_name.collect(), limits)
    }

    /// Sets the list of workspaces, which may be empty. Of several workspaces with the same name the last
    /// one counts; of several workspaces with the same key the first by name keeps it, and the others are
    /// logged.
    #[must_use]
    pub fn with_workspaces(self, workspaces: Vec<KeyedWorkspace>) -> Self {
        self.with_table(Some(WorkspaceTable::new(workspaces)))
    }

    fn with_table(mut self, workspaces: Option<WorkspaceTable>) -> Self {
        let digest_of = |table: Option<&WorkspaceTable>| table.map_or(0, WorkspaceTable::digest);
        self.digest ^= digest_of(self.workspaces.as_deref()) ^ digest_of(workspaces.as_ref());
        self.workspaces = workspaces.map(Rc::new);
        self
    }

    /// Compiles a version without a list of workspaces.
    fn compile(number: u64, routes: BTreeMap<String, DigestedRoute>, limits: CallerLimits) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<MeshRoute>>> = HashMap::new();
        let mut digest = xxh3_64_with_seed(&LimitsRecord::from(&limits).encode_to_vec(), number);
        for digested in routes.values() {
            digest ^= digested.digest;
            let host = digested.route.host.to_ascii_lowercase();
            hosts
                .entry(host)
                .or_default()
                .push(Rc::clone(&digested.route));
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
            workspaces: None,
        }
    }

    /// Delta that turns `base` into this version; without a base, the whole version.
    pub fn delta_from(&self, base: Option<&Self>) -> VersionDelta {
        let base_route = |name: &str| base.and_then(|base| base.routes.get(name));
        let changed = self.routes.iter().filter(|(name, digested)| {
            let before = base_route(name);
            before.is_none_or(|before| before.digest != digested.digest)
        });
        let removed = base.map(|base| {
            let names = base.routes.keys();
            let missing = names.filter(|name| !self.routes.contains_key(*name));
            missing.cloned().collect()
        });
        let mut delta = VersionDelta {
            base: base.map_or(0, |base| base.number),
            number: self.number,
            digest: self.digest,
            routes: changed
                .map(|(_, digested)| RouteRecord::from(&*digested.route))
                .collect(),
            removed: removed.unwrap_or_default(),
            limits: Some(LimitsRecord::from(&self.limits)),
            ..VersionDelta::default()
        };
        let base_workspaces = base.and_then(|base| base.workspaces.as_deref());
        let workspaces = self.workspaces.as_deref();
        WorkspaceTable::write_delta(base_workspaces, workspaces, &mut delta);
        delta
    }

    /// Builds the version that a delta produces from `base`; the base stays as it is. A whole
    /// version (a delta with base 0) needs no base.
    ///
    /// Errors: the delta applies to another version, or the digest of the result differs from
    /// the sender's.
    pub fn apply(base: Option<&Self>, delta: &VersionDelta) -> Result<Self, DeltaError> {
        let base = base.filter(|_| delta.base != 0);
        let base_number = base.map_or(0, |base| base.number);
        if delta.base != base_number {
            return Err(DeltaError::BaseMismatch {
                base: delta.base,
                active: base_number,
            });
        }
        let mut routes = base.map_or_else(BTreeMap::new, |base| base.routes.clone());
        for name in &delta.removed {
            routes.remove(name);
        }
        for record in &delta.routes {
            routes.insert(record.name.clone(), DigestedRoute::new(record.into()));
        }
        let limits = delta.limits.as_ref().map(CallerLimits::from);
        let base_workspaces = base.and_then(|base| base.workspaces.as_deref());
        let workspaces = WorkspaceTable::apply(base_workspaces, delta);
        let version = Self::compile(delta.number, routes, limits.unwrap_or_default());
        let version = version.with_table(workspaces);
        if version.digest != delta.digest {
            return Err(DeltaError::DigestMismatch {
                number: delta.number,
            });
        }
        Ok(version)
    }

    /// Route of a host with the longest prefix that matches a path. The port of `host` and the
    /// query of `path` are ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<MeshRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether the version has a list of workspaces, so that keys are checked. While it is empty, no key is
    /// known.
    pub fn checks_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Workspace with a name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.as_ref()?.find_by_name(name)
    }

    /// Workspace that holds a key.
    pub fn find_workspace(&self, key: &str) -> Option<&Rc<Workspace>> {
        let workspaces = self.workspaces.as_ref()?;
        workspaces.find(&ApiKeyDigest::of_key(key))
    }
}

impl DigestedRoute {
    fn new(route: MeshRoute) -> Self {
        let digest = xxh3_64(&RouteRecord::from(&route).encode_to_vec());
        let route = Rc::new(route);
        Self { route, digest }
    }
}
