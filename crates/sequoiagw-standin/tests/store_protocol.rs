//! Tests of the store's client against the stand-in's server over HTTP.

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

struct StoreFixture {
    store: MemoryStore,
    client: EtcdStore,
    address: SocketAddr,
    _server: StoreServer,
}

fn store_fixture() -> StoreFixture {
    let store = MemoryStore::new(1);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StoreServer::open(any_port, &store).expect("the address should be bound");
    let address = server.address();
    let client = EtcdStore::new(vec![format!("http://{address}")], Duration::from_secs(5));
    StoreFixture {
        store,
        client,
        address,
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
fn creates_key_once_and_replaces_it_only_if_unchanged() {
    let fixture = store_fixture();
    let applied = |request: &StoreRequest| match fixture.client.call_blocking(request) {
        Ok(StoreReply::Committed { applied, .. }) => applied,
        other => panic!("expected a reply of the requested kind: {other:?}"),
    };
    assert!(applied(&create("a", "1")));
    assert!(!applied(&create("a", "2")));
    let Ok(StoreReply::Entries { entries, .. }) = fixture.client.call_blocking(&read("a")) else {
        panic!("expected entries");
    };
    assert_eq!(entries[0].value, "1");
    let replace = |revision: u64, value: &str| StoreRequest::Commit {
        conditions: vec![KeyCondition::Unchanged("a".to_owned(), revision)],
        puts: vec![put("a", value)],
        deletes: Vec::new(),
    };
    let revision = entries[0].mod_revision;
    assert!(applied(&replace(revision, "3")));
    assert!(!applied(&replace(revision, "4")));
}

#[test]
fn creates_each_key_of_a_group_independently() {
    let fixture = store_fixture();
    fixture
        .client
        .call_blocking(&create("b", "first"))
        .expect("the key should be created");
    let request = StoreRequest::CreateEach {
        puts: vec![put("a", "x"), put("b", "y")],
    };
    let Ok(StoreReply::Created { existing_entries }) = fixture.client.call_blocking(&request)
    else {
        panic!("expected a reply to the create request");
    };
    assert!(existing_entries[0].is_none());
    assert_eq!(
        existing_entries[1]
            .as_ref()
            .expect("the existing entry should be returned")
            .value,
        "first"
    );
}

#[test]
fn reads_prefix_and_ends_leases_over_http() {
    let fixture = store_fixture();
    let Ok(StoreReply::Leased { lease, ttl_s: 30 }) = fixture
        .client
        .call_blocking(&StoreRequest::Grant { ttl_s: 30 })
    else {
        panic!("expected a lease of 30 s");
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
    fixture
        .client
        .call_blocking(&request)
        .expect("the commit should succeed");
    let prefix = StoreRequest::ReadPrefix {
        prefix: "p/".to_owned(),
    };
    let count = || match fixture.client.call_blocking(&prefix) {
        Ok(StoreReply::Entries { entries, .. }) => entries.len(),
        other => panic!("expected a reply of the requested kind: {other:?}"),
    };
    assert_eq!(count(), 2);
    fixture
        .client
        .call_blocking(&StoreRequest::KeepAlive { lease })
        .expect("the lease should be extended");
    fixture
        .client
        .call_blocking(&StoreRequest::Revoke { lease })
        .expect("the lease should be revoked");
    assert_eq!(count(), 1);
    let lapsed = fixture
        .client
        .call_blocking(&StoreRequest::KeepAlive { lease });
    assert_eq!(lapsed, Err(StoreError::LeaseLapsed { lease: lease.0 }));
    let revoked = fixture
        .client
        .call_blocking(&StoreRequest::Revoke { lease: LeaseId(99) });
    assert_eq!(revoked, Err(StoreError::LeaseLapsed { lease: 99 }));
}

#[test]
fn watch_delivers_changes_and_fails_on_compacted_revision() {
    let fixture = store_fixture();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the async runtime should be built");
    runtime.block_on(async {
        let mut updates = fixture.client.watch("a", 1);
        assert_eq!(updates.recv().await, Some(Ok(WatchUpdate::Started)));
        fixture
            .store
            .apply(&create("a", "1"))
            .expect("the key should be created");
        let Some(Ok(WatchUpdate::Changed(entry))) = updates.recv().await else {
            panic!("expected a change");
        };
        assert_eq!(entry.value, "1");
        fixture
            .store
            .with_state(|state| state.compact(state.revision()));
        let mut compacted_watch = fixture.client.watch("a", 1);
        assert_eq!(compacted_watch.recv().await, Some(Ok(WatchUpdate::Started)));
        assert!(matches!(
            compacted_watch.recv().await,
            Some(Err(StoreError::Compacted { oldest: 2 }))
        ));
    });
}

#[test]
fn reports_outage_and_lost_answer_as_unavailable() {
    let fixture = store_fixture();
    fixture.store.set_faults(|faults| faults.down = true);
    let down = fixture.client.call_blocking(&read("a"));
    assert!(
        matches!(down, Err(StoreError::Unavailable { .. })),
        "expected an unavailable store during the outage: {down:?}"
    );
    fixture.store.set_faults(|faults| {
        faults.down = false;
        faults.lost_answer_rate = 1.0;
    });
    let lost = fixture.client.call_blocking(&create("a", "1"));
    assert!(
        matches!(lost, Err(StoreError::Unavailable { .. })),
        "expected an unavailable store for the lost answer: {lost:?}"
    );
    fixture
        .store
        .set_faults(|faults| faults.lost_answer_rate = 0.0);
    let Ok(StoreReply::Entries { entries, .. }) = fixture.client.call_blocking(&read("a")) else {
        panic!("expected entries");
    };
    assert_eq!(
        entries[0].value, "1",
        "expected the write to take effect although its answer was lost"
    );
}

/// Reads a complete request with a body of three bytes, which may arrive in several pieces.
/// Returns whether the request was complete when the connection ended.
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

/// Opens a connection and sends the head of a read request, and its body unless it is `None`.
fn send_read_request(address: SocketAddr, body: Option<&str>) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the connection should be opened");
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("the timeout should be set");
    let body_length = body.map_or(2000, str::len);
    let request = format!(
        "POST /v3/kv/range HTTP/1.1\r\nHost: store\r\nContent-Length: {body_length}\r\n\r\n{}",
        body.unwrap_or_default()
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request should be sent");
    stream
}

fn is_answered(stream: &mut TcpStream) -> bool {
    stream.read(&mut [0; 16]).is_ok_and(|length| length > 0)
}

/// Guards against connections that are accepted and then wait for a thread until another
/// connection is closed: a client that keeps its connections open gets no answer.
#[test]
fn each_connection_of_a_burst_is_answered_while_the_others_stay_open() {
    let fixture = store_fixture();
    let mut streams: Vec<TcpStream> = (0..32)
        .map(|_| send_read_request(fixture.address, Some(r#"{"key":"YQ=="}"#)))
        .collect();
    let answered = streams.iter_mut().map(is_answered);
    assert_eq!(answered.filter(|answered| *answered).count(), 32);
}

/// Guards against clients that are slow to send a body and occupy the workers of all others.
#[test]
fn incomplete_requests_do_not_delay_others() {
    let fixture = store_fixture();
    let _incomplete: Vec<TcpStream> = (0..8)
        .map(|_| send_read_request(fixture.address, None))
        .collect();
    let mut stream = send_read_request(fixture.address, Some(r#"{"key":"YQ=="}"#));
    assert!(is_answered(&mut stream));
}

#[test]
fn http_client_does_not_resend_write_when_pooled_connection_closes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the address should be bound");
    let address = listener.local_addr().expect("the address should be known");
    let request_count = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&request_count);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the connection should be accepted");
            // Answers the first request of a connection and closes it without answering the second.
            for should_answer in [true, false] {
                if !read_request(&mut stream) {
                    break;
                }
                counter.fetch_add(1, Ordering::SeqCst);
                if should_answer {
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
        .expect("the first write should be answered")
        .body_mut()
        .read_to_string()
        .expect("the answer should be read");
    let second = agent.post(&url).send("two");
    assert!(
        second.is_err(),
        "expected the second write to fail, but it was answered after {} requests",
        request_count.load(Ordering::SeqCst)
    );
    assert_eq!(
        request_count.load(Ordering::SeqCst),
        2,
        "expected each write to be sent once"
    );
}
