//! Requests and responses with their complete bodies.

use std::rc::Rc;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use sequoiagw_protocol::HeaderField;

use crate::find_header;
use crate::OpenReply;
use crate::RequestHead;
use crate::ResponseHead;

/// Size up to which a body is copied, so that it is written with its head in one system call.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
}

/// A request as it is written to a connection. A large body isn't copied behind its head.
#[derive(Clone, Debug)]
pub struct EncodedRequest {
    /// Head, and a small body.
    pub(crate) start: BytesMut,
    /// A large body, empty otherwise.
    pub(crate) body: Bytes,
}

/// A received response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.head.headers, name)
    }
}

/// A response to send.
#[derive(Clone, Debug, Default)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// Headers, without those that concern only the connection.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
    /// Keeps the request open until the reply has been written, `None` if nobody asks.
    pub open: Option<Rc<OpenReply>>,
}

impl HttpReply {
    /// Builds a reply without headers or body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Builds a reply with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        let mut reply = Self::empty(status);
        reply.push_header("Content-Type", "application/json");
        reply.body = body.into();
        reply
    }

    /// Builds a reply with a plain text body.
    pub fn text(status: u16, text: &str) -> Self {
        let mut reply = Self::empty(status);
        reply.push_header("Content-Type", "text/plain; charset=utf-8");
        reply.body = Bytes::copy_from_slice(text.as_bytes());
        reply
    }

    /// Adds a header; an existing one with the same name stays.
    pub fn push_header(&mut self, name: &str, value: &str) {
        self.headers.push(HeaderField {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Appends the encoded reply to `output`, and returns a large body, which has to be written after it.
    /// `with_body` is false for replies to HEAD requests.
    #[must_use]
    pub(crate) fn write_to(&self, output: &mut BytesMut, close: bool, with_body: bool) -> Bytes {
        put_parts(
            output,
            &[
                "HTTP/1.1 ",
                &self.status.to_string(),
                " ",
                reason_phrase(self.status),
                "\r\n",
            ],
        );
        for field in &self.headers {
            put_parts(output, &[&field.name, ": ", &field.value, "\r\n"]);
        }
        if !matches!(self.status, 100..=199 | 204 | 304) {
            put_parts(
                output,
                &["Content-Length: ", &self.body.len().to_string(), "\r\n"],
            );
        }
        if close {
            output.put_slice(b"Connection: close\r\n");
        }
        output.put_slice(b"\r\n");
        if with_body {
            put_small_body(output, &self.body)
        } else {
            Bytes::new()
        }
    }
}

/// Appends a small body to the bytes before it; returns a large one.
pub(crate) fn put_small_body(output: &mut BytesMut, body: &Bytes) -> Bytes {
    if body.len() > MAX_COPIED_BODY_BYTES {
        return body.clone();
    }
    output.put_slice(body);
    Bytes::new()
}

fn put_parts(output: &mut BytesMut, parts: &[&str]) {
    for part in parts {
        output.put_slice(part.as_bytes());
    }
}

/// Reason phrase of the commonly sent statuses. Clients only evaluate the status code.
fn reason_phrase(status: u16) -> &'static str {
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
