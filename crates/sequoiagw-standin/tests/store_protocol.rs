//! The store's client against the stand-in's server, over HTTP.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use sequoiagw_standin::MemoryStore;
use sequoiagw_standin::StoreServer;
use sequoiagw_store::EtcdStore;
use sequoiagw_store::KeyCondition;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;

struct HttpCase {
    store: MemoryStore,
    client: EtcdStore,
    _server: StoreServer,
}

fn http_case() -> HttpCase {
    let store = MemoryStore::new(1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StoreServer::open(any, &store).expect("bound");
    let address = server.address().expect("address");
    let client = EtcdStore::new(vec![format!("http://{address}")], Duration::from_secs(5));
    HttpCase {
        store,
        client,
        _server: server,
    }
}

fn put(key: &str, value: &str) -> PutEntry {
    PutEntry {
        key: key.to_owned(),
        value: value.to_owned(),
        lease: None,
    }
}

fn create(key: &str, value: &str) -> StoreRequest {
    StoreRequest::Commit {
        conditions: vec![KeyCondition::Absent(key.to_owned())],
        puts: vec![put(key, value)],
        deletes: Vec::new(),
    }
}

fn read(key: &str) -> StoreRequest {
    StoreRequest::Read {
        key: key.to_owned(),
    }
}

#[test]
fn a_key_is_created_once_and_swapped_only_unchanged() {
    let case = http_case();
    let applied = |request: &StoreRequest| match case.client.call_blocking(request) {
        Ok(StoreReply::Committed { applied, .. }) => applied,
        other => panic!("{other:?}"),
    };
    assert!(applied(&create("a", "1")));
    assert!(!applied(&create("a", "2")));
    let Ok(StoreReply::Entries { entries, .. }) = case.client.call_blocking(&read("a")) else {
        panic!("no entries");
    };
    assert_eq!(entries[0].value, "1");
    let swap = |revision: u64, value: &str| StoreRequest::Commit {
        conditions: vec![KeyCondition::Unchanged("a".to_owned(), revision)],
        puts: vec![put("a", value)],
        deletes: Vec::new(),
    };
    let revision = entries[0].mod_revision;
    assert!(applied(&swap(revision, "3")));
    assert!(!applied(&swap(revision, "4")));
}

#[test]
fn each_key_of_a_group_is_created_for_itself() {
    let case = http_case();
    case.client
        .call_blocking(&create("b", "first"))
        .expect("created");
    let request = StoreRequest::CreateEach {
        puts: vec![put("a", "x"), put("b", "y")],
    };
    let Ok(StoreReply::Created { existing_entries }) = case.client.call_blocking(&request) else {
        panic!("not created");
    };
    assert!(existing_entries[0].is_none());
    assert_eq!(existing_entries[1].as_ref().expect("stands").value, "first");
}

#[test]
fn prefixes_deletes_and_leases_work_over_http() {
    let case = http_case();
    let Ok(StoreReply::Leased { lease, ttl_s: 30 }) = case
        .client
        .call_blocking(&StoreRequest::Grant { ttl_s: 30 })
    else {
        panic!("no lease");
    };
    let leased = PutEntry {
        lease: Some(lease),
        ..put("p/1", "v")
    };
    let request = StoreRequest::Commit {
        conditions: Vec::new(),
        puts: vec![leased, put("p/2", "w"), put("q/1", "z")],
        deletes: Vec::new(),
    };
    case.client.call_blocking(&request).expect("committed");
    let prefix = StoreRequest::ReadPrefix {
        prefix: "p/".to_owned(),
    };
    let count = || match case.client.call_blocking(&prefix) {
        Ok(StoreReply::Entries { entries, .. }) => entries.len(),
        other => panic!("{other:?}"),
    };
    assert_eq!(count(), 2);
    case.client
        .call_blocking(&StoreRequest::KeepAlive { lease })
        .expect("extended");
    case.client
        .call_blocking(&StoreRequest::Revoke { lease })
        .expect("ended");
    assert_eq!(count(), 1);
    let lapsed = case
        .client
        .call_blocking(&StoreRequest::KeepAlive { lease });
    assert_eq!(lapsed, Err(StoreError::LeaseLapsed { lease: lease.0 }));
    let revoked = case
        .client
        .call_blocking(&StoreRequest::Revoke { lease: LeaseId(99) });
    assert_eq!(revoked, Err(StoreError::LeaseLapsed { lease: 99 }));
}

#[test]
fn a_watch_brings_changes_and_fails_on_a_compacted_revision() {
    let case = http_case();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let mut updates = case.client.watch("a", 1);
        assert_eq!(updates.recv().await, Some(Ok(WatchUpdate::Started)));
        case.store.apply(&create("a", "1")).expect("created");
        let Some(Ok(WatchUpdate::Changed(entry))) = updates.recv().await else {
            panic!("no change");
        };
        assert_eq!(entry.value, "1");
        case.store
            .with_state(|state| state.compact(state.revision()));
        let mut late = case.client.watch("a", 1);
        assert_eq!(late.recv().await, Some(Ok(WatchUpdate::Started)));
        assert!(matches!(
            late.recv().await,
            Some(Err(StoreError::Compacted { oldest: 2 }))
        ));
    });
}

#[test]
fn an_outage_and_a_lost_answer_are_told_apart_from_a_refusal() {
    let case = http_case();
    case.store.set_faults(|faults| faults.down = true);
    let down = case.client.call_blocking(&read("a"));
    assert!(
        matches!(down, Err(StoreError::Unavailable { .. })),
        "{down:?}"
    );
    case.store.set_faults(|faults| {
        faults.down = false;
        faults.lost_answers = 1.0;
    });
    let lost = case.client.call_blocking(&create("a", "1"));
    assert!(
        matches!(lost, Err(StoreError::Unavailable { .. })),
        "{lost:?}"
    );
    case.store.set_faults(|faults| faults.lost_answers = 0.0);
    let Ok(StoreReply::Entries { entries, .. }) = case.client.call_blocking(&read("a")) else {
        panic!("no entries");
    };
    assert_eq!(entries[0].value, "1", "the write took effect");
}

/// Reads a whole request with a body of three bytes, in however many pieces it comes.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer).unwrap_or(0);
        if length == 0 {
            return false;
        }
        request.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&request);
        if text
            .split_once("\r\n\r\n")
            .is_some_and(|(_, body)| body.len() >= 3)
        {
            return true;
        }
    }
}

#[test]
fn the_http_client_never_sends_a_write_again_when_a_pooled_connection_dies() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("address");
    let seen = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&seen);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            // Answers the first request of a connection and drops the second unanswered.
            for answered in [true, false] {
                if !read_request(&mut stream) {
                    break;
                }
                counter.fetch_add(1, Ordering::SeqCst);
                if answered {
                    let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                    let _ = stream.write_all(reply);
                }
            }
        }
    });
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent();
    let url = format!("http://{address}/");
    agent
        .post(&url)
        .send("one")
        .expect("answered")
        .body_mut()
        .read_to_string()
        .expect("read");
    let second = agent.post(&url).send("two");
    assert!(
        second.is_err(),
        "answered after {} requests",
        seen.load(Ordering::SeqCst)
    );
    assert_eq!(seen.load(Ordering::SeqCst), 2, "a write was sent again");
}
