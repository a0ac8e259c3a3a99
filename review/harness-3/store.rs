//! Stand-in for the platform's metadata store, as PROTOCOL.md describes it: keys, ranges, watches,
//! transactions and leases, over HTTP/1.1.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response, Connection, Message};
use crate::json::{base64, unbase64, Json};

/// Size of the pieces in which answers are sent.
const PIECE_BYTES: usize = 4 * 1024;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    /// Revision, key and item (`None` for a removal) of each change.
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// How the connections that are open at one moment behave for some time after it.
#[derive(Clone, Copy)]
struct Silence {
    from: Instant,
    until: Instant,
    /// An answer stops for good after this number of bytes.
    after_bytes: usize,
}

struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
    silence: Mutex<Option<Silence>>,
    /// Number of connections that went silent, and when the last one did.
    silenced: Mutex<(u64, Option<Instant>)>,
    /// Bytes per second at which answers are sent on one connection.
    bytes_per_s: f64,
    calls: AtomicU64,
}

/// The store. Clones share its content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store whose revision counter starts at `revision`.
    pub fn start(ip: &str, revision: u64, bytes_per_s: f64) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let content = Content { revision, ..Content::default() };
        let shared = Shared {
            content: Mutex::new(content),
            changed: Condvar::new(),
            silence: Mutex::default(),
            silenced: Mutex::default(),
            bytes_per_s,
            calls: AtomicU64::new(0),
        };
        let store = Self {
            address: listener.local_addr().expect("the listener has an address"),
            shared: Arc::new(shared),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            expiring.expire_leases();
        });
        store
    }

    /// Writes a key as the operator does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.shared.content.lock().unwrap();
        content.write(key, base64(value.as_bytes()), 0);
        drop(content);
        self.shared.changed.notify_all();
    }

    /// Decoded value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let content = self.shared.content.lock().unwrap();
        let bytes = unbase64(&content.items.get(key)?.value)?;
        String::from_utf8(bytes).ok()
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.shared.content.lock().unwrap();
        content.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// For `time` from now on, an answer on a connection that is open now stops after `after_bytes`:
    /// the connection goes silent for good, without a reset. Later connections work.
    pub fn silence_open_connections(&self, time: Duration, after_bytes: usize) {
        let from = Instant::now();
        let silence = Silence { from, until: from + time, after_bytes };
        *self.shared.silence.lock().unwrap() = Some(silence);
    }

    /// Number of connections that have gone silent, and when the last one did.
    pub fn silenced(&self) -> (u64, Option<Instant>) {
        *self.shared.silenced.lock().unwrap()
    }

    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    fn expire_leases(&self) {
        let mut content = self.shared.content.lock().unwrap();
        let now = Instant::now();
        let ended = content.leases.iter().filter(|(_, (expiry, _))| *expiry <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            content.end_lease(*lease);
        }
        drop(content);
        if !ended.is_empty() {
            self.shared.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let opened = Instant::now();
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read(None) {
            self.shared.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            let bytes = response(status, &headers, body.as_bytes());
            if self.send(&mut connection, &bytes, opened).is_none() {
                return;
            }
        }
    }

    /// Sends an answer at the pace of the link. Does not return if the connection goes silent.
    fn send(&self, connection: &mut Connection, bytes: &[u8], opened: Instant) -> Option<()> {
        let mut sent = 0;
        for piece in bytes.chunks(PIECE_BYTES) {
            let silence = *self.shared.silence.lock().unwrap();
            let now = Instant::now();
            let is_silent = silence.is_some_and(|silence| {
                opened < silence.from && now < silence.until && sent >= silence.after_bytes
            });
            if is_silent {
                let mut silenced = self.shared.silenced.lock().unwrap();
                *silenced = (silenced.0 + 1, Some(now));
                drop(silenced);
                loop {
                    thread::sleep(Duration::from_secs(3600));
                }
            }
            connection.write(piece)?;
            sent += piece.len();
            if bytes.len() > PIECE_BYTES {
                thread::sleep(Duration::from_secs_f64(piece.len() as f64 / self.shared.bytes_per_s));
            }
        }
        Some(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().split('?').next().unwrap_or("").to_owned();
        if path == "/kv-watch" {
            return self.watch(request);
        }
        let mut content = self.shared.content.lock().unwrap();
        let answer = match (request.method(), path.as_str()) {
            ("GET", "/kv-key") => content.read(&request.parameter("key")),
            ("GET", "/kv-range") => {
                content.range(&request.parameter("prefix"), &request.parameter("after"))
            }
            ("POST", "/kv-txn") => content.commit(&Json::parse(&request.text())),
            ("POST", "/kv-lease") => content.grant(&Json::parse(&request.text())),
            (method, path) => {
                let number = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
                if let Some(lease) = number("/kv-keep/").filter(|_| method == "POST") {
                    content.renew(lease)
                } else if let Some(lease) = number("/kv-lease-end/") {
                    content.end_lease(lease);
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
        };
        drop(content);
        self.shared.changed.notify_all();
        answer
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitTimeoutMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut content = self.shared.content.lock().unwrap();
        loop {
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = content.revision;
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            content = self.shared.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
        )
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.events.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let at = self.revision;
        match self.items.get(key) {
            Some(item) => {
                let json = item.json(key);
                (200, format!(r#"{},"at":{at}}}"#, json.trim_end_matches('}')))
            }
            None => (404, format!(r#"{{"at":{at}}}"#)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let matching = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let matching = matching.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let items: Vec<String> = matching.map(|(key, item)| item.json(key)).collect();
        let at = self.revision;
        (200, format!(r#"{{"items":[{}],"hasMore":false,"at":{at}}}"#, items.join(",")))
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let leases = body.get("write").list().iter().map(|write| write.get("lease").number());
        for lease in leases {
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for condition in body.get("expect").list() {
            let item = self.items.get(condition.get("key").text());
            if item.map_or(0, |item| item.revision) != condition.get("revision").number() {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for write in body.get("write").list() {
            let value = write.get("value").text().to_owned();
            self.write(write.get("key").text(), value, write.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }

    fn grant(&mut self, body: &Json) -> (u16, String) {
        let ttl_ms = body.get("ttlMs").number().max(1000);
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (Instant::now() + ttl, ttl));
        (200, format!(r#"{{"lease":{},"ttlMs":{ttl_ms}}}"#, self.last_lease))
    }

    fn renew(&mut self, lease: u64) -> (u16, String) {
        match self.leases.get_mut(&lease) {
            Some((expiry, ttl)) => {
                *expiry = Instant::now() + *ttl;
                (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
