//! Replies of a connection that are encoded and not yet written.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::HttpReply;
use crate::OpenReply;

/// Encoded replies in their order. A large body isn't copied behind its head.
#[derive(Debug, Default)]
pub(crate) struct ReplyOutput {
    /// Large bodies, and what comes before each.
    parts: Vec<Bytes>,
    /// What comes after them.
    tail: BytesMut,
    /// Requests that stay open until their replies are written.
    open: Vec<Rc<OpenReply>>,
}

impl ReplyOutput {
    /// Adds `100 Continue`.
    pub(crate) fn push_continue(&mut self) {
        self.tail
            .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Adds a reply. `with_body` is false for replies to HEAD requests.
    pub(crate) fn push(&mut self, reply: HttpReply, close: bool, with_body: bool) {
        let large_body = reply.write_to(&mut self.tail, close, with_body);
        if !large_body.is_empty() {
            self.parts.push(self.tail.split().freeze());
            self.parts.push(large_body);
        }
        self.open.extend(reply.open);
    }

    /// Writes everything that was added.
    ///
    /// Errors: the connection is broken.
    pub(crate) async fn write_to(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        for part in self.parts.drain(..) {
            stream.write_all(&part).await?;
        }
        stream.write_all(&self.tail).await?;
        self.tail.clear();
        self.open.clear();
        Ok(())
    }
}
