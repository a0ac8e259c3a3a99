//! Tests of a node's network interfaces over real sockets: callers' HTTP, links between
//! nodes and the administration API.

#[path = "support/mesh.rs"]
mod mesh;
#[path = "support/sockets.rs"]
mod sockets;

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_node::AdminApi;
use sequoiagw_node::BackendAnnouncement;
use sequoiagw_node::CallerServer;
use sequoiagw_node::HttpBackend;
use sequoiagw_node::NodeCounters;
use sequoiagw_node::NodeDependencies;
use sequoiagw_node::NodeHandle;
use sequoiagw_node::NodeIdentity;
use sequoiagw_node::SendPacer;
use sequoiagw_node::TcpLinks;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_standin::BackendHttp;
use sequoiagw_standin::BackendModel;
use sequoiagw_standin::BackendPlan;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::MemoryStore;
use sequoiagw_standin::RunLog;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::mesh::mesh_with_timeout;
use crate::sockets::bind_listener;
use crate::sockets::run_with_real_sockets;

const TOKEN: &str = "a-token-of-16-characters";

/// A node with a backend server, both on real sockets.
struct SocketNode {
    handle: NodeHandle,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    log: RunLog,
}

async fn start_node(name: &str, seeds: &[SocketAddr], store: &MemoryStore) -> SocketNode {
    let (peer_listener, peer_address) = bind_listener().await;
    let (caller_listener, caller_address) = bind_listener().await;
    let (backend_listener, backend_address) = bind_listener().await;
    let log = RunLog::default();
    let plan = BackendPlan {
        service_time: Duration::from_millis(5),
        ..BackendPlan::default()
    };
    let model = BackendModel::new(plan, 1, log.clone());
    tokio::task::spawn_local(BackendHttp::serve(backend_listener, model));
    let (events, receiver) = mpsc::unbounded_channel();
    let identity = NodeIdentity {
        name: name.to_owned(),
        data_centre: "dc0".to_owned(),
        address: NodeAddress::from(peer_address),
        seeds: seeds.iter().copied().map(NodeAddress::from).collect(),
        boot: 1,
        seed: 1,
    };
    let node = NodeId::from_name(name);
    let links = TcpLinks::new(node, 1, identity.address, events.clone(), SendPacer::new(0));
    let dependencies = NodeDependencies {
        store: Rc::new(store.client()),
        links: Box::new(links.clone()),
        backend: Box::new(HttpBackend::new(events.clone())),
    };
    let handle = NodeHandle::new(identity, dependencies, events, NodeCounters::default());
    let running_handle = handle.clone();
    tokio::task::spawn_local(async move { running_handle.run(receiver).await });
    tokio::task::spawn_local(async move { links.accept(peer_listener).await });
    let caller_server = CallerServer::new(handle.clone());
    tokio::task::spawn_local(async move { caller_server.accept(caller_listener).await });
    let announcing_handle = handle.clone();
    tokio::task::spawn_local(async move {
        loop {
            announcing_handle.announce(BackendAnnouncement {
                service: "press".to_owned(),
                address: backend_address.to_string(),
                slots: 4,
            });
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    SocketNode {
        handle,
        caller_address,
        peer_address,
        log,
    }
}

async fn ready_node() -> SocketNode {
    let store = MemoryStore::new(1);
    InProcessFleet::write_config_to(&store, mesh_with_timeout(2), "first")
        .await
        .expect("the first version should be accepted");
    let node = start_node("solo", &[], &store).await;
    node.handle.wait_ready().await;
    node
}

/// Sends raw bytes and reads until the other end closes or sends nothing for 400 ms.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the node should accept the connection");
    let _ = stream.write_all(bytes).await;
    let mut reply = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(length)) = timeout(Duration::from_millis(400), stream.read(&mut buffer)).await {
        if length == 0 {
            break;
        }
        reply.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&reply).into_owned()
}

fn request(head: &str, body: &str) -> Vec<u8> {
    format!(
        "{head}\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn assert_serves(node: &SocketNode) {
    let reply = exchange(
        node.caller_address,
        &request("POST /press/dies HTTP/1.1", "die"),
    )
    .await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(reply.contains("sequoiagw-ran: yes"), "{reply}");
}

#[test]
fn answers_request_and_reports_refused_requests_as_not_run() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        assert_serves(&node).await;
        let unknown_route =
            exchange(node.caller_address, &request("GET /nowhere HTTP/1.1", "")).await;
        assert!(unknown_route.starts_with("HTTP/1.1 404"), "{unknown_route}");
        for part in [
            "sequoiagw-ran: no",
            "application/problem+json",
            "route_unknown",
        ] {
            assert!(unknown_route.contains(part), "{unknown_route}");
        }
        let head = "POST /press/dies HTTP/1.1\r\nx-request-timeout-ms: soon";
        let invalid = exchange(node.caller_address, &request(head, "")).await;
        assert!(
            invalid.starts_with("HTTP/1.1 400") && invalid.contains("milliseconds"),
            "{invalid}"
        );
        assert_eq!(node.log.total(), 1);
    });
}

#[test]
fn refuses_oversized_head_or_body_and_serves_other_callers() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        let long = format!(
            "POST /press/dies HTTP/1.1\r\nx-long: {}",
            "a".repeat(200_000)
        );
        let head = exchange(node.caller_address, long.as_bytes()).await;
        assert!(
            head.is_empty() || head.starts_with("HTTP/1.1 431"),
            "{head}"
        );
        let body = "b".repeat(1024 * 1024 + 1);
        let reply = exchange(
            node.caller_address,
            &request("POST /press/dies HTTP/1.1", &body),
        )
        .await;
        assert!(
            reply.starts_with("HTTP/1.1 413") || reply.is_empty(),
            "{reply}"
        );
        assert_eq!(node.log.total(), 0);
        assert_serves(&node).await;
    });
}

#[test]
fn stalled_and_aborted_requests_do_not_affect_other_callers() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        let mut stalled = Vec::new();
        for _ in 0..100 {
            let mut stream = TcpStream::connect(node.caller_address)
                .await
                .expect("the node should accept the connection");
            stream
                .write_all(b"POST /press/dies HTTP/1.1\r\nho")
                .await
                .expect("the bytes should be sent");
            stalled.push(stream);
        }
        let truncated = b"POST /press/dies HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";
        let mut stream = TcpStream::connect(node.caller_address)
            .await
            .expect("the node should accept the connection");
        stream
            .write_all(truncated)
            .await
            .expect("the bytes should be sent");
        drop(stream);
        assert_serves(&node).await;
        assert_eq!(node.log.total(), 1);
    });
}

#[test]
fn invalid_bytes_do_not_affect_other_connections() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        let samples: Vec<Vec<u8>> = vec![
            vec![0; 64],
            vec![0xff; 64],
            b"GET / HTTP/9.9\r\n\r\n".to_vec(),
            vec![0, 0, 0, 0],
            vec![0, 0, 0, 2, 9, 9],
            vec![0, 0, 0, 3, 1, 0xff, 0xff],
            vec![0x7f, 0xff, 0xff, 0xff, 1],
        ];
        for sample in &samples {
            exchange(node.caller_address, sample).await;
            exchange(node.peer_address, sample).await;
        }
        assert_serves(&node).await;
    });
}

#[test]
fn two_nodes_linked_over_tcp_serve_callers() {
    run_with_real_sockets(|| async {
        let store = MemoryStore::new(1);
        InProcessFleet::write_config_to(&store, mesh_with_timeout(2), "first")
            .await
            .expect("the first version should be accepted");
        let one = start_node("one", &[], &store).await;
        let two = start_node("two", &[one.peer_address], &store).await;
        one.handle.wait_ready().await;
        two.handle.wait_ready().await;
        for _ in 0..20 {
            assert_serves(&one).await;
            assert_serves(&two).await;
        }
        assert_eq!(one.log.total() + two.log.total(), 40);
        two.handle.withdraw();
    });
}

#[test]
fn drain_reports_correctly_whether_call_in_progress_ran() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        let address = node.caller_address;
        let call = tokio::task::spawn_local(async move {
            exchange(address, &request("POST /press/dies HTTP/1.1", "die")).await
        });
        tokio::task::yield_now().await;
        node.handle.drain();
        let reply = call.await.expect("the call task should not panic");
        // No other node can take over the call, so this one ran it or reports it as not run.
        let ran = reply.contains("sequoiagw-ran: yes") && node.log.total() == 1;
        let refused = reply.contains("sequoiagw-ran: no") && node.log.total() == 0;
        assert!(ran || refused, "{reply}");
        node.handle.wait_stopped().await;
    });
}

fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the listener should bind");
    listener
        .local_addr()
        .expect("the listener should have an address")
}

fn admin_request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn config_write_requires_token_and_current_base_version() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        let address = unused_address();
        let admin = AdminApi::open(address, Some(TOKEN.to_owned()))
            .expect("the administration API should bind");
        tokio::task::spawn_local(admin.serve(node.handle.clone()));
        let send_admin_request =
            |method: &'static str, path: &'static str, headers: String, body: String| async move {
                exchange(address, &admin_request(method, path, &headers, &body)).await
            };
        let empty = String::new;
        assert!(send_admin_request("GET", "/healthz", empty(), empty())
            .await
            .starts_with("HTTP/1.1 200"));
        assert!(send_admin_request("GET", "/readyz", empty(), empty())
            .await
            .starts_with("HTTP/1.1 200"));
        let shown = send_admin_request("GET", "/v1/config", empty(), empty()).await;
        assert!(shown.contains("ETag: \"1\""), "{shown}");
        let toml = mesh_with_timeout(5)
            .to_toml()
            .expect("the configuration should serialize to TOML");
        let denied = send_admin_request("PUT", "/v1/config", empty(), toml.clone()).await;
        assert!(denied.starts_with("HTTP/1.1 401"), "{denied}");
        let bearer = format!("Authorization: Bearer {TOKEN}\r\n");
        let without_base =
            send_admin_request("PUT", "/v1/config", bearer.clone(), toml.clone()).await;
        assert!(without_base.starts_with("HTTP/1.1 428"), "{without_base}");
        let with_base = format!("{bearer}If-Match: \"1\"\r\n");
        let invalid = send_admin_request(
            "PUT",
            "/v1/config",
            with_base.clone(),
            "[defaults]\nspeed = 1\n".to_owned(),
        )
        .await;
        assert!(
            invalid.starts_with("HTTP/1.1 422") && invalid.contains("speed"),
            "{invalid}"
        );
        let accepted = send_admin_request("PUT", "/v1/config", with_base.clone(), toml).await;
        assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
        node.handle.wait_version(2).await;
        let other = mesh_with_timeout(6)
            .to_toml()
            .expect("the configuration should serialize to TOML");
        let conflict = send_admin_request("PUT", "/v1/config", with_base, other).await;
        assert!(conflict.starts_with("HTTP/1.1 412"), "{conflict}");
    });
}

#[test]
fn refuses_changes_when_no_token_is_configured() {
    run_with_real_sockets(|| async {
        let node = ready_node().await;
        let address = unused_address();
        let admin = AdminApi::open(address, None).expect("the administration API should bind");
        tokio::task::spawn_local(admin.serve(node.handle.clone()));
        let reply = exchange(address, &admin_request("POST", "/v1/drain", "", "")).await;
        assert!(reply.starts_with("HTTP/1.1 403"), "{reply}");
    });
}

/// Sends bytes, closes the sending side and reads until the other end closes, for at most 100 ms.
async fn send_and_read_to_end(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the node should accept the connection");
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut reply = Vec::new();
    let _ = timeout(Duration::from_millis(100), stream.read_to_end(&mut reply)).await;
}

#[test]
fn arbitrary_bytes_do_not_affect_other_connections() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime should build");
    let tasks = LocalSet::new();
    let node = tasks.block_on(&runtime, ready_node());
    let send_to_both_listeners = AssertUnwindSafe(|bytes: &[u8]| {
        tasks.block_on(&runtime, async {
            send_and_read_to_end(node.caller_address, bytes).await;
            send_and_read_to_end(node.peer_address, bytes).await;
        });
    });
    bolero::check!()
        .with_type::<(u8, Vec<u8>)>()
        .with_iterations(60)
        .for_each(|(start, bytes)| {
            // Some cases are invalid from the first byte, others only after a valid prefix.
            let valid_prefix: &[u8] = match start % 4 {
                0 => b"",
                1 => b"POST /press/dies HTTP/1.1\r\nhost: a\r\n",
                2 => b"POST /press/dies HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
                _ => b"POST /press/dies HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n",
            };
            let send_to_both_listeners = &send_to_both_listeners;
            send_to_both_listeners(&[valid_prefix, bytes].concat());
        });
    tasks.block_on(&runtime, assert_serves(&node));
}
