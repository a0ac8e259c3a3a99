//! A node with a real callers' address, beside a backend server that records the requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::HttpConnection;
use sequoiagw_http::ServerPhase;
use sequoiagw_mesh::CallerServer;
use sequoiagw_mesh::Heartbeat;
use sequoiagw_mesh::HeartbeatPhase;
use sequoiagw_mesh::MeshBackend;
use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::MeshHandle;
use sequoiagw_mesh::MeshSettings;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_node::NodeCounters;
use sequoiagw_node::PeerLinks;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_store::StoreEra;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::number_format::NumberFormat;
use crate::number_format::HEADERS;
use crate::support::registration;
use crate::support::settings;

/// Requests whose path contains this are never answered: the backend server closes the connection.
pub const BROKEN_PATH: &str = "/broken";
/// Requests whose path contains this are never answered, on a connection that stays open.
pub const SILENT_PATH: &str = "/silent";
const BOOT: u64 = 1;
const TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER_BYTES: u64 = 1024;

/// Links of a node that has no peers.
struct NoLinks;

impl PeerLinks for NoLinks {
    fn send(&self, _to: NodeAddress, _frame: PeerFrame) {}

    fn reset(&self, _to: NodeAddress) {}
}

/// A node without peers or store.
pub struct ServedNode {
    pub handle: MeshHandle,
    callers: SocketAddr,
    /// Heads of the requests that reached the backend server.
    heads: Rc<RefCell<Vec<String>>>,
    _phase: watch::Sender<ServerPhase>,
}

impl ServedNode {
    /// Starts a node without a configuration, beside a backend server of the service `press`.
    pub async fn start() -> Self {
        Self::start_with(settings("a")).await
    }

    /// Starts a node with these settings.
    pub async fn start_with(settings: MeshSettings) -> Self {
        let heads = Rc::default();
        let (events, receiver) = mpsc::unbounded_channel();
        let backend_address = start_backend(Rc::clone(&heads)).await;
        let backend = MeshBackend::new(backend_address, HEADERS, events);
        let core = MeshCore::new(settings, BOOT, NodeCounters::default());
        let handle = MeshHandle::new(
            core,
            Box::new(NoLinks),
            Box::new(backend),
            Rc::new(NumberFormat),
        );
        let own = registration("a", BOOT);
        let stored = vec![(own.clone(), own.written_at(5))];
        handle.with_core(|core, now| {
            core.on_registrations(stored, StoreEra::default(), now);
            core.on_heartbeat(&heartbeat(core), now);
        });
        let event_handle = handle.clone();
        tokio::task::spawn_local(async move { event_handle.run(receiver).await });
        let (phase, phase_receiver) = watch::channel(ServerPhase::Open);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let callers = listener.local_addr().expect("an address");
        let server = CallerServer::new(handle.clone(), phase_receiver, BufferBudget::unlimited());
        tokio::task::spawn_local(server.accept(listener));
        Self {
            handle,
            callers,
            heads,
            _phase: phase,
        }
    }

    /// Brings a version into force.
    pub fn activate(&self, version: MeshVersion) {
        let version = Rc::new(version);
        let activated = self
            .handle
            .with_core(|core, now| core.activate_from_store(&version, now));
        assert!(activated, "version {} must come into force", version.number);
    }

    /// Opens a connection of a caller.
    pub async fn connect(&self) -> CallerConnection {
        let connection = HttpConnection::connect(self.callers, TIMEOUT, TIMEOUT).await;
        CallerConnection {
            connection: connection.expect("a connection"),
            requests: 0,
        }
    }

    /// Sends one request on a connection of its own and returns the status.
    pub async fn status(&self, path: &str, headers: &[(&str, &str)]) -> u16 {
        self.connect().await.status(path, headers).await
    }

    /// Removes and returns the heads of the requests that reached the backend server.
    pub fn take_heads(&self) -> Vec<String> {
        self.heads.take()
    }

    /// Number of requests refused for a key that no workspace holds.
    pub fn unknown_keys(&self) -> u64 {
        let counters = self.handle.counters();
        counters.total("refused.api_key_unknown")
    }
}

/// A caller's connection, which stays open over several requests.
pub struct CallerConnection {
    connection: HttpConnection,
    requests: u32,
}

impl CallerConnection {
    /// Sends a request and returns the status.
    pub async fn status(&mut self, path: &str, headers: &[(&str, &str)]) -> u16 {
        self.status_and_delay(path, headers).await.0
    }

    /// Sends a request and returns the status and the value of `Retry-After`.
    pub async fn status_and_delay(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
    ) -> (u16, Option<String>) {
        self.requests += 1;
        let id = format!("call-{}", self.requests);
        let own = [("Host", "shop.example"), (HEADERS.request_id, &*id)];
        let fields = own.iter().chain(headers).map(|(name, value)| HeaderField {
            name: (*name).to_owned(),
            value: (*value).to_owned(),
        });
        let fields: Vec<HeaderField> = fields.collect();
        let request = HttpConnection::encode_request("POST", path, &fields, &Bytes::new());
        let exchange = self
            .connection
            .exchange("POST", &request, MAX_ANSWER_BYTES, |_| true);
        let head = exchange.await.expect("a response").head;
        let delay = head.header("Retry-After").map(str::to_owned);
        (head.status.get(), delay)
    }
}

fn heartbeat(core: &MeshCore) -> Heartbeat {
    let backend = &core.settings().backend;
    Heartbeat {
        version: String::new(),
        instance: "i-1".to_owned(),
        born_ms: Some(1),
        sequence: 1,
        service: backend.service.clone(),
        address: backend.address.to_string(),
        slots: 12,
        phase: HeartbeatPhase::Ready,
        warmup_left: Duration::ZERO,
    }
}

async fn start_backend(heads: Rc<RefCell<Vec<String>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(answer_requests(stream, Rc::clone(&heads)));
        }
    });
    address
}

async fn answer_requests(mut stream: TcpStream, heads: Rc<RefCell<Vec<String>>>) {
    while let Some(head) = read_head(&mut stream).await {
        let id = head.lines().find_map(|line| line.strip_prefix("Id: "));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nId: {}\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
            id.unwrap_or_default()
        );
        let is_broken = head.contains(BROKEN_PATH);
        if head.contains(SILENT_PATH) {
            std::future::pending::<()>().await;
        }
        heads.borrow_mut().push(head);
        if is_broken || stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a request without a body; `None` once the connection has ended.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}
