//! Stand-in for the platform's store: keys, ranges, watches, transactions and leases.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::http::{Connection, Message};
use super::json::{base64, quote, Json};
use super::record;

/// How the store serves the machine of one port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Access {
    /// Executes and answers all calls.
    Serving = 0,
    /// Answers all calls with 503 without executing them.
    Refusing = 1,
    /// Neither executes nor answers calls.
    Silent = 2,
}

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    /// End and time to live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Default)]
struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
}

/// The store. Each node gets a port of its own, so that the store can treat machines differently.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

/// Access of one machine.
#[derive(Clone)]
pub struct StorePort {
    pub address: SocketAddr,
    access: Arc<AtomicU8>,
}

impl StorePort {
    pub fn set(&self, access: Access) {
        self.access.store(access as u8, Ordering::SeqCst);
    }

    fn get(&self) -> u8 {
        self.access.load(Ordering::SeqCst)
    }
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        let leases = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(50));
            leases.end_leases();
        });
        store
    }

    /// Opens a port for one machine.
    pub fn open(&self, address: SocketAddr) -> std::io::Result<StorePort> {
        let listener = TcpListener::bind(address)?;
        let port = StorePort {
            address,
            access: Arc::default(),
        };
        let (store, served) = (self.clone(), port.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, port) = (store.clone(), served.clone());
                std::thread::spawn(move || store.serve(stream, &port));
            }
        });
        Ok(port)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.shared.content.lock().unwrap();
        content.write(key, base64(value.as_bytes()), 0);
        record::line(&format!(
            "store: operator wrote {key} at revision {}",
            content.revision
        ));
        drop(content);
        self.shared.changed.notify_all();
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.shared.content.lock().unwrap();
        let keys = content.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn end_leases(&self) {
        let mut content = self.shared.content.lock().unwrap();
        let now = Instant::now();
        let leases = content.leases.iter();
        let ended: Vec<u64> = leases
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            content.end_lease(*lease);
        }
        drop(content);
        if !ended.is_empty() {
            self.shared.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream, port: &StorePort) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read(Duration::from_secs(120)) {
            if port.get() == Access::Silent as u8 {
                std::thread::sleep(Duration::from_secs(120));
                return;
            }
            let (status, body) = if port.get() == Access::Refusing as u8 {
                (503, String::new())
            } else {
                self.execute(&request)
            };
            // Watches that began before an outage get nothing during it.
            if port.get() == Access::Silent as u8 {
                return;
            }
            let first = format!("HTTP/1.1 {status} Status");
            let headers = [("Content-Type", "application/json")];
            if connection.write(&first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn execute(&self, request: &Message) -> (u16, String) {
        let (method, target) = (request.word(0), request.word(1));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let found = query
                .split('&')
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            decode(found.unwrap_or(""))
        };
        match (method, path) {
            ("GET", "/kv-key") => self.read_key(&parameter("key")),
            ("GET", "/kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitTimeoutMs").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/kv-txn") => self.commit(&request.body),
            ("POST", "/kv-lease") => self.grant(&request.body),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(number_in(path)),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.shared
                    .content
                    .lock()
                    .unwrap()
                    .end_lease(number_in(path));
                self.shared.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let content = self.shared.content.lock().unwrap();
        let at = content.revision;
        match content.items.get(key) {
            Some(item) => {
                let fields = item.fields(key);
                (200, format!("{{{fields},\"at\":{at}}}"))
            }
            None => (404, format!("{{\"at\":{at}}}")),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let content = self.shared.content.lock().unwrap();
        let items: Vec<String> = content
            .items
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
            })
            .map(|(key, item)| format!("{{{}}}", item.fields(key)))
            .collect();
        let (items, at) = (items.join(","), content.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"hasMore\":false,\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut content = self.shared.content.lock().unwrap();
        loop {
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(Event::to_json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), content.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            content = self.shared.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| {
            body.get(name)
                .map_or(Vec::new(), |rows| rows.list().to_vec())
        };
        let field =
            |row: &Json, name: &str| row.get(name).map_or(String::new(), |f| f.text().to_owned());
        let mut content = self.shared.content.lock().unwrap();
        for row in rows("expect") {
            let expected = row.get("revision").map_or(0, Json::number);
            let item = content.items.get(&field(&row, "key"));
            if item.map_or(0, |item| item.revision) != expected {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let lease_of = |row: &Json| row.get("lease").map_or(0, Json::number);
        let writes = rows("write");
        let known = |lease: u64| lease == 0 || content.leases.contains_key(&lease);
        if !writes.iter().all(|row| known(lease_of(row))) {
            return (404, "{}".to_owned());
        }
        for row in &writes {
            content.write(&field(row, "key"), field(row, "value"), lease_of(row));
        }
        for key in rows("remove") {
            content.remove(key.text());
        }
        let revision = content.revision;
        drop(content);
        self.shared.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let body = Json::parse(body);
        let ttl_ms = body
            .as_ref()
            .and_then(|body| body.get("ttlMs"))
            .map_or(1000, Json::number);
        let ttl = Duration::from_millis(ttl_ms);
        let mut content = self.shared.content.lock().unwrap();
        content.last_lease += 1;
        let lease = content.last_lease;
        content.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut content = self.shared.content.lock().unwrap();
        match content.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let items = self.items.iter();
            let keys: Vec<String> = items
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

impl Item {
    fn fields(&self, key: &str) -> String {
        format!(
            "\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

impl Event {
    fn to_json(&self) -> String {
        match &self.item {
            Some(item) => format!("{{{}}}", item.fields(&self.key)),
            None => format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                quote(&self.key),
                self.revision
            ),
        }
    }
}

fn number_in(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or("");
    last.parse().unwrap_or(0)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
