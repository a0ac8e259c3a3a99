//! Stand-in for the platform's key-value store: items, ranges, watches, transactions and leases.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::json::int;
use crate::json::map;
use crate::json::text;
use crate::json::Json;

/// Time that the store takes for an answer, as the sheet states it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Interval at which leases are checked.
const LEASE_CHECK: Duration = Duration::from_millis(50);
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Json)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// The store. Clones share their content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
    /// Whether the store neither does nor answers calls. Leases pause meanwhile.
    silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            content: Arc::new((
                Mutex::new(Content {
                    revision: 1,
                    ..Content::default()
                }),
                Condvar::new(),
            )),
            silent: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let server = store.clone();
        thread::spawn(move || loop {
            thread::sleep(LEASE_CHECK);
            server.expire_leases();
        });
        Ok(store)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let (content, changed) = &*self.content;
        content
            .lock()
            .unwrap()
            .write(key, &base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    /// Lets the store be down, or serve again. Calls that arrive while it is down are never done.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
        self.content.1.notify_all();
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read(None) {
            if self.is_silent() {
                // Nothing more is answered on this connection.
                while connection.read(None).is_some() {}
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            if self.is_silent() {
                while connection.read(None).is_some() {}
                return;
            }
            let headers = [("Content-Type", "application/json")];
            if connection
                .respond(status, &headers, body.encode().as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let found = query
                .split('&')
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            percent_decode(found.unwrap_or(""))
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match path {
            "/kv-key" => self.read_key(&parameter("key")),
            "/kv-range" => self.read_range(&parameter("prefix"), &parameter("after")),
            "/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitTimeoutMs").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, Duration::from_millis(wait))
            }
            "/kv-txn" => self.commit(&body),
            "/kv-lease" => self.grant(body.field("ttlMs").int()),
            _ => {
                let keep = path
                    .strip_prefix("/kv-keep/")
                    .and_then(|id| id.parse().ok());
                let end = path
                    .strip_prefix("/kv-lease-end/")
                    .and_then(|id| id.parse().ok());
                match (keep, end) {
                    (Some(lease), _) => self.keep(lease),
                    (_, Some(lease)) => self.end(lease),
                    _ => (404, map([])),
                }
            }
        }
    }

    fn read_key(&self, key: &str) -> (u16, Json) {
        let content = self.content.0.lock().unwrap();
        match content.items.get(key) {
            Some(item) => {
                let mut found = item.encode(key);
                if let Json::Map(fields) = &mut found {
                    fields.insert("at".to_owned(), int(content.revision));
                }
                (200, found)
            }
            None => (404, map([("at", int(content.revision))])),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let content = self.content.0.lock().unwrap();
        let matching = content.items.iter();
        let mut matching = matching.filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<Json> = matching
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item.encode(key))
            .collect();
        let has_more = matching.next().is_some();
        let page = map([
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("at", int(content.revision)),
        ]);
        (200, page)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Json) {
        let (content, changed) = &*self.content;
        let ends = Instant::now() + wait;
        let mut content = content.lock().unwrap();
        loop {
            let events = content.events.iter();
            let matching =
                events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<Json> = matching.map(|(_, _, event)| event.clone()).collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = map([
                    ("events", Json::List(events)),
                    ("at", int(content.revision)),
                ]);
                return (200, answer);
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, Json) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let current =
            |content: &Content, key: &str| content.items.get(key).map_or(0, |item| item.revision);
        let expected = body.field("expect").list();
        let fails =
            |row: &Json| current(&content, row.field("key").text()) != row.field("revision").int();
        if expected.iter().any(fails) {
            let items = expected.iter().filter_map(|row| {
                let key = row.field("key").text();
                Some(content.items.get(key)?.encode(key))
            });
            return (412, map([("items", Json::List(items.collect()))]));
        }
        let writes = body.field("write").list();
        let has_lease = |write: &Json| {
            let lease = write.field("lease").int();
            lease == 0 || content.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return (404, map([]));
        }
        for write in writes {
            let lease = write.field("lease").int();
            content.write(
                write.field("key").text(),
                write.field("value").text(),
                lease,
            );
        }
        for key in body.field("remove").list() {
            content.remove(key.text());
        }
        changed.notify_all();
        (200, map([("revision", int(content.revision))]))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, Json) {
        let mut content = self.content.0.lock().unwrap();
        let ttl = Duration::from_millis(ttl_ms.max(1000));
        content.last_lease += 1;
        let lease = content.last_lease;
        content.leases.insert(
            lease,
            Lease {
                ttl,
                ends: Instant::now() + ttl,
            },
        );
        (
            200,
            map([
                ("lease", int(lease)),
                ("ttlMs", int(ttl.as_millis() as u64)),
            ]),
        )
    }

    fn keep(&self, id: u64) -> (u16, Json) {
        let mut content = self.content.0.lock().unwrap();
        match content.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, map([("ttlMs", int(lease.ttl.as_millis() as u64))]))
            }
            None => (404, map([])),
        }
    }

    fn end(&self, id: u64) -> (u16, Json) {
        let (content, changed) = &*self.content;
        content.lock().unwrap().end_lease(id);
        changed.notify_all();
        (200, map([]))
    }

    fn expire_leases(&self) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        if self.is_silent() {
            for lease in content.leases.values_mut() {
                lease.ends += LEASE_CHECK;
            }
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = content
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            content.end_lease(lease);
            changed.notify_all();
        }
    }
}

impl Content {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.events
            .push((revision, key.to_owned(), item.encode(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = int(self.revision);
            let event = map([
                ("key", text(key)),
                ("revision", revision),
                ("deleted", Json::Bool(true)),
            ]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Item {
    fn encode(&self, key: &str) -> Json {
        map([
            ("key", text(key)),
            ("value", text(&self.value)),
            ("revision", int(self.revision)),
            ("created", int(self.created)),
            ("lease", int(self.lease)),
        ])
    }
}

fn percent_decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| value.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= group.len() {
                out.push(char::from(
                    ALPHABET[(number >> (18 - 6 * index) & 63) as usize],
                ));
            } else {
                out.push('=');
            }
        }
    }
    out
}
