//! Closing of connections whose last reply may still be on its way.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for which the peer may go on sending.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 16 * 1024;

/// Ends the sending side of a connection, then discards what the peer sends until it closes the
/// connection or a limit is over.
///
/// A connection that is closed with unread bytes is reset, and what was written to it and not yet
/// taken by the peer is lost.
pub async fn close_gracefully(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // A peer that goes on sending after the limit gets a reset.
    let _ = timeout(LINGER_TIME, discard(stream)).await;
}

/// Discards what arrives until the peer closes the connection.
async fn discard(stream: &mut TcpStream) {
    let mut discarded = BytesMut::with_capacity(DISCARD_BYTES);
    while let Ok(1..) = stream.read_buf(&mut discarded).await {
        discarded.clear();
    }
}
