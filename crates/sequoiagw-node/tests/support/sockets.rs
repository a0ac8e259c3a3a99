//! Helpers for tests over real sockets.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Runs a test on a single-threaded runtime with sockets and the real clock, for 60 s at most.
pub fn run_with_real_sockets<Start, Test>(start: Start)
where
    Start: FnOnce() -> Test,
    Test: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime should build");
    let test = async {
        timeout(Duration::from_secs(60), start())
            .await
            .expect("the test should finish within 60 s");
    };
    LocalSet::new().block_on(&runtime, test);
}

/// Binds a listener to a free port.
pub async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener should bind");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    (listener, address)
}
