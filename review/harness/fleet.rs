//! A small deployment: a store, and machines with a node and a target each.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::send;
use crate::client::Attempt;
use crate::client::HOST;
use crate::json::int;
use crate::json::map;
use crate::json::text;
use crate::json::Json;
use crate::node::machine_addresses;
use crate::node::Node;
use crate::node::Settings;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;

/// Time within which all nodes of a new deployment serve.
const START_LIMIT: Duration = Duration::from_secs(25);

/// Service and zone of a machine.
#[derive(Clone, Copy)]
pub struct Place {
    pub service: &'static str,
    pub zone: &'static str,
}

/// A route of the configuration.
#[derive(Clone, Copy)]
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
}

/// The deployment. Its processes end when it is dropped.
pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub folder: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until each node is ready and serves each route.
    pub fn start(places: &[Place], routes: &[Route], record: &Record) -> std::io::Result<Self> {
        Self::start_behind(places, routes, record, |store, _| Ok(store))
    }

    /// As [`Self::start`], with something between the nodes and the store: `front` gets the store's
    /// address and one for itself, and returns the address that the nodes use.
    pub fn start_behind<Front>(
        places: &[Place],
        routes: &[Route],
        record: &Record,
        front: Front,
    ) -> std::io::Result<Self>
    where
        Front: FnOnce(SocketAddr, IpAddr) -> std::io::Result<SocketAddr>,
    {
        let folder = std::env::temp_dir().join(format!("sequoiagw-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let addresses = machine_addresses(places.len() as u8 + 2);
        let store = Store::start(addresses[places.len()])?;
        store.put("op/config", &config(7, routes));
        let store_address = front(store.address, addresses[places.len() + 1])?;
        let mut zones: Vec<String> = places.iter().map(|place| place.zone.to_owned()).collect();
        zones.sort();
        zones.dedup();
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            targets: Vec::new(),
            folder,
        };
        for (index, place) in places.iter().enumerate() {
            let settings = Settings {
                name: format!("sidecar-{}-{}", place.zone, index + 1),
                zone: place.zone.to_owned(),
                zones: zones.clone(),
                service: place.service.to_owned(),
                ip: addresses[index],
                store: store_address,
                bootstrap: true,
            };
            let target = Target::start(
                place.service,
                place.zone,
                &format!("i-{:08x}", 0x7f3a_91c2_u32 + index as u32),
                settings.target(),
                settings.control_plane(),
                record,
            )?;
            fleet.targets.push(target);
            fleet
                .nodes
                .push(Node::start(settings, &fleet.folder, record)?);
        }
        for node in &mut fleet.nodes {
            // Only the first start of the whole system has `bootstrap`.
            node.settings.bootstrap = false;
        }
        let ends = Instant::now() + START_LIMIT;
        for node in 0..places.len() {
            for route in routes {
                while !fleet.serves(node, route, record) {
                    if Instant::now() > ends {
                        return Err(std::io::Error::other("the deployment doesn't serve"));
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }
        record.line("all nodes serve all routes");
        Ok(fleet)
    }

    fn serves(&self, node: usize, route: &Route, record: &Record) -> bool {
        let node = &self.nodes[node];
        if !node.is_ready() {
            return false;
        }
        let attempt = Attempt {
            method: if route.kind == "idempotent" {
                "GET"
            } else {
                "PUT"
            },
            path: format!("/{}/20", route.name),
            id: new_id("first"),
            budget: Duration::from_millis(route.timeout_ms),
            body: Vec::new(),
        };
        send(node.settings.outbound(), &attempt, record).status() == 200
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Id of an attempt, unlike all before.
pub fn new_id(kind: &str) -> String {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;
    static LAST: AtomicU64 = AtomicU64::new(0);
    format!("{kind}-{}", LAST.fetch_add(1, Ordering::SeqCst) + 1)
}

/// Configuration as the operator writes it.
pub fn config(version: u64, routes: &[Route]) -> String {
    let service_names: std::collections::BTreeSet<&str> =
        routes.iter().map(|route| route.service).collect();
    let services = service_names.into_iter().map(|name| {
        map([
            ("name", text(name)),
            ("healthPath", text("/health")),
            ("maxConnections", int(110)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
        ])
    });
    let routes = routes.iter().map(|route| {
        map([
            ("name", text(&format!("r-{}", route.name))),
            ("host", text(HOST)),
            ("prefix", text(&format!("/{}/", route.name))),
            ("routeKind", text(route.kind)),
            ("timeoutMs", int(route.timeout_ms)),
            ("aimMs", int(route.aim_ms)),
            ("priority", int(1)),
            ("service", text(route.service)),
            ("maxAttempts", int(2)),
        ])
    });
    let limits = map([
        ("maxHeaderBytes", int(16_384)),
        ("maxBodyBytes", int(67_108_864)),
        ("headerTimeoutMs", int(3000)),
        ("idleTimeoutMs", int(15_000)),
    ]);
    let whole = map([
        ("version", text(&format!("r{version}"))),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        ("limits", limits),
    ]);
    whole.encode()
}
