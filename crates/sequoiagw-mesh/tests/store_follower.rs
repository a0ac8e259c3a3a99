//! How often a node calls the store, and when it knows what the store holds.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::HttpRequest;
use sequoiagw_mesh::HeaderNames;
use sequoiagw_mesh::LocalCall;
use sequoiagw_mesh::MeshBackend;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::PlatformWire;
use sequoiagw_mesh::RegistrationChange;
use sequoiagw_mesh::StoreFollower;
use sequoiagw_mesh::StoreHealth;
use sequoiagw_mesh::WireError;
use sequoiagw_mesh::NODES_PREFIX;
use sequoiagw_node::CounterBoard;
use sequoiagw_node::PeerLinks;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_store::ChangeBatch;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::PollFuture;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreFuture;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use support::entry;
use support::settings;
use support::version;
use support::NODES;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

const CONFIG_KEY: &str = "config";
const BOOT: u64 = 1;

/// A store whose configuration is the number of a version.
#[derive(Clone, Default)]
struct CountingStore {
    version: Rc<Cell<u64>>,
    down: Rc<Cell<bool>>,
    /// Calls by kind.
    calls: Rc<RefCell<BTreeMap<&'static str, u32>>>,
}

impl CountingStore {
    fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    fn total(&self) -> u32 {
        self.calls.borrow().values().sum()
    }

    fn outage(&self) -> Result<(), StoreError> {
        if self.down.get() {
            return Err(StoreError::Unavailable {
                detail: "down".to_owned(),
            });
        }
        Ok(())
    }
}

fn item(key: String, value: String) -> KeyEntry {
    KeyEntry {
        key,
        value,
        create_revision: 5,
        mod_revision: 5,
    }
}

impl PollingStore for CountingStore {
    fn call(&self, request: StoreRequest) -> StoreFuture {
        self.count("read");
        let store = self.clone();
        Box::pin(async move {
            store.outage()?;
            let entries = match request {
                StoreRequest::Read { key } => vec![item(key, store.version.get().to_string())],
                _ => NODES
                    .iter()
                    .map(|name| {
                        let text = serde_json::to_string(&entry(name, BOOT)).expect("text");
                        item(format!("{NODES_PREFIX}{name}"), text)
                    })
                    .collect(),
            };
            Ok(StoreReply::Entries {
                entries,
                revision: 5,
            })
        })
    }

    fn poll(&self, request: PollRequest) -> PollFuture {
        self.count("poll");
        let store = self.clone();
        Box::pin(async move {
            store.outage()?;
            sleep(request.wait).await;
            Ok(ChangeBatch {
                changes: Vec::new(),
                revision: request.after,
            })
        })
    }
}

struct NumberWire;

impl PlatformWire for NumberWire {
    fn headers(&self) -> &HeaderNames {
        &HeaderNames {
            request_id: "Id",
            deadline: "Deadline",
            signature: "Signature",
            expected_instance: "Instance",
            not_run: "Not-Run",
            caller_service: "Service",
        }
    }

    fn config_key(&self) -> &str {
        CONFIG_KEY
    }

    fn read_config(&self, source: &Bytes) -> Result<MeshVersion, WireError> {
        let text = String::from_utf8_lossy(source);
        let number = text.parse().map_err(|_| WireError {
            detail: text.into_owned(),
        })?;
        Ok(version(number))
    }

    fn read_call(&self, _request: &HttpRequest) -> LocalCall {
        LocalCall::Readiness
    }
}

struct NoLinks;

impl PeerLinks for NoLinks {
    fn send(&self, _to: NodeAddress, _frame: PeerFrame) {}

    fn reset(&self, _to: NodeAddress) {}
}

/// Starts a node that follows `store`; it knows the other nodes from the beginning.
fn follow(name: &str, store: &CountingStore) -> MeshHandle {
    let (events, _receiver) = mpsc::unbounded_channel();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let names = *NumberWire.headers();
    let backend = MeshBackend::new(nowhere, names, events);
    let core = MeshCore::new(settings(name), BOOT, CounterBoard::default());
    let handle = MeshHandle::new(core, Box::new(NoLinks), backend, Rc::new(NumberWire));
    let health = StoreHealth::new(CounterBoard::default());
    let follower = StoreFollower::new(handle.clone(), Rc::new(store.clone()), health);
    tokio::task::spawn_local(follower.clone().follow_config());
    tokio::task::spawn_local(follower.follow_registrations());
    handle
}

/// Starts a node and lets a watcher be heard for a while, until the node knows version 3.
async fn told_node(store: &CountingStore) -> MeshHandle {
    store.version.set(3);
    let handle = follow("c", store);
    hear_for(&handle, 3, Duration::from_secs(10)).await;
    handle
}

/// A digest of a watcher that knows the same entries and acts on a version.
fn hear_watcher(handle: &MeshHandle, number: u64) {
    handle.with_core(|core, now| {
        let hash = TableHash {
            data_centre: "north".to_owned(),
            hash: core.directory().digest(),
        };
        let digest = TableDigest {
            hashes: vec![hash],
            sender: Some(RegistrationChange::Written(entry("a", BOOT), 5).to_record()),
            version: number,
        };
        let frame = PeerFrame::new(NodeId::from_name("a"), BOOT, FrameBody::Digest(digest));
        core.on_frame(frame, 50, now);
    });
}

/// Lets a watcher be heard for a while.
async fn hear_for(handle: &MeshHandle, number: u64, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        hear_watcher(handle, number);
        sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_hears_a_watcher_leaves_the_store_alone() {
    let check = async {
        let store = CountingStore::default();
        store.version.set(3);
        let handle = follow("c", &store);
        sleep(Duration::from_secs(2)).await;
        let at_start = store.total();
        assert!(at_start <= 3, "{:?}", store.calls);
        hear_for(&handle, 3, Duration::from_secs(60)).await;
        assert_eq!(store.total(), at_start, "{:?}", store.calls);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_watchers_fall_silent_follows_the_store_itself() {
    let check = async {
        let store = CountingStore::default();
        let handle = told_node(&store).await;
        store.version.set(7);
        sleep(Duration::from_millis(1700)).await;
        assert_eq!(handle.read(MeshCore::active_version_number), 7);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn a_version_that_never_comes_from_the_watchers_is_read_from_the_store() {
    let check = async {
        let store = CountingStore::default();
        let handle = told_node(&store).await;
        store.version.set(7);
        hear_for(&handle, 7, Duration::from_millis(1600)).await;
        assert_eq!(handle.read(MeshCore::active_version_number), 7);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn an_outage_costs_few_calls_and_its_end_none_while_watchers_tell() {
    let check = async {
        let store = CountingStore::default();
        let handle = told_node(&store).await;
        let before = store.total();
        store.down.set(true);
        sleep(Duration::from_secs(20)).await;
        let in_outage = store.total() - before;
        // Two followers, each trying each 0.3 s for a second and each 8 s from then on.
        assert!(in_outage <= 2 * (5 + 3), "{in_outage}");
        store.down.set(false);
        hear_for(&handle, 3, Duration::from_secs(20)).await;
        assert!(store.total() - before <= in_outage + 2, "{:?}", store.calls);
    };
    LocalSet::new().run_until(check).await;
}
