//! Accepts the connections of a listener.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tracing::warn;

/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Passes each connection to `serve`, which must not block, until the task is aborted. Errors of the
/// listener are logged, and accepting is retried.
pub(crate) async fn accept_connections<Serve>(listener: TcpListener, serve: Serve)
where
    Serve: Fn(TcpStream),
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                warn!(event = "accept_failed", error = %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
