//! Replies of a connection that are encoded and not yet written.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::HttpReply;
use crate::OpenReply;

/// Encoded replies. A large body isn't copied behind its head.
#[derive(Debug, Default)]
pub(crate) struct ReplyOutput {
    heads: BytesMut,
    large_body: Bytes,
    /// Requests that stay open until their replies are written.
    open: Vec<Rc<OpenReply>>,
}

impl ReplyOutput {
    /// Adds `100 Continue`.
    pub(crate) fn push_continue(&mut self) {
        self.heads
            .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Adds a reply. `with_body` is false for replies to HEAD requests.
    pub(crate) fn push(&mut self, reply: HttpReply, close: bool, with_body: bool) {
        self.large_body = reply.write_to(&mut self.heads, close, with_body);
        self.open.extend(reply.open);
    }

    /// Writes everything that was added.
    ///
    /// Errors: the connection is broken.
    pub(crate) async fn write_to(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        if !self.heads.is_empty() {
            stream.write_all(&self.heads).await?;
            self.heads.clear();
        }
        let body = std::mem::take(&mut self.large_body);
        stream.write_all(&body).await?;
        self.open.clear();
        Ok(())
    }
}
