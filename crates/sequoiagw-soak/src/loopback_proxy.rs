//! A loopback proxy that delays, silences, cuts one way or resets what goes through it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time between two looks whether a silenced proxy carries again.
const SILENT_PERIOD: Duration = Duration::from_millis(20);

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ProxyMode {
    /// It carries both ways.
    #[default]
    Open,
    /// It carries after a delay.
    Delayed(Duration),
    /// It carries nothing; what was sent comes later.
    Silent,
    /// It carries answers and nothing towards the server.
    OneWay,
}

/// Proxy in front of one server.
#[derive(Clone)]
pub(crate) struct LoopbackProxy {
    address: SocketAddr,
    mode: Rc<Cell<ProxyMode>>,
    resets: Rc<watch::Sender<u64>>,
}

impl LoopbackProxy {
    /// Opens a proxy on a free port in front of `server`.
    pub(crate) async fn open(server: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .wrap_err("no port for a proxy")?;
        let (resets, _) = watch::channel(0);
        let proxy = Self {
            address: listener.local_addr()?,
            mode: Rc::default(),
            resets: Rc::new(resets),
        };
        let carrier = proxy.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(carrier.clone().carry(stream, server));
            }
        });
        Ok(proxy)
    }

    /// Address that stands for the server.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does to its connections.
    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        self.mode.set(mode);
    }

    /// Ends all connections.
    pub(crate) fn reset_all(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn carry(self, client: TcpStream, server: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(upstream) = TcpStream::connect(server).await else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = upstream.into_split();
        tokio::select! {
            () = self.pump(client_reader, server_writer, true) => {}
            () = self.pump(server_reader, client_writer, false) => {}
            _ = resets.changed() => {}
        }
    }

    async fn pump<From, To>(&self, mut from: From, mut to: To, towards_server: bool)
    where
        From: AsyncRead + Unpin,
        To: AsyncWrite + Unpin,
    {
        let mut buffer = [0; 16 * 1024];
        loop {
            let Ok(count @ 1..) = from.read(&mut buffer).await else {
                return;
            };
            self.wait_open(towards_server).await;
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_open(&self, towards_server: bool) {
        loop {
            match self.mode.get() {
                ProxyMode::Open => return,
                ProxyMode::Delayed(time) => return sleep(time).await,
                ProxyMode::OneWay if !towards_server => return,
                ProxyMode::Silent | ProxyMode::OneWay => sleep(SILENT_PERIOD).await,
            }
        }
    }
}
