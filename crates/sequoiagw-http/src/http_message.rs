//! Whole requests and answers.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use sequoiagw_protocol::HeaderField;

use crate::find_header;
use crate::RequestHead;
use crate::ResponseHead;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
}

/// A server's answer with its whole body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.head.headers, name)
    }
}

/// An answer to be written.
#[derive(Clone, Debug, Default)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// Headers, without those that concern the connection.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// An answer without headers or body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// An answer with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        let mut reply = Self::empty(status);
        reply.push_header("Content-Type", "application/json");
        reply.body = body.into();
        reply
    }

    /// An answer with a plain text.
    pub fn text(status: u16, text: &str) -> Self {
        let mut reply = Self::empty(status);
        reply.push_header("Content-Type", "text/plain; charset=utf-8");
        reply.body = Bytes::copy_from_slice(text.as_bytes());
        reply
    }

    /// Adds a header.
    pub fn push_header(&mut self, name: &str, value: &str) {
        self.headers.push(HeaderField {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Appends the answer as it is sent; `with_body` is false in answers to HEAD.
    pub(crate) fn write_to(&self, target: &mut BytesMut, close: bool, with_body: bool) {
        target.reserve(256 + self.body.len());
        put_all(
            target,
            &[
                "HTTP/1.1 ",
                &self.status.to_string(),
                " ",
                reason(self.status),
                "\r\n",
            ],
        );
        for field in &self.headers {
            put_all(target, &[&field.name, ": ", &field.value, "\r\n"]);
        }
        if !matches!(self.status, 100..=199 | 204 | 304) {
            put_all(
                target,
                &["Content-Length: ", &self.body.len().to_string(), "\r\n"],
            );
        }
        if close {
            target.put_slice(b"Connection: close\r\n");
        }
        target.put_slice(b"\r\n");
        if with_body {
            target.put_slice(&self.body);
        }
    }
}

fn put_all(target: &mut BytesMut, parts: &[&str]) {
    for part in parts {
        target.put_slice(part.as_bytes());
    }
}

/// Phrase of the statuses that are sent often; it has no meaning to the reader.
fn reason(status: u16) -> &'static str {
    match status {
        200..=299 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
