//! Number of store calls that a node makes, and the time until it activates a stored version.

mod number_format;
mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use number_format::NumberFormat;
use number_format::HEADERS;
use sequoiagw_mesh::MeshBackend;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_mesh::RegistrationChange;
use sequoiagw_mesh::StoreFollower;
use sequoiagw_mesh::StoreHealth;
use sequoiagw_mesh::NODES_PREFIX;
use sequoiagw_node::NodeCounters;
use sequoiagw_node::PeerLinks;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::TableDigest;
use sequoiagw_protocol::TableHash;
use sequoiagw_store::CallFuture;
use sequoiagw_store::ChangeBatch;
use sequoiagw_store::EraAnswer;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PollFuture;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use support::registration;
use support::settings;
use support::NODES;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

const BOOT: u64 = 1;

/// A store that counts its calls. Its configuration is the number of a version.
#[derive(Clone, Default)]
struct CountingStore {
    version: Rc<Cell<u64>>,
    down: Rc<Cell<bool>>,
    /// Number of reads of the configuration.
    config_reads: Rc<Cell<u32>>,
    /// Time that a read takes.
    read_time: Rc<Cell<Duration>>,
    /// Number of calls by kind.
    calls: Rc<RefCell<BTreeMap<&'static str, u32>>>,
}

impl CountingStore {
    fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    fn total_calls(&self) -> u32 {
        self.calls.borrow().values().sum()
    }

    fn check_available(&self) -> Result<(), StoreError> {
        if self.down.get() {
            return Err(StoreError::Unavailable {
                detail: "down".to_owned(),
            });
        }
        Ok(())
    }
}

fn key_entry(key: String, value: String) -> KeyEntry {
    KeyEntry {
        key,
        value,
        create_revision: 5,
        mod_revision: 5,
        lease: Some(LeaseId(1)),
    }
}

impl PollingStore for CountingStore {
    fn call(&self, request: StoreRequest) -> CallFuture {
        self.count("read");
        let store = self.clone();
        Box::pin(async move {
            store.check_available()?;
            sleep(store.read_time.get()).await;
            let entries = match request {
                StoreRequest::Read { key } => {
                    store.config_reads.set(store.config_reads.get() + 1);
                    vec![key_entry(key, store.version.get().to_string())]
                }
                _ => NODES
                    .iter()
                    .map(|name| {
                        let value = serde_json::to_string(&registration(name, BOOT)).expect("JSON");
                        key_entry(format!("{NODES_PREFIX}{name}"), value)
                    })
                    .collect(),
            };
            let answer = StoreReply::Entries {
                entries,
                revision: 5,
            };
            Ok(EraAnswer {
                era: StoreEra::default(),
                answer,
            })
        })
    }

    fn poll(&self, request: PollRequest) -> PollFuture {
        self.count("poll");
        let store = self.clone();
        Box::pin(async move {
            store.check_available()?;
            sleep(request.wait).await;
            let answer = ChangeBatch {
                changes: Vec::new(),
                revision: request.after,
            };
            Ok(EraAnswer {
                era: StoreEra::default(),
                answer,
            })
        })
    }
}

/// The first registration of a node.
fn written(name: &str) -> RegistrationChange {
    let registration = registration(name, BOOT);
    let revision = registration.written_at(5);
    RegistrationChange::Written(registration, revision)
}

/// Links that drop all frames.
struct NoLinks;

impl PeerLinks for NoLinks {
    fn send(&self, _to: NodeAddress, _frame: PeerFrame) {}

    fn reset(&self, _to: NodeAddress) {}
}

/// Starts a node that follows `store`, which holds the registrations of all nodes.
fn follow(name: &str, store: &CountingStore) -> MeshHandle {
    let (events, _receiver) = mpsc::unbounded_channel();
    let unused_address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let backend = MeshBackend::new(unused_address, HEADERS, events);
    let core = MeshCore::new(settings(name), BOOT, NodeCounters::default());
    let handle = MeshHandle::new(
        core,
        Box::new(NoLinks),
        Box::new(backend),
        Rc::new(NumberFormat),
    );
    let health = StoreHealth::new(NodeCounters::default());
    let follower = StoreFollower::new(handle.clone(), Rc::new(store.clone()), health);
    tokio::task::spawn_local(follower.clone().follow_config());
    tokio::task::spawn_local(follower.follow_registrations());
    handle
}

/// Starts a node that receives digests from a watcher for 10 s and has version 3 then.
async fn node_with_watcher(store: &CountingStore) -> MeshHandle {
    store.version.set(3);
    let handle = follow("c", store);
    receive_digests_for(&handle, 3, Duration::from_secs(10)).await;
    handle
}

/// Passes on a digest of a watcher with the same registrations and the given active version.
fn receive_digest(handle: &MeshHandle, number: u64) {
    handle.with_core(|core, now| {
        let hash = TableHash {
            data_centre: "north".to_owned(),
            hash: core.directory().digest(),
        };
        let digest = TableDigest {
            hashes: vec![hash],
            sender: Some(written("a").to_record()),
            version: number,
            ..TableDigest::default()
        };
        let frame = PeerFrame::new(NodeId::from_name("a"), BOOT, FrameBody::Digest(digest));
        core.on_frame(frame, 50, now);
    });
}

/// Passes on a watcher's digests at intervals for a time.
async fn receive_digests_for(handle: &MeshHandle, number: u64, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        receive_digest(handle, number);
        sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn node_with_responsive_watcher_makes_no_store_calls() {
    let check = async {
        let store = CountingStore::default();
        store.version.set(3);
        let handle = follow("c", &store);
        sleep(Duration::from_secs(2)).await;
        let calls_at_start = store.total_calls();
        assert!(
            calls_at_start <= 3,
            "too many calls at the start: {:?}",
            store.calls
        );
        receive_digests_for(&handle, 3, Duration::from_secs(60)).await;
        assert_eq!(
            store.total_calls(),
            calls_at_start,
            "no calls are expected: {:?}",
            store.calls
        );
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn starting_node_reads_no_configuration_that_a_watcher_sends() {
    let check = async {
        let store = CountingStore::default();
        store.version.set(3);
        store.read_time.set(Duration::from_millis(400));
        let handle = follow("c", &store);
        // The node's own registration is the only one that it knows before it has read the others.
        let own = written("c");
        handle.with_core(|core, now| core.on_registration_changes(&[own], now));
        sleep(Duration::from_millis(700)).await;
        handle.apply_config(&Bytes::from("3"));
        receive_digests_for(&handle, 3, Duration::from_secs(5)).await;
        assert_eq!(store.config_reads.get(), 0);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn node_with_unresponsive_watchers_follows_store_itself() {
    let check = async {
        let store = CountingStore::default();
        let handle = node_with_watcher(&store).await;
        store.version.set(7);
        sleep(Duration::from_millis(1700)).await;
        assert_eq!(handle.read(MeshCore::active_version_number), 7);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn reads_version_from_store_when_watchers_never_send_it() {
    let check = async {
        let store = CountingStore::default();
        let handle = node_with_watcher(&store).await;
        store.version.set(7);
        receive_digests_for(&handle, 7, Duration::from_millis(1600)).await;
        assert_eq!(handle.read(MeshCore::active_version_number), 7);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn makes_few_store_calls_during_and_after_outage() {
    let check = async {
        let store = CountingStore::default();
        let handle = node_with_watcher(&store).await;
        let calls_before = store.total_calls();
        store.down.set(true);
        sleep(Duration::from_secs(20)).await;
        let calls_in_outage = store.total_calls() - calls_before;
        // Two followers, each retrying every 0.3 s for a second and every 8 s after that.
        assert!(
            calls_in_outage <= 2 * (5 + 3),
            "too many calls in the outage: {calls_in_outage}"
        );
        store.down.set(false);
        receive_digests_for(&handle, 3, Duration::from_secs(20)).await;
        assert!(
            store.total_calls() - calls_before <= calls_in_outage + 2,
            "too many calls after the outage: {:?}",
            store.calls
        );
    };
    LocalSet::new().run_until(check).await;
}
