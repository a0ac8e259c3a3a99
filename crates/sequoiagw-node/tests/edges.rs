//! The node's edges over real sockets: callers' HTTP, inner links, administration.

#[path = "support/mesh.rs"]
mod mesh;

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_node::AdminApi;
use sequoiagw_node::BackendInfo;
use sequoiagw_node::CounterBoard;
use sequoiagw_node::HttpBackend;
use sequoiagw_node::HttpEdge;
use sequoiagw_node::NodeEdges;
use sequoiagw_node::NodeHandle;
use sequoiagw_node::NodeIdentity;
use sequoiagw_node::NodeSettings;
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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::mesh::mesh_with_timeout;

const TOKEN: &str = "a-token-of-16-characters";

/// One node on real sockets with a backend server.
struct SocketNode {
    handle: NodeHandle,
    callers: SocketAddr,
    peers: SocketAddr,
    log: RunLog,
}

fn on_sockets<Test>(test: impl FnOnce() -> Test)
where
    Test: std::future::Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let test = async {
        timeout(Duration::from_secs(60), test())
            .await
            .expect("in time");
    };
    LocalSet::new().block_on(&runtime, test);
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

async fn socket_node(name: &str, seeds: &[SocketAddr], store: &MemoryStore) -> SocketNode {
    let (peer_listener, peers) = listener().await;
    let (caller_listener, callers) = listener().await;
    let (backend_listener, backend) = listener().await;
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
        address: NodeAddress::from(peers),
        seeds: seeds.iter().copied().map(NodeAddress::from).collect(),
        boot: 1,
        seed: 1,
    };
    let node = NodeId::from_name(name);
    let links = TcpLinks::new(node, 1, identity.address, events.clone());
    let edges = NodeEdges {
        store: Rc::new(store.client()),
        links: Box::new(links.clone()),
        backend: Box::new(HttpBackend::new(events.clone())),
    };
    let handle = NodeHandle::new(identity, edges, events, CounterBoard::default());
    let running = handle.clone();
    tokio::task::spawn_local(async move { running.run(receiver).await });
    tokio::task::spawn_local(async move { links.accept(peer_listener).await });
    let edge = HttpEdge::new(handle.clone());
    tokio::task::spawn_local(async move { edge.accept(caller_listener).await });
    let announcing = handle.clone();
    tokio::task::spawn_local(async move {
        loop {
            announcing.announce(BackendInfo {
                service: "press".to_owned(),
                address: backend.to_string(),
                slots: 4,
            });
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    SocketNode {
        handle,
        callers,
        peers,
        log,
    }
}

async fn ready_node() -> SocketNode {
    let store = MemoryStore::new(1);
    InProcessFleet::write_config_to(&store, mesh_with_timeout(2), "first")
        .await
        .expect("accepted");
    let node = socket_node("solo", &[], &store).await;
    node.handle.wait_ready().await;
    node
}

/// Sends raw bytes and reads until the other end closes or is quiet.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
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
    let reply = exchange(node.callers, &request("POST /press/dies HTTP/1.1", "die")).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(reply.contains("sequoiagw-ran: yes"), "{reply}");
}

#[test]
fn a_request_is_answered_and_refusals_carry_the_truth() {
    on_sockets(|| async {
        let node = ready_node().await;
        assert_serves(&node).await;
        let lost = exchange(node.callers, &request("GET /nowhere HTTP/1.1", "")).await;
        assert!(lost.starts_with("HTTP/1.1 404"), "{lost}");
        for part in [
            "sequoiagw-ran: no",
            "application/problem+json",
            "route_unknown",
        ] {
            assert!(lost.contains(part), "{lost}");
        }
        let head = "POST /press/dies HTTP/1.1\r\nx-request-timeout-ms: soon";
        let bad = exchange(node.callers, &request(head, "")).await;
        assert!(
            bad.starts_with("HTTP/1.1 400") && bad.contains("milliseconds"),
            "{bad}"
        );
        assert_eq!(node.log.total(), 1);
    });
}

#[test]
fn an_oversized_head_or_body_is_refused_and_harms_no_one_else() {
    on_sockets(|| async {
        let node = ready_node().await;
        let long = format!(
            "POST /press/dies HTTP/1.1\r\nx-long: {}",
            "a".repeat(200_000)
        );
        let head = exchange(node.callers, long.as_bytes()).await;
        assert!(
            head.is_empty() || head.starts_with("HTTP/1.1 431"),
            "{head}"
        );
        let body = "b".repeat(1024 * 1024 + 1);
        let reply = exchange(node.callers, &request("POST /press/dies HTTP/1.1", &body)).await;
        assert!(
            reply.starts_with("HTTP/1.1 413") || reply.is_empty(),
            "{reply}"
        );
        assert_eq!(node.log.total(), 0);
        assert_serves(&node).await;
    });
}

#[test]
fn silent_and_broken_callers_harm_no_one_else() {
    on_sockets(|| async {
        let node = ready_node().await;
        let mut silent = Vec::new();
        for _ in 0..100 {
            let mut stream = TcpStream::connect(node.callers).await.expect("connected");
            stream
                .write_all(b"POST /press/dies HTTP/1.1\r\nho")
                .await
                .expect("sent");
            silent.push(stream);
        }
        let broken = b"POST /press/dies HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";
        let mut stream = TcpStream::connect(node.callers).await.expect("connected");
        stream.write_all(broken).await.expect("sent");
        drop(stream);
        assert_serves(&node).await;
        assert_eq!(node.log.total(), 1);
    });
}

#[test]
fn garbage_at_any_edge_kills_only_its_own_connection() {
    on_sockets(|| async {
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
            exchange(node.callers, sample).await;
            exchange(node.peers, sample).await;
        }
        assert_serves(&node).await;
    });
}

#[test]
fn two_nodes_on_tcp_serve_each_other_and_survive_a_reset() {
    on_sockets(|| async {
        let store = MemoryStore::new(1);
        InProcessFleet::write_config_to(&store, mesh_with_timeout(2), "first")
            .await
            .expect("accepted");
        let one = socket_node("one", &[], &store).await;
        let two = socket_node("two", &[one.peers], &store).await;
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
fn a_graceful_leave_over_http_answers_what_is_under_way() {
    on_sockets(|| async {
        let node = ready_node().await;
        let address = node.callers;
        let call = tokio::task::spawn_local(async move {
            exchange(address, &request("POST /press/dies HTTP/1.1", "die")).await
        });
        tokio::task::yield_now().await;
        node.handle.drain();
        let reply = call.await.expect("task");
        // Alone in the fleet, the node either ran the call or says that it didn't.
        let ran = reply.contains("sequoiagw-ran: yes") && node.log.total() == 1;
        let refused = reply.contains("sequoiagw-ran: no") && node.log.total() == 0;
        assert!(ran || refused, "{reply}");
        node.handle.wait_stopped().await;
    });
}

fn admin_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    listener.local_addr().expect("address")
}

fn http(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn the_administration_api_needs_its_token_and_a_base_version() {
    on_sockets(|| async {
        let node = ready_node().await;
        let address = admin_port();
        let admin = AdminApi::open(address, Some(TOKEN.to_owned())).expect("opened");
        tokio::task::spawn_local(admin.serve(node.handle.clone()));
        let ask = |method: &'static str, path: &'static str, headers: String, body: String| async move {
            exchange(address, &http(method, path, &headers, &body)).await
        };
        let empty = String::new;
        assert!(ask("GET", "/healthz", empty(), empty())
            .await
            .starts_with("HTTP/1.1 200"));
        assert!(ask("GET", "/readyz", empty(), empty())
            .await
            .starts_with("HTTP/1.1 200"));
        let shown = ask("GET", "/v1/config", empty(), empty()).await;
        assert!(shown.contains("ETag: \"1\""), "{shown}");
        let toml = mesh_with_timeout(5).to_toml().expect("renders");
        let denied = ask("PUT", "/v1/config", empty(), toml.clone()).await;
        assert!(denied.starts_with("HTTP/1.1 401"), "{denied}");
        let bearer = format!("Authorization: Bearer {TOKEN}\r\n");
        let baseless = ask("PUT", "/v1/config", bearer.clone(), toml.clone()).await;
        assert!(baseless.starts_with("HTTP/1.1 428"), "{baseless}");
        let based = format!("{bearer}If-Match: \"1\"\r\n");
        let bad = ask(
            "PUT",
            "/v1/config",
            based.clone(),
            "[defaults]\nspeed = 1\n".to_owned(),
        )
        .await;
        assert!(
            bad.starts_with("HTTP/1.1 422") && bad.contains("speed"),
            "{bad}"
        );
        let accepted = ask("PUT", "/v1/config", based.clone(), toml).await;
        assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
        node.handle.wait_version(2).await;
        let other = mesh_with_timeout(6).to_toml().expect("renders");
        let conflict = ask("PUT", "/v1/config", based, other).await;
        assert!(conflict.starts_with("HTTP/1.1 412"), "{conflict}");
    });
}

#[test]
fn without_a_token_changes_are_off() {
    on_sockets(|| async {
        let node = ready_node().await;
        let address = admin_port();
        let admin = AdminApi::open(address, None).expect("opened");
        tokio::task::spawn_local(admin.serve(node.handle.clone()));
        let reply = exchange(address, &http("POST", "/v1/drain", "", "")).await;
        assert!(reply.starts_with("HTTP/1.1 403"), "{reply}");
    });
}

const SETTINGS: &str = r#"
name = "node-a"
data_centre = "north"
peer_address = "127.0.0.1:7001"
caller_address = "127.0.0.1:8001"
store_endpoints = ["http://127.0.0.1:2379"]
"#;

#[test]
fn settings_name_the_key_the_line_the_value_and_the_range() {
    let refused = |from: &str, to: &str| {
        let source = SETTINGS.replace(from, to);
        NodeSettings::from_toml(&source)
            .expect_err("refused")
            .to_string()
    };
    let text = refused("127.0.0.1:7001", "127.0.0.1:0");
    for part in ["peer_address", "line 4", "127.0.0.1:0", "1 to 65535"] {
        assert!(text.contains(part), "{text}");
    }
    let text = refused("name = \"node-a\"", "name = \"node-a\"\nspeed = 3");
    assert!(text.contains("speed") && text.contains("line 3"), "{text}");
    let text = refused("http://127.0.0.1:2379", "127.0.0.1:2379");
    assert!(text.contains("store_endpoints"), "{text}");
}

#[test]
fn the_shipped_settings_are_valid_and_arbitrary_text_never_panics() {
    for sample in [
        include_str!("../../../samples/node-a.toml"),
        include_str!("../../../samples/node-b.toml"),
        include_str!("../../../samples/node-c.toml"),
    ] {
        NodeSettings::from_toml(sample).expect("valid");
    }
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = NodeSettings::from_toml(text);
        let _ = NodeSettings::from_toml(&format!("{SETTINGS}\n{text}"));
    });
}

/// Sends bytes and waits until the other end has closed or stays quiet.
async fn poke(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut reply = Vec::new();
    let _ = timeout(Duration::from_millis(100), stream.read_to_end(&mut reply)).await;
}

#[test]
fn arbitrary_bytes_at_the_edges_harm_no_one_else() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let tasks = LocalSet::new();
    let node = tasks.block_on(&runtime, ready_node());
    let drive = AssertUnwindSafe(|bytes: &[u8]| {
        tasks.block_on(&runtime, async {
            poke(node.callers, bytes).await;
            poke(node.peers, bytes).await;
        });
    });
    bolero::check!()
        .with_type::<(u8, Vec<u8>)>()
        .with_iterations(60)
        .for_each(|(start, bytes)| {
            // Some cases go wrong at once, others after a sound beginning.
            let sound: &[u8] = match start % 4 {
                0 => b"",
                1 => b"POST /press/dies HTTP/1.1\r\nhost: a\r\n",
                2 => b"POST /press/dies HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
                _ => b"POST /press/dies HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n",
            };
            let drive = &drive;
            drive(&[sound, bytes].concat());
        });
    tasks.block_on(&runtime, assert_serves(&node));
}
