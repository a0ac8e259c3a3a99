//! A loopback TCP proxy that can delay, stall, block in one direction or reset its connections.

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

/// Interval at which a stalled connection checks whether it may transfer data again.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a proxy treats the data on its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ProxyMode {
    /// Data passes in both directions.
    #[default]
    Open,
    /// Data passes in both directions after a delay.
    Delayed(Duration),
    /// No data passes; what was received is delivered once the mode changes.
    Stalled,
    /// Data passes from the server to the client only.
    FromServerOnly,
}

/// A proxy in front of one server; clones share its mode.
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
            .wrap_err("cannot bind a proxy port")?;
        let (resets, _) = watch::channel(0);
        let proxy = Self {
            address: listener.local_addr()?,
            mode: Rc::default(),
            resets: Rc::new(resets),
        };
        let connection_proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(connection_proxy.clone().forward(stream, server));
            }
        });
        Ok(proxy)
    }

    /// Address at which clients reach the server through the proxy.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how data on all connections, present and future, is treated.
    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        self.mode.set(mode);
    }

    /// Closes all connections.
    pub(crate) fn reset_all(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn forward(self, client: TcpStream, server: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(upstream) = TcpStream::connect(server).await else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = upstream.into_split();
        tokio::select! {
            () = self.copy(client_reader, server_writer, true) => {}
            () = self.copy(server_reader, client_writer, false) => {}
            _ = resets.changed() => {}
        }
    }

    async fn copy<From, To>(&self, mut from: From, mut to: To, towards_server: bool)
    where
        From: AsyncRead + Unpin,
        To: AsyncWrite + Unpin,
    {
        let mut buffer = [0; 16 * 1024];
        loop {
            let Ok(count @ 1..) = from.read(&mut buffer).await else {
                return;
            };
            self.wait_until_open(towards_server).await;
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_until_open(&self, towards_server: bool) {
        loop {
            match self.mode.get() {
                ProxyMode::Open => return,
                ProxyMode::Delayed(delay) => return sleep(delay).await,
                ProxyMode::FromServerOnly if !towards_server => return,
                ProxyMode::Stalled | ProxyMode::FromServerOnly => sleep(MODE_POLL_INTERVAL).await,
            }
        }
    }
}
